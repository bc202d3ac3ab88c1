#include "flows.hpp"

#include <core/wire_ids.hpp>

// Runs calls with an idempotency key at most once. The claim is created in the
// object API by one conditional write, after a slot was granted and before the
// body is sent. An entry that finds a claim of another attempt asks the agent
// named in it, and runs the call only if the claim or that agent says that the
// attempt was not run.
namespace foxtailvale::entry_core
{

namespace
{

using std::chrono::milliseconds;

// Time-out of a claim's read or write. A healthy platform answers in
// milliseconds.
constexpr milliseconds claim_call_timeout{1000};

// Time-out of an outcome query. An agent answers it from memory.
constexpr milliseconds outcome_query_timeout{500};

// Claim calls that may wait for the platform at a time. When the platform is
// slow, each holds a slot of its gate, and more calls would only queue behind
// them.
constexpr std::size_t max_claim_calls = 256;

// Times that the same claim is written. It is repeated once; after that the
// platform counts as unavailable.
constexpr std::uint32_t max_claim_writes = 2;

std::size_t count_claim_calls(state const& state)
{
    std::size_t count = 0;
    for (auto const& [id, call] : state.control.calls)
    {
        auto const is_claim = call.purpose == call_purpose::claim_read ||
                              call.purpose == call_purpose::claim_write;
        count += is_claim ? 1 : 0;
    }
    return count;
}

milliseconds call_timeout(open_request const& open, base::time_point now)
{
    auto const left =
        std::chrono::duration_cast<milliseconds>(open.deadline - now);
    return std::max(std::min(left, claim_call_timeout), milliseconds(1));
}

void call_for_claim(
    state& state,
    open_request& open,
    core::platform_call call,
    call_purpose purpose,
    base::time_point now,
    actions& out)
{
    pending_call pending{purpose, now, call.expected, {}};
    pending.request = open.request.caller;
    pending.claim_path = call.path;
    pending.claim_text = call.value;
    call.wait = call_timeout(open, now);
    call_platform(state, std::move(call), std::move(pending), out);
}

void get_claim(
    state& state, open_request& open, base::time_point now, actions& out)
{
    call_for_claim(
        state, open,
        {.method = core::platform_method::get, .path = open.claim->path},
        call_purpose::claim_read, now, out);
}

void refuse_unclaimed(
    state& state, open_request& open, base::time_point now, actions& out)
{
    end_with_error(
        state, open,
        {base::error_kind::claim_unavailable, "the claim cannot be recorded"},
        now, out);
}

// Answers a call that ran before with its stored answer.
void return_stored_answer(
    state& state,
    open_request& open,
    request::claim const& ended,
    base::time_point now,
    actions& out)
{
    if (!ended.body_kept)
    {
        end_with_error(
            state, open, {base::error_kind::answer_not_kept, {}}, now, out);
        return;
    }
    reply stored;
    stored.caller = open.request.caller;
    stored.status = ended.status;
    stored.content_type = ended.content_type;
    stored.body = ended.body;
    stored.last = true;
    stored.generation = open.generation;
    out.push_back(std::move(stored));
    out.push_back(
        core::count_metric{"foxtailvale_stored_answers_returned_total"});
    close_request(state, open.request.caller, now, out);
}

void query_outcome(
    state& state, open_request& open, base::time_point now, actions& out)
{
    auto const& found = *open.claim->found;
    // The request that runs this attempt, or another one that queries its
    // outcome, is open in this entry.
    if (state.requests.attempts.contains(found.attempt))
    {
        end_with_error(
            state, open, {base::error_kind::already_running, {}}, now, out);
        return;
    }
    if (!state.control.connected.contains(found.agent))
    {
        end_with_error(
            state, open,
            {base::error_kind::outcome_unknown, "its agent is gone"}, now, out);
        return;
    }
    open.stage = request_stage::querying_outcome;
    open.stage_deadline = now + outcome_query_timeout;
    open.agent = found.agent;
    open.attempt = found.attempt;
    state.requests.attempts.emplace(open.attempt, open.request.caller);
    core::send_message message{open.agent, {}};
    core::to_wire(
        open.attempt,
        *message.envelope.mutable_outcome_query()->mutable_attempt());
    out.push_back(std::move(message));
}

// Continues a request whose key is claimed by another attempt.
void handle_found_claim(
    state& state, open_request& open, base::time_point now, actions& out)
{
    auto const& found = *open.claim->found;
    if (found.request_digest != open.claim->request_digest)
    {
        end_with_error(
            state, open, {base::error_kind::key_reused, {}}, now, out);
        return;
    }
    switch (found.state)
    {
    case request::claim_state::finished:
        return return_stored_answer(state, open, found, now, out);
    case request::claim_state::not_run:
        return admit(state, open, now, out);
    case request::claim_state::running:
        return query_outcome(state, open, now, out);
    }
}

// Returns the granted slot, which is not needed because another claim was found
// in place of ours.
void release_unused_slot(open_request& open, state& state, actions& out)
{
    core::send_message message{open.agent, {}};
    core::to_wire(
        open.attempt,
        *message.envelope.mutable_confirm_not_run()->mutable_attempt());
    out.push_back(std::move(message));
    state.requests.attempts.erase(open.attempt);
    open.attempt = {};
    open.claim->held = false;
    open.stage = request_stage::reading_claim;
}

// Writes the claim again after a write without an answer had no effect.
void retry_claim_write(
    state& state, open_request& open, base::time_point now, actions& out)
{
    if (open.claim->writes >= max_claim_writes)
    {
        refuse_unclaimed(state, open, now, out);
        return;
    }
    write_claim(state, open, now, out);
}

void on_read_back(
    state& state,
    open_request& open,
    request::claim found,
    std::uint64_t version,
    base::time_point now,
    actions& out)
{
    // Failure: the write took effect and its answer was lost. Without the
    // attempt's random id, the entry could not tell its own claim from another
    // entry's, and would refuse a call that only it may run.
    if (found.attempt == open.attempt)
    {
        open.claim->version = version;
        open.claim->held = true;
        send_run(state, open, now, out);
        return;
    }
    if (version == open.claim->version)
    {
        retry_claim_write(state, open, now, out);
        return;
    }
    release_unused_slot(open, state, out);
    open.claim->found = std::move(found);
    open.claim->version = version;
    handle_found_claim(state, open, now, out);
}

void on_claim_absent(
    state& state, open_request& open, base::time_point now, actions& out)
{
    if (open.stage == request_stage::reading_back)
    {
        retry_claim_write(state, open, now, out);
        return;
    }
    open.claim->version = 0;
    admit(state, open, now, out);
}

// Marks a claim as not run whose write took effect although its request has
// ended as not run.
void clear_late_claim(
    state& state,
    core::platform_answer const& answer,
    pending_call const& call,
    base::time_point now,
    actions& out)
{
    auto claim = request::parse_claim(call.claim_text);
    if (!answer.ok || !claim)
    {
        return;
    }
    claim.value().state = request::claim_state::not_run;
    close_claim(
        state, call.claim_path, answer.version, claim.value(), now, out);
}

} // namespace

bool needs_claim(caller_request const& request)
{
    return !request.idempotent && !request.idempotency_key.empty();
}

void read_claim(
    state& state, open_request& open, base::time_point now, actions& out)
{
    auto const& incoming = open.request;
    open.stage = request_stage::reading_claim;
    if (count_claim_calls(state) >= max_claim_calls)
    {
        refuse_unclaimed(state, open, now, out);
        return;
    }
    open.claim.emplace();
    open.claim->path = request::claim_path(
        core::claims_prefix,
        {incoming.workspace, incoming.service, incoming.idempotency_key});
    open.claim->request_digest = request::request_digest(
        incoming.method, incoming.path, incoming.content_type, incoming.body);
    get_claim(state, open, now, out);
}

void write_claim(
    state& state, open_request& open, base::time_point now, actions& out)
{
    request::claim claim;
    claim.attempt = open.attempt;
    claim.agent = open.agent;
    claim.request_digest = open.claim->request_digest;
    open.stage = request_stage::writing_claim;
    open.stage_deadline.reset();
    ++open.claim->writes;
    call_for_claim(
        state, open,
        {.method = core::platform_method::put,
         .path = open.claim->path,
         .expected = open.claim->version,
         .value = to_text(claim)},
        call_purpose::claim_write, now, out);
}

void on_claim_read(
    state& state,
    core::platform_answer const& answer,
    pending_call const& call,
    base::time_point now,
    actions& out)
{
    auto const found_request = state.requests.open.find(call.request);
    if (found_request == state.requests.open.end())
    {
        return;
    }
    auto& open = found_request->second;
    if (!answer.ok)
    {
        return answer.error == base::error_kind::not_found
                   ? on_claim_absent(state, open, now, out)
                   : refuse_unclaimed(state, open, now, out);
    }
    auto found = request::parse_claim(answer.value);
    if (!found)
    {
        // Even an unreadable claim shows that the key has been used.
        end_with_error(
            state, open,
            {base::error_kind::outcome_unknown, "the claim is unreadable"}, now,
            out);
        return;
    }
    if (open.stage == request_stage::reading_back)
    {
        on_read_back(
            state, open, std::move(found.value()), answer.version, now, out);
        return;
    }
    open.claim->version = answer.version;
    open.claim->found = std::move(found.value());
    handle_found_claim(state, open, now, out);
}

void on_claim_written(
    state& state,
    core::platform_answer const& answer,
    pending_call const& call,
    base::time_point now,
    actions& out)
{
    auto const found_request = state.requests.open.find(call.request);
    if (found_request == state.requests.open.end())
    {
        clear_late_claim(state, answer, call, now, out);
        return;
    }
    auto& open = found_request->second;
    if (answer.ok)
    {
        open.claim->version = answer.version;
        open.claim->held = true;
        open.claim->writes = 0;
        send_run(state, open, now, out);
        return;
    }
    open.stage = request_stage::reading_back;
    get_claim(state, open, now, out);
}

void on_outcome_reply(
    state& state,
    std::string const& peer,
    wire::OutcomeReply const& answer,
    base::time_point now,
    actions& out)
{
    auto* const open =
        find_attempt(state, core::from_wire(answer.attempt()), peer);
    if (open == nullptr || open->stage != request_stage::querying_outcome)
    {
        return;
    }
    open->stage_deadline.reset();
    auto found = *open->claim->found;
    switch (answer.state())
    {
    case wire::OutcomeReply::RUNNING:
        end_with_error(
            state, *open, {base::error_kind::already_running, {}}, now, out);
        return;
    case wire::OutcomeReply::NOT_RUN:
        state.requests.attempts.erase(open->attempt);
        admit(state, *open, now, out);
        return;
    case wire::OutcomeReply::FINISHED:
        found.state = request::claim_state::finished;
        found.status = answer.status();
        found.content_type = answer.content_type();
        found.body = answer.body();
        found.body_kept = answer.body_kept();
        close_claim(
            state, open->claim->path, open->claim->version, found, now, out);
        return_stored_answer(state, *open, found, now, out);
        return;
    default:
        end_with_error(
            state, *open, {base::error_kind::outcome_unknown, {}}, now, out);
    }
}

} // namespace foxtailvale::entry_core
