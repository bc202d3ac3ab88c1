#include "request_world.hpp"

#include <algorithm>

namespace foxtailvale::testing
{

namespace
{

constexpr milliseconds tick_interval{20};
constexpr milliseconds report_interval{100};
constexpr char const* domain = "split-a";
constexpr std::uint64_t list_version = 1;
// Entries wait for their peers for a while before they trust the platform.
constexpr milliseconds settle_time{5000};

template <class... Functions>
struct overloaded : Functions...
{
    using Functions::operator()...;
};
template <class... Functions>
overloaded(Functions...) -> overloaded<Functions...>;

std::string answer_text(std::string const& body)
{
    return "done: " + body;
}

release::configuration make_release(std::uint32_t limit)
{
    release::configuration configuration;
    configuration.generation = 1;
    configuration.domains[domain].region = "dalmacija";
    configuration.services["booking"].limit = limit;
    return configuration;
}

} // namespace

request_simulation::request_simulation(
    simulation_options const& initial_options)
    : random{initial_options.seed}, options(initial_options)
{
    this->objects[core::release_path] = {
        ++this->last_version, to_text(make_release(initial_options.limit))};
    for (std::size_t index = 1; index <= initial_options.entries; ++index)
    {
        this->entries["entry-" + std::to_string(index)];
    }
    for (std::size_t index = 1; index <= initial_options.agents; ++index)
    {
        this->agents["agent-" + std::to_string(index)];
    }
    for (auto const& [name, entry] : this->entries)
    {
        this->start_entry(name);
    }
    for (auto const& [name, agent] : this->agents)
    {
        this->start_agent(name);
    }
    this->tick();
    this->run_for(settle_time);
}

void request_simulation::start_entry(std::string const& name)
{
    entry_core::state entry;
    entry.self = {name, domain, "dalmacija", 1000};
    entry.random.value = base::next_random(this->random);
    this->entries[name] = std::move(entry);
    this->incarnations[name] = ++this->last_incarnation;
    this->known_incarnations[name].clear();
}

void request_simulation::start_agent(std::string const& name)
{
    agent_core::state agent;
    agent.self = {name, domain, "dalmacija", "booking"};
    agent.random.value = base::next_random(this->random);
    this->agents[name] = std::move(agent);
    this->incarnations[name] = ++this->last_incarnation;
    this->known_incarnations[name].clear();
    this->running_now[name] = 0;
}

void request_simulation::at(base::time_point time, task callback)
{
    this->scheduled_tasks.emplace(time, std::move(callback));
}

milliseconds request_simulation::delay()
{
    auto const bound =
        static_cast<std::uint64_t>(this->options.longest_delay.count());
    return milliseconds(base::random_below(this->random, bound + 1));
}

void request_simulation::tick()
{
    for (auto const& [name, entry] : this->entries)
    {
        this->step_entry(name, core::tick{});
    }
    for (auto const& [name, agent] : this->agents)
    {
        this->step_agent(name, core::tick{});
    }
    if (this->now.time_since_epoch() % report_interval == base::duration{})
    {
        for (auto const& [name, agent] : this->agents)
        {
            this->step_agent(
                name, agent_core::endpoint_report{true, "i", false, {}});
        }
    }
    this->at(
        this->now + tick_interval,
        [this]
        {
            this->tick();
        });
}

void request_simulation::step_entry(
    std::string const& name, entry_core::event const& event)
{
    if (this->down.contains(name))
    {
        return;
    }
    for (auto const& action :
         entry_core::step(this->entries.at(name), event, this->now))
    {
        std::visit(
            overloaded{
                [&](core::send_message const& message)
                {
                    this->send(name, message);
                },
                [&](core::platform_call const& call)
                {
                    this->call_store(name, call);
                },
                [&](entry_core::reply const& reply)
                {
                    this->note_reply(reply, name);
                },
                [&](entry_core::refuse const& refusal)
                {
                    this->note_refusal(refusal, name);
                },
                [](auto const&) {}},
            action);
    }
}

void request_simulation::step_agent(
    std::string const& name, agent_core::event const& event)
{
    if (this->down.contains(name))
    {
        return;
    }
    for (auto const& action :
         agent_core::step(this->agents.at(name), event, this->now))
    {
        std::visit(
            overloaded{
                [&](core::send_message const& message)
                {
                    this->send(name, message);
                },
                [&](agent_core::start_attempt const& start)
                {
                    this->run_work(name, start);
                },
                [](auto const&) {}},
            action);
    }
}

void request_simulation::send(
    std::string const& from, core::send_message const& message)
{
    if (this->on_frame && !this->on_frame(from, message.peer, message.envelope))
    {
        return;
    }
    auto envelope = message.envelope;
    envelope.set_from_incarnation(this->incarnations[from]);
    auto const known = this->known_incarnations[from].find(message.peer);
    if (known != this->known_incarnations[from].end())
    {
        envelope.set_to_incarnation(known->second);
    }
    // Frames of one connection keep their order.
    auto& last = this->last_frame[{from, message.peer}];
    last = std::max(last, this->now + this->delay());
    auto const incarnation = this->incarnations[from];
    this->at(
        last,
        [this, from, incarnation, to = message.peer,
         envelope = std::move(envelope)]
        {
            this->deliver(from, incarnation, to, envelope);
        });
}

void request_simulation::deliver(
    std::string const& from,
    std::uint64_t incarnation,
    std::string const& to,
    wire::Envelope envelope)
{
    if (this->down.contains(to))
    {
        return;
    }
    this->known_incarnations[to][from] = incarnation;
    if (envelope.to_incarnation() != 0 &&
        envelope.to_incarnation() != this->incarnations[to])
    {
        // As the peer bus does, answers with the new incarnation.
        this->send(to, {from, {}});
        return;
    }
    core::message_received const message{from, std::move(envelope)};
    if (this->entries.contains(to))
    {
        this->step_entry(to, message);
    }
    else
    {
        this->step_agent(to, message);
    }
}

void request_simulation::call_store(
    std::string const& name, core::platform_call const& call)
{
    auto const incarnation = this->incarnations[name];
    auto const answer =
        [this, name, incarnation](core::platform_answer const& result)
    {
        if (this->incarnations[name] == incarnation)
        {
            this->step_entry(name, result);
        }
    };
    core::platform_answer lost;
    lost.id = call.id;
    if (this->store.down)
    {
        this->at(
            this->now + milliseconds(1),
            [answer, lost]
            {
                answer(lost);
            });
        return;
    }
    auto const is_write = call.method == core::platform_method::put;
    auto const lose = is_write && this->store.lose_write != 0 &&
                      ++this->writes % this->store.lose_write == 0;
    auto const late = this->store.delay > call.wait;
    if (late)
    {
        this->at(
            this->now + call.wait,
            [answer, lost]
            {
                answer(lost);
            });
    }
    this->at(
        this->now + this->store.delay,
        [this, answer, lost, call, drop = lose, late]
        {
            auto const result = this->apply(call);
            if (!late)
            {
                answer(drop ? lost : result);
            }
        });
}

core::platform_answer request_simulation::apply(core::platform_call const& call)
{
    using core::platform_method;
    core::platform_answer answer;
    answer.id = call.id;
    answer.error = base::error_kind::not_found;
    auto const found = this->objects.find(call.path);
    auto const version = found == this->objects.end() ? 0 : found->second.first;
    switch (call.method)
    {
    case platform_method::get:
    case platform_method::watch:
        answer.ok = version >
                    (call.method == platform_method::watch ? call.expected : 0);
        break;
    case platform_method::put:
        if (version != call.expected)
        {
            answer.error = base::error_kind::platform_conflict;
            return answer;
        }
        this->objects[call.path] = {++this->last_version, call.value};
        answer.ok = true;
        answer.version = this->last_version;
        return answer;
    case platform_method::vms:
        // The list does not change, so only a caller without it gets it.
        answer.ok = call.expected < list_version;
        answer.version = list_version;
        answer.value = this->vm_list();
        return answer;
    case platform_method::list:
        answer.ok = true;
        answer.value = R"({"objects": []})";
        return answer;
    }
    if (answer.ok)
    {
        answer.version = version;
        answer.value = found->second.second;
    }
    return answer;
}

std::string request_simulation::vm_list() const
{
    nlohmann::json list = nlohmann::json::array();
    for (auto const& [name, incarnation] : this->incarnations)
    {
        auto const is_entry = this->entries.contains(name);
        list.push_back(
            {{"name", name},
             {"role", is_entry ? "entry" : "agent"},
             {"failure_domain", domain},
             {"region", "dalmacija"},
             {"address", "127.0.0.1:1"}});
    }
    return nlohmann::json{{"vms", list}}.dump();
}

void request_simulation::run_work(
    std::string const& agent, agent_core::start_attempt const& start)
{
    ++this->run_counts[start.run.request_id()];
    auto const limit = this->agents.at(agent).requests.gate.limit;
    if (++this->running_now[agent] > limit)
    {
        ++this->gate_limit_violations;
    }
    auto const incarnation = this->incarnations[agent];
    this->at(
        this->now + this->options.work,
        [this, agent, incarnation, start]
        {
            if (this->incarnations[agent] != incarnation ||
                this->down.contains(agent))
            {
                return;
            }
            --this->running_now[agent];
            this->step_agent(
                agent, agent_core::attempt_output{
                           start.attempt,
                           200,
                           "text/plain",
                           answer_text(start.run.body()),
                           true,
                           {}});
        });
}

void request_simulation::note_reply(
    entry_core::reply const& reply, std::string const& entry)
{
    auto& call = this->calls.at(this->callers.at(reply.caller));
    if (call.entry == entry)
    {
        call.answers.push_back({reply.status, reply.body, std::nullopt});
    }
}

void request_simulation::note_refusal(
    entry_core::refuse const& refusal, std::string const& entry)
{
    auto& call = this->calls.at(this->callers.at(refusal.caller));
    if (call.entry == entry)
    {
        call.answers.push_back({0, "", refusal.error.kind});
    }
}

std::string request_simulation::send_booking(
    std::string const& entry, std::string key, std::string body)
{
    entry_core::caller_request request;
    request.caller = ++this->last_caller;
    request.request_id = "r" + std::to_string(request.caller);
    request.workspace = "field-crews";
    request.service = "booking";
    request.method = "POST";
    request.path = "/";
    request.body = body;
    request.idempotency_key = key;
    request.time_left = milliseconds(3000);
    this->callers[request.caller] = request.request_id;
    this->calls[request.request_id] = {
        entry, std::move(key), std::move(body), {}};
    this->step_entry(entry, request);
    return request.request_id;
}

void request_simulation::disconnect_caller(std::string const& request_id)
{
    auto const& entry = this->calls.at(request_id).entry;
    auto const caller = std::ranges::find(
        this->callers, request_id,
        [](auto const& item)
        {
            return item.second;
        });
    this->step_entry(entry, entry_core::caller_disconnected{caller->first});
}

void request_simulation::run_for(milliseconds length)
{
    auto const end = this->now + length;
    while (!this->scheduled_tasks.empty() &&
           this->scheduled_tasks.begin()->first <= end)
    {
        auto const first = this->scheduled_tasks.begin();
        this->now = std::max(this->now, first->first);
        auto const callback = std::move(first->second);
        this->scheduled_tasks.erase(first);
        callback();
    }
    this->now = end;
}

bool request_simulation::run_until(std::function<bool()> const& condition)
{
    auto const end = this->now + std::chrono::minutes(1);
    while (!condition() && this->now < end)
    {
        this->run_for(milliseconds(1));
    }
    return condition();
}

void request_simulation::kill(std::string const& name)
{
    this->down.insert(name);
}

void request_simulation::restart(std::string const& name)
{
    this->down.erase(name);
    if (this->entries.contains(name))
    {
        this->start_entry(name);
    }
    else
    {
        this->start_agent(name);
    }
}

std::vector<caller_answer> const&
request_simulation::answers(std::string const& request_id) const
{
    return this->calls.at(request_id).answers;
}

bool request_simulation::is_answered(std::string const& request_id) const
{
    return !this->answers(request_id).empty();
}

std::uint32_t request_simulation::runs_of(std::string const& request_id) const
{
    auto const found = this->run_counts.find(request_id);
    return found == this->run_counts.end() ? 0 : found->second;
}

std::uint32_t request_simulation::runs_of_key(std::string const& key) const
{
    std::uint32_t count = 0;
    for (auto const& [id, call] : this->calls)
    {
        count += call.key == key ? this->runs_of(id) : 0;
    }
    return count;
}

std::size_t request_simulation::runs() const
{
    std::size_t count = 0;
    for (auto const& [id, times] : this->run_counts)
    {
        count += times;
    }
    return count;
}

std::vector<std::string> request_simulation::violated_invariants() const
{
    std::vector<std::string> violations;
    for (auto const& [id, call] : this->calls)
    {
        auto const runs =
            call.key.empty() ? this->runs_of(id) : this->runs_of_key(call.key);
        if (runs > 1)
        {
            violations.push_back(
                id + " ran " + std::to_string(runs) + " times");
        }
        if (call.answers.size() > 1)
        {
            violations.push_back(id + " was answered twice");
        }
        for (auto const& answer : call.answers)
        {
            auto const denied =
                answer.error &&
                base::row_of(*answer.error).ran == base::ran_state::no;
            if (denied && this->runs_of(id) > 0)
            {
                violations.push_back(
                    id + " ran although its caller was told " +
                    std::string(base::row_of(*answer.error).name));
            }
            if (!answer.error && answer.body != answer_text(call.body))
            {
                violations.push_back(id + " got the answer of another request");
            }
        }
    }
    if (this->gate_limit_violations > 0)
    {
        violations.push_back("a gate exceeded its limit");
    }
    return violations;
}

} // namespace foxtailvale::testing
