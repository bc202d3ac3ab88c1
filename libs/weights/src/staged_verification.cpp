#include <weights/staged_verification.hpp>

#include <algorithm>

namespace foxtailvale::weights
{

namespace
{

using std::chrono::milliseconds;

// Time in which all chunks should be read once: half of what their reads count
// for, so that one that is read again is still in time.
constexpr milliseconds round_time = max_read_age / 2;

// The engine also serves requests over its connections.
constexpr std::size_t reads_limit = 4;

constexpr std::size_t rounds_at_slow_engine = 2;

bool is_outdated(base::boot_time read, base::boot_time now)
{
    return now - read > max_read_age;
}

base::boot_time newest_read(staged_verification const& state)
{
    base::boot_time newest;
    for (auto const& read : state.intact_at)
    {
        newest = std::max(newest, read.value_or(newest));
    }
    return newest;
}

} // namespace

staged_verification make_verification(std::size_t chunks)
{
    staged_verification made;
    made.intact_at.resize(chunks);
    return made;
}

std::size_t max_reads_at_once(staged_verification const& state)
{
    if (state.one_at_a_time || !state.shortest_read)
    {
        return 1;
    }
    auto const in_succession =
        *state.shortest_read *
        static_cast<milliseconds::rep>(state.intact_at.size());
    auto const needed =
        static_cast<std::size_t>(in_succession / round_time) + 1;
    return std::min(needed, reads_limit);
}

std::optional<std::uint32_t>
next_to_read(staged_verification const& state, base::boot_time now)
{
    if (state.reading.size() >= max_reads_at_once(state))
    {
        return std::nullopt;
    }
    std::optional<std::uint32_t> next;
    for (std::uint32_t chunk = 0; chunk < state.intact_at.size(); ++chunk)
    {
        if (state.reading.contains(chunk))
        {
            continue;
        }
        auto const& read = state.intact_at[chunk];
        if (!read)
        {
            return chunk;
        }
        if (is_outdated(*read, now) &&
            (!next || *read < *state.intact_at[*next]))
        {
            next = chunk;
        }
    }
    return next;
}

void begin_read(staged_verification& state, std::uint32_t chunk)
{
    state.reading.insert(chunk);
}

void note_read(
    staged_verification& state,
    std::uint32_t chunk,
    read_end end,
    base::boot_time requested_at,
    base::boot_time now)
{
    state.reading.erase(chunk);
    auto const took = now - requested_at;
    if (end == read_end::corrupt)
    {
        state.intact_at[chunk].reset();
        return;
    }
    if (end == read_end::unanswered)
    {
        state.one_at_a_time = true;
    }
    if (end == read_end::unanswered || took > staged_read_timeout)
    {
        state.uninterrupted = 0;
        return;
    }
    state.intact_at[chunk] = requested_at;
    ++state.uninterrupted;
    state.shortest_read = std::min(state.shortest_read.value_or(took), took);
}

std::optional<base::boot_time> oldest_read(staged_verification const& state)
{
    auto const oldest = std::ranges::min_element(state.intact_at);
    return oldest == state.intact_at.end() ? std::nullopt : *oldest;
}

bool may_order(staged_verification const& state, base::boot_time now)
{
    auto const oldest = oldest_read(state);
    if (!oldest)
    {
        return false;
    }
    auto const is_uninterrupted =
        state.uninterrupted >= rounds_at_slow_engine * state.intact_at.size() &&
        now - newest_read(state) <= staged_read_timeout;
    return !is_outdated(*oldest, now) || is_uninterrupted;
}

} // namespace foxtailvale::weights
