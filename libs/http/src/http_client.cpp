#include "answer_reader.hpp"

#include <net/message.hpp>

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <http/http_client.hpp>

#include <array>
#include <atomic>
#include <memory>
#include <optional>
#include <vector>

namespace foxtailvale::http
{

namespace
{

using clock = std::chrono::steady_clock;

constexpr std::string_view scheme = "http://";
constexpr std::size_t bytes_per_read = 16UL * 1024;

Poco::Timespan timespan(std::chrono::milliseconds time)
{
    return Poco::Timespan(
        std::chrono::duration_cast<std::chrono::microseconds>(time).count());
}

// Opens a connection for a call. Nagle's algorithm is off: the last part of a
// long request would wait for an acknowledgement.
Poco::Net::StreamSocket open_socket(request const& call_request)
{
    Poco::Net::SocketAddress const address(
        call_request.base.substr(scheme.size()));
    Poco::Net::StreamSocket socket;
    socket.connect(address, timespan(call_request.timeout));
    socket.setNoDelay(true);
    return socket;
}

std::string serialize(request const& call_request)
{
    net::request message;
    message.method = call_request.method;
    message.target = call_request.path;
    message.fields.push_back({"Host", call_request.base.substr(scheme.size())});
    for (auto const& [name, value] : call_request.headers)
    {
        message.fields.push_back({name, value});
    }
    if (!call_request.content_type.empty())
    {
        message.fields.push_back({"Content-Type", call_request.content_type});
    }
    if (!call_request.idle_pool)
    {
        message.fields.push_back({"Connection", "close"});
    }
    return net::serialize_head(message, call_request.body.size()) +
           call_request.body;
}

bool is_cancelled(request const& call_request)
{
    return call_request.control && call_request.control->is_cancelled();
}

// Limits the next read. Interim answers do not extend the time until the head.
void limit_read(
    Poco::Net::StreamSocket& socket,
    request const& call_request,
    std::optional<clock::time_point> head_until)
{
    auto time = call_request.timeout;
    if (head_until)
    {
        time = std::chrono::duration_cast<std::chrono::milliseconds>(
            *head_until - clock::now());
        if (time.count() <= 0)
        {
            throw Poco::TimeoutException("no answer in time");
        }
    }
    socket.setReceiveTimeout(timespan(time));
}

// Reads until the answer is done or the connection ends. Throws
// Poco::Exception when the connection breaks or nothing comes in time.
void read_answer(
    Poco::Net::StreamSocket& socket,
    request const& call_request,
    answer_reader& answer)
{
    std::optional head_until = clock::now() + call_request.timeout;
    limit_read(socket, call_request, head_until);
    std::array<char, bytes_per_read> block{};
    while (!answer.is_done())
    {
        auto const count =
            socket.receiveBytes(block.data(), static_cast<int>(block.size()));
        if (count <= 0)
        {
            // A cancelled call sees the end of its input, too.
            if (!is_cancelled(call_request))
            {
                answer.put_end();
            }
            return;
        }
        answer.put({block.data(), static_cast<std::size_t>(count)});
        if (head_until)
        {
            head_until = answer.has_head() ? std::nullopt : head_until;
            limit_read(socket, call_request, head_until);
        }
    }
}

// Attaches a call to its control for as long as its connection is open.
struct controlled_call
{
    controlled_call(
        request const& call_request, Poco::Net::StreamSocket const& socket)
        : control(call_request.control.get())
    {
        if (this->control == nullptr)
        {
            return;
        }
        this->may_run = this->control->attach(
            [open = Poco::Net::StreamSocket(socket),
             sent = this->sent]() mutable
            {
                shut_down(open, *sent);
            });
    }

    ~controlled_call()
    {
        if (this->control != nullptr)
        {
            this->control->detach();
        }
    }

    controlled_call(controlled_call const&) = delete;
    controlled_call& operator=(controlled_call const&) = delete;

    bool may_run = true;
    // The complete call was handed to the system.
    std::shared_ptr<std::atomic<bool>> sent =
        std::make_shared<std::atomic<bool>>(false);

private:
    // Wakes the thread that waits at the socket. A call that was sent
    // completely must not be followed by an orderly close (see
    // set_reset_on_close()); after an incomplete call, one does no harm.
    static void shut_down(Poco::Net::StreamSocket& socket, bool sent)
    {
        try
        {
            if (sent)
            {
                socket.shutdownReceive();
                return;
            }
            socket.shutdown();
        }
        catch (Poco::Exception const&)
        {
            // The socket was closed meanwhile, which has the same effect.
            return;
        }
    }

    call_control* control;
};

} // namespace

// Idle connections ordered by age, the newest last.
class idle_connection_pool
{
public:
    std::optional<Poco::Net::StreamSocket> take()
    {
        std::lock_guard const lock(this->mutex);
        if (this->idle.empty() ||
            clock::now() - this->idle.back().since > max_idle_time)
        {
            this->idle.clear();
            return std::nullopt;
        }
        auto socket = this->idle.back().socket;
        this->idle.pop_back();
        return socket;
    }

    void give_back(Poco::Net::StreamSocket const& socket)
    {
        std::lock_guard const lock(this->mutex);
        if (this->idle.size() < max_idle_connections)
        {
            this->idle.push_back({socket, clock::now()});
        }
    }

private:
    // Well below the time after which servers close idle connections.
    static constexpr std::chrono::milliseconds max_idle_time{2000};
    static constexpr std::size_t max_idle_connections = 64;

    struct idle_connection
    {
        Poco::Net::StreamSocket socket;
        clock::time_point since;
    };

    std::mutex mutex;
    std::vector<idle_connection> idle;
};

namespace
{

// Whether the server sent something, or closed, since the last answer: what
// came then belongs to no call.
bool has_input(Poco::Net::StreamSocket const& socket)
{
    try
    {
        return socket.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ);
    }
    catch (Poco::Exception const&)
    {
        // A broken connection carries no call either.
        return true;
    }
}

// Sets whether closing the connection sends a reset, which tells the server
// that the call was aborted and makes the system drop what it still buffers of
// it. With an orderly close, a stalled server that resumes would be handed
// calls that timed out meanwhile, each complete and followed by a normal end of
// stream, and would execute them.
void set_reset_on_close(Poco::Net::StreamSocket& socket, bool resets)
{
    socket.setLinger(resets, 0);
}

// Makes the call over an open connection, which is kept afterwards if the
// response was read completely and both sides agree.
base::result<response> run_call(
    request const& call_request,
    Poco::Net::StreamSocket socket,
    piece_handler const& handle)
{
    controlled_call const controlled(call_request, socket);
    if (!controlled.may_run)
    {
        return base::fail(base::error_kind::peer_unreachable, "cancelled");
    }
    try
    {
        set_reset_on_close(socket, true);
        socket.setSendTimeout(timespan(call_request.timeout));
        auto const bytes = serialize(call_request);
        socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
        *controlled.sent = true;
        answer_reader answer(call_request, handle);
        read_answer(socket, call_request, answer);
        if (answer.is_whole())
        {
            set_reset_on_close(socket, false);
        }
        if (answer.keeps_connection() && call_request.idle_pool)
        {
            call_request.idle_pool->give_back(socket);
        }
        return answer.result();
    }
    catch (Poco::Exception const& fault)
    {
        return base::fail(base::error_kind::endpoint_lost, fault.displayText());
    }
    catch (std::exception const& fault)
    {
        return base::fail(base::error_kind::endpoint_lost, fault.what());
    }
}

} // namespace

body_budget::body_budget(std::size_t bytes) : left(bytes)
{
}

bool body_budget::take(std::size_t bytes)
{
    std::lock_guard const lock(this->mutex);
    if (bytes > this->left)
    {
        return false;
    }
    this->left -= bytes;
    return true;
}

void body_budget::give_back(std::size_t bytes)
{
    std::lock_guard const lock(this->mutex);
    this->left += bytes;
}

void call_control::cancel()
{
    std::lock_guard const lock(this->mutex);
    this->cancelled = true;
    if (this->stop)
    {
        this->stop();
    }
}

bool call_control::is_cancelled()
{
    std::lock_guard const lock(this->mutex);
    return this->cancelled;
}

bool call_control::attach(std::function<void()> shut_down)
{
    std::lock_guard const lock(this->mutex);
    this->stop = std::move(shut_down);
    return !this->cancelled;
}

void call_control::detach()
{
    std::lock_guard const lock(this->mutex);
    this->stop = nullptr;
}

std::shared_ptr<idle_connection_pool> make_idle_connection_pool()
{
    return std::make_shared<idle_connection_pool>();
}

base::result<response>
stream(request const& call_request, piece_handler const& on_piece)
{
    auto const reused =
        call_request.idle_pool ? call_request.idle_pool->take() : std::nullopt;
    if (reused && !has_input(*reused))
    {
        auto begun = false;
        auto const watch = [&](response const& head, std::string piece)
        {
            begun = true;
            return on_piece(head, std::move(piece));
        };
        auto answer = run_call(call_request, *reused, watch);
        if (answer || begun || is_cancelled(call_request))
        {
            return answer;
        }
    }
    try
    {
        return run_call(call_request, open_socket(call_request), on_piece);
    }
    catch (Poco::Exception const& fault)
    {
        return base::fail(
            base::error_kind::peer_unreachable, fault.displayText());
    }
}

base::result<response> call(request const& call_request)
{
    std::string body;
    auto answer = stream(
        call_request,
        [&body](response const& /*head*/, std::string piece)
        {
            body += piece;
            return true;
        });
    if (answer)
    {
        answer.value().body = std::move(body);
    }
    return answer;
}

} // namespace foxtailvale::http
