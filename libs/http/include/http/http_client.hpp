#ifndef FOXTAILVALE_HTTP_HTTP_CLIENT_HPP
#define FOXTAILVALE_HTTP_HTTP_CLIENT_HPP

#include <base/error.hpp>

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace foxtailvale::http
{

// Breaks off a call from another thread: its connection is shut down, so a
// wait for the answer ends at once. Safe from any thread.
class call_control
{
public:
    void cancel();
    bool is_cancelled();

    // From the call: what to shut down. False when it is cancelled already.
    bool attach(std::function<void()> shut_down);
    void detach();

private:
    std::mutex mutex;
    std::function<void()> stop;
    bool cancelled = false;
};

class kept_connections;

// Makes a place for connections that are kept open between calls to one
// address. Shared by several threads.
std::shared_ptr<kept_connections> make_kept_connections();

struct request
{
    // "http://IP:PORT".
    std::string base;
    std::string method = "GET";
    std::string path;
    std::map<std::string, std::string> headers;
    std::string content_type;
    std::string body;
    std::chrono::milliseconds timeout{1000};
    // Set for a call that may be broken off.
    std::shared_ptr<call_control> control;
    // Set for a call that may go over a connection which an earlier call left
    // open. The other side may have closed it just now, and then nobody can say
    // whether the call arrived: it is made again over a new one. Only for calls
    // that may run twice.
    std::shared_ptr<kept_connections> kept;
};

struct response
{
    std::uint32_t status = 0;
    std::string content_type;
    std::map<std::string, std::string> headers;
    std::string body;
};

// Makes one call and reads the whole answer; peer_unreachable when no
// connection was made, endpoint_lost when it broke after that.
base::result<response> call(request const& ask);

// Called with the head of the answer and each piece of its body. Returning
// false breaks off.
using piece_handler =
    std::function<bool(response const& head, std::string piece)>;

// As call, but hands over the body in pieces: a stream of server-sent
// events event by event, anything else whole. The returned response has no
// body.
base::result<response>
stream(request const& ask, piece_handler const& on_piece);

} // namespace foxtailvale::http

#endif
