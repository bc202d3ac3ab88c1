#include <weights/source_table.hpp>

#include <algorithm>

namespace foxtailvale::weights
{

namespace
{

using std::chrono::milliseconds;

// Three missed reports of a waiting source, which sends two a second, plus the
// time for a process that is stalled for a second.
constexpr milliseconds unresponsive_limit{3000};

// Two missed reports. Applies to a source that has not responded while other
// sources are known to be gone.
constexpr milliseconds alerted_unresponsive_limit{1100};
constexpr milliseconds alert_time{10'000};

// A connection takes a few round trips; a connection to a VM that is gone never
// completes.
constexpr milliseconds connect_limit{1000};

constexpr milliseconds first_avoidance{2000};
constexpr milliseconds first_brief_avoidance{200};
constexpr milliseconds max_brief_avoidance{1500};
// Few agents fetch from the origin, so frequent retries do no harm, and the
// whole fleet waits for the first agent that reaches the origin again.
constexpr milliseconds max_origin_avoidance{400};
constexpr std::uint32_t max_doublings = 4;
constexpr milliseconds corruption_avoidance{300'000};

// A chunk may take four times as long as the measured rate suggests, because
// other traffic may take three quarters of the link for a while.
constexpr double delivery_slack = 4;
constexpr milliseconds min_delivery_timeout{1500};
constexpr milliseconds max_delivery_timeout{30'000};
// Rate assumed before the first chunk: a tenth of the narrowest link, 20
// Mbit/s.
constexpr double default_bytes_per_second = 250'000;
constexpr double smoothing_factor = 0.3;

source_record const* find(source_table const& table, std::string const& agent)
{
    auto const found = table.sources.find(agent);
    return found == table.sources.end() ? nullptr : &found->second;
}

} // namespace

bool has_room(source_table const& table, std::string const& agent)
{
    auto const* const record = find(table, agent);
    return record == nullptr || record->outstanding < max_outstanding;
}

bool is_usable(
    source_table const& table, std::string const& agent, base::time_point now)
{
    auto const* const record = find(table, agent);
    return record == nullptr || record->avoid_until <= now;
}

void note_requested(
    source_table& table, std::string const& agent, base::time_point now)
{
    auto& record = table.sources[agent];
    if (record.outstanding++ == 0)
    {
        record.last_heard = now;
        record.answers = false;
    }
}

void note_heard(
    source_table& table, std::string const& agent, base::time_point now)
{
    auto const found = table.sources.find(agent);
    if (found != table.sources.end())
    {
        found->second.last_heard = now;
        found->second.answers = true;
        found->second.unreachable = false;
    }
}

void note_dropped(source_table& table, std::string const& agent)
{
    auto& record = table.sources[agent];
    record.outstanding -= record.outstanding > 0 ? 1 : 0;
}

void note_delivered(
    source_table& table,
    std::string const& agent,
    std::uint32_t bytes,
    std::chrono::nanoseconds took)
{
    auto& record = table.sources[agent];
    record.failures = 0;
    auto const seconds =
        std::max(std::chrono::duration<double>(took).count(), 0.001);
    auto const rate = bytes / seconds;
    record.bytes_per_second =
        record.bytes_per_second == 0
            ? rate
            : smoothing_factor * rate +
                  (1 - smoothing_factor) * record.bytes_per_second;
}

bool note_unreachable(
    source_table& table, std::string const& agent, base::time_point now)
{
    auto& record = table.sources[agent];
    if (!record.unreachable)
    {
        record.unreachable = true;
        record.unreachable_since = now;
    }
    return now - record.unreachable_since > connect_limit;
}

void avoid_after_failure(
    source_table& table, std::string const& agent, base::time_point now)
{
    auto& record = table.sources[agent];
    auto const doublings = std::min(record.failures, max_doublings);
    ++record.failures;
    record.avoid_until = now + first_avoidance * (1U << doublings);
    record.unreachable = false;
}

void avoid_briefly(
    source_table& table, std::string const& agent, base::time_point now)
{
    auto& record = table.sources[agent];
    if (record.avoid_until > now)
    {
        return;
    }
    auto const doublings = std::min(record.failures, max_doublings);
    ++record.failures;
    auto const max_avoidance =
        agent.empty() ? max_origin_avoidance : max_brief_avoidance;
    record.avoid_until =
        now + std::min<milliseconds>(
                  first_brief_avoidance * (1U << doublings), max_avoidance);
}

std::uint32_t failures_of(source_table const& table, std::string const& agent)
{
    auto const* const record = find(table, agent);
    return record == nullptr ? 0 : record->failures;
}

void blame(source_table& table, std::string const& agent, base::time_point now)
{
    auto& record = table.sources[agent];
    ++record.failures;
    record.avoid_until = now + corruption_avoidance;
}

void note_unresponsive(
    source_table& table, std::string const& agent, base::time_point now)
{
    table.last_unresponsive = now;
    avoid_after_failure(table, agent, now);
}

bool is_silent(
    source_table const& table, std::string const& agent, base::time_point now)
{
    auto const* const record = find(table, agent);
    if (record == nullptr || record->outstanding == 0)
    {
        return false;
    }
    auto const is_alerted =
        table.last_unresponsive && now - *table.last_unresponsive < alert_time;
    auto const limit = is_alerted && !record->answers
                           ? alerted_unresponsive_limit
                           : unresponsive_limit;
    return now - record->last_heard > limit;
}

milliseconds delivery_timeout(
    source_table const& table, std::string const& agent, std::uint32_t bytes)
{
    auto const* const record = find(table, agent);
    auto const known = record != nullptr && record->bytes_per_second > 0;
    auto const rate =
        known ? record->bytes_per_second : default_bytes_per_second;
    auto const outstanding =
        record == nullptr ? 1U : std::max(record->outstanding, 1U);
    std::chrono::duration<double> const expected(
        static_cast<double>(bytes) * outstanding / rate);
    auto const limit =
        std::chrono::duration_cast<milliseconds>(delivery_slack * expected);
    return std::clamp(limit, min_delivery_timeout, max_delivery_timeout);
}

} // namespace foxtailvale::weights
