#include <node/endpoint_client.hpp>

#include <http/http_client.hpp>
#include <nlohmann/json.hpp>

#include <optional>

namespace foxtailvale::node
{

namespace
{

using std::chrono::milliseconds;

// The gate bounds the running attempts; this only bounds threads.
constexpr std::size_t max_work_threads = 256;
constexpr std::size_t max_transfer_threads = 8;

// Bodies of answers that are being read at one time. One answer may have a
// quarter of them.
constexpr std::size_t max_bodies_bytes = 256UL * 1024 * 1024;

constexpr milliseconds order_timeout{10'000};
constexpr milliseconds poll_timeout{1000};
constexpr milliseconds origin_timeout{5000};

// Marks the end of an engine's stream; a stream without it was cut off.
constexpr std::string_view stream_end = "data: [DONE]";

http::request make_request(std::string const& endpoint, wire::Run const& run)
{
    http::request request;
    request.base = endpoint;
    request.method = run.method();
    request.path = run.path();
    request.content_type = run.content_type();
    request.body = run.body();
    request.timeout = milliseconds(run.time_left_ms());
    request.headers["X-Request-Id"] = run.request_id();
    if (run.resume_from() > 0)
    {
        request.headers["X-Resume-From"] = std::to_string(run.resume_from());
    }
    return request;
}

base::error status_error(std::uint32_t status, std::string const& what)
{
    auto const kind = status == 409   ? base::error_kind::stale_fencing
                      : status == 429 ? base::error_kind::origin_refused
                                      : base::error_kind::endpoint_failed;
    return {kind, what + " answered " + std::to_string(status)};
}

std::optional<base::error>
failure_of(base::result<http::response> const& answer, std::string const& what)
{
    if (!answer)
    {
        return answer.error();
    }
    if (answer.value().status != 200)
    {
        return status_error(answer.value().status, what);
    }
    return std::nullopt;
}

agent_core::endpoint_report read_report(std::string const& text)
{
    agent_core::endpoint_report report;
    auto const value = nlohmann::json::parse(text, nullptr, false);
    if (!value.is_object())
    {
        return report;
    }
    report.reachable = true;
    report.instance = value.value("instance", "");
    report.cold = value.value("cold", false);
    for (auto const& model : value.value("models", nlohmann::json::array()))
    {
        report.loaded.push_back(
            {model.value("model", ""), model.value("digest", "")});
    }
    return report;
}

} // namespace

endpoint_client::endpoint_client(
    event_loop& owner, endpoint_addresses where, handler receive)
    : loop(owner), addresses(std::move(where)), receiver(std::move(receive)),
      idle_pool(http::make_idle_connection_pool()),
      budget(std::make_shared<http::body_budget>(max_bodies_bytes)),
      work_pool(max_work_threads), transfer_pool(max_transfer_threads),
      poll_pool(1)
{
}

void endpoint_client::deliver(agent_core::event event)
{
    this->loop.post(
        [this, event = std::move(event)]() mutable
        {
            this->receiver(std::move(event));
        });
}

bool endpoint_client::is_cancelled(base::attempt_id attempt)
{
    std::lock_guard const lock(this->mutex);
    return this->cancelled.contains(attempt);
}

void endpoint_client::start(agent_core::start_attempt work)
{
    {
        std::lock_guard const lock(this->mutex);
        this->active.emplace(
            work.attempt, std::make_shared<http::call_control>());
    }
    this->work_pool.run(
        [this, work = std::move(work)]
        {
            this->run_work(work);
        });
}

void endpoint_client::cancel(base::attempt_id attempt)
{
    std::lock_guard const lock(this->mutex);
    auto const call = this->active.find(attempt);
    if (call != this->active.end())
    {
        this->cancelled.insert(attempt);
        call->second->cancel();
    }
}

void endpoint_client::run_work(agent_core::start_attempt const& work)
{
    auto const attempt = work.attempt;
    auto ended = false;
    auto const on_piece = [&](http::response const& head, std::string piece)
    {
        auto const is_stream =
            head.content_type.starts_with("text/event-stream");
        ended = !is_stream || piece.starts_with(stream_end);
        this->deliver(agent_core::attempt_output{
            attempt, head.status, head.content_type, std::move(piece), ended,
            std::nullopt});
        return !this->is_cancelled(attempt);
    };
    auto request = make_request(this->addresses.endpoint, work.run);
    {
        std::lock_guard const lock(this->mutex);
        request.control = this->active.at(attempt);
    }
    request.budget = this->budget;
    if (work.run.token() == 0)
    {
        request.idle_pool = this->idle_pool;
    }
    auto const answer = http::stream(request, on_piece);
    if (!ended)
    {
        auto const failure =
            answer
                ? base::error{base::error_kind::endpoint_lost, "stream was cut"}
                : answer.error();
        this->deliver(
            agent_core::attempt_output{attempt, 0, "", "", true, failure});
    }
    std::lock_guard const lock(this->mutex);
    this->active.erase(attempt);
    this->cancelled.erase(attempt);
}

void endpoint_client::order(agent_core::order_engine order)
{
    this->transfer_pool.run(
        [this, order = std::move(order)]
        {
            auto const load = order.kind == agent_core::order_kind::load;
            http::request request;
            request.budget = this->budget;
            request.base = this->addresses.endpoint;
            request.method = "POST";
            request.path = "/orders";
            request.content_type = "application/json";
            request.timeout = order_timeout;
            request.body =
                nlohmann::json{
                    {"kind", load ? "load" : "unload"},
                    {"model", order.model},
                    {"digest", order.digest},
                    {"fencing", order.fencing},
                    {"source", this->addresses.own_weights}}
                    .dump();
            auto const answer = http::call(request);
            this->deliver(agent_core::order_answered{
                order.order, failure_of(answer, "engine")});
            this->poll();
        });
}

void endpoint_client::fetch(agent_core::fetch_manifest fetch)
{
    this->transfer_pool.run(
        [this, digest = std::move(fetch.digest)]
        {
            http::request request;
            request.budget = this->budget;
            request.base = this->addresses.origin;
            request.path = "/weights/" + digest + "/manifest";
            request.timeout = origin_timeout;
            auto const answer = http::call(request);
            auto text = answer ? answer.value().body : std::string();
            this->deliver(agent_core::origin_manifest{
                digest, std::move(text), failure_of(answer, "origin")});
        });
}

void endpoint_client::fetch(agent_core::fetch_chunk fetch)
{
    this->transfer_pool.run(
        [this, fetch = std::move(fetch)]
        {
            http::request request;
            request.budget = this->budget;
            request.base = this->addresses.origin;
            request.path = "/weights/" + fetch.digest + "/chunks/" +
                           std::to_string(fetch.index);
            request.timeout = origin_timeout;
            auto const answer = http::call(request);
            auto bytes = answer ? answer.value().body : std::string();
            this->deliver(agent_core::origin_chunk{
                fetch.digest, fetch.index, std::move(bytes),
                failure_of(answer, "origin")});
        });
}

void endpoint_client::poll()
{
    this->poll_pool.run(
        [this]
        {
            http::request request;
            request.budget = this->budget;
            request.base = this->addresses.endpoint;
            request.path = "/state";
            request.timeout = poll_timeout;
            auto const asked = std::chrono::steady_clock::now();
            auto const answer = http::call(request);
            auto const failed = failure_of(answer, "endpoint").has_value();
            auto report = failed ? agent_core::endpoint_report{}
                                 : read_report(answer.value().body);
            report.asked = asked;
            this->deliver(std::move(report));
        });
}

} // namespace foxtailvale::node
