#include "weights_door.hpp"

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

// Share of the machine's link that chunks may fill. The events of the engine's
// live streams go over the same link: chunks sent as fast as they are asked
// for stand before them in its queue, and events that come a tenth of a second
// late are late for the callers. One chunk fills a link of 7.6 Mbit/s for
// 34 ms, so a chunk and a pause of a half of that let events through.
constexpr double link_share = 0.95;

// A receiver that takes longer for one chunk is cut off or nearly so, and must
// not keep the others waiting.
constexpr std::chrono::milliseconds longest_send{1500};

constexpr std::string_view root = "/weights/";
constexpr std::string_view question_mark = "/ready";
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
        std::string(root) + model + "/" + std::to_string(version) +
        "/manifest");
}

net::request peer_chunk_question(
    std::string const& model,
    std::uint64_t version,
    std::uint32_t index,
    std::size_t behind)
{
    auto asked = peer_chunk_request(model, version, index);
    asked.target.append(question_mark);
    asked.fields.push_back({behind_field, std::to_string(behind)});
    return asked;
}

net::request peer_chunk_request(
    std::string const& model, std::uint64_t version, std::uint32_t index)
{
    return peer_request(
        std::string(root) + model + "/" + std::to_string(version) + "/" +
        std::to_string(index));
}

net::request peer_check_request(std::string const& model, std::uint64_t version)
{
    return peer_request(
        std::string(root) + model + "/" + std::to_string(version) + "/check");
}

// "/weights/MODEL/VERSION/INDEX", with "manifest" or "check" in place of the
// index or
// "/ready" behind it.
std::optional<weights_door::asked_path>
weights_door::read_path(std::string_view target)
{
    if (!target.starts_with(root))
    {
        return std::nullopt;
    }
    target.remove_prefix(root.size());
    asked_path read;
    if (target.ends_with(question_mark))
    {
        read.kind = asked_kind::question;
        target.remove_suffix(question_mark.size());
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
    read.model = std::string(target.substr(0, middle));
    auto const version = target.substr(middle + 1, last - middle - 1);
    auto const what = target.substr(last + 1);
    if (what == "manifest")
    {
        read.kind = asked_kind::manifest;
    }
    else if (what == "check")
    {
        read.kind = asked_kind::check;
    }
    else if (!read_number(what, read.index))
    {
        return std::nullopt;
    }
    return read_number(version, read.version) ? std::optional(read)
                                              : std::nullopt;
}

weights_door::weights_door(std::shared_ptr<agent_context> shared)
    : context(std::move(shared)), timer(this->context->loop)
{
}

std::optional<std::string> weights_door::open()
{
    net::server_handlers handlers;
    handlers.on_request =
        [self = this->weak_from_this()](
            std::shared_ptr<net::server_session> const& session,
            net::request const& asked)
    {
        if (auto const held = self.lock())
        {
            held->take(session, asked);
        }
    };
    handlers.on_fault = [](net::server_session& session, net::read_fault)
    {
        session.abort();
    };
    this->server = std::make_shared<net::http_server>(
        this->context->loop, net::server_limits{}, std::move(handlers));
    auto const& settings = this->context->settings;
    boost::system::error_code error;
    auto const ip = boost::asio::ip::make_address(settings.ip, error);
    if (error)
    {
        return "ip: " + error.message();
    }
    return this->server->listen({ip, settings.peer_port});
}

void weights_door::take(
    std::shared_ptr<net::server_session> const& session,
    net::request const& asked)
{
    auto const path = read_path(asked.target);
    // A version that is not known here yet is waited for: the news of it may be
    // on its way. Failure: news came to agents half a second apart, and those
    // who had it asked others again and again who had not.
    if (!path || path->model != this->context->model ||
        path->version < this->context->oldest_held())
    {
        session->respond(weights_missing, {}, {});
        return;
    }
    if (path->kind == asked_kind::check)
    {
        session->respond(
            this->participates_in_transfer(path->version) ? 200
                                                          : weights_missing,
            {}, {});
        return;
    }
    if (path->kind == asked_kind::chunk)
    {
        weights::note_fetch_requested(this->line, clock::now());
    }
    auto behind = std::numeric_limits<std::size_t>::max();
    if (path->kind == asked_kind::question)
    {
        behind = 0;
        read_number(
            net::find_field(asked.fields, behind_field).value_or("0"), behind);
    }
    this->line_up(
        {session, path->version, path->kind, path->index,
         clock::now() + max_wait, behind});
    this->serve_waiting();
}

void weights_door::line_up(asked_part const& asked)
{
    auto const place = std::ranges::find_if(
        this->waiting,
        [&asked](asked_part const& other)
        {
            return other.behind < asked.behind;
        });
    this->waiting.insert(place, asked);
}

bool weights_door::participates_in_transfer(std::uint64_t version) const
{
    auto const& known = this->context->versions;
    auto const found = known.find(version);
    return found != known.end() && found->second.manifest;
}

bool weights_door::can_answer(asked_part const& asked) const
{
    if (!this->participates_in_transfer(asked.version))
    {
        return false;
    }
    auto const& chunks =
        this->context->versions.at(asked.version).transfer.chunks;
    if (asked.kind == asked_kind::manifest || asked.index >= chunks.size())
    {
        return true;
    }
    if (asked.kind == asked_kind::question)
    {
        return chunks[asked.index] != nullptr && this->has_room();
    }
    return chunks[asked.index] != nullptr && clock::now() >= this->next_send;
}

void weights_door::answer(asked_part const& asked)
{
    auto const& held = this->context->versions.at(asked.version);
    if (asked.kind == asked_kind::manifest)
    {
        asked.session->respond(200, {}, platform::to_text(*held.manifest));
        return;
    }
    if (asked.index >= held.transfer.chunks.size())
    {
        asked.session->respond(weights_missing, {}, {});
        return;
    }
    if (asked.kind == asked_kind::question)
    {
        weights::note_promised(this->line, clock::now());
        asked.session->respond(weights_ready, {}, {});
        return;
    }
    auto const& bytes = *held.transfer.chunks[asked.index];
    auto const now = clock::now();
    this->sends.push_back({asked.session, now + longest_send});
    this->pace(bytes.size(), now);
    asked.session->respond(200, {}, bytes);
    this->context->counters.count(
        "foxtailvale_weights_sent_bytes_total", {},
        static_cast<double>(bytes.size()));
}

std::string weights_door::holdings(std::uint64_t version) const
{
    auto const found = this->context->versions.find(version);
    return found == this->context->versions.end()
               ? std::string()
               : weights::holdings_of(
                     found->second.transfer, draws_of(*this->context, version),
                     this->context->settings.ip,
                     weights::failures_of(this->context->sources, {}) > 0);
}

bool weights_door::has_room() const
{
    // What stands before a squeezed link elsewhere still takes room here.
    auto const stuck = std::ranges::count_if(
        this->sends,
        [](running_send const& send)
        {
            auto const session = send.session.lock();
            return session && session->is_sending();
        });
    auto seen = this->line;
    seen.waiting += static_cast<std::size_t>(stuck);
    return weights::may_promise(seen, clock::now());
}

void weights_door::serve_waiting()
{
    auto const now = clock::now();
    for (auto place = this->waiting.begin(); place != this->waiting.end();)
    {
        auto const asked = *place;
        auto const gone = !asked.session->awaits_answer();
        auto const answered = !gone && this->can_answer(asked);
        if (!gone && !answered && asked.until > now)
        {
            ++place;
            continue;
        }
        place = this->waiting.erase(place);
        if (asked.kind == asked_kind::chunk)
        {
            weights::note_left(this->line);
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

void weights_door::pace(std::size_t bytes, base::time_point now)
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
                held->serve_waiting();
            }
        });
}

void weights_door::end_stuck()
{
    auto const now = clock::now();
    std::list<running_send> stuck;
    for (auto place = this->sends.begin(); place != this->sends.end();)
    {
        auto const session = place->session.lock();
        if (session && place->until > now)
        {
            ++place;
            continue;
        }
        if (session && session->is_sending())
        {
            stuck.push_back(*place);
        }
        place = this->sends.erase(place);
    }
    for (auto const& entry : stuck)
    {
        if (auto const session = entry.session.lock())
        {
            session->abort();
        }
    }
}

void weights_door::stop()
{
    this->server->stop();
}

} // namespace foxtailvale::gateway
