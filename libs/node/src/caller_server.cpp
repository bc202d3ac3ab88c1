#include "caller_request_reader.hpp"

#include <kernel/events.hpp>
#include <node/caller_server.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <condition_variable>
#include <deque>
#include <future>
#include <optional>
#include <ostream>
#include <variant>

namespace foxtailvale::node
{

namespace
{

// Interval at which a caller that waits for a response is checked for a
// disconnect.
constexpr std::chrono::milliseconds disconnect_check_interval{250};

// Limits of the parts and bytes queued for a caller that reads slowly. A fast
// engine is some seconds ahead at these limits; beyond them the stream is
// ended, since memory used for one caller is taken from all others.
constexpr std::size_t max_queued_items = 1024;
constexpr std::size_t max_queued_bytes = 1024UL * 1024;

constexpr char const* problem_type = "application/problem+json";

std::string lower(std::string text)
{
    std::ranges::transform(
        text, text.begin(),
        [](unsigned char letter)
        {
            return static_cast<char>(std::tolower(letter));
        });
    return text;
}

std::string problem_text(base::error const& error)
{
    auto const& row = base::row_of(error.kind);
    nlohmann::json problem{
        {"type", "urn:foxtailvale:problem:" + std::string(row.name)},
        {"title", row.title},
        {"status", row.status},
        {"detail", error.detail},
        {"ran", base::to_string(row.ran)}};
    if (row.retry_after.count() > 0)
    {
        problem["retry_after_ms"] = row.retry_after.count();
    }
    return problem.dump(
        -1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void send_problem(
    Poco::Net::HTTPServerResponse& response, base::error const& error)
{
    auto const& row = base::row_of(error.kind);
    if (row.retry_after.count() > 0)
    {
        auto const seconds =
            std::chrono::ceil<std::chrono::seconds>(row.retry_after);
        response.set("Retry-After", std::to_string(seconds.count()));
    }
    response.set("X-Ran", std::string(base::to_string(row.ran)));
    if (error.kind == base::error_kind::entry_stopping)
    {
        // The caller would otherwise send its next request to this entry too.
        response.setKeepAlive(false);
    }
    http::send_text(response, row.status, problem_type, problem_text(error));
}

std::string host_of(Poco::Net::HTTPServerRequest const& request)
{
    return request.clientAddress().host().toString();
}

raw_request read_raw(Poco::Net::HTTPServerRequest& request)
{
    raw_request raw;
    raw.method = request.getMethod();
    raw.path = request.getURI();
    raw.content_type = request.getContentType();
    for (auto const& [name, value] : request)
    {
        raw.headers[lower(name)] = value;
    }
    return raw;
}

void set_head(
    Poco::Net::HTTPServerResponse& response, entry_core::reply const& piece)
{
    response.setStatusAndReason(
        static_cast<Poco::Net::HTTPResponse::HTTPStatus>(piece.status));
    response.setContentType(piece.content_type);
    response.set("X-Release-Generation", std::to_string(piece.generation));
    if (!piece.digest.empty())
    {
        response.set("X-Weights-Digest", piece.digest);
    }
}

} // namespace

using session_item = std::variant<entry_core::reply, entry_core::refuse>;

// Queues the core's answers for the thread that writes to the caller. Shared by
// both sides, so that either may end first.
class caller_session
{
public:
    caller_session(
        entry_core::caller_request const& incoming, std::string address)
        : request_id(incoming.request_id), workspace(incoming.workspace),
          caller(std::move(address)), began(std::chrono::steady_clock::now())
    {
    }

    // For the log.
    std::string const request_id;
    std::string const workspace;
    std::string const caller;
    std::chrono::steady_clock::time_point const began;

    // Returns false when the caller reads too slowly: nothing more is accepted,
    // and the writer is told to abort.
    bool push(session_item item)
    {
        auto accepted = false;
        {
            std::lock_guard const lock(this->mutex);
            // A complete answer of any size is one item.
            accepted =
                !this->overflowed && (this->items.empty() ||
                                      (this->items.size() < max_queued_items &&
                                       this->bytes < max_queued_bytes));
            if (accepted)
            {
                this->bytes += size_of(item);
                this->items.push_back(std::move(item));
            }
            else
            {
                this->overflowed = true;
            }
        }
        this->ready.notify_one();
        return accepted;
    }

    // Waits for the next item; returns nothing when the caller has disconnected
    // or reads too slowly.
    template <class DisconnectCheck>
    std::optional<session_item> wait(DisconnectCheck has_disconnected)
    {
        std::unique_lock lock(this->mutex);
        while (this->items.empty() && !this->overflowed)
        {
            auto const woken =
                this->ready.wait_for(lock, disconnect_check_interval);
            if (woken == std::cv_status::timeout && has_disconnected())
            {
                return std::nullopt;
            }
        }
        if (this->overflowed)
        {
            return std::nullopt;
        }
        auto item = std::move(this->items.front());
        this->items.pop_front();
        this->bytes -= size_of(item);
        return item;
    }

private:
    static std::size_t size_of(session_item const& item)
    {
        auto const* const piece = std::get_if<entry_core::reply>(&item);
        return piece == nullptr ? 0 : piece->body.size();
    }

    std::mutex mutex;
    std::condition_variable ready;
    std::deque<session_item> items;
    std::size_t bytes = 0;
    bool overflowed = false;
};

namespace
{

// Logs a request that the end of the process cuts.
void log_cut(caller_session const& session)
{
    auto const age = std::chrono::steady_clock::now() - session.began;
    kernel::log_event(
        kernel::event_id::request_cut,
        {{"request", session.request_id},
         {"workspace", session.workspace},
         {"caller", session.caller},
         {"kind", base::row_of(base::error_kind::entry_stopping).name},
         {"after_ms",
          std::chrono::duration_cast<std::chrono::milliseconds>(age).count()},
         {"why", "the process ends"}});
}

// Logs a connection whose request is not read, or whose refusal is not written,
// when the process ends.
void log_unread(std::string const& caller)
{
    kernel::log_event(
        kernel::event_id::request_cut,
        {{"caller", caller},
         {"kind", base::row_of(base::error_kind::entry_stopping).name},
         {"why", "the process ends before the request is read"}});
}

// Writes a session's items to the caller up to the last one; returns false when
// the caller has disconnected or reads too slowly.
bool write_answer(
    caller_session& session,
    Poco::Net::HTTPServerRequest& request,
    Poco::Net::HTTPServerResponse& response)
{
    auto const has_disconnected = [&request]
    {
        return http::is_closed_by_peer(request);
    };
    std::ostream* body = nullptr;
    while (true)
    {
        auto const item = session.wait(has_disconnected);
        if (!item)
        {
            return false;
        }
        if (auto const* const refused = std::get_if<entry_core::refuse>(&*item))
        {
            if (body == nullptr)
            {
                send_problem(response, refused->error);
                return true;
            }
            *body << "event: error\ndata: " << problem_text(refused->error)
                  << "\n\n"
                  << std::flush;
            return true;
        }
        auto const& piece = std::get<entry_core::reply>(*item);
        if (body == nullptr)
        {
            set_head(response, piece);
            if (piece.last)
            {
                response.setContentLength(
                    static_cast<std::streamsize>(piece.body.size()));
            }
            else
            {
                response.setChunkedTransferEncoding(true);
            }
            body = &response.send();
        }
        *body << piece.body << std::flush;
        if (!*body)
        {
            return false;
        }
        if (piece.last)
        {
            return true;
        }
    }
}

} // namespace

caller_server::caller_server(
    event_loop& owner,
    release::entry_settings const& options,
    handler receive,
    fault_handler report,
    model_list list)
    : loop(owner), settings(options), receiver(std::move(receive)),
      reporter(std::move(report)), models(std::move(list)),
      ledger(std::make_shared<http::request_ledger>(options.max_bodies_bytes))
{
    this->listener = std::make_unique<http::parking_server>(
        http::parking_options{
            .address = options.node.address,
            .port = options.caller_port,
            .ledger = this->ledger},
        [this](
            Poco::Net::HTTPServerRequest& request,
            Poco::Net::HTTPServerResponse& response)
        {
            this->answer(request, response);
        },
        [this](
            std::string const& what, std::string const& caller,
            Poco::Net::HTTPServerResponse& response)
        {
            // The end of the process cuts what it reads.
            auto const kind = this->closed
                                  ? base::error_kind::entry_stopping
                                  : base::error_kind::malformed_request;
            this->refuse(response, {kind, "HTTP request: " + what}, caller);
        });
}

// Stops the listener first, since its threads use the other members.
caller_server::~caller_server()
{
    this->end_sessions();
    this->listener.reset();
}

void caller_server::announce_close()
{
    this->listener->announce_close();
}

bool caller_server::drain(std::chrono::milliseconds max_wait)
{
    if (this->listener->drain(max_wait))
    {
        return true;
    }
    this->end_sessions();
    return false;
}

// Failure: a request that was read when the loop had ended waited for an answer
// until its caller hung up, and the process waited with it.
void caller_server::end_sessions()
{
    auto unread = this->listener->busy_callers();
    std::lock_guard const lock(this->mutex);
    if (this->closed.exchange(true))
    {
        return;
    }
    for (auto const& [handle, session] : this->sessions)
    {
        std::erase(unread, session->caller);
        log_cut(*session);
        // Nothing tells here whether the core had sent it to an endpoint.
        session->push(entry_core::refuse{
            handle, {base::error_kind::outcome_unknown, "this entry ended"}});
    }
    std::ranges::for_each(unread, log_unread);
}

void caller_server::refuse(
    Poco::Net::HTTPServerResponse& response,
    base::error const& error,
    std::string const& caller)
{
    if (this->closed)
    {
        // The loop may have ended.
        kernel::log_error(error, {{"peer", "caller " + caller}});
        send_problem(response, error);
        return;
    }
    // Counted before the response is sent, so that a caller that has read the
    // response finds it counted.
    this->loop.post(
        [this, error, caller]
        {
            this->reporter(error, caller);
        });
    send_problem(response, error);
}

void caller_server::answer(
    Poco::Net::HTTPServerRequest& request,
    Poco::Net::HTTPServerResponse& response)
{
    if (request.getURI() == "/v1/models")
    {
        this->answer_models(request, response);
        return;
    }
    auto const caller = host_of(request);
    auto raw = read_raw(request);
    auto const end = this->ledger->read_body(
        request, this->settings.most_body_bytes, raw.body);
    if (end == http::body_end::refused)
    {
        response.setKeepAlive(false);
        this->refuse(
            response,
            {base::error_kind::entry_overloaded, "bodies take all memory"},
            caller);
        return;
    }
    if (end == http::body_end::too_large)
    {
        response.setKeepAlive(false);
        auto const limit = std::to_string(this->settings.most_body_bytes);
        this->refuse(
            response,
            {base::error_kind::request_too_large,
             "at most " + limit + " bytes"},
            caller);
        return;
    }
    auto read = read_caller_request(std::move(raw), this->settings);
    if (!read)
    {
        this->refuse(response, read.error(), caller);
        return;
    }
    this->run_session(std::move(read.value()), request, response);
}

void caller_server::answer_models(
    Poco::Net::HTTPServerRequest& request,
    Poco::Net::HTTPServerResponse& response)
{
    auto const promise = std::make_shared<std::promise<std::string>>();
    auto text = promise->get_future();
    this->loop.post(
        [this, promise]
        {
            promise->set_value(this->models());
        });
    while (text.wait_for(disconnect_check_interval) !=
           std::future_status::ready)
    {
        if (this->closed)
        {
            this->refuse(
                response, {base::error_kind::entry_stopping, {}},
                host_of(request));
            return;
        }
    }
    http::send_text(response, 200, "application/json", text.get());
}

void caller_server::run_session(
    entry_core::caller_request incoming,
    Poco::Net::HTTPServerRequest& request,
    Poco::Net::HTTPServerResponse& response)
{
    auto const session = std::make_shared<caller_session>(
        incoming, request.clientAddress().toString());
    auto const opened = this->open_session(session);
    if (!opened)
    {
        this->refuse(
            response, {base::error_kind::entry_stopping, {}}, host_of(request));
        return;
    }
    auto const caller = *opened;
    incoming.caller = caller;
    this->loop.post(
        [this, incoming = std::move(incoming)]
        {
            this->receiver(incoming);
        });
    auto finished = false;
    try
    {
        finished = write_answer(*session, request, response);
    }
    catch (std::exception const&)
    {
        finished = false;
    }
    {
        std::lock_guard const lock(this->mutex);
        this->sessions.erase(caller);
    }
    if (!finished)
    {
        response.setKeepAlive(false);
        this->loop.post(
            [this, caller]
            {
                this->receiver(entry_core::caller_disconnected{caller});
            });
    }
}

std::optional<entry_core::caller_handle>
caller_server::open_session(std::shared_ptr<caller_session> const& session)
{
    std::lock_guard const lock(this->mutex);
    if (this->closed)
    {
        return std::nullopt;
    }
    auto const caller = ++this->last_caller;
    this->sessions.emplace(caller, session);
    return caller;
}

std::shared_ptr<caller_session>
caller_server::find(entry_core::caller_handle caller)
{
    std::lock_guard const lock(this->mutex);
    auto const found = this->sessions.find(caller);
    return found == this->sessions.end() ? nullptr : found->second;
}

template <class Item>
void caller_server::push(Item item)
{
    auto const caller = item.caller;
    auto const session = this->find(caller);
    if (session && !session->push(std::move(item)))
    {
        this->loop.post(
            [this, caller]
            {
                this->receiver(entry_core::caller_disconnected{caller});
            });
    }
}

void caller_server::deliver(entry_core::reply reply)
{
    this->push(std::move(reply));
}

void caller_server::deliver(entry_core::refuse refusal)
{
    this->push(std::move(refusal));
}

} // namespace foxtailvale::node
