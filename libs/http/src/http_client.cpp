#include "chunked_body.hpp"
#include "message_socket.hpp"

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <http/http_client.hpp>

#include <atomic>
#include <istream>
#include <iterator>
#include <memory>
#include <optional>
#include <ostream>
#include <vector>

namespace foxtailvale::http
{

namespace
{

constexpr std::string_view scheme = "http://";

Poco::Timespan timespan(std::chrono::milliseconds time)
{
    return Poco::Timespan(
        std::chrono::duration_cast<std::chrono::microseconds>(time).count());
}

// Opens a connection for a call. Nagle's algorithm is off: head and body are
// sent in two writes, and the second would wait for an acknowledgement.
Poco::Net::StreamSocket open_socket(request const& call_request)
{
    Poco::Net::SocketAddress const address(
        call_request.base.substr(scheme.size()));
    auto socket = make_message_socket();
    socket.connect(address, timespan(call_request.timeout));
    socket.setNoDelay(true);
    socket.setReceiveTimeout(timespan(call_request.timeout));
    socket.setSendTimeout(timespan(call_request.timeout));
    return socket;
}

void send_request(client_session& session, request const& call_request)
{
    Poco::Net::HTTPRequest head(
        call_request.method, call_request.path,
        Poco::Net::HTTPMessage::HTTP_1_1);
    head.set("Host", call_request.base.substr(scheme.size()));
    for (auto const& [name, value] : call_request.headers)
    {
        head.set(name, value);
    }
    if (!call_request.content_type.empty())
    {
        head.setContentType(call_request.content_type);
    }
    head.setContentLength(
        static_cast<std::streamsize>(call_request.body.size()));
    session.sendRequest(head) << call_request.body << std::flush;
}

response read_head(Poco::Net::HTTPResponse const& from)
{
    response head;
    head.status = static_cast<std::uint32_t>(from.getStatus());
    head.content_type = from.getContentType();
    for (auto const& [name, value] : from)
    {
        head.headers.emplace(name, value);
    }
    return head;
}

std::string read_all(std::istream& body)
{
    return {std::istreambuf_iterator<char>(body), {}};
}

// Delivers a stream of server-sent events one by one, until it ends or the
// handler aborts. Only complete events are delivered: when the stream is cut
// off within an event, the partial event would merge with the error event that
// follows it.
void relay_events(
    std::istream& body, response const& head, piece_handler const& handle)
{
    std::string event;
    std::string line;
    while (std::getline(body, line))
    {
        event += line + "\n";
        auto const ends = line.empty() || line == "\r";
        if (ends && !handle(head, std::exchange(event, {})))
        {
            return;
        }
    }
}

base::result<response>
read_answer(client_session& session, piece_handler const& handle)
{
    Poco::Net::HTTPResponse answer;
    allow_end_of_input(session.socket(), false);
    auto& body = session.receiveResponse(answer);
    // POCO's parser goes on where the head was cut within its last line.
    if (session.networkException() != nullptr)
    {
        session.networkException()->rethrow();
    }
    auto const head = read_head(answer);
    auto const has_end =
        answer.hasContentLength() || answer.getChunkedTransferEncoding();
    allow_end_of_input(session.socket(), !has_end);
    session.setKeepAlive(answer.getKeepAlive());
    if (head.content_type.starts_with("text/event-stream"))
    {
        relay_events(body, head, handle);
        if (body.bad())
        {
            return base::fail(base::error_kind::endpoint_lost, "short stream");
        }
        return head;
    }
    auto text = answer.getChunkedTransferEncoding()
                    ? read_chunks(session)
                    : std::optional(read_all(body));
    if (!text)
    {
        return base::fail(base::error_kind::endpoint_lost, "short body");
    }
    handle(head, std::move(*text));
    return head;
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

// Idle sessions ordered by age, the newest last.
class idle_connection_pool
{
public:
    std::unique_ptr<client_session> take()
    {
        std::lock_guard const lock(this->mutex);
        if (this->idle.empty() ||
            clock::now() - this->idle.back().since > max_idle_time)
        {
            this->idle.clear();
            return nullptr;
        }
        auto session = std::move(this->idle.back().session);
        this->idle.pop_back();
        return session;
    }

    void give_back(std::unique_ptr<client_session> session)
    {
        std::lock_guard const lock(this->mutex);
        if (this->idle.size() < max_idle_sessions)
        {
            this->idle.push_back({std::move(session), clock::now()});
        }
    }

private:
    using clock = std::chrono::steady_clock;

    // Well below the time after which servers close idle connections.
    static constexpr std::chrono::milliseconds max_idle_time{2000};
    static constexpr std::size_t max_idle_sessions = 64;

    struct idle_session
    {
        std::unique_ptr<client_session> session;
        clock::time_point since;
    };

    std::mutex mutex;
    std::vector<idle_session> idle;
};

namespace
{

bool is_cancelled(request const& call_request)
{
    return call_request.control && call_request.control->is_cancelled();
}

// Sets whether closing the connection sends a reset, which tells the server
// that the call was aborted and makes the system drop what it still buffers of
// it. Set before the call, as the session closes itself when the call fails.
// With an orderly close, a stalled server that resumes would be handed calls
// that timed out meanwhile, each complete and followed by a normal end of
// stream, and would execute them.
void set_reset_on_close(client_session& session, bool resets)
{
    session.socket().setLinger(resets, 0);
}

// Makes the call over an open connection, which is kept afterwards if the
// response was read completely and both sides agree.
base::result<response> run_call(
    request const& call_request,
    std::unique_ptr<client_session> session,
    piece_handler const& handle)
{
    controlled_call const controlled(call_request, session->socket());
    if (!controlled.may_run)
    {
        return base::fail(base::error_kind::peer_unreachable, "cancelled");
    }
    try
    {
        set_reset_on_close(*session, true);
        session->setTimeout(timespan(call_request.timeout));
        session->setKeepAlive(call_request.idle_pool != nullptr);
        send_request(*session, call_request);
        *controlled.sent = true;
        auto completed = true;
        auto answer = read_answer(
            *session,
            [&](response const& head, std::string piece)
            {
                completed = handle(head, std::move(piece));
                return completed;
            });
        if (answer && completed)
        {
            set_reset_on_close(*session, false);
        }
        if (answer && completed && call_request.idle_pool &&
            session->getKeepAlive())
        {
            call_request.idle_pool->give_back(std::move(session));
        }
        return answer;
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
    auto reused =
        call_request.idle_pool ? call_request.idle_pool->take() : nullptr;
    if (reused)
    {
        auto begun = false;
        auto const watch = [&](response const& head, std::string piece)
        {
            begun = true;
            return on_piece(head, std::move(piece));
        };
        auto answer = run_call(call_request, std::move(reused), watch);
        if (answer || begun || is_cancelled(call_request))
        {
            return answer;
        }
    }
    try
    {
        auto fresh =
            std::make_unique<client_session>(open_socket(call_request));
        return run_call(call_request, std::move(fresh), on_piece);
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
