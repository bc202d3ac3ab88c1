#include "crash_judgement.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace foxtailvale::request
{

namespace
{

using recorded_crash = crash_record::recorded_crash;

// By this much a crash may seem to come after the next attempt was sent: times
// that another entry tells are rounded, and their datagrams are delayed.
constexpr std::chrono::milliseconds sequence_slack{50};

// Crashes in sequence of a part that was answered before it first crashed an
// endpoint, and the time from the first to the last.
constexpr std::size_t min_crashes_of_answered_part = 5;
constexpr std::chrono::seconds min_time_of_answered_part{1};

// How likely so many crashes may be for a part that is not their cause: for one
// that is in most ends of endpoints, and for any.
constexpr double max_chance = 0.01;
constexpr double max_chance_of_any = 0.001;

// Answers to other prompts that show that the engines are sound.
constexpr std::size_t min_answers_beside = 5;

// Ends and answers from this long before the first crash on count as well.
constexpr std::chrono::seconds time_before{3};

std::size_t min_crashes(crash_record const& record)
{
    if (!record.part_position)
    {
        return min_crashed_endpoints;
    }
    return record.answered_before && !record.suspect
               ? min_crashes_of_answered_part
               : min_part_crashes;
}

// A whole request is more specific than any part, and a later part than an
// earlier one, which more requests share.
std::uint64_t specificity(crash_record const& record)
{
    return record.part_position ? *record.part_position
                                : std::uint64_t{1} << 32U;
}

// Whether these crashes are at least half of the ends of endpoints from shortly
// before the first to the last of them, without the explained ones.
bool is_in_most_ends(
    suspect_list const& state,
    std::vector<recorded_crash> const& crashes,
    std::set<std::uint64_t> const& explained)
{
    auto const first = crashes.front().seen.ended;
    auto const last = crashes.back().seen.ended;
    auto const others = std::ranges::count_if(
        state.ends,
        [&](endpoint_end const& end)
        {
            return end.at + time_before >= first && end.at <= last &&
                   !explained.contains(end.id);
        });
    return 2 * crashes.size() >= static_cast<std::size_t>(others);
}

// What came of this entry's attempts at prompts at other endpoints than those
// that ended in these crashes, since this time.
struct other_attempts
{
    std::size_t answered = 0;
    std::size_t lost = 0;
};

other_attempts attempts_beside(
    suspect_list const& state,
    std::vector<recorded_crash> const& crashes,
    std::set<std::uint64_t> const& explained)
{
    auto const since = crashes.front().seen.ended;
    other_attempts found;
    for (auto const at : state.answered_prompts)
    {
        found.answered += at + time_before >= since ? 1U : 0U;
    }
    for (auto const& entry : state.lost_prompts)
    {
        auto const is_beside =
            !explained.contains(entry.end) &&
            std::ranges::find(crashes, entry.end, &recorded_crash::end) ==
                crashes.end();
        found.lost += entry.at >= since && is_beside ? 1U : 0U;
    }
    return found;
}

// How likely so many independent crashes are for a part that is not their
// cause, by what is lost anyway.
double chance_of(std::size_t crashes, other_attempts const& others)
{
    // Without any attempt, a quarter are assumed to be lost.
    auto const lost_share =
        (static_cast<double>(others.lost) + 0.5) /
        (static_cast<double>(others.answered + others.lost) + 2);
    return std::pow(lost_share, static_cast<double>(crashes));
}

// Returns how many of the crashes may be taken for independent of each other:
// those at a moment of their own, or in sequence. A part that many requests
// share runs at most endpoints; of such a one only a sequence tells more than
// that endpoints ended.
std::size_t independent_crashes(
    crash_record const& record,
    std::vector<recorded_crash> const& crashes,
    std::set<std::uint64_t> const& joint)
{
    auto const sequence = crashes_in_sequence(crashes);
    if (record.answered_before)
    {
        return sequence;
    }
    auto const single = std::ranges::count_if(
        crashes,
        [&joint](recorded_crash const& entry)
        {
            return !joint.contains(entry.end);
        });
    return std::max(sequence, static_cast<std::size_t>(single));
}

bool is_guilty(
    suspect_list const& state,
    crash_record const& record,
    std::set<std::uint64_t> const& joint,
    std::set<std::uint64_t> const& explained)
{
    auto unexplained = record.crashes;
    std::erase_if(
        unexplained,
        [&explained](recorded_crash const& entry)
        {
            return explained.contains(entry.end);
        });
    auto const count = independent_crashes(record, unexplained, joint);
    if (count < min_crashes(record))
    {
        return false;
    }
    if (record.suspect)
    {
        return true;
    }
    auto const is_common = is_in_most_ends(state, unexplained, explained);
    if (!record.part_position)
    {
        return is_common || count > min_crashed_endpoints;
    }
    auto const others = attempts_beside(state, unexplained, explained);
    auto const chance = chance_of(count, others);
    // One of so many records may have as many crashes by chance.
    auto const is_certain =
        chance * static_cast<double>(state.records.size()) <= max_chance_of_any;
    if (record.answered_before)
    {
        auto const time =
            unexplained.back().seen.ended - unexplained.front().seen.ended;
        return time >= min_time_of_answered_part &&
               others.answered >= min_answers_beside && is_certain;
    }
    return is_certain || (is_common && chance <= max_chance);
}

} // namespace

std::size_t crashes_in_sequence(std::vector<recorded_crash> const& crashes)
{
    std::size_t count = 0;
    auto last = base::time_point::min();
    for (auto const& entry : crashes)
    {
        auto const& [endpoint, sent, ended] = entry.seen;
        auto const is_later =
            sent + sequence_slack >= last && ended >= last + sequence_slack;
        if (count == 0 || sent >= last || is_later)
        {
            ++count;
            last = entry.seen.ended;
        }
    }
    return count;
}

bool may_be_suspect(crash_record const& record)
{
    return record.crashes.size() >= min_crashes(record);
}

void judge(suspect_list& state)
{
    struct candidate
    {
        fingerprint print = 0;
        crash_record* record = nullptr;
    };
    std::vector<candidate> candidates;
    for (auto& [print, record] : state.records)
    {
        if (may_be_suspect(record))
        {
            candidates.push_back({print, &record});
        }
    }
    std::ranges::sort(
        candidates, {},
        [](candidate const& one)
        {
            // Most likely first.
            return std::tuple(
                -static_cast<std::int64_t>(one.record->crashes.size()),
                one.record->answered_before,
                -static_cast<std::int64_t>(specificity(*one.record)));
        });
    std::set<std::uint64_t> explained;
    std::set<std::uint64_t> joint;
    for (auto const& end : state.ends)
    {
        if (end.is_joint)
        {
            joint.insert(end.id);
        }
    }
    state.suspects.clear();
    for (auto const& one : candidates)
    {
        auto without = explained;
        // Parts are shared, so that several endpoints that end together run
        // most of them.
        if (one.record->part_position)
        {
            without.insert(joint.begin(), joint.end());
        }
        one.record->suspect = is_guilty(state, *one.record, joint, without);
        if (!one.record->suspect)
        {
            continue;
        }
        state.suspects.insert(one.print);
        for (auto const& entry : one.record->crashes)
        {
            explained.insert(entry.end);
        }
    }
}

} // namespace foxtailvale::request
