#include "call.hpp"
#include "domain_reports.hpp"

#include <gateway/entry.hpp>
#include <kernel/events.hpp>
#include <platform/requests.hpp>

#include <csignal>

namespace foxtailvale::gateway
{

namespace
{

using std::chrono::milliseconds;
using clock = std::chrono::steady_clock;

// Waiting requests are tried again this often, beside each time that an
// endpoint's work ends or its agent reports.
constexpr milliseconds tick{20};

// Connections, settings and subscriptions are looked after this often.
constexpr milliseconds maintenance_interval{1000};

// Endpoints that become known within this time are asked together. Failure:
// a fleet registered within seconds, and with each endpoint every entry asked
// all agents of its failure domain anew.
constexpr milliseconds subscribe_pause{100};

// The balancer looks once a second and takes an entry out after two misses;
// until then new connections still come.
constexpr milliseconds balancer_time{2600};

// Left at the end of the time that the platform grants, for the last bytes.
constexpr milliseconds last_moment{400};

base::error_kind kind_of(net::read_fault fault)
{
    switch (fault)
    {
    case net::read_fault::head_too_large:
        return base::error_kind::head_too_large;
    case net::read_fault::body_too_large:
        return base::error_kind::request_too_large;
    case net::read_fault::head_timed_out:
        return base::error_kind::head_timed_out;
    case net::read_fault::malformed:
        break;
    }
    return base::error_kind::malformed_request;
}

} // namespace

entry_process::entry_process(
    boost::asio::io_context& event_loop,
    settings_file& settings_source,
    platform::settings const& given)
    : loop(event_loop), file(settings_source),
      context(std::make_shared<entry_context>(event_loop, given)),
      caller_door(this->make_caller_door()),
      ready_door(this->make_ready_door()),
      peers(std::make_shared<peer_link>(this->context)),
      reports(std::make_shared<domain_reports>(this->context)),
      views(std::make_shared<entry_views>(this->context)),
      signals(event_loop, SIGTERM, SIGINT, SIGHUP), tick_timer(event_loop),
      maintenance_timer(event_loop), subscribe_timer(event_loop),
      stop_timer(event_loop)
{
    this->views->on_limits = [this](routing::caller_limits const& limits)
    {
        this->caller_door->set_limits(
            {limits.head_bytes, limits.body_bytes, limits.head_time,
             limits.idle_time});
    };
    this->views->on_endpoints = [this]
    {
        this->subscribe_soon();
    };
    this->views->on_versions = [this]
    {
        this->peers->subscribe();
    };
}

std::shared_ptr<net::http_server> entry_process::make_caller_door()
{
    auto const shared = this->context;
    net::server_handlers handlers;
    handlers.on_request =
        [shared](
            std::shared_ptr<net::server_session> const& session,
            net::request received)
    {
        std::make_shared<call>(shared, session, std::move(received))->start();
    };
    handlers.on_fault =
        [shared](net::server_session& session, net::read_fault fault)
    {
        auto const kind = kind_of(fault);
        auto const& row = base::row_of(kind);
        shared->counters.count_error(kind);
        kernel::log_event(
            kernel::event_id::request_refused, {{"kind", row.name}});
        session.respond(
            static_cast<unsigned>(row.status), {},
            std::string(row.name) + "\n");
    };
    return std::make_shared<net::http_server>(
        this->loop, net::server_limits{}, std::move(handlers));
}

std::shared_ptr<net::http_server> entry_process::make_ready_door()
{
    net::server_handlers handlers;
    handlers.on_request =
        [this](
            std::shared_ptr<net::server_session> const& session,
            net::request const&)
    {
        session->respond(this->is_ready() ? 200 : 503, {}, {});
    };
    handlers.on_fault = [](net::server_session& session, net::read_fault)
    {
        session.abort();
    };
    return std::make_shared<net::http_server>(
        this->loop, net::server_limits{}, std::move(handlers));
}

bool entry_process::is_ready() const
{
    auto const& state = *this->context;
    if (state.stopping || !state.configuration || !state.confirmed ||
        !this->views->knows_endpoints())
    {
        return false;
    }
    // With an older view callers with keys are refused here, while others
    // may serve them.
    auto const bound = state.settings.promised.key_revocation;
    return base::boot_now() - *state.confirmed < bound - bound / 4;
}

std::optional<std::string> entry_process::start()
{
    auto const& settings = this->context->settings;
    auto const callers = net::parse_endpoint(settings.caller_address);
    auto const balancer = net::parse_endpoint(settings.readiness_address);
    if (!callers || !balancer)
    {
        return "the settings name no addresses for callers";
    }
    if (auto const fault = this->caller_door->listen(*callers))
    {
        return "callers' address: " + *fault;
    }
    if (auto const fault = this->ready_door->listen(*balancer))
    {
        return "readiness address: " + *fault;
    }
    this->views->start();
    this->relay =
        std::make_shared<view_relay>(this->context, this->views->feeds());
    this->join_peers();
    if (auto const fault = this->peers->open())
    {
        return "peers' address: " + *fault;
    }
    if (auto const fault = this->relay->start())
    {
        return "peers' address: " + *fault;
    }
    this->reports->start();
    this->await_signal();
    this->run_tick();
    this->run_maintenance();
    return std::nullopt;
}

void entry_process::join_peers()
{
    this->relay->send =
        [link = this->peers](std::string const& entry, std::string const& bytes)
    {
        link->send(entry, bytes);
    };
    this->reports->send =
        [link = this->peers](std::string const& entry, std::string const& bytes)
    {
        link->send(entry, bytes);
    };
    std::weak_ptr<domain_reports> const reporting = this->reports;
    this->peers->on_report_ask = [reporting](std::string const& from)
    {
        if (auto const found = reporting.lock())
        {
            found->handle_ask(from);
        }
    };
    this->peers->on_passed_reports =
        [reporting](std::string const& from, wire::PassedReports const& passed)
    {
        if (auto const found = reporting.lock())
        {
            found->take_reports(from, passed);
        }
    };
    this->peers->on_named = [reporting](std::string const& domain)
    {
        if (auto const found = reporting.lock())
        {
            found->note_named(domain);
        }
    };
    this->peers->asked_directly = [reporting]
    {
        auto const found = reporting.lock();
        return found ? found->asked_directly() : std::set<std::string>();
    };
    std::weak_ptr<view_relay> const held = this->relay;
    this->peers->on_view_ask =
        [held](std::string const& from, wire::ViewAsk const& ask)
    {
        if (auto const found = held.lock())
        {
            found->handle_ask(from, ask);
        }
    };
    this->peers->on_view_notice =
        [held](std::string const& from, wire::ViewNotice const& notice)
    {
        if (auto const found = held.lock())
        {
            found->handle_notice(from, notice);
        }
    };
}

kernel::metrics const& entry_process::counters() const
{
    return this->context->counters;
}

void entry_process::await_signal()
{
    this->signals.async_wait(
        [self = this->shared_from_this()](
            boost::system::error_code error, int signal)
        {
            if (error)
            {
                return;
            }
            if (signal == SIGHUP)
            {
                self->run_maintenance();
            }
            else
            {
                self->stop();
            }
            self->await_signal();
        });
}

void entry_process::run_tick()
{
    this->tick_timer.expires_after(tick);
    this->tick_timer.async_wait(
        [self = this->shared_from_this()](boost::system::error_code error)
        {
            if (error)
            {
                return;
            }
            direct::note_tick(self->context->pause, base::boot_now());
            note_suspend(*self->context);
            direct::expire(self->context->book, clock::now());
            self->views->expire_domains();
            request::expire(self->context->refusals, clock::now());
            self->peers->tell_refusals();
            serve_all_waiting(*self->context);
            self->run_tick();
        });
}

void entry_process::run_maintenance()
{
    if (auto const changed = this->file.read_changed())
    {
        this->context->settings.promised = changed->promised;
        kernel::log_event(
            kernel::event_id::settings_reloaded, {{"node", changed->name}});
    }
    this->context->pool.sweep();
    tell_traffic(
        this->context->traffic, this->context->book,
        this->context->settings.failure_domain, this->context->counters);
    this->peers->subscribe();
    this->maintenance_timer.expires_after(maintenance_interval);
    this->maintenance_timer.async_wait(
        [self = this->shared_from_this()](boost::system::error_code error)
        {
            if (!error)
            {
                self->run_maintenance();
            }
        });
}

void entry_process::subscribe_soon()
{
    if (std::exchange(this->subscribe_planned, true))
    {
        return;
    }
    this->subscribe_timer.expires_after(subscribe_pause);
    this->subscribe_timer.async_wait(
        [self = this->shared_from_this()](boost::system::error_code error)
        {
            self->subscribe_planned = false;
            if (!error)
            {
                self->peers->subscribe();
            }
        });
}

void entry_process::stop()
{
    if (this->context->stopping)
    {
        return;
    }
    kernel::log_event(kernel::event_id::process_stopping);
    this->context->stopping = true;
    this->relay->retire();
    this->stop_began = clock::now();
    this->caller_door->announce_close();
    this->await_end();
}

void entry_process::await_end()
{
    auto const passed = clock::now() - this->stop_began;
    auto const granted = this->context->settings.promised.stop - last_moment;
    if (passed >= balancer_time)
    {
        this->caller_door->close_idle();
    }
    auto const done =
        passed >= balancer_time && this->caller_door->open_sessions() == 0;
    if (done || passed >= granted)
    {
        kernel::log_event(
            kernel::event_id::process_stopped,
            {{"cut", this->caller_door->running_requests()}});
        this->loop.stop();
        return;
    }
    constexpr milliseconds look{50};
    this->stop_timer.expires_after(look);
    this->stop_timer.async_wait(
        [self = this->shared_from_this()](boost::system::error_code error)
        {
            if (!error)
            {
                self->await_end();
            }
        });
}

} // namespace foxtailvale::gateway
