#include "crash_judgement.hpp"
#include "endpoint_ends.hpp"

#include <algorithm>
#include <utility>

namespace foxtailvale::request
{

namespace
{

using recorded_crash = crash_record::recorded_crash;

// Crashes kept for a record; the oldest are dropped first.
constexpr std::size_t max_crashes_per_record = 64;

constexpr std::size_t max_answered = 8192;

constexpr std::size_t max_kept_prompts = 512;

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
            return std::pair(
                entry.second.suspect, entry.second.crashes.back().seen.ended);
        });
    state.suspects.erase(first->first);
    state.records.erase(first);
}

template <typename Entry>
void push(std::deque<Entry>& kept, Entry added)
{
    kept.push_back(std::move(added));
    if (kept.size() > max_kept_prompts)
    {
        kept.pop_front();
    }
}

// Forgets the older half.
void enforce_answered_limit(suspect_list& state)
{
    if (state.answered.size() <= max_answered)
    {
        return;
    }
    std::vector<base::time_point> times;
    for (auto const& [print, at] : state.answered)
    {
        times.push_back(at);
    }
    auto const middle =
        times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
    std::ranges::nth_element(times, middle);
    std::erase_if(
        state.answered,
        [oldest = *middle](auto const& entry)
        {
            return entry.second <= oldest;
        });
}

base::duration lifetime(crash_record const& record)
{
    return record.suspect && record.part_position
               ? base::duration(suspect_part_duration)
               : base::duration(suspect_duration);
}

// Returns false if the crash is on record already.
bool add_crash(
    suspect_list& state,
    fingerprint print,
    std::optional<std::uint32_t> part_position,
    recorded_crash const& added,
    base::time_point now)
{
    auto const& seen = added.seen;
    auto const [found, is_new] = state.records.try_emplace(print);
    auto& record = found->second;
    if (is_new)
    {
        record.part_position = part_position;
        record.answered_before =
            part_position && state.answered.contains(print);
    }
    std::erase_if(
        record.crashes,
        [now, kept = lifetime(record)](recorded_crash const& entry)
        {
            return entry.seen.ended + kept <= now;
        });
    auto const same =
        std::ranges::find(record.crashes, added.end, &recorded_crash::end);
    if (same != record.crashes.end())
    {
        // Several attempts were lost together; the one sent last tells most.
        same->seen.sent = std::max(same->seen.sent, seen.sent);
        return false;
    }
    auto const next = std::ranges::upper_bound(
        record.crashes, seen.ended, {},
        [](recorded_crash const& entry)
        {
            return entry.seen.ended;
        });
    record.crashes.insert(next, added);
    if (record.crashes.size() > max_crashes_per_record)
    {
        record.crashes.erase(record.crashes.begin());
    }
    enforce_record_limit(state);
    return true;
}

// Renews the suspects if one of these may be one.
void judge_if_needed(
    suspect_list& state, std::vector<fingerprint> const& changed)
{
    auto const is_needed = std::ranges::any_of(
        changed,
        [&state](fingerprint print)
        {
            auto const found = state.records.find(print);
            return found != state.records.end() &&
                   may_be_suspect(found->second);
        });
    if (is_needed)
    {
        judge(state);
    }
}

// Removes the record's crashes up to this time, and with the last one the
// record.
void clear(suspect_list& state, fingerprint print, base::time_point until)
{
    auto const found = state.records.find(print);
    if (found == state.records.end())
    {
        return;
    }
    auto& record = found->second;
    std::erase_if(
        record.crashes,
        [until](recorded_crash const& entry)
        {
            return entry.seen.ended <= until;
        });
    record.answered_before = record.part_position.has_value();
    if (record.crashes.empty())
    {
        state.records.erase(found);
    }
    if (state.suspects.contains(print))
    {
        judge(state);
    }
}

} // namespace

request_prints note_crash(
    suspect_list& state,
    request_prints const& prints,
    crash const& seen,
    base::time_point now)
{
    auto accused = prints;
    for (auto& part : accused.parts)
    {
        part = answered_since(state, part, seen.ended) ? 0 : part;
    }
    if (!prints.parts.empty())
    {
        push(state.lost_prompts, {seen.ended, note_end(state, seen)});
    }
    note_told_crash(state, accused, seen, now);
    return accused;
}

void note_told_crash(
    suspect_list& state,
    request_prints const& accused,
    crash const& seen,
    base::time_point now)
{
    recorded_crash const added{note_end(state, seen), seen};
    std::vector<fingerprint> changed{accused.whole};
    add_crash(state, accused.whole, std::nullopt, added, now);
    for (std::uint32_t position = 0; position < accused.parts.size();
         ++position)
    {
        auto const part = accused.parts[position];
        if (part != 0)
        {
            add_crash(state, part, position, added, now);
            changed.push_back(part);
        }
    }
    judge_if_needed(state, changed);
}

bool note_crash(
    suspect_list& state,
    fingerprint request,
    std::string const& endpoint,
    base::time_point now)
{
    auto const before = is_suspect(state, request);
    note_crash(state, {request, {}}, {endpoint, now, now}, now);
    return !before && is_suspect(state, request);
}

bool note_relayed_crash(
    suspect_list& state, relayed_crash const& relayed, base::time_point now)
{
    auto const& seen = relayed.seen;
    auto const kept = relayed.suspect && relayed.part_position
                          ? suspect_part_duration
                          : suspect_duration;
    if (seen.ended + kept <= now ||
        answered_since(state, relayed.print, seen.ended))
    {
        return false;
    }
    recorded_crash const added{note_end(state, seen), seen};
    if (!add_crash(state, relayed.print, relayed.part_position, added, now))
    {
        return false;
    }
    // A full list may have given the record up at once.
    auto const found = state.records.find(relayed.print);
    if (relayed.suspect && found != state.records.end())
    {
        found->second.suspect = true;
    }
    judge_if_needed(state, {relayed.print});
    return true;
}

bool note_relayed_crash(
    suspect_list& state,
    fingerprint request,
    std::string const& endpoint,
    base::time_point at,
    base::time_point now)
{
    return note_relayed_crash(
        state, {request, std::nullopt, false, {endpoint, at, at}}, now);
}

void note_answered(
    suspect_list& state, fingerprint request, base::time_point now)
{
    clear(state, request, now);
    auto& answered = state.answered[request];
    answered = std::max(answered, now);
    enforce_answered_limit(state);
}

std::vector<fingerprint> note_answered(
    suspect_list& state, request_prints const& prints, base::time_point at)
{
    std::vector<fingerprint> cleared;
    if (has_crash_record(state, prints.whole))
    {
        cleared.push_back(prints.whole);
        note_answered(state, prints.whole, at);
    }
    for (auto const part : prints.parts)
    {
        if (has_crash_record(state, part))
        {
            cleared.push_back(part);
        }
        note_answered(state, part, at);
    }
    if (!prints.parts.empty())
    {
        push(state.answered_prompts, at);
    }
    return cleared;
}

void note_uncertain_answer(
    suspect_list& state, request_prints const& prints, base::time_point at)
{
    if (!prints.parts.empty())
    {
        push(state.answered_prompts, at);
    }
}

bool is_suspect(suspect_list const& state, request_prints const& prints)
{
    return is_suspect(state, prints.whole) ||
           std::ranges::any_of(
               prints.parts,
               [&state](fingerprint part)
               {
                   return is_suspect(state, part);
               });
}

bool is_suspect(suspect_list const& state, fingerprint print)
{
    return state.suspects.contains(print);
}

std::optional<base::time_point> answered_since(
    suspect_list const& state, fingerprint print, base::time_point at)
{
    auto const found = state.answered.find(print);
    if (found == state.answered.end() || found->second < at)
    {
        return std::nullopt;
    }
    return found->second;
}

std::size_t crash_count(suspect_list const& state, fingerprint print)
{
    auto const found = state.records.find(print);
    return found != state.records.end() ? found->second.crashes.size() : 0;
}

bool has_crash_record(suspect_list const& state, fingerprint request)
{
    return state.records.contains(request);
}

bool has_crash_record(suspect_list const& state, request_prints const& prints)
{
    return has_crash_record(state, prints.whole) ||
           std::ranges::any_of(
               prints.parts,
               [&state](fingerprint part)
               {
                   return has_crash_record(state, part);
               });
}

bool release(suspect_list& state, fingerprint request)
{
    if (!has_crash_record(state, request))
    {
        return false;
    }
    clear(state, request, base::time_point::max());
    return true;
}

void expire(suspect_list& state, base::time_point now)
{
    std::erase_if(
        state.records,
        [&state, now](auto const& entry)
        {
            auto const last = entry.second.crashes.back().seen.ended;
            if (now < last + lifetime(entry.second))
            {
                return false;
            }
            state.suspects.erase(entry.first);
            return true;
        });
    std::erase_if(
        state.answered,
        [now](auto const& entry)
        {
            return now >= entry.second + suspect_duration;
        });
    std::erase_if(
        state.ends,
        [now](endpoint_end const& end)
        {
            return now >= end.at + suspect_duration;
        });
}

std::vector<fingerprint> suspects(suspect_list const& state)
{
    return {state.suspects.begin(), state.suspects.end()};
}

} // namespace foxtailvale::request
