#include "peer_weights_server.hpp"

#include <base/percent_encoding.hpp>

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <limits>

namespace foxtailvale::gateway
{

namespace
{

using clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds max_wait{500};

// Share of the machine's link that outgoing chunks may use. The event streams
// of the engine's live requests share the link: chunks sent without a pause
// would queue ahead of them, and events that come 0.1 s late are late for the
// callers. One chunk fills a 7.6 Mbit/s link for 34 ms, so the short gap that
// pacing leaves between chunks lets events through.
constexpr double link_share = 0.95;

// A receiver that takes longer than this for one chunk is disconnected or
// nearly so, and must not delay the others.
constexpr std::chrono::milliseconds send_timeout{1500};

constexpr std::string_view path_prefix = "/weights/";
constexpr std::string_view ready_suffix = "/ready";
constexpr char const* behind_field = "Behind";

net::request peer_request(std::string target)
{
    return net::request{
        .method = "GET",
        .target = std::move(target),
        .fields = {{"Host", "agent"}},
        .body = {}};
}

template <class Number>
bool read_number(std::string_view text, Number& number)
{
    auto const end = text.data() + text.size();
    auto const parsed = std::from_chars(text.data(), end, number);
    return parsed.ec == std::errc{} && parsed.ptr == end;
}

} // namespace

net::request
peer_manifest_request(std::string const& model, std::uint64_t version)
{
    return peer_request(
        std::string(path_prefix) + base::percent_encode(model) + "/" +
        std::to_string(version) + "/manifest");
}

net::request peer_chunk_ready_request(
    std::string const& model,
    std::uint64_t version,
    std::uint32_t index,
    std::size_t behind)
{
    auto asked = peer_chunk_request(model, version, index);
    asked.target.append(ready_suffix);
    asked.fields.push_back({behind_field, std::to_string(behind)});
    return asked;
}

net::request peer_chunk_request(
    std::string const& model, std::uint64_t version, std::uint32_t index)
{
    return peer_request(
        std::string(path_prefix) + base::percent_encode(model) + "/" +
        std::to_string(version) + "/" + std::to_string(index));
}

net::request peer_check_request(std::string const& model, std::uint64_t version)
{
    return peer_request(
        std::string(path_prefix) + base::percent_encode(model) + "/" +
        std::to_string(version) + "/check");
}

// Parses "/weights/MODEL/VERSION/INDEX". "manifest" or "check" may stand in
// place of the index, and "/ready" may follow it.
std::optional<peer_weights_server::request_path>
peer_weights_server::parse_path(std::string_view target)
{
    if (!target.starts_with(path_prefix))
    {
        return std::nullopt;
    }
    target.remove_prefix(path_prefix.size());
    request_path read;
    if (target.ends_with(ready_suffix))
    {
        read.kind = request_kind::chunk_ready;
        target.remove_suffix(ready_suffix.size());
    }
    auto const last = target.rfind('/');
    if (last == std::string_view::npos || last == 0)
    {
        return std::nullopt;
    }
    auto const middle = target.rfind('/', last - 1);
    if (middle == std::string_view::npos)
    {
        return std::nullopt;
    }
    auto model = base::percent_decode(std::string(target.substr(0, middle)));
    if (!model)
    {
        return std::nullopt;
    }
    read.model = std::move(*model);
    auto const version = target.substr(middle + 1, last - middle - 1);
    auto const what = target.substr(last + 1);
    if (what == "manifest")
    {
        read.kind = request_kind::manifest;
    }
    else if (what == "check")
    {
        read.kind = request_kind::check;
    }
    else if (!read_number(what, read.index))
    {
        return std::nullopt;
    }
    return read_number(version, read.version) ? std::optional(read)
                                              : std::nullopt;
}

peer_weights_server::peer_weights_server(std::shared_ptr<agent_context> shared)
    : context(std::move(shared)), timer(this->context->loop)
{
}

std::optional<std::string> peer_weights_server::open()
{
    net::server_handlers handlers;
    handlers.on_request =
        [self = this->weak_from_this()](
            std::shared_ptr<net::server_session> const& session,
            net::request const& asked)
    {
        if (auto const held = self.lock())
        {
            held->on_request_received(session, asked);
        }
    };
    handlers.on_fault = [](net::server_session& session, net::read_fault)
    {
        session.abort();
    };
    this->server = std::make_shared<net::http_server>(
        this->context->loop, net::server_limits{}, std::move(handlers),
        net::peer_capacity(net::limits_of_process(
            this->context->settings.memory_bytes,
            this->context->settings.max_descriptors)));
    auto const& settings = this->context->settings;
    boost::system::error_code error;
    auto const ip = boost::asio::ip::make_address(settings.ip, error);
    if (error)
    {
        return "ip: " + error.message();
    }
    return this->server->listen({ip, settings.peer_port});
}

void peer_weights_server::on_request_received(
    std::shared_ptr<net::server_session> const& session,
    net::request const& asked)
{
    auto const path = parse_path(asked.target);
    // A request for a version that is not known here yet waits, as its
    // announcement may still be on the way. Failure: announcements reached
    // agents half a second apart, and agents that had them polled others again
    // and again that did not.
    if (!path || path->model != this->context->model ||
        path->version < this->context->oldest_held())
    {
        session->respond(weights_missing, {}, {});
        return;
    }
    if (path->kind == request_kind::check)
    {
        session->respond(
            this->has_manifest(path->version) ? 200 : weights_missing, {}, {});
        return;
    }
    if (path->kind == request_kind::chunk)
    {
        weights::note_fetch_requested(this->send_queue, clock::now());
    }
    auto behind = std::numeric_limits<std::size_t>::max();
    if (path->kind == request_kind::chunk_ready)
    {
        behind = 0;
        read_number(
            net::find_field(asked.fields, behind_field).value_or("0"), behind);
    }
    this->enqueue(
        {session, path->version, path->kind, path->index,
         clock::now() + max_wait, behind});
    this->answer_pending();
}

void peer_weights_server::enqueue(pending_request const& asked)
{
    auto const position = std::ranges::find_if(
        this->pending,
        [&asked](pending_request const& other)
        {
            return other.behind < asked.behind;
        });
    this->pending.insert(position, asked);
}

bool peer_weights_server::has_manifest(std::uint64_t version) const
{
    auto const& known = this->context->versions;
    auto const found = known.find(version);
    return found != known.end() && found->second.manifest;
}

bool peer_weights_server::can_answer(pending_request const& asked) const
{
    if (!this->has_manifest(asked.version))
    {
        return false;
    }
    auto const& chunks =
        this->context->versions.at(asked.version).transfer.chunks;
    if (asked.kind == request_kind::manifest || asked.index >= chunks.size())
    {
        return true;
    }
    if (asked.kind == request_kind::chunk_ready)
    {
        return chunks[asked.index] != nullptr && this->can_promise();
    }
    return chunks[asked.index] != nullptr && clock::now() >= this->next_send;
}

void peer_weights_server::answer(pending_request const& asked)
{
    auto const& held = this->context->versions.at(asked.version);
    if (asked.kind == request_kind::manifest)
    {
        asked.session->respond(200, {}, platform::to_text(*held.manifest));
        return;
    }
    if (asked.index >= held.transfer.chunks.size())
    {
        asked.session->respond(weights_missing, {}, {});
        return;
    }
    if (asked.kind == request_kind::chunk_ready)
    {
        weights::note_promised(this->send_queue, clock::now());
        asked.session->respond(weights_ready, {}, {});
        return;
    }
    auto const& bytes = *held.transfer.chunks[asked.index];
    auto const now = clock::now();
    this->active_sends.push_back({asked.session, now + send_timeout});
    this->schedule_next_send(bytes.size(), now);
    asked.session->respond(200, {}, bytes);
    this->context->counters.count(
        "foxtailvale_weights_sent_bytes_total", {},
        static_cast<double>(bytes.size()));
}

std::string peer_weights_server::holdings(std::uint64_t version) const
{
    auto const found = this->context->versions.find(version);
    return found == this->context->versions.end()
               ? std::string()
               : weights::holdings_of(
                     found->second.transfer,
                     origin_fetch_schedule(*this->context, version),
                     this->context->settings.ip,
                     weights::failures_of(this->context->sources, {}) > 0);
}

bool peer_weights_server::can_promise() const
{
    // Chunks that are queued at a slow receiver's link still occupy capacity
    // here.
    auto const stuck = std::ranges::count_if(
        this->active_sends,
        [](active_send const& send)
        {
            auto const session = send.session.lock();
            return session && session->is_sending();
        });
    auto seen = this->send_queue;
    seen.waiting += static_cast<std::size_t>(stuck);
    return weights::may_promise(seen, clock::now());
}

void peer_weights_server::answer_pending()
{
    auto const now = clock::now();
    for (auto position = this->pending.begin();
         position != this->pending.end();)
    {
        auto const asked = *position;
        auto const gone = !asked.session->awaits_answer();
        auto const answered = !gone && this->can_answer(asked);
        if (!gone && !answered && asked.until > now)
        {
            ++position;
            continue;
        }
        position = this->pending.erase(position);
        if (asked.kind == request_kind::chunk)
        {
            weights::note_left(this->send_queue);
        }
        if (answered)
        {
            this->answer(asked);
        }
        else if (!gone)
        {
            asked.session->respond(
                weights_not_yet, {}, this->holdings(asked.version));
        }
    }
}

void peer_weights_server::schedule_next_send(
    std::size_t bytes, base::time_point now)
{
    auto const rate = this->context->settings.link_rate * link_share;
    if (rate <= 0)
    {
        return;
    }
    std::chrono::duration<double> const taken(
        static_cast<double>(bytes) / rate);
    this->next_send = std::max(this->next_send, now) +
                      std::chrono::duration_cast<base::duration>(taken);
    this->timer.expires_at(this->next_send);
    this->timer.async_wait(
        [self = this->weak_from_this()](boost::system::error_code error)
        {
            auto const held = self.lock();
            if (!error && held)
            {
                held->answer_pending();
            }
        });
}

void peer_weights_server::abort_stalled_sends()
{
    auto const now = clock::now();
    std::list<active_send> stuck;
    for (auto position = this->active_sends.begin();
         position != this->active_sends.end();)
    {
        auto const session = position->session.lock();
        if (session && position->until > now)
        {
            ++position;
            continue;
        }
        if (session && session->is_sending())
        {
            stuck.push_back(*position);
        }
        position = this->active_sends.erase(position);
    }
    for (auto const& entry : stuck)
    {
        if (auto const session = entry.session.lock())
        {
            session->abort();
        }
    }
}

void peer_weights_server::stop()
{
    this->server->stop();
}

} // namespace foxtailvale::gateway
