#include "weights_door.hpp"

#include <charconv>
#include <cstdio>

namespace foxtailvale::gateway
{

namespace
{

using clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds longest_wait{400};

constexpr std::string_view root = "/weights/";

net::request peer_request(std::string target)
{
    return net::request{
        .method = "GET",
        .target = std::move(target),
        .fields = {{"Host", "agent"}},
        .body = {}};
}

// "/weights/MODEL/VERSION/INDEX", or "manifest" in place of the index.
struct asked_path
{
    std::string model;
    std::uint64_t version = 0;
    bool manifest = false;
    std::uint32_t index = 0;
};

template <class Number>
bool read_number(std::string_view text, Number& number)
{
    auto const end = text.data() + text.size();
    auto const parsed = std::from_chars(text.data(), end, number);
    return parsed.ec == std::errc{} && parsed.ptr == end;
}

std::optional<asked_path> read_path(std::string_view target)
{
    if (!target.starts_with(root))
    {
        return std::nullopt;
    }
    target.remove_prefix(root.size());
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
    asked_path read;
    read.model = std::string(target.substr(0, middle));
    auto const version = target.substr(middle + 1, last - middle - 1);
    auto const what = target.substr(last + 1);
    if (!read_number(version, read.version))
    {
        return std::nullopt;
    }
    read.manifest = what == "manifest";
    if (!read.manifest && !read_number(what, read.index))
    {
        return std::nullopt;
    }
    return read;
}

} // namespace

net::request
peer_manifest_request(std::string const& model, std::uint64_t version)
{
    return peer_request(
        std::string(root) + model + "/" + std::to_string(version) +
        "/manifest");
}

net::request peer_chunk_request(
    std::string const& model, std::uint64_t version, std::uint32_t index)
{
    return peer_request(
        std::string(root) + model + "/" + std::to_string(version) + "/" +
        std::to_string(index));
}

weights_door::weights_door(std::shared_ptr<agent_context> shared)
    : context(std::move(shared))
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
    auto const& held = this->context->manifest;
    auto const known = path && held && held->model == path->model &&
                       held->version == path->version;
    if (!known)
    {
        session->respond(weights_missing, {}, {});
        return;
    }
    if (path->manifest)
    {
        session->respond(200, {}, platform::to_text(*held));
        return;
    }
    asked_chunk const chunk{
        session, path->model, path->version, path->index,
        clock::now() + longest_wait};
    if (!this->answer(chunk))
    {
        this->waiting.push_back(chunk);
    }
}

bool weights_door::answer(asked_chunk const& asked)
{
    auto const& held = this->context->manifest;
    auto const& chunks = this->context->transfer.chunks;
    if (!held || held->version != asked.version || held->model != asked.model ||
        asked.index >= chunks.size())
    {
        asked.session->respond(weights_missing, {}, {});
        return true;
    }
    if (chunks[asked.index])
    {
        asked.session->respond(200, {}, *chunks[asked.index]);
        this->context->counters.count(
            "foxtailvale_weights_sent_bytes_total", {},
            static_cast<double>(chunks[asked.index]->size()));
        return true;
    }
    return false;
}

void weights_door::serve_waiting()
{
    auto const now = clock::now();
    this->waiting.remove_if(
        [this, now](asked_chunk const& asked)
        {
            if (!asked.session->awaits_answer() || this->answer(asked))
            {
                return true;
            }
            if (asked.until > now)
            {
                return false;
            }
            asked.session->respond(weights_not_yet, {}, {});
            return true;
        });
}

void weights_door::stop()
{
    this->server->stop();
}

} // namespace foxtailvale::gateway
