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
// Engine limit in the simulated heartbeats.
constexpr std::uint32_t engine_limit = 64;

// Frames sent or received, and their bytes.
struct traffic
{
    std::uint64_t frames = 0;
    std::uint64_t bytes = 0;
};

// An entry's core with a fake platform and simulated agents.
class entry_harness
{
public:
    entry_harness(fleet_shape const& fleet, bool planner)
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
            this->apply("tick", core::tick{});
            for (auto const& answer : this->platform.take_answers(this->now))
            {
                this->apply("platform_answer", answer);
            }
            this->send_heartbeats();
            ++this->tick;
        }
    }

    // Resets the costs and counters.
    void reset()
    {
        this->step_costs.clear();
        this->sent = {};
        this->received = {};
        this->calls_before = this->platform.calls();
        this->platform_bytes_before = this->platform.bytes_answered();
    }

    std::vector<entry_core::action>
    apply(std::string const& kind, entry_core::event const& event)
    {
        auto const start = thread_processor_time();
        auto actions = entry_core::step(this->core, event, this->now);
        auto& cost = this->step_costs[kind];
        cost.time += thread_processor_time() - start;
        ++cost.count;
        for (auto const& action : actions)
        {
            this->execute(action);
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

    costs step_costs;
    traffic sent;
    traffic received;
    // Names of the agents that this entry has contacted.
    std::set<std::string> contacts;

private:
    void execute(entry_core::action const& action)
    {
        if (auto const* const call = std::get_if<core::platform_call>(&action))
        {
            this->platform.submit(*call, this->now);
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

    // When this entry does not hold the lease, writes the renewals of another
    // entry of the failure domain.
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

    // Each contacted agent sends one heartbeat per second.
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
            auto& heartbeat = *message.envelope.mutable_heartbeat();
            heartbeat.set_failure_domain(domain_name(
                static_cast<std::uint32_t>(number) % this->shape.domains));
            heartbeat.set_region("region-0");
            heartbeat.set_engine_instance(name + "/1");
            auto const model = static_cast<std::uint32_t>(
                number / this->shape.domains % this->shape.models);
            auto& loaded = *heartbeat.add_loaded();
            loaded.set_model(model_name(model));
            loaded.set_digest(digest_of(model));
            heartbeat.set_limit(engine_limit);
            heartbeat.set_running(3);
            heartbeat.set_generation(1);
            heartbeat.set_plan_version(1);
            heartbeat.set_chunks_held(400);
            heartbeat.set_chunks_wanted(400);
            ++this->received.frames;
            this->received.bytes += message.envelope.ByteSizeLong();
            this->apply("heartbeat", message);
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

// Runs one request from its arrival to its last token. Returns false when it
// was refused.
bool run_request(entry_harness& harness, std::uint64_t number)
{
    auto const request_actions = harness.apply("request", make_request(number));
    auto const* const run = find_run(request_actions);
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
        harness.apply("token", piece);
    }
    return true;
}

void add_control(
    entry_harness const& harness,
    std::string const& role,
    std::uint64_t fleet_size,
    samples& into)
{
    auto const length = static_cast<double>(measured_time.count());
    double total = 0;
    for (auto const& [kind, cost] : harness.step_costs)
    {
        auto name = role;
        name.append(".step.").append(kind).append(".us");
        into.push_back(
            {std::move(name), fleet_size, mean_us(cost), "us/event"});
        total += std::chrono::duration<double>(cost.time).count();
    }
    auto const add_per_second =
        [&](char const* what, double count, char const* unit)
    {
        into.push_back({role + "." + what, fleet_size, count / length, unit});
    };
    add_per_second("control.core_share", total * 100, "% of a core");
    add_per_second(
        "control.sent_bytes", static_cast<double>(harness.sent.bytes), "B/s");
    add_per_second(
        "control.received_bytes", static_cast<double>(harness.received.bytes),
        "B/s");
    add_per_second(
        "control.sent_frames", static_cast<double>(harness.sent.frames),
        "frames/s");
    add_per_second(
        "control.received_frames", static_cast<double>(harness.received.frames),
        "frames/s");
    add_per_second(
        "platform.reads", static_cast<double>(harness.calls("read")),
        "calls/s");
    add_per_second(
        "platform.writes", static_cast<double>(harness.calls("write")),
        "calls/s");
    add_per_second(
        "platform.watches", static_cast<double>(harness.calls("watch")),
        "calls/s");
    add_per_second(
        "platform.bytes", static_cast<double>(harness.platform_bytes()), "B/s");
    into.push_back(
        {role + ".contacts", fleet_size,
         static_cast<double>(harness.contacts.size()), "agents"});
}

void add_requests(
    entry_harness& harness, std::uint64_t fleet_size, samples& into)
{
    harness.reset();
    std::uint64_t number = 0;
    std::uint32_t refused = 0;
    for (; number < measured_requests; ++number)
    {
        refused += run_request(harness, number) ? 0 : 1;
    }
    for (auto const* const kind : {"request", "token"})
    {
        into.push_back(
            {std::string("entry.step.") + kind + ".us", fleet_size,
             mean_us(harness.step_costs[kind]), "us/event"});
    }
    into.push_back(
        {"entry.requests.refused", fleet_size, static_cast<double>(refused),
         "of " + std::to_string(measured_requests)});
    if (refused > 0)
    {
        // A small fleet has no capacity for all models, so requests are refused
        // and there is no per-request state to measure.
        return;
    }
    auto const before = harness.state_bytes();
    for (std::uint32_t open = 0; open < open_requests; ++open)
    {
        harness.apply("open", make_request(++number));
    }
    into.push_back(
        {"entry.state.request", fleet_size,
         static_cast<double>(harness.state_bytes() - before) / open_requests,
         "B/request"});
    harness.reset();
    harness.run(seconds(1));
    into.push_back(
        {"entry.step.tick_under_load.us", fleet_size,
         mean_us(harness.step_costs["tick"]),
         "us/event with 500 open requests"});
}

} // namespace

void measure_entry(std::uint32_t endpoints, bool planner, samples& into)
{
    entry_harness harness(shape_of(endpoints), planner);
    harness.run(settle_time);
    harness.reset();
    harness.run(measured_time);
    std::string const role = planner ? "planner" : "entry";
    add_control(harness, role, endpoints, into);
    into.push_back(
        {role + ".state.bytes", endpoints,
         static_cast<double>(harness.state_bytes()), "B"});
    if (!planner)
    {
        add_requests(harness, endpoints, into);
    }
}

} // namespace foxtailvale::capacity
