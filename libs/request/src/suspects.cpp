#include <request/suspects.hpp>

#include <algorithm>
#include <utility>

namespace foxtailvale::request
{

namespace
{

bool is_suspect(crash_record const& record)
{
    return record.endpoints.size() >= min_crashed_endpoints;
}

void enforce_record_limit(suspect_list& state)
{
    if (state.records.size() <= max_crash_records)
    {
        return;
    }
    auto const first = std::ranges::min_element(
        state.records, {},
        [](auto const& entry)
        {
            return std::pair(is_suspect(entry.second), entry.second.expires_at);
        });
    state.records.erase(first);
}

} // namespace

bool note_crash(
    suspect_list& state,
    fingerprint request,
    std::string const& endpoint,
    base::time_point now)
{
    auto& record = state.records[request];
    std::erase_if(
        record.endpoints,
        [now](auto const& crash)
        {
            return crash.second + suspect_duration <= now;
        });
    auto const before = is_suspect(record);
    record.endpoints[endpoint] = now;
    record.expires_at = now + suspect_duration;
    auto const after = is_suspect(record);
    enforce_record_limit(state);
    return after && !before;
}

bool note_relayed_crash(
    suspect_list& state,
    fingerprint request,
    std::string const& endpoint,
    base::time_point at,
    base::time_point now)
{
    auto const answered = state.answered.find(request);
    auto const known = state.records.find(request);
    if (at + suspect_duration <= now ||
        (answered != state.answered.end() && at <= answered->second) ||
        (known != state.records.end() &&
         known->second.endpoints.contains(endpoint)))
    {
        return false;
    }
    auto& record = state.records[request];
    record.endpoints[endpoint] = at;
    record.expires_at = std::max(record.expires_at, at + suspect_duration);
    enforce_record_limit(state);
    return true;
}

void note_answered(
    suspect_list& state, fingerprint request, base::time_point now)
{
    state.records.erase(request);
    state.answered[request] = now;
    if (state.answered.size() > max_crash_records)
    {
        state.answered.erase(std::ranges::min_element(
            state.answered, {},
            [](auto const& entry)
            {
                return entry.second;
            }));
    }
}

bool is_suspect(suspect_list const& state, fingerprint request)
{
    auto const found = state.records.find(request);
    return found != state.records.end() && is_suspect(found->second);
}

std::size_t crashed_endpoints(suspect_list const& state, fingerprint request)
{
    auto const found = state.records.find(request);
    return found != state.records.end() ? found->second.endpoints.size() : 0;
}

bool has_crash_record(suspect_list const& state, fingerprint request)
{
    return state.records.contains(request);
}

bool release(suspect_list& state, fingerprint request)
{
    return state.records.erase(request) > 0;
}

void expire(suspect_list& state, base::time_point now)
{
    std::erase_if(
        state.records,
        [now](auto const& entry)
        {
            return now >= entry.second.expires_at;
        });
    std::erase_if(
        state.answered,
        [now](auto const& entry)
        {
            return now >= entry.second + suspect_duration;
        });
}

std::vector<fingerprint> suspects(suspect_list const& state)
{
    std::vector<fingerprint> list;
    for (auto const& [request, record] : state.records)
    {
        if (is_suspect(record))
        {
            list.push_back(request);
        }
    }
    return list;
}

} // namespace foxtailvale::request
