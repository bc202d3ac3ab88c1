#include "agent_context.hpp"
#include "engine_switch.hpp"
#include "fetch.hpp"
#include "fleet_lists.hpp"
#include "peer_weights_server.hpp"
#include "report_link.hpp"
#include "version_fetch.hpp"

#include <gateway/agent.hpp>
#include <gateway/store_watch.hpp>
#include <kernel/events.hpp>
#include <platform/requests.hpp>

#include <algorithm>
#include <csignal>
#include <iterator>

namespace foxtailvale::gateway
{

namespace
{

using std::chrono::milliseconds;
using clock = std::chrono::steady_clock;

// Interval between polls of the engine and between reports to the entries.
// Entries place requests by these figures, and a full engine finishes a request
// about this often.
constexpr milliseconds report_interval{100};
constexpr milliseconds report_timeout{500};
constexpr milliseconds housekeeping_interval{1000};

// Entries list the announced versions in each subscription, which they renew
// once a second. An agent that has had no subscription for this long watches
// the versions itself. Failure: when every agent watched, their calls were a
// third of all calls to the store.
constexpr milliseconds watch_delay{1900};
constexpr milliseconds watch_timeout{20000};

} // namespace

agent_process::agent_process(
    boost::asio::io_context& event_loop,
    settings_file& settings_source,
    platform::settings const& given)
    : loop(event_loop), file(settings_source),
      context(std::make_shared<agent_context>(event_loop, given)),
      weights_server(std::make_shared<peer_weights_server>(this->context)),
      fetcher(std::make_shared<version_fetch>(this->context)),
      switcher(std::make_shared<engine_switch>(this->context)),
      reports(std::make_shared<report_link>(this->context)),
      lists(std::make_shared<fleet_lists>(this->context)),
      signals(event_loop, SIGTERM, SIGINT, SIGHUP), report_timer(event_loop),
      housekeeping_timer(event_loop)
{
    this->fetcher->on_progress = [this]
    {
        this->weights_server->answer_pending();
        this->advance();
    };
    this->switcher->on_step = [this]
    {
        this->advance();
    };
    this->switcher->on_order = [this]
    {
        this->reports->send_reports(true);
    };
    this->lists->on_read = [this]
    {
        this->advance();
    };
    this->lists->ask_entry = [this](std::uint64_t token, std::uint32_t tries)
    {
        return this->reports->request_fleet(token, tries);
    };
    this->reports->on_fleet_notice = [this](wire::FleetNotice const& notice)
    {
        this->lists->handle_notice(notice);
    };
    this->reports->on_version = [this](
                                    std::string const& model,
                                    std::uint64_t version, base::time_point at)
    {
        this->on_version_announced(model, version, at);
    };
}

std::optional<std::string> agent_process::start()
{
    if (this->context->settings.engine_address.empty())
    {
        return "the settings specify no engine address";
    }
    if (auto const fault = this->weights_server->open())
    {
        return "cannot listen on the peer address: " + *fault;
    }
    if (auto const fault = this->reports->open())
    {
        return "cannot listen on the peer address: " + *fault;
    }
    this->await_signal();
    this->run_housekeeping();
    this->poll_engine();
    return std::nullopt;
}

void agent_process::stop()
{
    this->stopped = true;
    this->weights_server->stop();
    this->reports->close();
    this->end_watch();
    this->report_timer.cancel();
    this->housekeeping_timer.cancel();
    this->signals.cancel();
}

kernel::metrics const& agent_process::counters() const
{
    return this->context->counters;
}

void agent_process::await_signal()
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
                self->run_housekeeping();
                self->await_signal();
                return;
            }
            // Nothing here has to finish before the process ends: peers request
            // the chunks in transit elsewhere, and the engine keeps serving.
            kernel::log_event(kernel::event_id::process_stopped);
            self->loop.stop();
        });
}

void agent_process::run_housekeeping()
{
    if (auto const changed = this->file.read_changed())
    {
        this->context->settings.promised = changed->promised;
        kernel::log_event(
            kernel::event_id::settings_reloaded, {{"node", changed->name}});
    }
    this->context->pool.sweep();
    this->reports->remove_expired_subscribers();
    this->watch_without_entries();
    this->housekeeping_timer.expires_after(housekeeping_interval);
    this->housekeeping_timer.async_wait(
        [self = this->shared_from_this()](boost::system::error_code error)
        {
            if (!error)
            {
                self->run_housekeeping();
            }
        });
}

void agent_process::poll_engine()
{
    auto const self = this->shared_from_this();
    fetch(
        this->loop, this->context->pool, this->context->settings.engine_address,
        platform::report_request(), report_timeout,
        [self](std::optional<fetched> response)
        {
            if (self->stopped)
            {
                return;
            }
            self->update_engine(response);
            self->reports->send_reports(false);
            self->weights_server->abort_stalled_sends();
            self->weights_server->answer_pending();
            self->advance();
        });
    this->report_timer.expires_after(report_interval);
    this->report_timer.async_wait(
        [self](boost::system::error_code error)
        {
            if (!error)
            {
                self->poll_engine();
            }
        });
}

void agent_process::update_engine(std::optional<fetched> const& response)
{
    auto& state = *this->context;
    auto read = response && response->status == 200
                    ? platform::read_report(response->body)
                    : base::fail(base::error_kind::endpoint_lost);
    auto const was_reachable = state.engine.has_value();
    if (read.has_error())
    {
        state.engine.reset();
        if (was_reachable)
        {
            kernel::log_error(
                read.error(), {{"status", response ? response->status : 0}});
        }
        return;
    }
    auto const restarted = was_reachable && state.engine->engine_start_ms !=
                                                read.value().engine_start_ms;
    if (restarted)
    {
        kernel::log_event(
            kernel::event_id::engine_turned_cold,
            {{"born", read.value().engine_start_ms}});
        state.switching = false;
    }
    state.engine = read.value();
    state.engine->load.leaving = platform::says_leaving(response->fields);
}

void agent_process::watch_without_entries()
{
    // Failure: engines register seconds after their agents have started, and
    // before that no entry knows them; every agent of a fleet that started
    // watched the store meanwhile.
    if (this->reports->has_entries() || !this->context->engine)
    {
        this->without_entries_since.reset();
        this->end_watch();
        return;
    }
    auto const now = clock::now();
    if (!this->without_entries_since)
    {
        this->without_entries_since = now;
    }
    if (!this->versions_watch &&
        now - *this->without_entries_since >= watch_delay)
    {
        this->watch_versions();
    }
}

void agent_process::end_watch()
{
    if (this->versions_watch)
    {
        kernel::log_event(
            kernel::event_id::watching_ended, {{"view", "versions"}});
        this->versions_watch->stop();
        this->versions_watch.reset();
    }
}

void agent_process::watch_versions()
{
    kernel::log_event(kernel::event_id::watching_began, {{"view", "versions"}});
    auto const self = this->shared_from_this();
    auto const take = [self](platform::store_object const& object)
    {
        auto const read = platform::read_version(object.content);
        if (!object.removed && read)
        {
            self->on_version_announced(
                read->model, read->version, clock::now());
        }
    };
    watch_settings chosen;
    chosen.store = net::parse_endpoint(this->context->settings.store_address)
                       .value_or(net::tcp_endpoint());
    chosen.kind = platform::object_kind::versions;
    chosen.wait = watch_timeout;
    chosen.seed = base::next_random(this->context->random);
    this->versions_watch = std::make_shared<store_watch>(
        this->loop, chosen,
        watch_handlers{
            [take](std::vector<platform::store_object> const& found, bool)
            {
                for (auto const& object : found)
                {
                    take(object);
                }
            },
            [take](platform::store_object const& object, bool)
            {
                take(object);
            },
            [](base::boot_time) {},
            [](bool lost, std::string const& why)
            {
                kernel::log_event(
                    lost ? kernel::event_id::platform_lost
                         : kernel::event_id::platform_back,
                    {{"view", "versions"}, {"why", why}});
            },
            [](bool, base::boot_time) {}});
    this->versions_watch->start();
}

void agent_process::on_version_announced(
    std::string const& model, std::uint64_t version, base::time_point at)
{
    if (!add_announced_version(*this->context, model, {version, at}))
    {
        return;
    }
    kernel::log_event(
        kernel::event_id::version_named,
        {{"model", model},
         {"version", version},
         {"age_ms", std::chrono::duration_cast<milliseconds>(clock::now() - at)
                        .count()}});
    this->advance();
}

void agent_process::advance()
{
    auto& state = *this->context;
    if (this->stopped || !state.engine)
    {
        return;
    }
    record_complete_versions(state, clock::now());
    auto const target = next_version(state, clock::now());
    auto const newest = newest_version(state);
    auto const serving = serving_version(state);
    if (state.model.empty() || serving < newest)
    {
        this->lists->read();
    }
    if (state.model.empty() || state.origin.empty())
    {
        return;
    }
    this->drop_old_versions();
    this->fetcher->advance(newest, false);
    // Chunks that are staged beside the engine are read back before any chunk
    // is requested. Failure: after all processes were killed, every agent
    // requested from its peers and the origin the chunks that were still staged
    // beside its own engine, and links that callers' answers need were full for
    // two seconds.
    auto const may_be_staged = serving == 0 || serving == target;
    if (state.versions[target].manifest && may_be_staged &&
        !this->switcher->has_recovered(target))
    {
        this->switcher->recover(target);
        return;
    }
    this->fetcher->advance(newest, serving < newest);
    this->fetch_intermediate_versions(target);
    this->switcher->advance(target);
}

void agent_process::fetch_intermediate_versions(std::uint64_t target)
{
    auto const& state = *this->context;
    auto const serving = serving_version(state);
    auto const newest = newest_version(state);
    for (auto const& intermediate : announced_versions(state))
    {
        auto const version = intermediate.version;
        if (version > serving && version < newest &&
            (version == target || this->is_half_complete(version)))
        {
            this->fetcher->advance(version, true);
        }
    }
}

bool agent_process::is_half_complete(std::uint64_t version) const
{
    // The other half will soon come from peers, and the version can serve if
    // the newest one does not arrive.
    auto const found = this->context->versions.find(version);
    return found != this->context->versions.end() && found->second.manifest &&
           found->second.transfer.held * 2 >=
               found->second.transfer.digests.size();
}

void agent_process::drop_old_versions()
{
    // The version before the newest may still be needed by slower agents.
    constexpr std::size_t max_held = 3;
    auto& held = this->context->versions;
    // A version that the engine is being switched to is kept in addition.
    // Failure: after several announcements in a row it was dropped. Other
    // chunks were staged over those that an unanswered order was for, and the
    // process ended when it looked for the digests of those it verified.
    auto excess = held.size() - std::min(held.size(), max_held);
    for (auto oldest = held.begin(); excess > 0; --excess)
    {
        oldest = this->switcher->is_in_use(oldest->first) ? std::next(oldest)
                                                          : held.erase(oldest);
    }
}

} // namespace foxtailvale::gateway
