#include "call.hpp"
#include "domain_reports.hpp"
#include "graceful_stop.hpp"

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

// Interval at which queued requests are tried again, in addition to each time
// that an endpoint completes a request or its agent reports.
constexpr milliseconds tick_interval{20};

// Interval of the maintenance of connections, settings and subscriptions.
constexpr milliseconds maintenance_interval{1000};

// Endpoints listed within this time are subscribed to together. Failure: a
// fleet registered within seconds, and for each endpoint every entry subscribed
// again to all agents of its failure domain.
constexpr milliseconds subscribe_delay{100};

base::error_kind error_kind_of(net::read_fault fault)
{
    switch (fault)
    {
    case net::read_fault::head_too_large:
        return base::error_kind::head_too_large;
    case net::read_fault::body_too_large:
        return base::error_kind::request_too_large;
    case net::read_fault::head_timed_out:
        return base::error_kind::head_timed_out;
    case net::read_fault::body_timed_out:
        return base::error_kind::body_timed_out;
    case net::read_fault::capacity_exceeded:
        return base::error_kind::entry_overloaded;
    case net::read_fault::process_ends:
        return base::error_kind::entry_stopping;
    case net::read_fault::malformed:
        break;
    }
    return base::error_kind::malformed_request;
}

char const* name_of(net::close_reason reason)
{
    switch (reason)
    {
    case net::close_reason::connections_exhausted:
        return "connections_exhausted";
    case net::close_reason::answers_exhausted:
        return "answers_exhausted";
    case net::close_reason::reader_stalled:
        break;
    }
    return "reader_stalled";
}

net::process_limits limits_of(platform::settings const& settings)
{
    return net::limits_of_process(
        settings.memory_bytes, settings.max_descriptors);
}

// Retry-After for a caller whose request was refused before its head was known.
milliseconds retry_after_of(base::error_row const& row, entry_context& context)
{
    // Random, so that callers who were refused together do not come back
    // together.
    return row.retry_after.count() == 0
               ? row.retry_after
               : row.retry_after / 2 +
                     milliseconds(base::random_below(
                         context.random,
                         static_cast<std::uint64_t>(row.retry_after.count())));
}

} // namespace

entry_process::entry_process(
    boost::asio::io_context& event_loop,
    settings_file& settings_source,
    platform::settings const& given)
    : loop(event_loop), file(settings_source),
      context(std::make_shared<entry_context>(event_loop, given)),
      caller_server(this->make_caller_server()),
      readiness_server(this->make_readiness_server()),
      peers(std::make_shared<peer_link>(this->context)),
      reports(std::make_shared<domain_reports>(this->context)),
      views(std::make_shared<entry_views>(this->context)),
      signals(event_loop, SIGTERM, SIGINT, SIGHUP), tick_timer(event_loop),
      maintenance_timer(event_loop), subscribe_timer(event_loop),
      stopping(
          std::make_shared<graceful_stop>(this->context, this->caller_server))
{
    this->views->on_limits = [this](routing::caller_limits const& limits)
    {
        this->caller_server->set_limits(
            {limits.head_bytes, limits.body_bytes, limits.head_time,
             limits.idle_time});
    };
    this->views->on_endpoints = [this]
    {
        this->schedule_subscribe();
    };
    this->views->on_versions = [this]
    {
        this->peers->subscribe();
    };
}

std::shared_ptr<net::http_server> entry_process::make_caller_server()
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
        auto const kind = error_kind_of(fault);
        auto const& row = base::row_of(kind);
        shared->counters.count_error(kind);
        kernel::log_event(
            kernel::event_id::request_refused,
            {{"kind", row.name},
             {"caller", session.client().address().to_string()}});
        session.respond(
            static_cast<unsigned>(row.status),
            platform::refusal_fields("", retry_after_of(row, *shared)),
            std::string(row.name) + "\n");
    };
    handlers.request_time = platform::read_time_limit;
    handlers.on_close =
        [this](net::server_session const& session, net::close_reason reason)
    {
        this->note_closed(session, reason);
    };
    handlers.on_accept_failed = [shared](std::string const& fault)
    {
        shared->counters.count("foxtailvale_accept_failures_total", {});
        kernel::log_event(kernel::event_id::accept_failed, {{"why", fault}});
    };
    return std::make_shared<net::http_server>(
        this->loop, net::server_limits{}, std::move(handlers),
        net::caller_capacity(limits_of(shared->settings)));
}

std::shared_ptr<net::http_server> entry_process::make_readiness_server()
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
        this->loop, net::server_limits{}, std::move(handlers),
        net::question_capacity());
}

void entry_process::note_closed(
    net::server_session const& session, net::close_reason reason)
{
    auto const all = this->caller_server->current_load();
    auto const held = session.current_load(clock::now());
    this->context->counters.count(
        "foxtailvale_connections_closed_total", {{"why", name_of(reason)}});
    kernel::log_event(
        kernel::event_id::connection_closed,
        {{"caller", session.client().address().to_string()},
         {"request", session.request_name()},
         {"why", name_of(reason)},
         {"request_bytes", held.request_bytes},
         {"unsent_bytes", held.unsent_bytes},
         {"all_request_bytes", all.request_bytes},
         {"all_unsent_bytes", all.unsent_bytes},
         {"connections", all.connections}});
}

void entry_process::note_load()
{
    auto const all = this->caller_server->current_load();
    auto& counters = this->context->counters;
    auto const set = [&counters](char const* name, std::size_t value)
    {
        counters.gauge(name, {}, static_cast<double>(value));
    };
    set("foxtailvale_caller_connections", all.connections);
    set("foxtailvale_caller_request_bytes", all.request_bytes);
    set("foxtailvale_caller_unsent_bytes", all.unsent_bytes);
}

bool entry_process::is_ready() const
{
    auto const& state = *this->context;
    if (state.stop || !state.configuration || !state.confirmed ||
        !this->views->knows_endpoints())
    {
        return false;
    }
    // With an older view this entry would refuse callers with keys, while other
    // entries may be able to serve them.
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
        return "the settings lack a valid address for callers or readiness "
               "checks";
    }
    if (auto const fault = this->caller_server->listen(*callers))
    {
        return "callers' address: " + *fault;
    }
    if (auto const fault = this->readiness_server->listen(*balancer))
    {
        return "readiness address: " + *fault;
    }
    this->views->start();
    this->relay =
        std::make_shared<view_relay>(this->context, this->views->feeds());
    this->connect_peers();
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

void entry_process::connect_peers()
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
    std::weak_ptr<domain_reports> const weak_reports = this->reports;
    this->peers->on_report_ask = [weak_reports](std::string const& from)
    {
        if (auto const found = weak_reports.lock())
        {
            found->handle_ask(from);
        }
    };
    this->peers->on_passed_reports =
        [weak_reports](
            std::string const& from, wire::PassedReports const& passed)
    {
        if (auto const found = weak_reports.lock())
        {
            found->handle_reports(from, passed);
        }
    };
    this->peers->on_entries_listed = [weak_reports](std::string const& domain)
    {
        if (auto const found = weak_reports.lock())
        {
            found->note_entries_listed(domain);
        }
    };
    this->peers->directly_polled_domains = [weak_reports]
    {
        auto const found = weak_reports.lock();
        return found ? found->directly_polled_domains()
                     : std::set<std::string>();
    };
    std::weak_ptr<view_relay> const weak_relay = this->relay;
    this->peers->on_view_ask =
        [weak_relay](std::string const& from, wire::ViewAsk const& ask)
    {
        if (auto const found = weak_relay.lock())
        {
            found->handle_ask(from, ask);
        }
    };
    this->peers->on_view_notice =
        [weak_relay](std::string const& from, wire::ViewNotice const& notice)
    {
        if (auto const found = weak_relay.lock())
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
    this->tick_timer.expires_after(tick_interval);
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
            scheduling::expire(self->context->returns, clock::now());
            for (auto& [service, load] : self->context->loads)
            {
                scheduling::expire(load, clock::now());
            }
            self->peers->send_refusals();
            self->peers->send_changed_limits();
            serve_all_waiting(*self->context);
            self->run_tick();
        });
}

void entry_process::run_maintenance()
{
    if (auto const changed = this->file.read_changed())
    {
        // Waiting requests keep their places and are decided by the new
        // settings when they are next tried.
        auto& settings = this->context->settings;
        settings.promised = changed->promised;
        settings.scheduling = changed->scheduling;
        settings.ranks_compete = changed->ranks_compete;
        settings.memory_bytes = changed->memory_bytes;
        settings.max_descriptors = changed->max_descriptors;
        this->caller_server->set_capacity(
            net::caller_capacity(limits_of(settings)));
        kernel::log_event(
            kernel::event_id::settings_reloaded, {{"node", changed->name}});
    }
    this->note_load();
    this->context->pool.sweep();
    request::expire(this->context->suspects, clock::now());
    request::expire(this->context->lost_answers, clock::now());
    flush_traffic(
        this->context->traffic, this->context->book,
        this->context->settings.failure_domain, this->context->counters);
    this->peers->subscribe();
    this->peers->share_with_some_entries();
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

void entry_process::schedule_subscribe()
{
    if (std::exchange(this->subscribe_scheduled, true))
    {
        return;
    }
    this->subscribe_timer.expires_after(subscribe_delay);
    this->subscribe_timer.async_wait(
        [self = this->shared_from_this()](boost::system::error_code error)
        {
            self->subscribe_scheduled = false;
            if (!error)
            {
                self->peers->subscribe();
            }
        });
}

void entry_process::stop()
{
    if (this->context->stop)
    {
        return;
    }
    this->relay->retire();
    this->stopping->begin();
}

} // namespace foxtailvale::gateway
