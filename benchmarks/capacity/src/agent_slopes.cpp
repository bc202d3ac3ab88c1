#include "agent_slopes.hpp"

#include "fleet_shape.hpp"

#include <agent_core/agent_core.hpp>

#include <core/wire_ids.hpp>

namespace foxtailvale::capacity
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds tick_interval{20};
constexpr std::uint32_t ticks_per_second = 50;
constexpr seconds settle_time{2};
constexpr seconds measured_time{10};
constexpr std::uint32_t measured_requests = 2000;
constexpr std::uint32_t tokens_per_request = 20;

// An agent's core with simulated entries and a simulated engine.
class agent_harness
{
public:
    agent_harness(fleet_shape const& fleet, std::uint32_t connected_entries)
        : shape(fleet), entries(connected_entries), heap_before(heap_bytes())
    {
        this->core.self = {
            agent_name(fleet, 0), domain_name(0), "region-0", ""};
        this->core.weights.store.capacity_bytes = 1ULL << 40U;
        this->core.random.value = 7;
        this->push_configuration();
        this->report();
        this->push_plans();
        this->report();
    }

    void run(seconds length)
    {
        for (std::int64_t count = 0; count < length / tick_interval; ++count)
        {
            this->now += tick_interval;
            this->apply("tick", core::tick{});
            this->send_hellos();
            ++this->tick;
        }
    }

    void reset()
    {
        this->step_costs.clear();
        this->sent_bytes = 0;
        this->sent_frames = 0;
        this->received_bytes = 0;
    }

    std::vector<agent_core::action>
    apply(std::string const& kind, agent_core::event const& event)
    {
        auto const start = thread_processor_time();
        auto actions = agent_core::step(this->core, event, this->now);
        auto& cost = this->step_costs[kind];
        cost.time += thread_processor_time() - start;
        ++cost.count;
        for (auto const& action : actions)
        {
            auto const* const out = std::get_if<core::send_message>(&action);
            if (out != nullptr)
            {
                ++this->sent_frames;
                this->sent_bytes += out->envelope.ByteSizeLong();
                this->record_size(out->envelope);
            }
        }
        return actions;
    }

    void run_request(std::uint64_t number)
    {
        core::message_received message{entry_name(this->shape, 0), {}};
        auto& run = *message.envelope.mutable_run();
        run.mutable_attempt()->set_high(number);
        run.mutable_attempt()->set_low(1);
        run.mutable_target()->set_model(model_name(0));
        run.mutable_target()->set_digest(digest_of(0));
        run.mutable_target()->set_generation(1);
        run.set_stream(true);
        run.set_body(std::string(2000, 'p'));
        run.set_time_left_ms(60'000);
        this->apply("run", message);
        agent_core::attempt_output piece;
        piece.attempt = core::from_wire(run.attempt());
        piece.status = 200;
        piece.content_type = "text/event-stream";
        piece.body.assign(120, 't');
        for (std::uint32_t token = 0; token < tokens_per_request; ++token)
        {
            piece.last = token + 1 == tokens_per_request;
            this->apply("token", piece);
        }
    }

    std::uint64_t state_bytes() const
    {
        return heap_bytes() - this->heap_before;
    }

    costs step_costs;
    std::uint64_t sent_bytes = 0;
    std::uint64_t sent_frames = 0;
    std::uint64_t received_bytes = 0;
    std::uint64_t heartbeat_bytes = 0;

private:
    void record_size(wire::Envelope const& envelope)
    {
        if (envelope.has_heartbeat())
        {
            this->heartbeat_bytes = envelope.ByteSizeLong();
        }
    }

    void receive(std::string const& kind, core::message_received const& message)
    {
        this->received_bytes += message.envelope.ByteSizeLong();
        this->apply(kind, message);
    }

    void push_configuration()
    {
        core::message_received message{entry_name(this->shape, 0), {}};
        auto& push = *message.envelope.mutable_configuration_push();
        push.set_generation(1);
        push.set_document(to_text(make_configuration(this->shape, 1)));
        this->receive("configuration_push", message);
    }

    void push_plans()
    {
        for (std::uint32_t domain = 0; domain < this->shape.domains; ++domain)
        {
            auto const plan = make_domain_plan(this->shape, domain);
            core::message_received message{entry_name(this->shape, 0), {}};
            auto& push = *message.envelope.mutable_plan_push();
            push.set_failure_domain(plan.failure_domain);
            push.set_version(plan.version);
            push.set_document(to_text(plan));
            this->receive("plan_push", message);
        }
    }

    // Reports an engine that serves the first model.
    void report()
    {
        agent_core::endpoint_report report;
        report.reachable = true;
        report.instance = "engine/1";
        report.loaded.push_back({model_name(0), digest_of(0)});
        this->apply("endpoint_report", report);
    }

    void send_hellos()
    {
        for (auto number = this->tick % ticks_per_second;
             number < this->entries; number += ticks_per_second)
        {
            core::message_received message{
                entry_name(this->shape, static_cast<std::uint32_t>(number)),
                {}};
            message.envelope.set_from(message.peer);
            message.envelope.set_from_incarnation(1ULL << 60U);
            message.envelope.set_to_incarnation(1ULL << 60U);
            message.envelope.mutable_configuration_digest()->set_generation(1);
            this->receive("hello", message);
        }
    }

    fleet_shape shape;
    std::uint32_t entries;
    std::uint64_t heap_before;
    agent_core::state core;
    base::time_point now{std::chrono::hours(1)};
    std::uint64_t tick = 0;
};

} // namespace

void measure_agent(
    std::uint32_t endpoints, std::uint32_t connected_entries, samples& into)
{
    agent_harness harness(shape_of(endpoints), connected_entries);
    harness.run(settle_time);
    harness.reset();
    harness.run(measured_time);
    auto const length = static_cast<double>(measured_time.count());
    double total = 0;
    for (auto const& [kind, cost] : harness.step_costs)
    {
        into.push_back(
            {"agent.step." + kind + ".us", endpoints, mean_us(cost),
             "us/event"});
        total += std::chrono::duration<double>(cost.time).count();
    }
    into.push_back(
        {"agent.control.core_share", endpoints, total * 100 / length,
         "% of a core"});
    into.push_back(
        {"agent.control.sent_bytes", endpoints,
         static_cast<double>(harness.sent_bytes) / length, "B/s"});
    into.push_back(
        {"agent.control.sent_frames", endpoints,
         static_cast<double>(harness.sent_frames) / length, "frames/s"});
    into.push_back(
        {"agent.control.received_bytes", endpoints,
         static_cast<double>(harness.received_bytes) / length, "B/s"});
    into.push_back(
        {"agent.listeners", endpoints, static_cast<double>(connected_entries),
         "entries"});
    into.push_back(
        {"agent.state.bytes", endpoints,
         static_cast<double>(harness.state_bytes()), "B"});
    into.push_back(
        {"message.heartbeat", endpoints,
         static_cast<double>(harness.heartbeat_bytes), "B"});
    harness.reset();
    for (std::uint64_t number = 1; number <= measured_requests; ++number)
    {
        harness.run_request(number);
    }
    // A refused request produces one frame, an answered request one frame per
    // token.
    auto const expected = std::uint64_t{measured_requests} * tokens_per_request;
    into.push_back(
        {"agent.requests.frames_missing", endpoints,
         static_cast<double>(expected) -
             static_cast<double>(harness.sent_frames),
         "of " + std::to_string(expected)});
    for (auto const* const kind : {"run", "token"})
    {
        into.push_back(
            {std::string("agent.step.") + kind + ".us", endpoints,
             mean_us(harness.step_costs[kind]), "us/event"});
    }
}

} // namespace foxtailvale::capacity
