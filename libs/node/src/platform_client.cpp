#include <node/platform_client.hpp>

#include <http/http_client.hpp>

#include <charconv>

namespace foxtailvale::node
{

namespace
{

// Limit of concurrent calls: a waiting watch holds one, and the others must not
// wait behind it. A claim takes some milliseconds, so this can handle several
// thousand of them a second, more than the platform does.
constexpr std::size_t max_calls = 16;

constexpr std::chrono::milliseconds watch_grace{1000};

http::request
make_request(std::string const& base, core::platform_call const& call)
{
    using core::platform_method;
    http::request request;
    request.base = base;
    request.timeout = call.wait;
    switch (call.method)
    {
    case platform_method::get:
        request.path = "/objects/" + call.path;
        break;
    case platform_method::put:
        request.method = "PUT";
        request.path = "/objects/" + call.path;
        request.headers["If-Match"] = std::to_string(call.expected);
        request.content_type = "application/json";
        request.body = call.value;
        break;
    case platform_method::watch:
        request.path = "/watch/" + call.path +
                       "?after=" + std::to_string(call.expected) +
                       "&wait_ms=" + std::to_string(call.wait.count());
        request.timeout = call.wait + watch_grace;
        break;
    case platform_method::list:
        request.path = "/list/" + call.path;
        break;
    case platform_method::vms:
        request.path = "/vms";
        request.headers["If-None-Match"] = std::to_string(call.expected);
        break;
    }
    return request;
}

base::error_kind kind_for(std::uint32_t status)
{
    switch (status)
    {
    case 404:
    case 204:
    case 304:
        return base::error_kind::not_found;
    case 412:
        return base::error_kind::platform_conflict;
    case 429:
        return base::error_kind::platform_refused;
    default:
        return base::error_kind::platform_unavailable;
    }
}

std::uint64_t read_version(http::response const& response)
{
    std::uint64_t version = 0;
    auto const found = response.headers.find("X-Version");
    if (found != response.headers.end())
    {
        auto const& text = found->second;
        std::from_chars(text.data(), text.data() + text.size(), version);
    }
    return version;
}

} // namespace

core::platform_answer call_platform(
    std::string const& base,
    core::platform_call const& call,
    std::shared_ptr<http::call_control> control)
{
    core::platform_answer answer;
    answer.id = call.id;
    auto request = make_request(base, call);
    request.control = std::move(control);
    auto const response = http::call(request);
    if (!response)
    {
        return answer;
    }
    answer.ok = response.value().status == 200;
    if (!answer.ok)
    {
        answer.error = kind_for(response.value().status);
    }
    answer.version = read_version(response.value());
    answer.value = response.value().body;
    return answer;
}

platform_client::platform_client(
    event_loop& owner, std::string address, handler answer)
    : loop(owner), base(std::move(address)), receiver(std::move(answer)),
      pool(max_calls)
{
}

platform_client::~platform_client()
{
    std::lock_guard const lock(this->mutex);
    this->stopping = true;
    for (auto const& control : this->active)
    {
        control->cancel();
    }
}

std::shared_ptr<http::call_control> platform_client::start_call()
{
    auto control = std::make_shared<http::call_control>();
    std::lock_guard const lock(this->mutex);
    if (this->stopping)
    {
        control->cancel();
    }
    this->active.insert(control);
    return control;
}

void platform_client::finish_call(
    std::shared_ptr<http::call_control> const& control)
{
    std::lock_guard const lock(this->mutex);
    this->active.erase(control);
}

void platform_client::call(core::platform_call call)
{
    this->pool.run(
        [this, call = std::move(call)]
        {
            auto const control = this->start_call();
            auto answer = call_platform(this->base, call, control);
            this->finish_call(control);
            this->loop.post(
                [this, answer = std::move(answer)]() mutable
                {
                    this->receiver(std::move(answer));
                });
        });
}

} // namespace foxtailvale::node
