#include <base/digest.hpp>
#include <request/suspects.hpp>

#include <algorithm>

// When a suspect part of a prompt is tried again, and by which entry.
namespace foxtailvale::request
{

namespace
{

// A part that crashed fewer endpoints is probed soon.
constexpr std::size_t many_crashes = 5;
constexpr std::chrono::seconds short_quarantine{10};

// Each entry's turn to probe.
constexpr std::chrono::seconds probe_turn{1};

// A probe without an outcome, as its caller left or no endpoint had room, is
// followed by another one after this time.
constexpr std::chrono::seconds probe_pause{10};

// Each probe that crashes an endpoint doubles the time until the next.
constexpr std::size_t max_doublings = 2;

std::size_t failed_probes(crash_record const& record)
{
    std::size_t count = 0;
    for (std::size_t next = 1; next < record.crashes.size(); ++next)
    {
        auto const gap = record.crashes[next].seen.ended -
                         record.crashes[next - 1].seen.ended;
        count += gap >= suspect_duration ? 1U : 0U;
    }
    return count;
}

base::time_point quarantine_end(crash_record const& record)
{
    auto const last = record.crashes.back().seen.ended;
    if (!record.part_position)
    {
        return last + suspect_duration;
    }
    if (record.crashes.size() < many_crashes)
    {
        return last + short_quarantine;
    }
    auto const doublings = std::min(failed_probes(record), max_doublings);
    return last + suspect_duration * (1 << doublings);
}

// The records by which the request is suspect.
std::vector<std::pair<fingerprint, crash_record const*>>
suspect_records(suspect_list const& state, request_prints const& prints)
{
    std::vector<std::pair<fingerprint, crash_record const*>> found;
    auto all = prints.parts;
    all.push_back(prints.whole);
    for (auto const print : all)
    {
        if (is_suspect(state, print))
        {
            found.emplace_back(print, &state.records.at(print));
        }
    }
    return found;
}

bool is_turn_of(
    std::string const& own,
    std::set<std::string> const& entries,
    std::uint64_t seed)
{
    auto const rank = [seed](std::string const& entry)
    {
        return base::stable_hash(entry, seed);
    };
    return std::ranges::none_of(
        entries,
        [&](std::string const& other)
        {
            return other != own && rank(other) > rank(own);
        });
}

} // namespace

base::duration quarantine_left(
    suspect_list const& state,
    request_prints const& prints,
    base::time_point now)
{
    base::duration longest{0};
    for (auto const& [print, record] : suspect_records(state, prints))
    {
        longest = std::max(longest, quarantine_end(*record) - now);
    }
    return longest;
}

bool may_probe(
    suspect_list const& state,
    request_prints const& prints,
    std::string const& own,
    std::set<std::string> const& entries,
    base::time_point now)
{
    return std::ranges::all_of(
        suspect_records(state, prints),
        [&](auto const& suspect)
        {
            auto const& [print, record] = suspect;
            auto const end = quarantine_end(*record);
            if (!record->part_position || now < end ||
                (record->probed && now < *record->probed + probe_pause))
            {
                return false;
            }
            auto const turn =
                static_cast<std::uint64_t>((now - end) / probe_turn);
            return is_turn_of(own, entries, print + turn);
        });
}

void note_probe(
    suspect_list& state, request_prints const& prints, base::time_point now)
{
    for (auto const part : prints.parts)
    {
        if (is_suspect(state, part))
        {
            state.records.at(part).probed = now;
        }
    }
}

} // namespace foxtailvale::request
