#ifndef FOXTAILVALE_CROWD_RAW_CROWD_HPP
#define FOXTAILVALE_CROWD_RAW_CROWD_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace foxtailvale::crowd
{

// Where callers connect.
struct crowd_target
{
    std::string ip;
    std::uint16_t port = 0;
};

// One caller's connection, which does not block. Throws std::system_error if it
// cannot be opened. A connection that the other side closes stays as it is.
class raw_connection
{
public:
    // With a size, the system buffers about that much of what it receives.
    explicit raw_connection(crowd_target const& target, int receive_buffer = 0);
    ~raw_connection();
    raw_connection(raw_connection&& other) noexcept;
    raw_connection& operator=(raw_connection&&) = delete;

    // Queues bytes; those of an earlier call come first.
    void queue(std::shared_ptr<std::string const> bytes);

    // Sends what the system takes now, up to a number of bytes, so that the
    // bodies of a crowd grow together. Returns whether it took any.
    bool send_some();

    // Whether all queued bytes are sent or the connection has ended.
    bool is_done() const;

    bool is_broken() const;

    // Appends what has come to the text, without waiting. Returns false at the
    // end of the connection.
    bool read_some(std::string& text);

private:
    int descriptor = -1;
    std::vector<std::shared_ptr<std::string const>> queued;
    std::size_t first = 0;
    std::size_t sent = 0;
    bool broken = false;
};

// Callers that do the same, each with a connection of its own.
class raw_crowd
{
public:
    // Called after each round of sending.
    using observer = std::function<void()>;

    raw_crowd(crowd_target to, observer on_round);

    void connect(std::size_t callers, int receive_buffer = 0);

    // Has each caller send the bytes, up to the last one, to the end of its
    // connection, or until nobody can send any more for the given time.
    void send(std::string bytes);

    // Lets the time pass.
    void wait(std::chrono::milliseconds time) const;

    // Closes all connections.
    void leave();

    std::size_t size() const;

private:
    crowd_target target;
    observer observe;
    std::vector<raw_connection> callers;
};

// Asks once and reads the answer. Returns its status, 0 without a whole answer.
unsigned ask_once(crowd_target const& target, std::string_view request);

// Asks until the answer has this status, for a minute at most. Returns whether
// it had.
bool is_answered(
    crowd_target const& target,
    std::function<std::string()> const& next_request,
    unsigned status = 200);

} // namespace foxtailvale::crowd

#endif
