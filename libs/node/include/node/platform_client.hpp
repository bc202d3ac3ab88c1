#ifndef FOXTAILVALE_NODE_PLATFORM_CLIENT_HPP
#define FOXTAILVALE_NODE_PLATFORM_CLIENT_HPP

#include <node/worker_pool.hpp>

#include <core/platform.hpp>
#include <http/http_client.hpp>

#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <string>

namespace foxtailvale::node
{

// Makes one blocking call to the platform's object API. Cancelling the control
// ends a watch that is waiting.
core::platform_answer call_platform(
    std::string const& base,
    core::platform_call const& call,
    std::shared_ptr<http::call_control> control = nullptr);

// Calls the platform on threads of its own and delivers the answers on the
// loop.
class platform_client
{
public:
    using handler = std::function<void(core::platform_answer)>;

    platform_client(event_loop& loop, std::string base, handler answer);

    // Cancels running calls. Waiting for a watch to end would hold the VM of a
    // stopped entry for as long.
    ~platform_client();
    platform_client(platform_client const&) = delete;
    platform_client& operator=(platform_client const&) = delete;

    void call(core::platform_call call);

private:
    std::shared_ptr<http::call_control> start_call();
    void finish_call(std::shared_ptr<http::call_control> const& control);

    event_loop& loop;
    std::string base;
    handler receiver;
    std::mutex mutex;
    bool stopping = false;
    std::set<std::shared_ptr<http::call_control>> active;
    worker_pool pool;
};

} // namespace foxtailvale::node

#endif
