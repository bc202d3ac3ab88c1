#include <net/server_capacity.hpp>

#include <sys/resource.h>

#include <algorithm>
#include <cstdint>

namespace foxtailvale::net
{

namespace
{

// Descriptors that the platform reserves for files.
constexpr std::size_t file_descriptors = 200;
// Files, timers and the like that a process of the system opens at most.
constexpr std::size_t own_files = 50;

// Shares of the memory: a quarter for requests, a sixth for answers, an eighth
// for the connections themselves.
constexpr std::size_t request_divisor = 4;
constexpr std::size_t unsent_divisor = 6;
constexpr std::size_t connection_divisor = 8;
// A session with an empty parser.
constexpr std::size_t bytes_per_connection = 4UL * 1024;

// Of the sockets, in sixteenths. A request takes a caller's connection and one
// to an endpoint; the rest is for peers, the store and probes.
constexpr std::size_t caller_sixteenths = 6;
constexpr std::size_t peer_sixteenths = 3;
// Peers read at their own pace many copies of the same bytes.
constexpr std::size_t peer_unsent_divisor = 2;

constexpr std::size_t question_connections = 16;
constexpr std::size_t question_bytes = 1024UL * 1024;

constexpr std::size_t least_connections = 8;

template <class Weight>
std::optional<std::size_t>
heaviest(std::span<session_load const> sessions, Weight weight)
{
    std::optional<std::size_t> found;
    std::uint64_t most = 0;
    for (std::size_t index = 0; index < sessions.size(); ++index)
    {
        auto const weighed = weight(sessions[index]);
        if (weighed > most)
        {
            most = weighed;
            found = index;
        }
    }
    return found;
}

// At least a millisecond, so that it can be multiplied.
std::uint64_t milliseconds_of(std::chrono::milliseconds time)
{
    return static_cast<std::uint64_t>(
        std::max(time, std::chrono::milliseconds(1)).count());
}

bool exceeds_large(total_load const& all, server_capacity const& capacity)
{
    return all.large_request_bytes >
           capacity.request_bytes / 100 * large_requests_percent;
}

// How early a connection goes, before the time it has been quiet; zero for one
// that stays.
std::uint64_t rank_of(session_load const& session)
{
    switch (session.state)
    {
    case session_state::lingering:
        return session.unsent_bytes == 0 ? 4 : 0;
    case session_state::idle:
        return session.has_answered ? 2 : 3;
    case session_state::reading:
        return 1;
    case session_state::busy:
    case session_state::writing:
    case session_state::closed:
        break;
    }
    return 0;
}

} // namespace

process_limits
limits_of_process(std::size_t memory_bytes, std::size_t descriptors)
{
    process_limits limits;
    limits.memory_bytes = memory_bytes;
    limits.sockets = std::max(descriptors, file_descriptors) - file_descriptors;
    rlimit of_system{};
    if (::getrlimit(RLIMIT_NOFILE, &of_system) == 0 &&
        of_system.rlim_cur != RLIM_INFINITY)
    {
        auto const allowed = static_cast<std::size_t>(of_system.rlim_cur);
        limits.sockets =
            std::min(limits.sockets, std::max(allowed, own_files) - own_files);
    }
    return limits;
}

server_capacity caller_capacity(process_limits const& process)
{
    server_capacity capacity;
    capacity.connections = std::max(
        least_connections,
        std::min(
            process.sockets * caller_sixteenths / 16,
            process.memory_bytes / connection_divisor / bytes_per_connection));
    capacity.request_bytes = process.memory_bytes / request_divisor;
    capacity.unsent_bytes = process.memory_bytes / unsent_divisor;
    return capacity;
}

server_capacity peer_capacity(process_limits const& process)
{
    auto capacity = caller_capacity(process);
    capacity.connections =
        std::max(least_connections, process.sockets * peer_sixteenths / 16);
    capacity.unsent_bytes = process.memory_bytes / peer_unsent_divisor;
    return capacity;
}

server_capacity question_capacity()
{
    return {question_connections, question_bytes, question_bytes};
}

bool exceeds_requests(total_load const& all, server_capacity const& capacity)
{
    return all.request_bytes > capacity.request_bytes ||
           exceeds_large(all, capacity);
}

std::optional<std::size_t> choose_request_to_refuse(
    std::span<session_load const> sessions,
    total_load const& all,
    server_capacity const& capacity)
{
    auto const only_large = all.request_bytes <= capacity.request_bytes;
    return heaviest(
        sessions,
        [only_large](session_load const& session) -> std::uint64_t
        {
            if (session.state != session_state::reading ||
                (only_large && session.request_bytes < large_request_bytes))
            {
                return 0;
            }
            return session.request_bytes * milliseconds_of(session.request_age);
        });
}

std::optional<std::size_t>
choose_reader_to_close(std::span<session_load const> sessions)
{
    return heaviest(
        sessions,
        [](session_load const& session) -> std::uint64_t
        {
            if (session.state == session_state::closed)
            {
                return 0;
            }
            return session.unsent_bytes * milliseconds_of(session.unsent_age);
        });
}

std::optional<std::size_t>
choose_connection_to_close(std::span<session_load const> sessions)
{
    constexpr std::uint64_t rank_factor = 1ULL << 40U;
    return heaviest(
        sessions,
        [](session_load const& session)
        {
            auto const rank = rank_of(session);
            return rank == 0 ? 0
                             : rank * rank_factor +
                                   milliseconds_of(session.quiet_time);
        });
}

} // namespace foxtailvale::net
