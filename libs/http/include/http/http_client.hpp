#ifndef FOXTAILVALE_HTTP_HTTP_CLIENT_HPP
#define FOXTAILVALE_HTTP_HTTP_CLIENT_HPP

#include <base/error.hpp>

#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace foxtailvale::http
{

// Cancels a call from another thread: its connection is shut down, so that a
// wait for the response ends at once. Safe from any thread.
class call_control
{
public:
    void cancel();
    bool is_cancelled();

    // Called by the call itself: sets the function that shuts down its
    // connection. Returns false when the call is cancelled already.
    bool attach(std::function<void()> shut_down);
    void detach();

private:
    std::mutex mutex;
    std::function<void()> stop;
    bool cancelled = false;
};

class idle_connection_pool;

// Bytes that the bodies of several calls may hold together while they are read.
// Safe from any thread.
class body_budget
{
public:
    explicit body_budget(std::size_t bytes);

    // Returns false, and takes nothing, when fewer bytes are left.
    bool take(std::size_t bytes);
    void give_back(std::size_t bytes);

private:
    std::mutex mutex;
    std::size_t left;
};

// Creates a pool of connections that are kept open between calls to one
// address. May be shared by several threads.
std::shared_ptr<idle_connection_pool> make_idle_connection_pool();

struct request
{
    // "http://IP:PORT".
    std::string base;
    std::string method = "GET";
    std::string path;
    std::map<std::string, std::string> headers;
    std::string content_type;
    std::string body;
    // Limits the connecting, the time until the head of the answer, and each
    // wait for more of its body.
    std::chrono::milliseconds timeout{1000};
    // A larger body, or a larger event of a stream, ends the call.
    std::size_t max_body_bytes = 64UL * 1024 * 1024;
    std::size_t max_event_bytes = 1024UL * 1024;
    // Set for calls whose bodies are bounded together.
    std::shared_ptr<body_budget> budget;
    // Set for a call that may be cancelled.
    std::shared_ptr<call_control> control;
    // Set for a call that may use a connection left open by an earlier call.
    // The server may have closed it just now, and then it is unknown whether
    // the call arrived: the call is repeated over a new connection. Only for
    // calls that may run twice.
    std::shared_ptr<idle_connection_pool> idle_pool;
};

struct response
{
    std::uint32_t status = 0;
    std::string content_type;
    std::map<std::string, std::string> headers;
    std::string body;
};

// Makes one call and reads the complete response; peer_unreachable when no
// connection was made, endpoint_lost when it broke after that, or when what
// came is no HTTP response or exceeds a limit.
base::result<response> call(request const& call_request);

// Called with the head of the response and each part of its body. Returning
// false aborts the call.
using piece_handler =
    std::function<bool(response const& head, std::string piece)>;

// Like call(), but delivers the body in parts: a stream of server-sent events
// event by event, any other body in one part. The returned response has no
// body.
base::result<response>
stream(request const& call_request, piece_handler const& on_piece);

} // namespace foxtailvale::http

#endif
