#ifndef FOXTAILVALE_NET_SERVER_CAPACITY_HPP
#define FOXTAILVALE_NET_SERVER_CAPACITY_HPP

#include <chrono>
#include <cstddef>
#include <optional>
#include <span>

// What all clients of a server together may make its process hold, and which of
// them goes first when that is exceeded.
namespace foxtailvale::net
{

// What a server's process may use.
struct process_limits
{
    std::size_t memory_bytes = 256UL * 1024 * 1024;
    // Open at the same time.
    std::size_t sockets = 3900;
};

struct server_capacity
{
    std::size_t connections = 4096;
    // Requests that are being read or handled, with what clients send ahead.
    std::size_t request_bytes = 64UL * 1024 * 1024;
    // Bytes of answers that clients have not taken.
    std::size_t unsent_bytes = 64UL * 1024 * 1024;
};

// Requests from this size on may take this share of the capacity together, so
// that they leave room for small ones.
inline constexpr std::size_t large_request_bytes = 64UL * 1024;
inline constexpr std::size_t large_requests_percent = 75;

// The process's limits, with no more sockets than the system lets it open.
process_limits
limits_of_process(std::size_t memory_bytes, std::size_t descriptors);

// The capacity of a server for callers. What is left is for connections to
// endpoints and for what the process holds for itself.
server_capacity caller_capacity(process_limits const& process);

// The capacity of a server for other processes of the system.
server_capacity peer_capacity(process_limits const& process);

// The capacity of a server for single questions, such as readiness checks.
server_capacity question_capacity();

// What a session is doing.
enum class session_state
{
    // Between two requests.
    idle,
    // A part of a request has arrived.
    reading,
    // A request is being handled.
    busy,
    // The last bytes of an answer are being written.
    writing,
    // The last answer is written; the client is to close the connection.
    lingering,
    closed,
};

// What one session holds.
struct session_load
{
    session_state state = session_state::closed;
    std::size_t request_bytes = 0;
    std::size_t unsent_bytes = 0;
    // Since the current request began.
    std::chrono::milliseconds request_age{0};
    // Since the client last took a byte of an answer that is being written.
    std::chrono::milliseconds unsent_age{0};
    // Since the last byte in either direction.
    std::chrono::milliseconds quiet_time{0};
    // The client has had an answer on this connection.
    bool has_answered = false;
};

// What all sessions of a server hold.
struct total_load
{
    std::size_t connections = 0;
    std::size_t request_bytes = 0;
    // The part that requests of at least large_request_bytes hold.
    std::size_t large_request_bytes = 0;
    std::size_t unsent_bytes = 0;
};

// Whether requests, or the large ones among them, hold more than they may.
bool exceeds_requests(total_load const& all, server_capacity const& capacity);

// Index of the incomplete request to refuse: the one that has held most for the
// longest time, so that a caller who sends steadily goes after those who stop.
// Nothing if none would help.
std::optional<std::size_t> choose_request_to_refuse(
    std::span<session_load const> sessions,
    total_load const& all,
    server_capacity const& capacity);

// Index of the session to close whose client reads most slowly: the one whose
// unsent bytes have stood still for the longest time, by their number. Nothing
// if none is being written.
std::optional<std::size_t>
choose_reader_to_close(std::span<session_load const> sessions);

// Index of the session to close for a new connection: one that only waits for
// its client to close it, one that never sent a request, one between two
// requests, one whose request is incomplete, in this order. Nothing if all are
// being answered.
std::optional<std::size_t>
choose_connection_to_close(std::span<session_load const> sessions);

} // namespace foxtailvale::net

#endif
