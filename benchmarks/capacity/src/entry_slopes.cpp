#include "entry_slopes.hpp"

#include "fake_platform.hpp"
#include "fleet_shape.hpp"

#include <control/lease.hpp>
#include <entry_core/entry_core.hpp>

#include <set>
#include <utility>

namespace foxtailvale::capacity
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds tick_interval{20};
constexpr std::uint32_t ticks_per_second = 50;
constexpr seconds settle_time{8};
constexpr seconds measured_time{10};
constexpr std::uint32_t measured_requests = 2000;
constexpr std::uint32_t tokens_per_request = 20;
constexpr std::uint32_t open_requests = 500;
constexpr std::size_t prompt_bytes = 2000;
// Engine limit in the made-up heartbeats.
constexpr std::uint32_t engine_limit = 64;

// Frames of one kind.
struct traffic
{
    std::uint64_t frames = 0;
    std::uint64_t bytes = 0;
};

// An entry's core before a fake platform and made-up agents.
class entry_rig
{
public:
    entry_rig(fleet_shape const& fleet, bool planner)
        : shape(fleet), platform(make_vm_list(fleet)), holds_lease(planner)
    {
        for (std::uint32_t domain = 0; domain < fleet.domains; ++domain)
        {
            this->platform.write(
                core::plan_path(domain_name(domain)),
                to_text(make_domain_plan(fleet, domain)));
        }
        this->platform.write(
            core::release_path, to_text(make_configuration(fleet, 1)));
        this->heap_before = heap_bytes();
        this->core.self.name = entry_name(fleet, 0);
        this->core.self.failure_domain = domain_name(0);
        this->core.self.region = "region-0";
        this->core.random.value = 7;
    }

    void run(seconds length)
    {
        auto const ticks = length / tick_interval;
        for (std::int64_t count = 0; count < ticks; ++count)
        {
            this->now += tick_interval;
            this->renew_foreign_lease();
            this->take("tick", core::tick{});
            for (auto const& answer : this->platform.answers(this->now))
            {
                this->take("platform_answer", answer);
            }
            this->send_heartbeats();
            ++this->tick;
        }
    }

    // Forgets what has been counted so far.
    void reset()
    {
        this->spent.clear();
        this->sent = {};
        this->received = {};
        this->calls_before = this->platform.calls();
        this->platform_bytes_before = this->platform.bytes_answered();
    }

    std::vector<entry_core::action>
    take(std::string const& kind, entry_core::event const& event)
    {
        auto const start = thread_processor_time();
        auto actions = entry_core::step(this->core, event, this->now);
        auto& cost = this->spent[kind];
        cost.time += thread_processor_time() - start;
        ++cost.count;
        for (auto const& action : actions)
        {
            this->carry_out(action);
        }
        return actions;
    }

    std::uint64_t calls(std::string const& kind) const
    {
        auto const all = this->platform.calls().find(kind);
        auto const before = this->calls_before.find(kind);
        return (all == this->platform.calls().end() ? 0 : all->second) -
               (before == this->calls_before.end() ? 0 : before->second);
    }

    std::uint64_t platform_bytes() const
    {
        return this->platform.bytes_answered() - this->platform_bytes_before;
    }

    std::uint64_t state_bytes() const
    {
        return heap_bytes() - this->heap_before;
    }

    void write_configuration(std::uint64_t generation)
    {
        this->platform.write(
            core::release_path,
            to_text(make_configuration(this->shape, generation)));
    }

    costs spent;
    traffic sent;
    traffic received;
    // Agents that this entry has spoken to, by number.
    std::set<std::string> contacts;

private:
    void carry_out(entry_core::action const& action)
    {
        if (auto const* const call = std::get_if<core::platform_call>(&action))
        {
            this->platform.ask(*call, this->now);
        }
        if (auto const* const out = std::get_if<core::send_message>(&action))
        {
            ++this->sent.frames;
            this->sent.bytes += out->envelope.ByteSizeLong();
            if (out->envelope.has_configuration_digest())
            {
                this->contacts.insert(out->peer);
            }
        }
    }

    // Without the lease, another entry of the domain keeps renewing it.
    void renew_foreign_lease()
    {
        auto const interval =
            static_cast<std::uint64_t>(control::lease_renewal / tick_interval);
        if (!this->holds_lease && this->tick % interval == 0)
        {
            this->platform.write(
                core::lease_path(domain_name(0)),
                control::to_text(control::lease_record{
                    entry_name(this->shape, this->shape.domains), this->tick}));
        }
    }

    // Each agent that was spoken to sends one heartbeat a second.
    void send_heartbeats()
    {
        for (auto number = this->tick % ticks_per_second;
             number < this->shape.endpoints; number += ticks_per_second)
        {
            auto const name =
                agent_name(this->shape, static_cast<std::uint32_t>(number));
            if (!this->contacts.contains(name))
            {
                continue;
            }
            core::message_received message{name, {}};
            message.envelope.set_from(name);
            message.envelope.set_from_incarnation(this->tick << 32U);
            message.envelope.set_to_incarnation(this->tick << 32U);
            auto& beat = *message.envelope.mutable_heartbeat();
            beat.set_failure_domain(domain_name(
                static_cast<std::uint32_t>(number) % this->shape.domains));
            beat.set_region("region-0");
            beat.set_engine_instance(name + "/1");
            auto const model = static_cast<std::uint32_t>(
                number / this->shape.domains % this->shape.models);
            auto& loaded = *beat.add_loaded();
            loaded.set_model(model_name(model));
            loaded.set_digest(digest_of(model));
            beat.set_limit(engine_limit);
            beat.set_running(3);
            beat.set_generation(1);
            beat.set_plan_version(1);
            beat.set_chunks_held(400);
            beat.set_chunks_wanted(400);
            ++this->received.frames;
            this->received.bytes += message.envelope.ByteSizeLong();
            this->take("heartbeat", message);
        }
    }

    fleet_shape shape;
    fake_platform platform;
    bool holds_lease;
    entry_core::state core;
    base::time_point now{std::chrono::hours(1)};
    std::uint64_t tick = 0;
    std::uint64_t heap_before = 0;
    std::uint64_t platform_bytes_before = 0;
    std::map<std::string, std::uint64_t> calls_before;
};

entry_core::caller_request make_request(std::uint64_t number)
{
    entry_core::caller_request request;
    request.caller = number;
    request.request_id = "request-" + std::to_string(number);
    request.workspace = "workspace-" + std::to_string(number % 40);
    request.model = model_name(static_cast<std::uint32_t>(number % 12));
    request.method = "POST";
    request.path = "/v1/chat/completions";
    request.content_type = "application/json";
    request.body.assign(prompt_bytes, 'p');
    request.stream = true;
    request.prefix = number % 50 + 1;
    request.time_left = seconds(60);
    return request;
}

core::send_message const* find_run(std::vector<entry_core::action> const& all)
{
    for (auto const& action : all)
    {
        auto const* const message = std::get_if<core::send_message>(&action);
        if (message != nullptr && message->envelope.has_run())
        {
            return message;
        }
    }
    return nullptr;
}

// One request from its arrival to its last token; false when it was refused.
bool run_request(entry_rig& rig, std::uint64_t number)
{
    auto const begun = rig.take("request", make_request(number));
    auto const* const run = find_run(begun);
    if (run == nullptr)
    {
        return false;
    }
    core::message_received piece{run->peer, {}};
    auto& output = *piece.envelope.mutable_run_output();
    *output.mutable_attempt() = run->envelope.run().attempt();
    output.set_status(200);
    output.set_content_type("text/event-stream");
    output.set_body(std::string(120, 't'));
    output.set_limit(engine_limit);
    output.set_running(3);
    for (std::uint32_t token = 0; token < tokens_per_request; ++token)
    {
        output.set_sequence(token);
        output.set_last(token + 1 == tokens_per_request);
        rig.take("token", piece);
    }
    return true;
}

void add_control(
    entry_rig const& rig,
    std::string const& role,
    std::uint64_t at,
    samples& into)
{
    auto const length = static_cast<double>(measured_time.count());
    double total = 0;
    for (auto const& [kind, cost] : rig.spent)
    {
        auto name = role;
        name.append(".step.").append(kind).append(".us");
        into.push_back({std::move(name), at, mean_us(cost), "us/event"});
        total += std::chrono::duration<double>(cost.time).count();
    }
    auto const a_second = [&](char const* what, double count, char const* unit)
    {
        into.push_back({role + "." + what, at, count / length, unit});
    };
    a_second("control.core_share", total * 100, "% of a core");
    a_second("control.sent_bytes", static_cast<double>(rig.sent.bytes), "B/s");
    a_second(
        "control.received_bytes", static_cast<double>(rig.received.bytes),
        "B/s");
    a_second(
        "control.sent_frames", static_cast<double>(rig.sent.frames),
        "frames/s");
    a_second(
        "control.received_frames", static_cast<double>(rig.received.frames),
        "frames/s");
    a_second(
        "platform.reads", static_cast<double>(rig.calls("read")), "calls/s");
    a_second(
        "platform.writes", static_cast<double>(rig.calls("write")), "calls/s");
    a_second(
        "platform.watches", static_cast<double>(rig.calls("watch")), "calls/s");
    a_second(
        "platform.bytes", static_cast<double>(rig.platform_bytes()), "B/s");
    into.push_back(
        {role + ".contacts", at, static_cast<double>(rig.contacts.size()),
         "agents"});
}

void add_requests(entry_rig& rig, std::uint64_t at, samples& into)
{
    rig.reset();
    std::uint64_t number = 0;
    std::uint32_t refused = 0;
    for (; number < measured_requests; ++number)
    {
        refused += run_request(rig, number) ? 0 : 1;
    }
    for (auto const* const kind : {"request", "token"})
    {
        into.push_back(
            {std::string("entry.step.") + kind + ".us", at,
             mean_us(rig.spent[kind]), "us/event"});
    }
    into.push_back(
        {"entry.requests.refused", at, static_cast<double>(refused),
         "of " + std::to_string(measured_requests)});
    if (refused > 0)
    {
        // A small fleet has no room for all models: no state to measure.
        return;
    }
    auto const before = rig.state_bytes();
    for (std::uint32_t open = 0; open < open_requests; ++open)
    {
        rig.take("open", make_request(++number));
    }
    into.push_back(
        {"entry.state.request", at,
         static_cast<double>(rig.state_bytes() - before) / open_requests,
         "B/request"});
    rig.reset();
    rig.run(seconds(1));
    into.push_back(
        {"entry.step.tick_under_load.us", at, mean_us(rig.spent["tick"]),
         "us/event with 500 open requests"});
}

} // namespace

void measure_entry(std::uint32_t endpoints, bool planner, samples& into)
{
    entry_rig rig(shape_of(endpoints), planner);
    rig.run(settle_time);
    rig.reset();
    rig.run(measured_time);
    std::string const role = planner ? "planner" : "entry";
    add_control(rig, role, endpoints, into);
    into.push_back(
        {role + ".state.bytes", endpoints,
         static_cast<double>(rig.state_bytes()), "B"});
    if (!planner)
    {
        add_requests(rig, endpoints, into);
    }
}

} // namespace foxtailvale::capacity
