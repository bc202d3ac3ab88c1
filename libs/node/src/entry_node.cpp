#include "common_actions.hpp"

#include <entry_core/entry_core.hpp>
#include <kernel/registry.hpp>
#include <node/caller_server.hpp>
#include <node/entry_node.hpp>
#include <node/operator_server.hpp>
#include <node/platform_client.hpp>

#include <malloc.h>
#include <nlohmann/json.hpp>

#include <cstdlib>

namespace foxtailvale::node
{

namespace
{

constexpr std::chrono::milliseconds tick_interval{20};
constexpr std::chrono::milliseconds traffic_interval{500};
// How long a stopping entry waits for callers that read slowly.
constexpr std::chrono::milliseconds drain_timeout{30'000};
constexpr std::uint16_t operator_threads = 4;
constexpr int max_arenas = 4;

// Connects the entry's core to its adapters. Used on the loop's thread only.
class entry_driver
{
public:
    entry_driver(
        event_loop& owner,
        release::entry_settings const& settings,
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
            settings.node.region, settings.max_requests};
        this->core.self.drain_limits.grace = settings.node.stop_grace;
        this->core.random.value = base::entropy_seed();
    }

    void attach(
        std::shared_ptr<platform_client> client,
        std::shared_ptr<caller_server> server,
        std::shared_ptr<operator_server> operators)
    {
        this->platform = std::move(client);
        this->callers = std::move(server);
        this->operator_port = std::move(operators);
    }

    void handle(entry_core::event const& event)
    {
        auto actions = entry_core::step(
            this->core, event, std::chrono::steady_clock::now());
        for (auto& action : actions)
        {
            std::visit(*this, action);
        }
        if (this->operator_port)
        {
            this->operator_port->set_ready(
                this->core.control.readiness.ready &&
                !this->core.control.stopping);
        }
    }

    // Body of /v1/models.
    std::string models() const
    {
        nlohmann::json data = nlohmann::json::array();
        for (auto const& [name, model] :
             this->core.control.configuration.models)
        {
            data.push_back(
                {{"id", name},
                 {"object", "model"},
                 {"weights_digest", model.digest}});
        }
        return nlohmann::json{{"object", "list"}, {"data", std::move(data)}}
            .dump();
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
        if (this->draining)
        {
            return;
        }
        this->draining = true;
        this->drain_worker.run(
            [this, server = this->callers]
            {
                server->drain(drain_timeout);
                this->loop.stop();
            });
    }

    void operator()(core::platform_call& action)
    {
        this->platform->call(action);
    }

    void operator()(entry_core::reply& action)
    {
        this->callers->deliver(std::move(action));
    }

    void operator()(entry_core::refuse& action)
    {
        this->callers->deliver(std::move(action));
    }

private:
    event_loop& loop;
    common_actions common;
    entry_core::state core;
    std::shared_ptr<platform_client> platform;
    std::shared_ptr<caller_server> callers;
    std::shared_ptr<operator_server> operator_port;
    // Waits until the last bytes to callers are written, which would block the
    // loop.
    bool draining = false;
    worker_pool drain_worker{1};
};

} // namespace

int run_entry(release::entry_settings const& settings)
{
    // Without this limit each caller's thread would use a malloc arena of its
    // own, and memory freed in one would not be available to the others.
    mallopt(M_ARENA_MAX, max_arenas);
    auto const& node = settings.node;
    event_loop loop;
    std::shared_ptr<entry_driver> driver;
    std::shared_ptr<caller_server> callers;
    loop.on_stop_signal(
        [&driver, &callers]
        {
            callers->announce_close();
            driver->handle(core::stop_requested{});
        });

    auto const metrics = std::make_shared<kernel::metrics>();
    auto const bus =
        std::make_shared<peer_bus>(loop, node, base::entropy_seed());
    driver = std::make_shared<entry_driver>(loop, settings, bus, metrics);
    auto const handle = [&driver](entry_core::event event)
    {
        driver->handle(event);
    };
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
    auto const platform =
        std::make_shared<platform_client>(loop, node.platform, handle);
    callers = std::make_shared<caller_server>(
        loop, settings, handle,
        [&driver](base::error const& error, std::string const& caller)
        {
            driver->report_fault(error, "caller " + caller);
        },
        [&driver]
        {
            return driver->models();
        });
    auto const operators = std::make_shared<operator_server>(
        http::server_options{
            node.address, node.operator_port, operator_threads},
        metrics);

    kernel::registry services;
    services.add("metrics", metrics, {});
    services.add("peers", bus, {});
    services.add("platform", platform, {});
    services.add("callers", callers, {"core"});
    services.add("operators", operators, {"metrics"});
    services.add(
        "core", driver, {"peers", "platform"},
        [&]
        {
            driver->attach(platform, callers, operators);
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
        });
    auto const started = services.start_all();
    if (!started)
    {
        kernel::log_error(started.error());
        return EXIT_FAILURE;
    }
    kernel::log_event(kernel::event_id::process_started);
    loop.run();
    services.stop_all();
    kernel::log_event(kernel::event_id::process_stopped);
    driver->attach(nullptr, nullptr, nullptr);
    return EXIT_SUCCESS;
}

} // namespace foxtailvale::node
