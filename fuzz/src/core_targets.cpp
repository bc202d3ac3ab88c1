#include "choices.hpp"
#include "targets.hpp"

#include <agent_core/agent_core.hpp>
#include <entry_core/entry_core.hpp>

#include <core/wire_ids.hpp>

#include <cstdlib>
#include <map>
#include <set>

namespace foxtailvale::fuzz
{

namespace
{

using std::chrono::milliseconds;

constexpr char const* digest = "d1";

void require(bool holds)
{
    if (!holds)
    {
        std::abort();
    }
}

entry_core::state make_entry()
{
    entry_core::state entry;
    entry.self = {"entry-1", "split-a", "dalmacija", 100};
    auto& configuration = entry.control.configuration;
    configuration.generation = 4;
    configuration.domains["split-a"].region = "dalmacija";
    configuration.models["assistant"].digest = digest;
    configuration.services["booking"] = {};
    for (auto const* const name : {"agent-1", "agent-2", "agent-3"})
    {
        auto& member = entry.control.members.members[name];
        member.vm.role = control::vm_role::agent;
        member.vm.failure_domain = "split-a";
        member.state = control::liveness::alive;
        auto& view = entry.control.endpoints[name];
        view.failure_domain = "split-a";
        view.serving["assistant"] = digest;
        view.service = "booking";
        view.limit = 4;
    }
    return entry;
}

agent_core::state make_agent()
{
    agent_core::state agent;
    agent.self = {"agent-1", "split-a", "dalmacija", ""};
    agent.weights.store.capacity_bytes = 1U << 20U;
    agent.weights.serving["assistant"] = digest;
    request::set_limits(agent.requests.gate, 4, 2);
    return agent;
}

// What the harness has observed of one caller's request, to check the
// invariants that hold whatever happens behind the entry.
struct caller_record
{
    bool idempotent = false;
    // Runs that were sent and may have been executed.
    std::uint32_t possible_runs = 0;
    bool ended = false;
};

// Feeds events to an entry's core and checks its replies to callers.
class entry_harness
{
public:
    explicit entry_harness(choices& input)
        : input_choices(input), core(make_entry())
    {
    }

    void run()
    {
        while (!this->input_choices.done())
        {
            this->now += milliseconds(this->input_choices.below(200));
            this->apply_event();
        }
    }

private:
    void apply_event()
    {
        switch (this->input_choices.below(6))
        {
        case 0:
            return this->request();
        case 1:
            return this->step(core::tick{});
        case 2:
            return this->answer();
        case 3:
            return this->fail_send();
        case 4:
            return this->platform();
        default:
            return this->disconnect_caller();
        }
    }

    void request()
    {
        entry_core::caller_request request;
        request.caller = ++this->last_caller;
        request.request_id = std::to_string(request.caller);
        request.workspace = "split";
        auto const chat = this->input_choices.below(2) == 0;
        (chat ? request.model : request.service) =
            chat ? "assistant" : "booking";
        request.method = "POST";
        request.time_left = milliseconds(1 + this->input_choices.below(2000));
        this->callers[request.caller].idempotent = chat;
        this->step(request);
    }

    void answer()
    {
        if (this->sent.empty())
        {
            return;
        }
        auto const index = this->input_choices.below(this->sent.size());
        auto const& run = this->sent[index];
        core::message_received message{run.peer, {}};
        auto& output = *message.envelope.mutable_run_output();
        *output.mutable_attempt() = run.envelope.run().attempt();
        output.set_status(200);
        output.set_sequence(
            static_cast<std::uint32_t>(this->input_choices.below(3)));
        output.set_last(this->input_choices.below(2) == 0);
        constexpr char const* errors[] = {
            "", "", "endpoint_full", "endpoint_lost", "version_mismatch"};
        auto const* const error = errors[this->input_choices.below(5)];
        output.set_error(error);
        auto const kind = base::error_kind_from_name(error);
        if (*error != '\0' && base::row_of(kind).ran == base::ran_state::no)
        {
            this->record_not_run(run);
        }
        this->step(message);
    }

    void fail_send()
    {
        if (this->sent.empty())
        {
            return;
        }
        auto const run = this->sent.back();
        this->sent.pop_back();
        this->record_not_run(run);
        this->step(core::send_failed{run.peer, run.envelope});
    }

    void record_not_run(core::send_message const& run)
    {
        auto const caller =
            std::strtoull(run.envelope.run().request_id().c_str(), nullptr, 10);
        auto& record = this->callers[caller];
        record.possible_runs -= record.possible_runs > 0 ? 1 : 0;
    }

    void platform()
    {
        core::platform_answer answer;
        answer.id = this->input_choices.below(40);
        answer.ok = this->input_choices.below(2) == 0;
        answer.version = this->input_choices.below(100);
        answer.value = this->input_choices.rest(60);
        this->step(answer);
    }

    void disconnect_caller()
    {
        auto const caller = this->input_choices.below(this->last_caller + 1);
        this->callers[caller].ended = true;
        this->step(entry_core::caller_disconnected{caller});
    }

    void step(entry_core::event const& event)
    {
        for (auto const& action :
             entry_core::step(this->core, event, this->now))
        {
            if (auto const* const out =
                    std::get_if<core::send_message>(&action))
            {
                this->record_sent(*out);
            }
            if (auto const* const piece =
                    std::get_if<entry_core::reply>(&action))
            {
                this->record_reply(piece->caller, piece->last);
            }
            if (auto const* const end =
                    std::get_if<entry_core::refuse>(&action))
            {
                this->record_reply(end->caller, true);
            }
        }
    }

    void record_sent(core::send_message const& out)
    {
        if (!out.envelope.has_run())
        {
            return;
        }
        this->sent.push_back(out);
        auto const caller =
            std::strtoull(out.envelope.run().request_id().c_str(), nullptr, 10);
        auto& record = this->callers[caller];
        ++record.possible_runs;
        // A booking is not idempotent: it is sent again only after the earlier
        // run is known not to have been executed.
        require(record.idempotent || record.possible_runs <= 1);
    }

    // A request ends exactly once, and the caller gets no reply afterwards.
    void record_reply(std::uint64_t caller, bool last)
    {
        auto& record = this->callers[caller];
        require(!record.ended);
        record.ended = last;
    }

    choices& input_choices;
    entry_core::state core;
    base::time_point now{std::chrono::hours(1)};
    std::uint64_t last_caller = 0;
    std::vector<core::send_message> sent;
    std::map<std::uint64_t, caller_record> callers;
};

// Feeds events to an agent's core and checks the work that it starts.
class agent_harness
{
public:
    explicit agent_harness(choices& input)
        : input_choices(input), core(make_agent())
    {
    }

    void run()
    {
        while (!this->input_choices.done())
        {
            this->now += milliseconds(this->input_choices.below(200));
            this->apply_event();
            require(
                this->core.requests.gate.running.size() <=
                this->core.requests.gate.warm_limit);
        }
    }

private:
    void apply_event()
    {
        switch (this->input_choices.below(6))
        {
        case 0:
            return this->receive_run();
        case 1:
            return this->step(core::tick{});
        case 2:
            return this->receive_output();
        case 3:
            return this->report_endpoint();
        case 4:
            return this->push_configuration();
        default:
            return this->cancel();
        }
    }

    wire::AttemptId attempt()
    {
        wire::AttemptId id;
        id.set_high(1);
        id.set_low(this->input_choices.below(20));
        return id;
    }

    void receive_run()
    {
        core::message_received message{"entry-1", {}};
        auto& run = *message.envelope.mutable_run();
        *run.mutable_attempt() = this->attempt();
        run.mutable_target()->set_model("assistant");
        run.mutable_target()->set_digest(
            this->input_choices.below(4) == 0 ? "d2" : digest);
        run.set_time_left_ms(1000);
        this->step(message);
    }

    void receive_output()
    {
        agent_core::attempt_output output;
        output.attempt = core::from_wire(this->attempt());
        output.status = 200;
        output.last = this->input_choices.below(2) == 0;
        if (this->input_choices.below(4) == 0)
        {
            output.last = true;
            output.failure = base::error{base::error_kind::endpoint_lost, {}};
        }
        if (output.last)
        {
            this->running.erase(output.attempt);
        }
        this->step(output);
    }

    void report_endpoint()
    {
        agent_core::endpoint_report report;
        report.reachable = this->input_choices.below(4) != 0;
        report.instance =
            "engine/" + std::to_string(this->input_choices.below(3));
        report.cold = this->input_choices.below(2) == 0;
        if (this->input_choices.below(3) != 0)
        {
            report.loaded.push_back({"assistant", digest});
        }
        this->step(report);
    }

    void push_configuration()
    {
        core::message_received message{"entry-1", {}};
        auto& push = *message.envelope.mutable_configuration_push();
        push.set_generation(this->input_choices.below(5));
        release::configuration configuration;
        configuration.generation = push.generation();
        configuration.models["assistant"].digest = digest;
        configuration.models["assistant"].limit =
            static_cast<std::uint32_t>(1 + this->input_choices.below(8));
        push.set_document(to_text(configuration));
        auto const before = this->core.control.configuration.generation;
        this->step(message);
        require(this->core.control.configuration.generation >= before);
    }

    void cancel()
    {
        core::message_received message{"entry-1", {}};
        *message.envelope.mutable_cancel()->mutable_attempt() = this->attempt();
        this->step(message);
    }

    void step(agent_core::event const& event)
    {
        for (auto const& action :
             agent_core::step(this->core, event, this->now))
        {
            auto const* const start =
                std::get_if<agent_core::start_attempt>(&action);
            if (start != nullptr)
            {
                // The endpoint never runs the same attempt twice
                // concurrently.
                require(this->running.insert(start->attempt).second);
                require(start->run.target().digest() == digest);
            }
        }
    }

    choices& input_choices;
    agent_core::state core;
    base::time_point now{std::chrono::hours(1)};
    std::set<base::attempt_id> running;
};

} // namespace

void frame(std::string_view bytes)
{
    core::message_received message{"agent-1", {}};
    if (!message.envelope.ParseFromArray(
            bytes.data(), static_cast<int>(bytes.size())))
    {
        return;
    }
    base::time_point const now{std::chrono::hours(1)};
    auto entry = make_entry();
    entry_core::step(entry, message, now);
    entry_core::step(entry, core::tick{}, now);
    auto agent = make_agent();
    agent_core::step(agent, message, now);
    agent_core::step(agent, core::tick{}, now);
}

void entry_events(std::string_view bytes)
{
    choices input(bytes);
    entry_harness(input).run();
}

void agent_events(std::string_view bytes)
{
    choices input(bytes);
    agent_harness(input).run();
}

std::vector<std::string> frame_seeds()
{
    std::vector<std::string> seeds;
    auto const add = [&seeds](wire::Envelope const& envelope)
    {
        seeds.push_back(envelope.SerializeAsString());
    };
    wire::Envelope envelope;
    envelope.set_from("agent-1");
    envelope.mutable_heartbeat()->set_limit(4);
    add(envelope);
    envelope.mutable_configuration_push()->set_generation(9);
    envelope.mutable_configuration_push()->set_document(
        to_text(make_entry().control.configuration));
    add(envelope);
    envelope.mutable_plan_push()->set_failure_domain("split-a");
    envelope.mutable_plan_push()->set_version(3);
    envelope.mutable_plan_push()->set_document(
        to_text(control::domain_plan{"split-a", "dalmacija", 3, 4, {}}));
    add(envelope);
    envelope.mutable_configuration_digest()->set_generation(2);
    add(envelope);
    envelope.mutable_run()->mutable_target()->set_model("assistant");
    envelope.mutable_run()->mutable_target()->set_digest(digest);
    add(envelope);
    envelope.mutable_run_output()->set_last(true);
    add(envelope);
    envelope.mutable_reserve()->mutable_attempt()->set_high(1);
    add(envelope);
    envelope.mutable_chunk_request()->set_digest(digest);
    add(envelope);
    envelope.mutable_chunk_reply()->set_data("bytes");
    add(envelope);
    envelope.mutable_manifest_reply()->set_document("text");
    add(envelope);
    return seeds;
}

} // namespace foxtailvale::fuzz
