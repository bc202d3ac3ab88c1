#include "fleet_lists.hpp"

#include "store_list.hpp"

#include <kernel/events.hpp>

#include <optional>
#include <set>

namespace foxtailvale::gateway
{

namespace
{

using std::chrono::milliseconds;
using clock = std::chrono::steady_clock;

// The lists are read when a transfer begins or is under way, and again after
// this long.
constexpr milliseconds again{2000};

// After a failure, sooner.
constexpr milliseconds again_after_failure{400};

// Entries tell the origin and the model with each subscription. An agent that
// none has told for this long reads the configuration itself. Failure: all
// processes are killed, and 58 agents list a configuration of a megabyte; the
// links between regions are full for eight seconds and entries, which need it
// first, do not get it.
constexpr milliseconds told_patience{4000};

} // namespace

fleet_lists::fleet_lists(std::shared_ptr<agent_context> shared)
    : context(std::move(shared)), began(clock::now())
{
}

void fleet_lists::read()
{
    if (this->reading || clock::now() - this->last_read < again)
    {
        return;
    }
    this->reading = true;
    auto& state = *this->context;
    if (!state.model.empty() || clock::now() - this->began < told_patience)
    {
        this->read_endpoints();
        return;
    }
    this->read_configuration();
}

void fleet_lists::read_configuration()
{
    auto& state = *this->context;
    list_objects(
        state.loop, state.pool, state.settings.store_address,
        platform::object_kind::configuration,
        [self = this->shared_from_this()](
            std::optional<std::vector<platform::store_object>> found)
        {
            if (!found)
            {
                self->reading = false;
                self->last_read = clock::now() - (again - again_after_failure);
                return;
            }
            for (auto const& object : *found)
            {
                self->take_configuration(object);
            }
            self->read_endpoints();
        });
}

void fleet_lists::read_endpoints()
{
    auto& state = *this->context;
    list_objects(
        state.loop, state.pool, state.settings.store_address,
        platform::object_kind::endpoints,
        [self = this->shared_from_this()](
            std::optional<std::vector<platform::store_object>> found)
        {
            self->reading = false;
            self->last_read = clock::now();
            if (found)
            {
                self->take_endpoints(*found);
                self->on_read();
            }
        });
}

void fleet_lists::take_configuration(platform::store_object const& object)
{
    auto const read = platform::read_configuration(object.content);
    if (read.has_error())
    {
        kernel::log_error(read.error());
        return;
    }
    auto& state = *this->context;
    served_model served;
    for (auto const& [name, service] : read.value().services)
    {
        if (!service.origin.empty())
        {
            served.origin = service.origin;
            served.limits = {service.origin_rate, service.most_connections};
        }
        if (name == state.settings.engine_service && service.engine &&
            !service.engine->models.empty())
        {
            served.model = service.engine->models.front();
        }
    }
    note_served(state, served);
}

void fleet_lists::note_holder(
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

void fleet_lists::take_endpoints(
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
    state.fleet_listed = clock::now();
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

} // namespace foxtailvale::gateway
