#include "common_actions.hpp"

#include <agent_core/agent_core.hpp>
#include <kernel/registry.hpp>
#include <node/agent_node.hpp>
#include <node/endpoint_client.hpp>
#include <node/operator_server.hpp>
#include <node/weights_server.hpp>

#include <cstdlib>

namespace foxtailvale::node
{

namespace
{

constexpr std::chrono::milliseconds tick_interval{20};
constexpr std::chrono::milliseconds traffic_interval{500};
constexpr std::chrono::milliseconds poll_interval{200};
constexpr std::uint16_t server_threads = 4;
constexpr double bytes_per_second_in_mbit = 1'000'000.0 / 8;

// Applies the settings for the distribution of weights and its rates.
void apply_distribution_settings(
    agent_core::weights_state& weights, release::agent_settings const& settings)
{
    using agent_core::distribution;
    weights.how = settings.distribution == "swarm"    ? distribution::swarm
                  : settings.distribution == "origin" ? distribution::origin
                                                      : distribution::forest;
    weights.uploads.bytes_per_second =
        settings.upload_mbit * bytes_per_second_in_mbit;
    auto const share = (100.0 - settings.live_reserve_percent) / 100.0;
    weights.origin.bytes_per_second =
        settings.origin_link_mbit * bytes_per_second_in_mbit * share;
}

// Connects the agent's core to its adapters. Used on the loop's thread only.
class agent_driver
{
public:
    agent_driver(
        event_loop& owner,
        release::agent_settings const& settings,
        std::shared_ptr<peer_bus> bus,
        std::shared_ptr<kernel::metrics> metrics)
        : loop(owner), common(
                           owner,
                           std::move(bus),
                           std::move(metrics),
                           [this](core::send_failed failed)
                           {
                               this->handle(std::move(failed));
                           })
    {
        this->core.self = {
            settings.node.name, settings.node.failure_domain,
            settings.node.region, settings.service};
        this->core.self.drain_limits.grace = settings.node.stop_grace;
        this->core.random.value = base::entropy_seed();
        this->core.weights.store.capacity_bytes = settings.spool_bytes;
        apply_distribution_settings(this->core.weights, settings);
    }

    void attach(
        std::shared_ptr<endpoint_client> client,
        std::shared_ptr<weights_server> server,
        std::shared_ptr<operator_server> operators)
    {
        this->endpoint = std::move(client);
        this->weights = std::move(server);
        this->operator_port = std::move(operators);
    }

    void handle(agent_core::event const& event)
    {
        auto actions = agent_core::step(
            this->core, event, std::chrono::steady_clock::now());
        for (auto& action : actions)
        {
            std::visit(*this, action);
        }
        if (this->operator_port)
        {
            this->operator_port->set_ready(
                this->core.control.endpoint_reachable &&
                !this->core.control.stopping);
        }
    }

    void report_fault(base::error const& error, std::string const& peer)
    {
        this->common.report_fault(error, peer);
    }

    void publish_traffic()
    {
        this->common.publish_traffic();
    }

    template <class Action>
    void operator()(Action& action)
    {
        this->common(action);
    }

    void operator()(core::stop_finished& /*action*/)
    {
        this->loop.stop();
    }

    void operator()(agent_core::start_attempt& action)
    {
        this->endpoint->start(std::move(action));
    }

    void operator()(agent_core::stop_attempt& action)
    {
        this->endpoint->cancel(action.attempt);
    }

    void operator()(agent_core::fetch_manifest& action)
    {
        this->endpoint->fetch(std::move(action));
    }

    void operator()(agent_core::fetch_chunk& action)
    {
        this->endpoint->fetch(std::move(action));
    }

    void operator()(agent_core::order_engine& action)
    {
        auto const& versions = this->core.weights.store.versions;
        std::vector<std::string> digests;
        for (auto const& [digest, version] : versions)
        {
            digests.push_back(digest);
        }
        this->weights->keep_only(digests);
        auto const version = versions.find(action.digest);
        if (version != versions.end())
        {
            this->weights->offer(action.digest, version->second);
        }
        this->endpoint->order(std::move(action));
    }

private:
    event_loop& loop;
    common_actions common;
    agent_core::state core;
    std::shared_ptr<endpoint_client> endpoint;
    std::shared_ptr<weights_server> weights;
    std::shared_ptr<operator_server> operator_port;
};

std::string own_weights_address(release::agent_settings const& settings)
{
    return "http://" + settings.node.address + ":" +
           std::to_string(settings.weights_port);
}

} // namespace

int run_agent(release::agent_settings const& settings)
{
    auto const& node = settings.node;
    event_loop loop;
    std::shared_ptr<agent_driver> driver;
    loop.on_stop_signal(
        [&driver]
        {
            driver->handle(core::stop_requested{});
        });

    auto const metrics = std::make_shared<kernel::metrics>();
    auto const bus =
        std::make_shared<peer_bus>(loop, node, base::entropy_seed());
    driver = std::make_shared<agent_driver>(loop, settings, bus, metrics);
    bus->on_message(
        [&driver](std::string peer, wire::Envelope envelope)
        {
            driver->handle(
                core::message_received{std::move(peer), std::move(envelope)});
        });
    bus->on_fault(
        [&driver](base::error const& error, std::string const& peer)
        {
            driver->report_fault(error, peer);
        });
    auto const endpoint = std::make_shared<endpoint_client>(
        loop,
        endpoint_addresses{
            settings.endpoint, settings.origin, own_weights_address(settings),
            settings.service},
        [&driver](agent_core::event event)
        {
            driver->handle(event);
        });
    auto const weights = std::make_shared<weights_server>(http::server_options{
        node.address, settings.weights_port, server_threads});
    auto const operators = std::make_shared<operator_server>(
        http::server_options{node.address, node.operator_port, server_threads},
        metrics);

    kernel::registry services;
    services.add("metrics", metrics, {});
    services.add("peers", bus, {});
    services.add("endpoint", endpoint, {});
    services.add("weights", weights, {});
    services.add("operators", operators, {"metrics"});
    services.add(
        "core", driver, {"peers", "endpoint", "weights"},
        [&]
        {
            driver->attach(endpoint, weights, operators);
            loop.call_every(
                tick_interval,
                [&driver]
                {
                    driver->handle(core::tick{});
                });
            loop.call_every(
                traffic_interval,
                [&driver]
                {
                    driver->publish_traffic();
                });
            loop.call_every(
                poll_interval,
                [&endpoint]
                {
                    endpoint->poll();
                });
        });
    auto const started = services.start_all();
    if (!started)
    {
        kernel::log_error(started.error());
        return EXIT_FAILURE;
    }
    kernel::log_event(kernel::event_id::process_started);
    loop.run();
    bus->flush_on_close();
    services.stop_all();
    kernel::log_event(kernel::event_id::process_stopped);
    driver->attach(nullptr, nullptr, nullptr);
    return EXIT_SUCCESS;
}

} // namespace foxtailvale::node
