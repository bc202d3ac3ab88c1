#include "agent_context.hpp"
#include "engine_switch.hpp"
#include "fetch.hpp"
#include "run_process.hpp"
#include "store_list.hpp"
#include "version_fetch.hpp"
#include "weights_door.hpp"

#include <gateway/agent_process.hpp>
#include <gateway/settings_file.hpp>
#include <gateway/store_watch.hpp>
#include <kernel/events.hpp>
#include <net/datagram_socket.hpp>
#include <proto/foxtailvale.pb.h>

#include <boost/asio/signal_set.hpp>

#include <csignal>

namespace foxtailvale::gateway
{

namespace
{

using std::chrono::milliseconds;
using clock = std::chrono::steady_clock;

// The engine is asked, and entries are told, this often. Entries place by
// these figures; an engine ends a request every 80 ms under full load.
constexpr milliseconds report_interval{100};
constexpr milliseconds report_limit{500};
constexpr milliseconds chore_interval{1000};

// An entry that has not asked for this long gets no more reports.
constexpr milliseconds subscription_time{3500};

// Entries say with each subscription which versions are named; the watch is
// for an agent that no entry reaches.
constexpr milliseconds versions_wait{20000};

// The lists of agents and services are read when a transfer begins or is under
// way, and again after this long.
constexpr milliseconds lists_again{2000};

// Reports go to entries of other failure domains less often: they send there
// only what their own domain has no room for.
constexpr int remote_interval = 4;

// Entries learn of each other from the reports, seldom enough.
constexpr int entries_interval = 10;

class agent_process : public std::enable_shared_from_this<agent_process>
{
public:
    agent_process(
        boost::asio::io_context& event_loop,
        settings_file& file,
        platform::settings const& given);

    std::optional<std::string> start();

    kernel::metrics const& counters() const;

private:
    // An entry that asked for reports.
    struct subscriber
    {
        base::time_point asked;
        // In the same failure domain.
        bool near = false;
    };

    std::optional<std::string> open_datagrams();
    void await_signal();
    void run_chores();
    void poll_engine();
    void take_report(std::optional<fetched> const& response);
    void tell_entries(bool at_once);
    void watch_versions();
    void drive();
    bool is_half_there(std::uint64_t version) const;
    void drop_old_versions();
    void read_lists();
    void take_configuration(platform::store_object const& object);
    void take_subscription(
        net::udp_endpoint const& source, wire::Subscribe const& asked);
    void name_version(
        std::string const& model, std::uint64_t version, base::time_point at);
    void
    note_holder(direct::endpoint_record const& engine, std::string const& ip);
    void take_endpoints(std::vector<platform::store_object> const& objects);

    boost::asio::io_context& loop;
    settings_file& file;
    std::shared_ptr<agent_context> context;
    std::shared_ptr<weights_door> door;
    std::shared_ptr<version_fetch> fetcher;
    std::shared_ptr<engine_switch> switcher;
    std::shared_ptr<net::datagram_socket> socket;
    std::shared_ptr<store_watch> versions_watch;
    boost::asio::signal_set signals;
    boost::asio::steady_timer report_timer;
    boost::asio::steady_timer chore_timer;
    std::map<net::udp_endpoint, subscriber> subscribers;
    // Version entries by model, until the own model is known.
    std::map<std::string, std::vector<weights::named_target>> named;
    bool reading_lists = false;
    base::time_point lists_read;
    int reports_sent = 0;
};

agent_process::agent_process(
    boost::asio::io_context& event_loop,
    settings_file& settings_source,
    platform::settings const& given)
    : loop(event_loop), file(settings_source),
      context(std::make_shared<agent_context>(event_loop, given)),
      door(std::make_shared<weights_door>(this->context)),
      fetcher(std::make_shared<version_fetch>(this->context)),
      switcher(std::make_shared<engine_switch>(this->context)),
      signals(event_loop, SIGTERM, SIGINT, SIGHUP), report_timer(event_loop),
      chore_timer(event_loop)
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
        this->tell_entries(true);
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
    if (auto const fault = this->open_datagrams())
    {
        return "peers' address: " + *fault;
    }
    this->watch_versions();
    this->await_signal();
    this->run_chores();
    this->poll_engine();
    return std::nullopt;
}

kernel::metrics const& agent_process::counters() const
{
    return this->context->counters;
}

std::optional<std::string> agent_process::open_datagrams()
{
    std::weak_ptr<agent_process> const self = this->shared_from_this();
    this->socket = std::make_shared<net::datagram_socket>(
        this->loop,
        [self](net::udp_endpoint const& source, std::string_view bytes)
        {
            auto const held = self.lock();
            wire::Datagram message;
            auto const size = static_cast<int>(bytes.size());
            if (held && message.ParseFromArray(bytes.data(), size) &&
                message.has_subscribe())
            {
                held->take_subscription(source, message.subscribe());
            }
        });
    auto const& settings = this->context->settings;
    boost::system::error_code error;
    auto const ip = boost::asio::ip::make_address(settings.ip, error);
    if (error)
    {
        return "ip: " + error.message();
    }
    return this->socket->open({ip, settings.peer_port});
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
                self->run_chores();
                self->await_signal();
                return;
            }
            // Nothing runs here that would have to end first: chunks under
            // way are asked for elsewhere, and the engine goes on.
            kernel::log_event(kernel::event_id::process_stopped);
            self->loop.stop();
        });
}

void agent_process::run_chores()
{
    if (auto const changed = this->file.read_changed())
    {
        this->context->settings.promised = changed->promised;
        kernel::log_event(
            kernel::event_id::settings_reloaded, {{"node", changed->name}});
    }
    this->context->pool.sweep();
    std::erase_if(
        this->subscribers,
        [now = clock::now()](auto const& entry)
        {
            return now - entry.second.asked > subscription_time;
        });
    this->chore_timer.expires_after(chore_interval);
    this->chore_timer.async_wait(
        [self = this->shared_from_this()](boost::system::error_code error)
        {
            if (!error)
            {
                self->run_chores();
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
            self->take_report(response);
            self->tell_entries(false);
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

void agent_process::take_subscription(
    net::udp_endpoint const& source, wire::Subscribe const& asked)
{
    auto const now = clock::now();
    this->subscribers[source] = {
        now, asked.failure_domain() == this->context->settings.failure_domain};
    for (auto const& notice : asked.versions())
    {
        this->name_version(
            notice.model(), notice.version(),
            now - milliseconds(notice.age_ms()));
    }
}

void agent_process::tell_entries(bool at_once)
{
    if (this->subscribers.empty())
    {
        return;
    }
    auto const& state = *this->context;
    auto const round = this->reports_sent++;
    wire::Datagram message;
    auto& told = *message.mutable_engine_state();
    told.set_unreachable(!state.engine.has_value());
    told.set_switching(state.switching || (state.engine && state.engine->busy));
    if (state.engine)
    {
        auto const& load = state.engine->load;
        told.set_running(load.running);
        told.set_waiting(load.waiting);
        told.set_pace(load.pace);
        told.set_model(load.weights.model);
        told.set_version(load.weights.version);
        told.set_whole(load.weights.whole);
    }
    auto const now = clock::now();
    if (auto const at = expected_switch(state, now))
    {
        auto const left =
            std::chrono::duration_cast<milliseconds>(*at - now).count();
        told.set_switches(true);
        told.set_switches_in_ms(
            static_cast<std::uint32_t>(std::max<std::int64_t>(0, left)));
    }
    if (round % entries_interval == 0)
    {
        for (auto const& [address, entry] : this->subscribers)
        {
            told.add_entries(address.address().to_string());
        }
    }
    auto const bytes = message.SerializeAsString();
    for (auto const& [address, entry] : this->subscribers)
    {
        auto const near = entry.near;
        if (at_once || near || round % remote_interval == 0)
        {
            this->socket->send(address, bytes);
        }
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
            self->name_version(read->model, read->version, clock::now());
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
            }});
    this->versions_watch->start();
}

void agent_process::name_version(
    std::string const& model, std::uint64_t version, base::time_point at)
{
    auto& known = this->named[model];
    if (!known.empty() && known.back().version >= version)
    {
        return;
    }
    known.push_back({version, at});
    kernel::log_event(
        kernel::event_id::version_named,
        {{"model", model}, {"version", version}});
    this->context->targets = this->named[this->context->model];
    this->drive();
}

void agent_process::drive()
{
    auto& state = *this->context;
    if (!state.engine)
    {
        return;
    }
    auto const target = next_version(state, clock::now());
    auto const newest = newest_version(state);
    auto const serving = serving_version(state);
    if (state.model.empty() || serving < newest)
    {
        this->read_lists();
    }
    if (state.model.empty() || state.origin.empty())
    {
        return;
    }
    this->drop_old_versions();
    this->fetcher->drive(newest, serving < newest);
    for (auto const& between : state.targets)
    {
        auto const version = between.version;
        if (version > serving && version < newest &&
            (version == target || this->is_half_there(version)))
        {
            this->fetcher->drive(version, true);
        }
    }
    auto const may_lie_staged = serving == 0 || serving == target;
    if (state.versions[target].manifest && may_lie_staged &&
        !this->switcher->has_recovered(target))
    {
        this->switcher->recover(target);
        return;
    }
    this->switcher->drive(target);
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
    while (held.size() > most_held)
    {
        held.erase(held.begin());
    }
}

void agent_process::read_lists()
{
    auto const now = clock::now();
    if (this->reading_lists || now - this->lists_read < lists_again)
    {
        return;
    }
    this->reading_lists = true;
    auto& state = *this->context;
    auto const self = this->shared_from_this();
    auto const read_endpoints = [self]
    {
        auto& held = *self->context;
        list_objects(
            held.loop, held.pool, held.settings.store_address,
            platform::object_kind::endpoints,
            [self](std::optional<std::vector<platform::store_object>> found)
            {
                self->reading_lists = false;
                self->lists_read = clock::now();
                if (found)
                {
                    self->take_endpoints(*found);
                    self->drive();
                }
            });
    };
    if (!state.model.empty() && state.sources.sources[{}].strikes == 0)
    {
        read_endpoints();
        return;
    }
    list_objects(
        state.loop, state.pool, state.settings.store_address,
        platform::object_kind::configuration,
        [self, read_endpoints](
            std::optional<std::vector<platform::store_object>> found)
        {
            if (!found)
            {
                self->reading_lists = false;
                self->lists_read = clock::now() - lists_again * 4 / 5;
                return;
            }
            for (auto const& object : *found)
            {
                self->take_configuration(object);
            }
            read_endpoints();
        });
}

void agent_process::take_configuration(platform::store_object const& object)
{
    auto const read = platform::read_configuration(object.content);
    if (read.has_error())
    {
        kernel::log_error(read.error());
        return;
    }
    auto& state = *this->context;
    for (auto const& [name, service] : read.value().services)
    {
        if (!service.origin.empty())
        {
            state.origin = service.origin;
            state.origin_rate = service.origin_rate;
        }
        if (name == state.settings.engine_service && service.engine &&
            !service.engine->models.empty())
        {
            state.model = service.engine->models.front();
        }
    }
    state.targets = this->named[state.model];
}

void agent_process::note_holder(
    direct::endpoint_record const& engine, std::string const& ip)
{
    auto& state = *this->context;
    auto const serves =
        engine.weights.whole && engine.weights.model == state.model;
    if (serves && ip != state.settings.ip)
    {
        auto const port = ":" + std::to_string(state.settings.peer_port);
        state.holders[engine.weights.version][engine.failure_domain].push_back(
            {ip, ip + port});
    }
}

void agent_process::take_endpoints(
    std::vector<platform::store_object> const& objects)
{
    auto& state = *this->context;
    std::map<std::string, std::set<std::string>> agents;
    state.holders.clear();
    for (auto const& object : objects)
    {
        auto const read = platform::read_endpoint(object.name, object.content);
        if (read && read->service == state.settings.engine_service)
        {
            auto const ip = read->address.substr(0, read->address.rfind(':'));
            agents[read->failure_domain].insert(ip);
            this->note_holder(*read, ip);
        }
    }
    agents[state.settings.failure_domain].insert(state.settings.ip);
    state.fleet.clear();
    auto const port = ":" + std::to_string(state.settings.peer_port);
    for (auto const& [domain, addresses] : agents)
    {
        auto& plan = state.fleet[domain];
        plan.failure_domain = domain;
        // One import for all regions: the forest draws a chunk from the
        // origin once for each region that it is told of.
        plan.region = "all";
        for (auto const& ip : addresses)
        {
            plan.endpoints.push_back({ip, ip + port, {}});
        }
    }
}

} // namespace

int run_agent(std::string const& settings_path)
{
    return run_process<agent_process>(settings_path, "foxtailvale-agent");
}

} // namespace foxtailvale::gateway
