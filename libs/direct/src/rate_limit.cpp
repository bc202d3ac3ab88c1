#include <direct/rate_limit.hpp>

#include <algorithm>

namespace foxtailvale::direct
{

namespace
{

using seconds = std::chrono::duration<double>;

// What an endpoint may get in any four seconds: one and a half times its limit,
// and five requests, one of which is left to an entry that does not know all
// others.
constexpr double tolerance = 5 - 1;
constexpr double window_s = 4;
constexpr double excess_share = 0.5;

// Entries divide a limit of zero as they divide this one.
constexpr double least_limit = 0.01;

// Part of a limit that the entries use.
constexpr double used_fraction = 0.8;

// An endpoint with a limit near zero is asked at least this often, as only its
// answers tell that the limit has ended.
constexpr std::chrono::seconds max_interval{30};

base::duration
send_interval(double per_second, std::size_t entries, rate_bound const& bound)
{
    auto const rate = used_fraction * per_second /
                      static_cast<double>(entries_per_endpoint(entries, bound));
    if (rate * seconds(max_interval).count() <= 1)
    {
        return max_interval;
    }
    return std::chrono::duration_cast<base::duration>(seconds(1 / rate));
}

// Parts of the time between two requests, in one of which each entry begins.
constexpr std::int64_t turns = 1024;

void end(rate_limit& state, base::time_point at, bool first_hand)
{
    state.per_second.reset();
    state.ended_at = at;
    state.first_hand = first_hand;
}

} // namespace

bool note_named(
    rate_limit& state, double per_second, base::time_point at, bool first_hand)
{
    if (at <= state.ended_at || at <= state.named_at)
    {
        return false;
    }
    auto const changed = state.per_second != per_second;
    state.since = state.per_second ? state.since : at;
    state.per_second = per_second;
    state.named_at = at;
    state.first_hand = first_hand;
    return changed;
}

bool note_not_named(
    rate_limit& state, base::time_point sent, base::time_point now)
{
    if (!state.per_second || sent <= state.named_at)
    {
        return false;
    }
    end(state, now, true);
    return true;
}

bool note_ended(rate_limit& state, base::time_point at)
{
    if (!state.per_second || at <= state.named_at)
    {
        return false;
    }
    end(state, at, false);
    return true;
}

rate_bound shared_bound(double per_second)
{
    return {
        .per_second =
            excess_share * window_s * std::max(per_second, least_limit),
        .tolerance = tolerance};
}

base::time_point next_send(rate_limit const& state, limit_part const& part)
{
    if (!state.per_second)
    {
        return {};
    }
    if (part.has_share)
    {
        auto const interval = send_interval(
            *state.per_second, part.entries, shared_bound(*state.per_second));
        auto const turn = static_cast<std::int64_t>(part.ticket % turns);
        return std::max(
            state.last_sent + interval, state.since + interval * turn / turns);
    }
    auto const place = static_cast<std::int64_t>(
        part.ticket % std::max<std::size_t>(part.entries, 1));
    return std::max(state.named_at, state.last_sent) +
           max_interval * (1 + place);
}

} // namespace foxtailvale::direct
