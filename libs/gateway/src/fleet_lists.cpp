#include "fleet_lists.hpp"

#include "store_list.hpp"

#include <kernel/events.hpp>
#include <proto/foxtailvale.pb.h>

#include <boost/asio/ip/address_v4.hpp>

#include <optional>
#include <set>

namespace foxtailvale::gateway
{

namespace
{

using std::chrono::milliseconds;
using clock = std::chrono::steady_clock;

// The lists are requested when a transfer begins or is under way, and again
// after this time.
constexpr milliseconds reread_interval{2000};

// Shorter interval after a failure.
constexpr milliseconds retry_delay{400};

// An entry answers within a few milliseconds, or within a tenth of a second
// across regions whose links are full. After three tries the store is read.
constexpr milliseconds answer_timeout{150};
constexpr std::uint32_t max_tries = 3;

} // namespace

fleet_lists::fleet_lists(std::shared_ptr<agent_context> shared)
    : context(std::move(shared)), fallback{clock::now(), {}}
{
}

void fleet_lists::read()
{
    auto const now = clock::now();
    if (this->token != 0 && now >= this->answer_by)
    {
        this->ask_again();
        return;
    }
    if (this->reading || now - this->last_read < reread_interval)
    {
        return;
    }
    this->reading = true;
    this->token = base::next_random(this->context->random) | 1U;
    this->tries = 0;
    this->ask_again();
}

void fleet_lists::ask_again()
{
    auto const asked =
        this->tries < max_tries && this->ask_entry(this->token, this->tries);
    if (!asked)
    {
        this->token = 0;
        this->read_store();
        return;
    }
    ++this->tries;
    this->partial_answer.clear();
    this->answer_by = clock::now() + answer_timeout;
}

void fleet_lists::read_store()
{
    auto& state = *this->context;
    auto const now = clock::now();
    auto const random_fraction =
        static_cast<double>(base::random_below(state.random, 1000)) / 1000;
    auto const need = state.model.empty() ? direct::list_need::model
                                          : direct::list_need::transfer;
    if (!direct::may_read_store(this->fallback, need, now, random_fraction))
    {
        this->reading = false;
        this->last_read = now - (reread_interval - retry_delay);
        return;
    }
    if (state.model.empty())
    {
        this->read_configuration();
        return;
    }
    this->read_endpoints();
}

void fleet_lists::handle_notice(wire::FleetNotice const& notice)
{
    if (this->token == 0 || notice.token() != this->token ||
        notice.agents_size() != notice.versions_size())
    {
        return;
    }
    auto& members = this->partial_answer[notice.failure_domain()];
    members.clear();
    for (int index = 0; index < notice.agents_size(); ++index)
    {
        auto const ip = boost::asio::ip::address_v4(notice.agents(index));
        members.push_back(
            {ip.to_string(), notice.failure_domain(), notice.versions(index)});
    }
    if (this->partial_answer.size() < notice.domains())
    {
        return;
    }
    std::vector<fleet_member> all;
    for (auto const& [domain, found] : this->partial_answer)
    {
        all.insert(all.end(), found.begin(), found.end());
    }
    this->token = 0;
    this->reading = false;
    this->last_read = clock::now();
    direct::note_answered(this->fallback, this->last_read);
    this->apply_members(all);
    this->on_read();
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
                self->last_read =
                    clock::now() - (reread_interval - retry_delay);
                return;
            }
            for (auto const& object : *found)
            {
                self->apply_configuration(object);
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
                self->apply_endpoints(*found);
                self->on_read();
            }
        });
}

void fleet_lists::apply_configuration(platform::store_object const& object)
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

void fleet_lists::apply_endpoints(
    std::vector<platform::store_object> const& objects)
{
    auto const& state = *this->context;
    std::vector<fleet_member> members;
    for (auto const& object : objects)
    {
        auto const read = platform::read_endpoint(object.name, object.content);
        if (read && direct::participates_in_transfer(
                        *read, state.settings.engine_service))
        {
            auto const serves =
                read->weights.whole && read->weights.model == state.model;
            members.push_back(
                {read->address.substr(0, read->address.rfind(':')),
                 read->failure_domain, serves ? read->weights.version : 0});
        }
    }
    this->apply_members(members);
}

void fleet_lists::apply_members(std::vector<fleet_member> const& members)
{
    auto& state = *this->context;
    auto const port = ":" + std::to_string(state.settings.peer_port);
    std::map<std::string, std::set<std::string>> agents;
    state.holders.clear();
    for (auto const& member : members)
    {
        agents[member.failure_domain].insert(member.ip);
        if (member.version != 0 && member.ip != state.settings.ip)
        {
            state.holders[member.version][member.failure_domain].push_back(
                {member.ip, member.ip + port});
        }
    }
    agents[state.settings.failure_domain].insert(state.settings.ip);
    state.fleet.clear();
    state.fleet_listed_at = clock::now();
    for (auto const& [domain, addresses] : agents)
    {
        auto& plan = state.fleet[domain];
        plan.failure_domain = domain;
        // One import for all regions: the forest of transfer trees fetches a
        // chunk from the origin once for each region that it is given.
        plan.region = "all";
        for (auto const& ip : addresses)
        {
            plan.endpoints.push_back({ip, ip + port, {}});
        }
    }
}

} // namespace foxtailvale::gateway
