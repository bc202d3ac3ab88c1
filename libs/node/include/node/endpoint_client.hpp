#ifndef FOXTAILVALE_NODE_ENDPOINT_CLIENT_HPP
#define FOXTAILVALE_NODE_ENDPOINT_CLIENT_HPP

#include <agent_core/events.hpp>
#include <node/worker_pool.hpp>

#include <http/http_client.hpp>

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>

namespace foxtailvale::node
{

// Addresses that the client calls or passes to the engine.
struct endpoint_addresses
{
    std::string endpoint;
    std::string origin;
    // Where the engine fetches weights from this agent.
    std::string own_weights;
    // Name of the service; empty for an engine.
    std::string service;
};

// Calls the endpoint beside the agent and the origin of weights on threads of
// its own, and posts the results to the loop as events of the core.
class endpoint_client
{
public:
    using handler = std::function<void(agent_core::event)>;

    endpoint_client(
        event_loop& loop, endpoint_addresses addresses, handler receive);

    void start(agent_core::start_attempt work);
    void cancel(base::attempt_id attempt);
    void order(agent_core::order_engine order);
    void fetch(agent_core::fetch_manifest fetch);
    void fetch(agent_core::fetch_chunk fetch);

    // Requests the state of the endpoint; the result arrives as an
    // endpoint_report.
    void poll();

private:
    void deliver(agent_core::event event);
    bool is_cancelled(base::attempt_id attempt);
    void run_work(agent_core::start_attempt const& work);

    event_loop& loop;
    endpoint_addresses addresses;
    handler receiver;
    std::mutex mutex;
    std::map<base::attempt_id, std::shared_ptr<http::call_control>> active;
    std::set<base::attempt_id> cancelled;
    std::shared_ptr<http::idle_connection_pool> idle_pool;
    std::shared_ptr<http::body_budget> budget;
    worker_pool work_pool;
    worker_pool transfer_pool;
    worker_pool poll_pool;
};

} // namespace foxtailvale::node

#endif
