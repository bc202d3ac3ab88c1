#include "agent_context.hpp"
#include "fetch.hpp"
#include "rollout.hpp"
#include "settings_file.hpp"
#include "weights_door.hpp"

#include <kernel/events.hpp>
#include <proto/foxtailvale.pb.h>

#include <boost/asio/signal_set.hpp>
#include <gateway/agent_process.hpp>
#include <gateway/store_watch.hpp>
#include <net/datagram_socket.hpp>

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

constexpr milliseconds versions_wait{4000};
// The configuration names the origin, which seldom changes.
constexpr milliseconds configuration_wait{20000};
constexpr milliseconds endpoints_wait{10000};

class agent_process : public std::enable_shared_from_this<agent_process>
{
public:
    agent_process(
        boost::asio::io_context& event_loop,
        settings_file& file,
        platform::settings const& given);

    std::optional<std::string> start();

private:
    struct listed_agent
    {
        std::string ip;
        std::string failure_domain;
        std::string service;
    };

    std::optional<std::string> open_datagrams();
    void await_signal();
    void run_chores();
    void poll_engine();
    void take_report(std::optional<fetched> const& response);
    void tell_entries();
    void start_watches();
    std::shared_ptr<store_watch> watch(
        platform::object_kind kind, milliseconds wait, watch_handlers handlers);
    void take_configuration(platform::store_object const& object);
    void take_version(platform::store_object const& object);
    void take_endpoint(platform::store_object const& object);
    void rebuild_fleet();

    boost::asio::io_context& loop;
    settings_file& file;
    std::shared_ptr<agent_context> context;
    std::shared_ptr<weights_door> door;
    std::shared_ptr<rollout> roll;
    std::shared_ptr<net::datagram_socket> socket;
    std::vector<std::shared_ptr<store_watch>> watches;
    boost::asio::signal_set signals;
    boost::asio::steady_timer report_timer;
    boost::asio::steady_timer chore_timer;
    std::map<net::udp_endpoint, base::time_point> subscribers;
    // Version entries by model, until the own model is known.
    std::map<std::string, std::vector<target_version>> versions;
    // By endpoint id.
    std::map<std::string, listed_agent> listed;
};

agent_process::agent_process(
    boost::asio::io_context& event_loop,
    settings_file& settings_source,
    platform::settings const& given)
    : loop(event_loop), file(settings_source),
      context(std::make_shared<agent_context>(event_loop, given)),
      door(std::make_shared<weights_door>(this->context)),
      roll(std::make_shared<rollout>(this->context)),
      signals(event_loop, SIGTERM, SIGINT, SIGHUP), report_timer(event_loop),
      chore_timer(event_loop)
{
    this->roll->on_chunk = [this]
    {
        this->door->serve_waiting();
    };
    this->roll->on_order = [this]
    {
        this->tell_entries();
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
    this->start_watches();
    this->await_signal();
    this->run_chores();
    this->poll_engine();
    return std::nullopt;
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
            if (held &&
                message.ParseFromArray(
                    bytes.data(), static_cast<int>(bytes.size())) &&
                message.has_subscribe())
            {
                held->subscribers[source] = clock::now();
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
            return now - entry.second > subscription_time;
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
            self->tell_entries();
            self->door->serve_waiting();
            self->roll->drive();
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

void agent_process::tell_entries()
{
    if (this->subscribers.empty())
    {
        return;
    }
    auto const& state = *this->context;
    wire::Datagram message;
    message.set_from(state.settings.name);
    auto& told = *message.mutable_engine_state();
    told.set_address(state.settings.engine_address);
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
    for (auto const& [address, when] : this->subscribers)
    {
        told.add_entries(address.address().to_string());
    }
    auto const bytes = message.SerializeAsString();
    for (auto const& [address, when] : this->subscribers)
    {
        this->socket->send(address, bytes);
    }
}

std::shared_ptr<store_watch> agent_process::watch(
    platform::object_kind kind, milliseconds wait, watch_handlers handlers)
{
    auto const store =
        net::parse_endpoint(this->context->settings.store_address);
    watch_settings chosen;
    chosen.store = store.value_or(net::tcp_endpoint());
    chosen.kind = kind;
    chosen.wait = wait;
    chosen.seed = base::next_random(this->context->random);
    handlers.on_confirmed = [](base::boot_time) {};
    handlers.on_lost = [kind](bool lost, std::string const& why)
    {
        kernel::log_event(
            lost ? kernel::event_id::platform_lost
                 : kernel::event_id::platform_back,
            {{"view", static_cast<int>(kind)}, {"why", why}});
    };
    auto const made =
        std::make_shared<store_watch>(this->loop, chosen, std::move(handlers));
    this->watches.push_back(made);
    made->start();
    return made;
}

void agent_process::start_watches()
{
    auto const self = this->shared_from_this();
    using objects = std::vector<platform::store_object>;
    this->watch(
        platform::object_kind::versions, versions_wait,
        {[self](objects const& found, bool)
         {
             for (auto const& object : found)
             {
                 self->take_version(object);
             }
         },
         [self](platform::store_object const& object, bool)
         {
             self->take_version(object);
         },
         {},
         {}});
    this->watch(
        platform::object_kind::configuration, configuration_wait,
        {[self](objects const& found, bool)
         {
             for (auto const& object : found)
             {
                 self->take_configuration(object);
             }
         },
         [self](platform::store_object const& object, bool)
         {
             self->take_configuration(object);
         },
         {},
         {}});
    this->watch(
        platform::object_kind::endpoints, endpoints_wait,
        {[self](objects const& found, bool)
         {
             self->listed.clear();
             for (auto const& object : found)
             {
                 self->take_endpoint(object);
             }
             self->rebuild_fleet();
         },
         [self](platform::store_object const& object, bool)
         {
             self->take_endpoint(object);
             self->rebuild_fleet();
         },
         {},
         {}});
}

void agent_process::take_configuration(platform::store_object const& object)
{
    auto const read = platform::read_configuration(object.content);
    if (object.removed || read.has_error())
    {
        return;
    }
    auto& state = *this->context;
    for (auto const& [name, service] : read.value().services)
    {
        if (!service.origin.empty())
        {
            state.origin = service.origin;
        }
        if (name == state.settings.engine_service && service.engine &&
            !service.engine->models.empty())
        {
            state.model = service.engine->models.front();
        }
    }
    state.targets = this->versions[state.model];
}

void agent_process::take_version(platform::store_object const& object)
{
    auto const read = platform::read_version(object.content);
    if (object.removed || !read)
    {
        return;
    }
    auto& known = this->versions[read->model];
    if (known.empty() || known.back().version < read->version)
    {
        known.push_back({read->version, clock::now()});
        kernel::log_event(
            kernel::event_id::version_named,
            {{"model", read->model}, {"version", read->version}});
    }
    this->context->targets = this->versions[this->context->model];
    this->roll->drive();
}

void agent_process::take_endpoint(platform::store_object const& object)
{
    auto const read = platform::read_endpoint(object.name, object.content);
    if (object.removed || !read)
    {
        this->listed.erase(object.name);
        return;
    }
    auto const ip = read->address.substr(0, read->address.rfind(':'));
    this->listed[object.name] = {ip, read->failure_domain, read->service};
}

void agent_process::rebuild_fleet()
{
    auto& state = *this->context;
    std::map<std::string, std::set<std::string>> agents;
    for (auto const& [id, agent] : this->listed)
    {
        if (agent.service == state.settings.engine_service)
        {
            agents[agent.failure_domain].insert(agent.ip);
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
    settings_file file(settings_path);
    auto const settings = file.read();
    if (settings.has_error())
    {
        kernel::start_logging(
            "foxtailvale-agent", "info", kernel::log_target::standard_output);
        kernel::log_error(settings.error(), {{"path", settings_path}});
        return 2;
    }
    kernel::start_logging(
        settings.value().name, "info", kernel::log_target::standard_output);
    boost::asio::io_context loop(1);
    auto const process =
        std::make_shared<agent_process>(loop, file, settings.value());
    if (auto const fault = process->start())
    {
        kernel::log_error({base::error_kind::bad_settings, *fault});
        return 1;
    }
    kernel::log_event(
        kernel::event_id::process_started,
        {{"engine", settings.value().engine_address}});
    loop.run();
    return 0;
}

} // namespace foxtailvale::gateway
