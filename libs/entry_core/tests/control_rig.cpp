#include "control_rig.hpp"

#include <control/topology.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace foxtailvale::entry_core
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds tick_length{20};
constexpr std::uint32_t engine_memory_mib = 256;
constexpr std::uint32_t model_memory_mib = 64;

nlohmann::json list_text(std::vector<control::listed_vm> const& vms)
{
    auto list = nlohmann::json::array();
    for (auto const& vm : vms)
    {
        list.push_back(
            {{"name", vm.name},
             {"role", vm.role == control::vm_role::entry ? "entry" : "agent"},
             {"failure_domain", vm.failure_domain},
             {"region", vm.region},
             {"address", vm.address},
             {"memory_mib", vm.memory_mib}});
    }
    return {{"vms", std::move(list)}};
}

} // namespace

void fake_platform::store(release::configuration const& configuration)
{
    auto& stored = this->objects[core::release_path];
    stored.version = ++this->last_version;
    stored.value = to_text(configuration);
    this->history[core::release_path].push_back(stored.value);
}

control_rig::control_rig()
{
    // Writes of other objects have already advanced the platform's version
    // counter.
    this->platform.last_version = 40;
}

void control_rig::list_vm(
    std::string const& name, std::string const& domain, control::vm_role role)
{
    control::listed_vm vm;
    vm.name = name;
    vm.role = role;
    vm.failure_domain = domain;
    vm.region = "dalmacija";
    vm.address = name + ":7000";
    vm.memory_mib = role == control::vm_role::agent ? engine_memory_mib : 0;
    this->platform.vms.push_back(vm);
    ++this->platform.vms_version;
    ++this->incarnations[name];
}

void control_rig::add_entry(std::string const& name, std::string const& domain)
{
    this->list_vm(name, domain, control::vm_role::entry);
    this->entries[name].self = {name, domain, "dalmacija", 100};
    this->entries[name].random.value = this->entries.size();
}

void control_rig::add_agent(std::string const& name, std::string const& domain)
{
    this->list_vm(name, domain, control::vm_role::agent);
    auto& agent = this->agents[name];
    agent.self = {name, domain, "dalmacija", ""};
    agent.control.endpoint_reachable = true;
    agent.requests.gate.limit = 8;
}

void control_rig::restart_entry(std::string const& name)
{
    auto const self = this->entries.at(name).self;
    this->entries[name] = {};
    this->entries[name].self = self;
    ++this->incarnations[name];
    this->highest.erase(name);
    std::erase_if(
        this->calls,
        [&name](auto const& waiting)
        {
            return waiting.entry == name;
        });
}

void control_rig::stop_entry(std::string const& name)
{
    this->step_entry(name, core::stop_requested{});
}

void control_rig::remove_vm(std::string const& name)
{
    std::erase_if(
        this->platform.vms,
        [&name](auto const& vm)
        {
            return vm.name == name;
        });
    ++this->platform.vms_version;
    this->entries.erase(name);
    this->agents.erase(name);
}

void control_rig::accept(std::uint64_t generation, std::uint32_t replicas)
{
    release::configuration next;
    next.generation = generation;
    auto& model = next.models["assistant"];
    model.digest = std::string(64, 'a');
    model.memory_mib = model_memory_mib;
    for (auto const& vm : this->platform.vms)
    {
        next.domains[vm.failure_domain].region = vm.region;
        model.replicas[vm.failure_domain] = replicas;
    }
    this->platform.store(next);
}

std::string control_rig::domain_of(std::string const& name) const
{
    auto const entry = this->entries.find(name);
    if (entry != this->entries.end())
    {
        return entry->second.self.failure_domain;
    }
    auto const agent = this->agents.find(name);
    return agent == this->agents.end() ? "" : agent->second.self.failure_domain;
}

bool control_rig::is_cut(std::string const& from, std::string const& to) const
{
    return this->cuts.contains({from, to});
}

void control_rig::cut(std::string const& from, std::string const& to)
{
    this->cuts.insert({from, to});
}

void control_rig::cut_domains(std::string const& one, std::string const& other)
{
    std::vector<std::string> names;
    for (auto const& vm : this->platform.vms)
    {
        names.push_back(vm.name);
    }
    for (auto const& from : names)
    {
        for (auto const& to : names)
        {
            if (this->domain_of(from) == one && this->domain_of(to) == other)
            {
                this->cut(from, to);
                this->cut(to, from);
            }
        }
    }
}

void control_rig::cut_platform(std::string const& domain)
{
    for (auto const& [name, entry] : this->entries)
    {
        if (entry.self.failure_domain == domain)
        {
            this->cut(name, "");
        }
    }
}

void control_rig::heal()
{
    this->cuts.clear();
}

void control_rig::send(
    std::string const& from, core::send_message const& message)
{
    frame next{from, message.peer, message.envelope};
    next.envelope.set_from(from);
    next.envelope.set_from_incarnation(this->incarnations[from]);
    this->frames.push_back(std::move(next));
}

void control_rig::step_entry(std::string const& entry, event const& input)
{
    for (auto const& emitted : step(this->entries.at(entry), input, this->now))
    {
        if (auto const* const sent = std::get_if<core::send_message>(&emitted))
        {
            this->send(entry, *sent);
        }
        if (auto const* const call = std::get_if<core::platform_call>(&emitted))
        {
            ++this->platform.calls;
            this->calls.push_back({entry, *call, this->now + call->wait});
        }
    }
}

void control_rig::step_agent(
    std::string const& agent, agent_core::event const& input)
{
    for (auto const& emitted :
         agent_core::step(this->agents.at(agent), input, this->now))
    {
        if (auto const* const sent = std::get_if<core::send_message>(&emitted))
        {
            this->send(agent, *sent);
        }
    }
}

void control_rig::deliver()
{
    std::deque<frame> arrived;
    arrived.swap(this->frames);
    for (auto& next : arrived)
    {
        if (this->is_cut(next.from, next.to) || this->paused.contains(next.to))
        {
            continue;
        }
        core::message_received const message{next.from, next.envelope};
        if (this->entries.contains(next.to))
        {
            this->step_entry(next.to, message);
        }
        else if (this->agents.contains(next.to))
        {
            this->step_agent(next.to, message);
        }
    }
}

core::platform_answer control_rig::carry_out(core::platform_call const& call)
{
    using core::platform_method;
    core::platform_answer answer;
    answer.id = call.id;
    answer.ok = true;
    auto& objects = this->platform.objects;
    if (call.method == platform_method::vms)
    {
        answer.version = this->platform.vms_version;
        answer.value = list_text(this->platform.vms).dump();
        answer.ok = answer.version != call.expected;
        answer.error = base::error_kind::not_found;
        return answer;
    }
    if (call.method == platform_method::list)
    {
        auto list = nlohmann::json::array();
        for (auto const& [path, object] : objects)
        {
            if (path.starts_with(call.path))
            {
                list.push_back(
                    {{"path", path},
                     {"version", object.version},
                     {"value", object.value}});
            }
        }
        answer.value = nlohmann::json{{"objects", std::move(list)}}.dump();
        return answer;
    }
    if (call.method == platform_method::put)
    {
        auto& object = objects[call.path];
        if (object.version != call.expected)
        {
            answer.ok = false;
            answer.error = base::error_kind::platform_conflict;
            return answer;
        }
        object = {++this->platform.last_version, call.value};
        this->platform.history[call.path].push_back(call.value);
        answer.version = object.version;
        if (this->platform.lost_answers > 0)
        {
            --this->platform.lost_answers;
            answer = {};
            answer.id = call.id;
        }
        return answer;
    }
    auto const& from = this->platform.stale.contains(call.path)
                           ? this->platform.stale
                           : objects;
    auto const found = from.find(call.path);
    answer.ok = found != from.end() && found->second.version > 0;
    answer.error = base::error_kind::not_found;
    if (answer.ok)
    {
        answer.version = found->second.version;
        answer.value = found->second.value;
    }
    return answer;
}

bool control_rig::try_answer(waiting_call const& waiting)
{
    core::platform_answer answer;
    answer.id = waiting.call.id;
    auto const lost = this->is_cut(waiting.entry, "");
    if (lost && this->now < waiting.deadline)
    {
        return false;
    }
    if (!lost && !this->platform.down)
    {
        answer = this->carry_out(waiting.call);
        auto const nothing_newer =
            waiting.call.method == core::platform_method::watch &&
            (!answer.ok || answer.version <= waiting.call.expected);
        if (nothing_newer && this->now < waiting.deadline)
        {
            return false;
        }
        if (nothing_newer)
        {
            answer.ok = false;
            answer.error = base::error_kind::not_found;
        }
    }
    this->step_entry(waiting.entry, answer);
    return true;
}

void control_rig::answer_calls()
{
    std::vector<waiting_call> waiting;
    waiting.swap(this->calls);
    for (auto const& next : waiting)
    {
        if (this->paused.contains(next.entry) || !this->try_answer(next))
        {
            this->calls.push_back(next);
        }
    }
}

void control_rig::note_reverts()
{
    auto const note = [this](std::string const& name, std::uint64_t generation)
    {
        auto& highest_seen = this->highest[name];
        if (generation < highest_seen)
        {
            this->reverts.push_back(name);
        }
        highest_seen = std::max(highest_seen, generation);
    };
    for (auto const& [name, entry] : this->entries)
    {
        note(name, entry.control.configuration.generation);
    }
    for (auto const& [name, agent] : this->agents)
    {
        note(name, agent.control.configuration.generation);
    }
}

void control_rig::run_for(milliseconds length)
{
    auto const end = this->now + length;
    while (this->now < end)
    {
        this->now += tick_length;
        this->deliver();
        this->answer_calls();
        for (auto const& [name, entry] : this->entries)
        {
            if (!this->paused.contains(name))
            {
                this->step_entry(name, core::tick{});
            }
        }
        for (auto const& [name, agent] : this->agents)
        {
            if (!this->paused.contains(name))
            {
                this->step_agent(name, core::tick{});
            }
        }
        this->note_reverts();
    }
}

milliseconds control_rig::run_until(
    std::function<bool()> const& condition, milliseconds limit)
{
    auto const start = this->now;
    while (!condition() && this->now - start < limit)
    {
        this->run_for(tick_length);
    }
    return std::chrono::duration_cast<milliseconds>(this->now - start);
}

bool control_rig::all_have_generation(std::uint64_t generation) const
{
    auto const has = [generation](auto const& process)
    {
        return process.second.control.configuration.generation == generation;
    };
    return std::ranges::all_of(this->entries, has) &&
           std::ranges::all_of(this->agents, has);
}

std::vector<std::string> control_rig::watchers(std::string const& domain) const
{
    std::vector<std::string> found;
    for (auto const& [name, entry] : this->entries)
    {
        auto const watches =
            entry.self.failure_domain == domain &&
            control::is_among_first(
                entry.control.gossip.order, name, control::watchers_per_domain);
        if (watches && !this->paused.contains(name))
        {
            found.push_back(name);
        }
    }
    return found;
}

std::string control_rig::planner(std::string const& domain) const
{
    for (auto const& [name, entry] : this->entries)
    {
        auto const holds = entry.self.failure_domain == domain &&
                           control::holds_lease(entry.control.lease, this->now);
        if (holds && !this->paused.contains(name))
        {
            return name;
        }
    }
    return {};
}

} // namespace foxtailvale::entry_core
