#ifndef FOXTAILVALE_NODE_COMMON_ACTIONS_HPP
#define FOXTAILVALE_NODE_COMMON_ACTIONS_HPP

#include <kernel/metrics.hpp>
#include <node/event_loop.hpp>
#include <node/peer_bus.hpp>

#include <core/messages.hpp>

#include <functional>
#include <memory>
#include <string>

namespace foxtailvale::node
{

// Carries out the actions that the cores of entries and agents have in common.
class common_actions
{
public:
    using failure_handler = std::function<void(core::send_failed)>;

    common_actions(
        event_loop& loop,
        std::shared_ptr<peer_bus> bus,
        std::shared_ptr<kernel::metrics> metrics,
        failure_handler on_failure);

    void operator()(core::send_message& action);
    void operator()(core::connect_peer const& action);
    void operator()(core::disconnect_peer const& action);
    void operator()(core::write_log const& action);
    void operator()(core::report_error const& action);
    void operator()(core::count_retry const& action);
    void operator()(core::count_metric const& action);

    // Adds the bytes sent and received since the last call to the metrics.
    void publish_traffic();

    // Counts and logs a dropped frame or a refused request; logs at most once a
    // minute for each peer.
    void report_fault(base::error const& error, std::string const& peer);

private:
    event_loop& loop;
    std::shared_ptr<peer_bus> bus;
    std::shared_ptr<kernel::metrics> metrics;
    failure_handler on_failure;
    // Time of the last log line about bad frames, by peer.
    std::map<std::string, base::time_point> logged;
};

} // namespace foxtailvale::node

#endif
