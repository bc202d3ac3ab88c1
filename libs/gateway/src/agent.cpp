#include "agent_context.hpp"
#include "engine_switch.hpp"
#include "fetch.hpp"
#include "fleet_lists.hpp"
#include "report_link.hpp"
#include "version_fetch.hpp"
#include "weights_door.hpp"

#include <gateway/agent.hpp>
#include <gateway/store_watch.hpp>
#include <kernel/events.hpp>

#include <algorithm>
#include <csignal>
#include <iterator>

namespace foxtailvale::gateway
{

namespace
{

using std::chrono::milliseconds;
using clock = std::chrono::steady_clock;

// The engine is asked, and entries are told, this often: entries place by these
// figures, and a full engine ends a request about as often.
constexpr milliseconds report_interval{100};
constexpr milliseconds report_limit{500};
constexpr milliseconds maintenance_interval{1000};

// Entries say with each subscription, once a second, which versions are named.
// An agent that no entry reaches for this long watches them itself. Failure:
// every agent watched, and their calls were a third of all calls to the store.
constexpr milliseconds alone_patience{1900};
constexpr milliseconds versions_wait{20000};

} // namespace

agent_process::agent_process(
    boost::asio::io_context& event_loop,
    settings_file& settings_source,
    platform::settings const& given)
    : loop(event_loop), file(settings_source),
      context(std::make_shared<agent_context>(event_loop, given)),
      door(std::make_shared<weights_door>(this->context)),
      fetcher(std::make_shared<version_fetch>(this->context)),
      switcher(std::make_shared<engine_switch>(this->context)),
      reports(std::make_shared<report_link>(this->context)),
      lists(std::make_shared<fleet_lists>(this->context)),
      signals(event_loop, SIGTERM, SIGINT, SIGHUP), report_timer(event_loop),
      maintenance_timer(event_loop)
{
    this->fetcher->on_progress = [this]
    {
        this->door->serve_waiting();
        this->drive();
    };
    this->switcher->on_step = [this]
    {
        this->drive();
    };
    this->switcher->on_order = [this]
    {
        this->reports->tell(true);
    };
    this->lists->on_read = [this]
    {
        this->drive();
    };
    this->lists->ask_entry = [this](std::uint64_t token, std::uint32_t tries)
    {
        return this->reports->ask_fleet(token, tries);
    };
    this->reports->on_fleet = [this](wire::FleetNotice const& notice)
    {
        this->lists->handle_notice(notice);
    };
    this->reports->on_version = [this](
                                    std::string const& model,
                                    std::uint64_t version, base::time_point at)
    {
        this->announce_version(model, version, at);
    };
}

std::optional<std::string> agent_process::start()
{
    if (this->context->settings.engine_address.empty())
    {
        return "the settings name no engine";
    }
    if (auto const fault = this->door->open())
    {
        return "peers' address: " + *fault;
    }
    if (auto const fault = this->reports->open())
    {
        return "peers' address: " + *fault;
    }
    this->await_signal();
    this->run_maintenance();
    this->poll_engine();
    return std::nullopt;
}

void agent_process::stop()
{
    this->stopped = true;
    this->door->stop();
    this->reports->close();
    this->end_watch();
    this->report_timer.cancel();
    this->maintenance_timer.cancel();
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
                self->run_maintenance();
                self->await_signal();
                return;
            }
            // Nothing runs here that would have to end first: chunks under
            // way are asked for elsewhere, and the engine goes on.
            kernel::log_event(kernel::event_id::process_stopped);
            self->loop.stop();
        });
}

void agent_process::run_maintenance()
{
    if (auto const changed = this->file.read_changed())
    {
        this->context->settings.promised = changed->promised;
        kernel::log_event(
            kernel::event_id::settings_reloaded, {{"node", changed->name}});
    }
    this->context->pool.sweep();
    this->reports->forget_silent();
    this->watch_if_alone();
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

void agent_process::poll_engine()
{
    auto const self = this->shared_from_this();
    fetch(
        this->loop, this->context->pool, this->context->settings.engine_address,
        platform::report_request(), report_limit,
        [self](std::optional<fetched> response)
        {
            if (self->stopped)
            {
                return;
            }
            self->take_report(response);
            self->reports->tell(false);
            self->door->end_stuck();
            self->door->serve_waiting();
            self->drive();
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

void agent_process::take_report(std::optional<fetched> const& response)
{
    auto& state = *this->context;
    auto read = response && response->status == 200
                    ? platform::read_report(response->body)
                    : base::fail(base::error_kind::endpoint_lost);
    auto const was_there = state.engine.has_value();
    if (read.has_error())
    {
        state.engine.reset();
        if (was_there)
        {
            kernel::log_error(
                read.error(), {{"status", response ? response->status : 0}});
        }
        return;
    }
    auto const restarted = was_there && state.engine->born != read.value().born;
    if (restarted)
    {
        kernel::log_event(
            kernel::event_id::engine_turned_cold,
            {{"born", read.value().born}});
        state.switching = false;
    }
    state.engine = read.value();
}

void agent_process::watch_if_alone()
{
    if (this->reports->has_entries())
    {
        this->alone_since.reset();
        this->end_watch();
        return;
    }
    auto const now = clock::now();
    if (!this->alone_since)
    {
        this->alone_since = now;
    }
    if (!this->versions_watch && now - *this->alone_since >= alone_patience)
    {
        this->watch_versions();
    }
}

void agent_process::end_watch()
{
    if (this->versions_watch)
    {
        this->versions_watch->stop();
        this->versions_watch.reset();
    }
}

void agent_process::watch_versions()
{
    auto const self = this->shared_from_this();
    auto const take = [self](platform::store_object const& object)
    {
        auto const read = platform::read_version(object.content);
        if (!object.removed && read)
        {
            self->announce_version(read->model, read->version, clock::now());
        }
    };
    watch_settings chosen;
    chosen.store = net::parse_endpoint(this->context->settings.store_address)
                       .value_or(net::tcp_endpoint());
    chosen.kind = platform::object_kind::versions;
    chosen.wait = versions_wait;
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

void agent_process::announce_version(
    std::string const& model, std::uint64_t version, base::time_point at)
{
    if (!note_named(*this->context, model, {version, at}))
    {
        return;
    }
    kernel::log_event(
        kernel::event_id::version_named,
        {{"model", model},
         {"version", version},
         {"age_ms", std::chrono::duration_cast<milliseconds>(clock::now() - at)
                        .count()}});
    this->drive();
}

void agent_process::drive()
{
    auto& state = *this->context;
    if (this->stopped || !state.engine)
    {
        return;
    }
    note_whole(state, clock::now());
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
    this->fetcher->drive(newest, false);
    // What lies staged is looked at first. Failure: all processes are killed,
    // and every agent asks others and the origin for chunks that lie beside its
    // own engine; links that callers' answers need are full for two seconds.
    auto const may_lie_staged = serving == 0 || serving == target;
    if (state.versions[target].manifest && may_lie_staged &&
        !this->switcher->has_recovered(target))
    {
        this->switcher->recover(target);
        return;
    }
    this->fetcher->drive(newest, serving < newest);
    this->fetch_between(target);
    this->switcher->drive(target);
}

void agent_process::fetch_between(std::uint64_t target)
{
    auto const& state = *this->context;
    auto const serving = serving_version(state);
    auto const newest = newest_version(state);
    for (auto const& between : targets_of(state))
    {
        auto const version = between.version;
        if (version > serving && version < newest &&
            (version == target || this->is_half_there(version)))
        {
            this->fetcher->drive(version, true);
        }
    }
}

bool agent_process::is_half_there(std::uint64_t version) const
{
    // The rest of it comes from other agents soon; it serves when the newest
    // does not come.
    auto const found = this->context->versions.find(version);
    return found != this->context->versions.end() && found->second.manifest &&
           found->second.transfer.held * 2 >=
               found->second.transfer.digests.size();
}

void agent_process::drop_old_versions()
{
    // The one before the newest may still be on its way to slower agents.
    constexpr std::size_t most_held = 3;
    auto& held = this->context->versions;
    // One that an order may still load stays beside them. Failure: it went
    // after several namings in a row, and other chunks were put over those that
    // the order was for.
    auto extra = held.size() - std::min(held.size(), most_held);
    for (auto oldest = held.begin(); extra > 0; --extra)
    {
        oldest = this->switcher->needs(oldest->first) ? std::next(oldest)
                                                      : held.erase(oldest);
    }
}

} // namespace foxtailvale::gateway
