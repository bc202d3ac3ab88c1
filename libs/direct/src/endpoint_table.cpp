#include <direct/endpoint_table.hpp>
#include <direct/store_restore.hpp>

#include <algorithm>
#include <cmath>

namespace foxtailvale::direct
{

namespace
{

// Weight of the latest answer in the share of faults: about ten answers judge
// an endpoint.
constexpr double fault_weight = 0.1;

// A fault counts half after this time, so that an endpoint that recovered is
// tried again.
constexpr std::chrono::duration<double> fault_half_life{3};

constexpr std::chrono::milliseconds first_avoidance{300};
constexpr std::chrono::milliseconds longest_avoidance{2400};

// An endpoint that said that it is full ends a request about this soon.
constexpr std::chrono::milliseconds full_avoidance{60};

// An endpoint that holds other weights than listed. Failure: all machines lose
// power, engines come back empty while the list still shows what they held, and
// every request is turned away until the repeats of ten seconds are spent. The
// list, or the agent, says within this time what it holds.
constexpr std::chrono::milliseconds misdirected_avoidance{1000};

// Own sends are kept for as long as any share of a cold limit looks back.
constexpr std::chrono::seconds recent_time{3};

// An endpoint that crashed is found gone within this time: by the next
// connection, by its agent, or by the list, which misses three heartbeats.
constexpr std::chrono::milliseconds cut_memory{5000};

// Agents report ten times a second; the ways of one report through two entries
// differ by less than half of that.
constexpr std::chrono::milliseconds same_report{50};

std::string_view ip_of(std::string_view address)
{
    return address.substr(0, address.rfind(':'));
}

void fade_faults(endpoint_state& state, base::time_point now)
{
    auto const passed = std::chrono::duration<double>(now - state.last_fault);
    state.fault_share *= std::exp2(-(passed / fault_half_life));
    state.last_fault = now;
}

void note_answer(endpoint_state& state, bool fault, base::time_point now)
{
    fade_faults(state, now);
    state.fault_share +=
        fault_weight * ((fault ? 1.0 : 0.0) - state.fault_share);
}

void take_report(
    endpoint_state& state, load_report const& report, base::time_point now)
{
    if (state.report && state.report->weights != report.weights)
    {
        state.avoid_until = {};
    }
    state.report = report;
    state.reported = now;
    state.own_change = 0;
}

// Own requests begun after that moment.
std::int32_t begun_since(endpoint_state const& state, base::time_point then)
{
    return static_cast<std::int32_t>(std::ranges::count_if(
        state.recent,
        [then](base::time_point at)
        {
            return at > then;
        }));
}

std::optional<base::time_point> earliest_of_newer(
    endpoint_table const& book,
    std::string const& model,
    std::uint64_t version,
    base::time_point named_version::*which)
{
    std::optional<base::time_point> earliest;
    auto const found = book.versions.find(model);
    if (found == book.versions.end())
    {
        return earliest;
    }
    for (auto const& named : found->second)
    {
        if (named.version > version)
        {
            earliest = std::min(earliest.value_or(named.*which), named.*which);
        }
    }
    return earliest;
}

} // namespace

bool participates_in_transfer(endpoint_record const& endpoint, std::string const& service)
{
    return endpoint.service == service && !endpoint.draining;
}

bool put(endpoint_table& book, endpoint_record record)
{
    note_present(book, record.id);
    auto& state = book.endpoints[record.id];
    state.lapses.reset();
    if (state.listed == record)
    {
        return false;
    }
    if (state.listed.address != record.address)
    {
        state.report.reset();
    }
    if (state.listed.weights != record.weights)
    {
        state.avoid_until = {};
    }
    state.listed = std::move(record);
    return true;
}

void remove(
    endpoint_table& book,
    std::string const& id,
    bool list_was_lost,
    base::time_point now)
{
    forget_kept_back(book, id);
    auto const found = book.endpoints.find(id);
    if (found == book.endpoints.end())
    {
        return;
    }
    if (list_was_lost && !found->second.listed.draining)
    {
        if (!found->second.lapses)
        {
            found->second.lapses = now + lapse_time;
        }
        return;
    }
    note_left(book, id, now);
    book.endpoints.erase(found);
}

void replace_all(
    endpoint_table& book,
    std::vector<endpoint_record> records,
    bool list_was_lost,
    base::time_point now)
{
    std::set<std::string> listed;
    for (auto& record : records)
    {
        listed.insert(record.id);
        if (!keep_back(book, record, now))
        {
            put(book, std::move(record));
        }
    }
    std::vector<std::string> missing;
    for (auto const& [id, state] : book.endpoints)
    {
        if (!listed.contains(id))
        {
            missing.push_back(id);
        }
    }
    auto const may_lack = list_was_lost || may_lack_endpoints(book, now);
    for (auto const& id : missing)
    {
        remove(book, id, may_lack, now);
    }
}

std::size_t count_of(endpoint_table const& book, std::string const& service)
{
    return static_cast<std::size_t>(std::ranges::count_if(
        book.endpoints,
        [&service](auto const& entry)
        {
            return entry.second.listed.service == service;
        }));
}

void expire(endpoint_table& book, base::time_point now)
{
    std::erase_if(
        book.endpoints,
        [now](auto const& entry)
        {
            return entry.second.lapses && *entry.second.lapses <= now;
        });
    for (auto& record : take_believed(book, now))
    {
        put(book, std::move(record));
    }
}

void note_report(
    endpoint_table& book,
    std::string const& address,
    load_report const& report,
    base::time_point now)
{
    for (auto& [id, state] : book.endpoints)
    {
        if (ip_of(state.listed.address) == address)
        {
            take_report(state, report, now);
        }
    }
}

void note_relayed_report(
    endpoint_table& book,
    std::string const& address,
    load_report const& report,
    base::time_point as_of)
{
    for (auto& [id, state] : book.endpoints)
    {
        if (ip_of(state.listed.address) == address &&
            (!state.report || as_of > state.reported + same_report))
        {
            take_report(state, report, as_of);
            state.own_change = begun_since(state, as_of);
        }
    }
}

bool announce_version(
    endpoint_table& book, std::string const& model, named_version const& named)
{
    auto& known = book.versions[model];
    if (!known.empty() && known.back().version >= named.version)
    {
        return false;
    }
    known.push_back(named);
    return true;
}

void note_suspended(endpoint_table& book, std::chrono::milliseconds time)
{
    for (auto& [model, known] : book.versions)
    {
        for (auto& named : known)
        {
            named.learned -= time;
            named.older_until -= time;
        }
    }
}

std::optional<base::time_point> version_retires_at(
    endpoint_table const& book, std::string const& model, std::uint64_t version)
{
    return earliest_of_newer(book, model, version, &named_version::older_until);
}

std::optional<base::time_point> superseded_at(
    endpoint_table const& book, std::string const& model, std::uint64_t version)
{
    return earliest_of_newer(book, model, version, &named_version::learned);
}

void note_request_begun(endpoint_table& book, std::string const& id, base::time_point now)
{
    auto const found = book.endpoints.find(id);
    if (found == book.endpoints.end())
    {
        return;
    }
    auto& state = found->second;
    if (state.own_running == 0)
    {
        state.last_heard = now;
    }
    ++state.own_running;
    ++state.own_change;
    state.recent.push_back(now);
    while (state.recent.front() + recent_time < now)
    {
        state.recent.pop_front();
    }
}

void note_request_ended(
    endpoint_table& book,
    std::string const& id,
    request_outcome how,
    base::time_point now)
{
    auto const found = book.endpoints.find(id);
    if (found == book.endpoints.end())
    {
        return;
    }
    auto& state = found->second;
    state.own_running -= std::min<std::uint32_t>(1, state.own_running);
    --state.own_change;
    if (how == request_outcome::answered || how == request_outcome::faulty)
    {
        note_answer(state, how == request_outcome::faulty, now);
    }
    if (how == request_outcome::answered)
    {
        state.connect_faults = 0;
    }
    if (how == request_outcome::declined)
    {
        state.avoid_until = now + full_avoidance;
    }
    if (how == request_outcome::misdirected)
    {
        state.avoid_until = now + misdirected_avoidance;
    }
    if (how == request_outcome::not_connected)
    {
        auto const doublings = std::min<std::uint32_t>(state.connect_faults, 3);
        state.avoid_until =
            now + std::min<std::chrono::milliseconds>(
                      first_avoidance * (1 << doublings), longest_avoidance);
        ++state.connect_faults;
    }
}

void note_lost_answer(
    endpoint_table& book,
    std::string const& id,
    std::uint64_t request,
    base::time_point now)
{
    auto const found = book.endpoints.find(id);
    if (found == book.endpoints.end())
    {
        return;
    }
    auto& cuts = found->second.cuts;
    std::erase_if(
        cuts,
        [now](auto const& cut)
        {
            return cut.second + cut_memory < now;
        });
    cuts.emplace_back(request, now);
}

std::vector<std::uint64_t>
take_lost_answers(endpoint_table& book, std::string const& id, base::time_point now)
{
    std::vector<std::uint64_t> requests;
    auto const found = book.endpoints.find(id);
    if (found == book.endpoints.end())
    {
        return requests;
    }
    for (auto const& [request, at] : found->second.cuts)
    {
        if (at + cut_memory >= now)
        {
            requests.push_back(request);
        }
    }
    found->second.cuts.clear();
    return requests;
}

void note_heard(
    endpoint_table& book, std::string const& id, base::time_point now)
{
    auto const found = book.endpoints.find(id);
    if (found != book.endpoints.end())
    {
        found->second.last_heard = now;
        found->second.last_sent = now;
    }
}

bool is_stalled(endpoint_state const& state, base::time_point now)
{
    return state.own_running > 0 && now - state.last_heard > stall_time;
}

bool is_fresh(endpoint_state const& state, base::time_point now)
{
    return state.report && now - state.reported <= report_timeout;
}

bool is_silent(endpoint_state const& state, base::time_point now)
{
    return state.report && !is_fresh(state, now) &&
           now - state.last_sent > report_timeout;
}

served_weights const&
weights_of(endpoint_state const& state, base::time_point now)
{
    return is_fresh(state, now) && !state.report->unreachable
               ? state.report->weights
               : state.listed.weights;
}

} // namespace foxtailvale::direct
