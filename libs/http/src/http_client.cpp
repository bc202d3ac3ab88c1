#include <Poco/Net/HTTPClientSession.h>
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
#include <ostream>
#include <vector>

namespace foxtailvale::http
{

namespace
{

using Poco::Net::HTTPClientSession;

constexpr std::string_view scheme = "http://";

Poco::Timespan timespan(std::chrono::milliseconds time)
{
    return Poco::Timespan(
        std::chrono::duration_cast<std::chrono::microseconds>(time).count());
}

// A connection of its own for each call. Nagle's algorithm is off: head and
// body go out in two writes, and the second would wait for an acknowledgement.
Poco::Net::StreamSocket open_socket(request const& ask)
{
    Poco::Net::SocketAddress const address(ask.base.substr(scheme.size()));
    Poco::Net::StreamSocket socket;
    socket.connect(address, timespan(ask.timeout));
    socket.setNoDelay(true);
    socket.setReceiveTimeout(timespan(ask.timeout));
    socket.setSendTimeout(timespan(ask.timeout));
    return socket;
}

void send_request(HTTPClientSession& session, request const& ask)
{
    Poco::Net::HTTPRequest head(
        ask.method, ask.path, Poco::Net::HTTPMessage::HTTP_1_1);
    head.set("Host", ask.base.substr(scheme.size()));
    for (auto const& [name, value] : ask.headers)
    {
        head.set(name, value);
    }
    if (!ask.content_type.empty())
    {
        head.setContentType(ask.content_type);
    }
    head.setContentLength(static_cast<std::streamsize>(ask.body.size()));
    session.sendRequest(head) << ask.body << std::flush;
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

// Failure: the connection breaks in the middle of a body. Poco ends the
// stream as if it were whole; a caller would get half a contract. The
// announced length tells.
bool is_short(Poco::Net::HTTPResponse const& head, std::size_t read)
{
    return head.hasContentLength() &&
           static_cast<std::size_t>(head.getContentLength()) != read;
}

std::string read_all(std::istream& body)
{
    return {std::istreambuf_iterator<char>(body), {}};
}

// Hands over a stream of server-sent events one by one, until it ends or the
// handler breaks off. Failure: the stream is cut within an event. Handed on,
// the piece would melt with the error event that follows it; only whole events
// count.
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
read_answer(HTTPClientSession& session, piece_handler const& handle)
{
    Poco::Net::HTTPResponse answer;
    auto& body = session.receiveResponse(answer);
    auto const head = read_head(answer);
    session.setKeepAlive(answer.getKeepAlive());
    if (head.content_type.starts_with("text/event-stream"))
    {
        relay_events(body, head, handle);
        return head;
    }
    auto text = read_all(body);
    if (is_short(answer, text.size()))
    {
        return base::fail(base::error_kind::endpoint_lost, "short body");
    }
    handle(head, std::move(text));
    return head;
}

// Holds a call's control for as long as its connection is open.
struct controlled_call
{
    controlled_call(request const& ask, Poco::Net::StreamSocket const& socket)
        : control(ask.control.get())
    {
        if (this->control == nullptr)
        {
            return;
        }
        this->wanted = this->control->attach(
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

    bool wanted = true;
    // The whole call was handed to the system.
    std::shared_ptr<std::atomic<bool>> sent =
        std::make_shared<std::atomic<bool>>(false);

private:
    // Wakes whoever waits at the socket. A call that was sent whole must not
    // get an orderly end behind it; that of half a call does no harm.
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
            // It was closed meanwhile, which is as good.
            return;
        }
    }

    call_control* control;
};

} // namespace

// Sessions by age, the youngest last.
class kept_connections
{
public:
    std::unique_ptr<HTTPClientSession> take()
    {
        std::lock_guard const lock(this->mutex);
        if (this->idle.empty() ||
            clock::now() - this->idle.back().since > longest_idle)
        {
            this->idle.clear();
            return nullptr;
        }
        auto session = std::move(this->idle.back().session);
        this->idle.pop_back();
        return session;
    }

    void give_back(std::unique_ptr<HTTPClientSession> session)
    {
        std::lock_guard const lock(this->mutex);
        if (this->idle.size() < most_idle)
        {
            this->idle.push_back({std::move(session), clock::now()});
        }
    }

private:
    using clock = std::chrono::steady_clock;

    // Well below the time after which servers close idle connections.
    static constexpr std::chrono::milliseconds longest_idle{2000};
    static constexpr std::size_t most_idle = 64;

    struct idle_session
    {
        std::unique_ptr<HTTPClientSession> session;
        clock::time_point since;
    };

    std::mutex mutex;
    std::vector<idle_session> idle;
};

namespace
{

bool is_cancelled(request const& ask)
{
    return ask.control && ask.control->is_cancelled();
}

// Whether an end of the connection is a reset, with which the server sees the
// call broken off and the system drops what it still holds of it. Set before
// the call, as the session closes itself when the call fails. Failure: a server
// stood still, and at its return it was handed calls that had been given up
// meanwhile, each whole and with an orderly end behind it; they ran.
void set_reset_at_end(HTTPClientSession& session, bool resets)
{
    session.socket().setLinger(resets, 0);
}

// Makes the call over an open connection, which is kept afterwards if the
// answer was read whole and both sides agree.
base::result<response> run_call(
    request const& ask,
    std::unique_ptr<HTTPClientSession> session,
    piece_handler const& handle)
{
    controlled_call const controlled(ask, session->socket());
    if (!controlled.wanted)
    {
        return base::fail(base::error_kind::peer_unreachable, "cancelled");
    }
    try
    {
        set_reset_at_end(*session, true);
        session->setTimeout(timespan(ask.timeout));
        session->setKeepAlive(ask.kept != nullptr);
        send_request(*session, ask);
        *controlled.sent = true;
        auto whole = true;
        auto answer = read_answer(
            *session,
            [&](response const& head, std::string piece)
            {
                whole = handle(head, std::move(piece));
                return whole;
            });
        if (answer && whole)
        {
            set_reset_at_end(*session, false);
        }
        if (answer && whole && ask.kept && session->getKeepAlive())
        {
            ask.kept->give_back(std::move(session));
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

std::shared_ptr<kept_connections> make_kept_connections()
{
    return std::make_shared<kept_connections>();
}

base::result<response> stream(request const& ask, piece_handler const& on_piece)
{
    auto kept = ask.kept ? ask.kept->take() : nullptr;
    if (kept)
    {
        auto begun = false;
        auto const watch = [&](response const& head, std::string piece)
        {
            begun = true;
            return on_piece(head, std::move(piece));
        };
        auto answer = run_call(ask, std::move(kept), watch);
        if (answer || begun || is_cancelled(ask))
        {
            return answer;
        }
    }
    try
    {
        auto fresh = std::make_unique<HTTPClientSession>(open_socket(ask));
        return run_call(ask, std::move(fresh), on_piece);
    }
    catch (Poco::Exception const& fault)
    {
        return base::fail(
            base::error_kind::peer_unreachable, fault.displayText());
    }
}

base::result<response> call(request const& ask)
{
    std::string body;
    auto answer = stream(
        ask,
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
