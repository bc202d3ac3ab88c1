#include <weights/source_table.hpp>

#include <algorithm>

namespace foxtailvale::weights
{

namespace
{

using std::chrono::milliseconds;

// Three missed notes of a source that sends two a second, with room for a
// process that is held up for a second.
constexpr milliseconds silence_limit{3000};

// Two missed notes, for a source that has not answered, while others are known
// to be gone.
constexpr milliseconds alarmed_silence_limit{1100};
constexpr milliseconds alarm_time{10'000};

// A connection takes a few round trips; a VM that is gone takes for ever.
constexpr milliseconds connect_limit{1000};

constexpr milliseconds first_avoidance{2000};
constexpr milliseconds first_hold_off{200};
constexpr milliseconds longest_hold_off{1500};
// Few agents draw from the origin, so asking it often harms nobody, and the
// whole fleet waits for the first of them who finds it back.
constexpr milliseconds longest_origin_hold_off{400};
constexpr std::uint32_t most_doublings = 4;
constexpr milliseconds blame_time{300'000};

// A chunk may take four times what the measured rate says: traffic that
// shares the link may take three quarters of it for a while.
constexpr double delivery_slack = 4;
constexpr milliseconds shortest_delivery{1500};
constexpr milliseconds longest_delivery{30'000};
// Assumed before the first chunk: 20 Mbit/s, the narrowest link, by ten.
constexpr double first_bytes_per_second = 250'000;
constexpr double smoothing = 0.3;

source_record const* find(source_table const& book, std::string const& agent)
{
    auto const found = book.sources.find(agent);
    return found == book.sources.end() ? nullptr : &found->second;
}

} // namespace

bool has_room(source_table const& book, std::string const& agent)
{
    auto const* const record = find(book, agent);
    return record == nullptr || record->outstanding < most_outstanding;
}

bool is_usable(
    source_table const& book, std::string const& agent, base::time_point now)
{
    auto const* const record = find(book, agent);
    return record == nullptr || record->avoid_until <= now;
}

void note_requested(
    source_table& book, std::string const& agent, base::time_point now)
{
    auto& record = book.sources[agent];
    if (record.outstanding++ == 0)
    {
        record.last_heard = now;
        record.answers = false;
    }
}

void note_heard(
    source_table& book, std::string const& agent, base::time_point now)
{
    auto const found = book.sources.find(agent);
    if (found != book.sources.end())
    {
        found->second.last_heard = now;
        found->second.answers = true;
        found->second.unreachable = false;
    }
}

void note_dropped(source_table& book, std::string const& agent)
{
    auto& record = book.sources[agent];
    record.outstanding -= record.outstanding > 0 ? 1 : 0;
}

void note_delivered(
    source_table& book,
    std::string const& agent,
    std::uint32_t bytes,
    std::chrono::nanoseconds took)
{
    auto& record = book.sources[agent];
    record.strikes = 0;
    auto const seconds =
        std::max(std::chrono::duration<double>(took).count(), 0.001);
    auto const rate = bytes / seconds;
    record.bytes_per_second =
        record.bytes_per_second == 0
            ? rate
            : smoothing * rate + (1 - smoothing) * record.bytes_per_second;
}

bool note_unreachable(
    source_table& book, std::string const& agent, base::time_point now)
{
    auto& record = book.sources[agent];
    if (!record.unreachable)
    {
        record.unreachable = true;
        record.unreachable_since = now;
    }
    return now - record.unreachable_since > connect_limit;
}

void avoid_after_failure(
    source_table& book, std::string const& agent, base::time_point now)
{
    auto& record = book.sources[agent];
    auto const doublings = std::min(record.strikes, most_doublings);
    ++record.strikes;
    record.avoid_until = now + first_avoidance * (1U << doublings);
    record.unreachable = false;
}

void avoid_briefly(
    source_table& book, std::string const& agent, base::time_point now)
{
    auto& record = book.sources[agent];
    if (record.avoid_until > now)
    {
        return;
    }
    auto const doublings = std::min(record.strikes, most_doublings);
    ++record.strikes;
    auto const longest =
        agent.empty() ? longest_origin_hold_off : longest_hold_off;
    record.avoid_until = now + std::min<milliseconds>(
                                   first_hold_off * (1U << doublings), longest);
}

std::uint32_t failures_of(source_table const& book, std::string const& agent)
{
    auto const* const record = find(book, agent);
    return record == nullptr ? 0 : record->strikes;
}

void blame(source_table& book, std::string const& agent, base::time_point now)
{
    auto& record = book.sources[agent];
    ++record.strikes;
    record.avoid_until = now + blame_time;
}

void note_unresponsive(
    source_table& book, std::string const& agent, base::time_point now)
{
    book.last_silence = now;
    avoid_after_failure(book, agent, now);
}

bool is_silent(
    source_table const& book, std::string const& agent, base::time_point now)
{
    auto const* const record = find(book, agent);
    if (record == nullptr || record->outstanding == 0)
    {
        return false;
    }
    auto const is_alarmed =
        book.last_silence && now - *book.last_silence < alarm_time;
    auto const limit =
        is_alarmed && !record->answers ? alarmed_silence_limit : silence_limit;
    return now - record->last_heard > limit;
}

milliseconds delivery_timeout(
    source_table const& book, std::string const& agent, std::uint32_t bytes)
{
    auto const* const record = find(book, agent);
    auto const known = record != nullptr && record->bytes_per_second > 0;
    auto const rate = known ? record->bytes_per_second : first_bytes_per_second;
    auto const outstanding =
        record == nullptr ? 1U : std::max(record->outstanding, 1U);
    std::chrono::duration<double> const expected(
        static_cast<double>(bytes) * outstanding / rate);
    auto const limit =
        std::chrono::duration_cast<milliseconds>(delivery_slack * expected);
    return std::clamp(limit, shortest_delivery, longest_delivery);
}

} // namespace foxtailvale::weights
