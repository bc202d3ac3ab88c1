#include "flows.hpp"

#include <request/placement.hpp>

#include <core/wire_ids.hpp>

#include <algorithm>

// Attempts to run a request on one endpoint: placement, sending, relaying the
// answer, and handling failures.
namespace foxtailvale::entry_core
{

namespace
{

using std::chrono::milliseconds;

// A request may fail on this many endpoints. With more, a request that breaks
// its endpoints could break all of them.
constexpr std::uint32_t max_failures = 3;

// A request is not retried after it has lost this many endpoints: after two, it
// may be the cause.
constexpr std::uint32_t max_endpoint_losses = 2;

// A gate answers a reservation at once. Without an answer within this time, the
// gate is unreachable.
constexpr milliseconds reserve_timeout{500};

constexpr std::string_view stream_type = "text/event-stream";

bool domain_is_in(state const& state, std::string const& domain)
{
    auto const& domains = state.control.configuration.domains;
    auto const found = domains.find(domain);
    return found != domains.end() && found->second.in;
}

bool is_alive(state const& state, std::string const& agent)
{
    auto const& members = state.control.members.members;
    auto const found = members.find(agent);
    return found != members.end() &&
           found->second.state == control::liveness::alive;
}

// Whether a release that may still be in use, the current or the preceding one,
// names this digest.
bool is_released(
    state const& state, std::string const& model, std::string const& digest)
{
    auto const& models = state.control.configuration.models;
    auto const current = models.find(model);
    if (current != models.end() && current->second.digest == digest)
    {
        return true;
    }
    auto const previous = state.control.previous_digests.find(model);
    return previous != state.control.previous_digests.end() &&
           previous->second == digest;
}

// Failure: a release names a new version, and until the first endpoint has
// loaded it every caller is refused for lack of an endpoint, although all
// endpoints serve the preceding version. So either version is accepted until
// the request is placed. From then on the request is pinned to the chosen
// version, so that no answer mixes two.
bool serves(
    state const& state, endpoint_view const& view, open_request const& open)
{
    if (open.request.model.empty())
    {
        return view.service == open.request.service;
    }
    auto const found = view.serving.find(open.request.model);
    if (found == view.serving.end())
    {
        return false;
    }
    return open.digest.empty()
               ? is_released(state, open.request.model, found->second)
               : found->second == open.digest;
}

bool can_serve(
    state const& state,
    std::string const& agent,
    endpoint_view const& view,
    open_request const& open)
{
    return !view.leaving && serves(state, view, open) &&
           domain_is_in(state, view.failure_domain) && is_alive(state, agent);
}

std::vector<request::candidate>
candidates(state const& state, open_request const& open)
{
    std::vector<request::candidate> options;
    for (auto const& [agent, view] : state.control.endpoints)
    {
        if (can_serve(state, agent, view, open))
        {
            options.push_back(
                {agent, view.failure_domain, view.limit, view.running});
        }
    }
    return options;
}

std::uint32_t time_left(open_request const& open, base::time_point now)
{
    auto const left =
        std::chrono::duration_cast<milliseconds>(open.deadline - now);
    return static_cast<std::uint32_t>(std::max<std::int64_t>(left.count(), 0));
}

void set_target(open_request const& open, wire::Target& target)
{
    target.set_model(open.request.model);
    target.set_service(open.request.service);
    target.set_digest(open.digest);
    target.set_generation(open.generation);
}

// Failure: a frame with a booking is held up in a dead connection and arrives
// after its caller was told that it was not run. So the body of a call that
// must not run twice is sent only for a granted slot, with that slot's token.
void send_reserve(open_request& open, base::time_point now, actions& out)
{
    core::send_message message{open.agent, {}};
    auto* const reserve = message.envelope.mutable_reserve();
    core::to_wire(open.attempt, *reserve->mutable_attempt());
    set_target(open, *reserve->mutable_target());
    reserve->set_time_left_ms(time_left(open, now));
    open.stage = request_stage::reserving;
    open.stage_deadline = now + reserve_timeout;
    out.push_back(std::move(message));
}

void note_load(
    state& state, std::string const& peer, wire::RunOutput const& output)
{
    auto const view = state.control.endpoints.find(peer);
    if (view != state.control.endpoints.end())
    {
        view->second.limit = output.limit();
        view->second.running = output.running();
    }
}

bool is_full(base::error_kind kind)
{
    return kind == base::error_kind::endpoint_full ||
           kind == base::error_kind::endpoint_cold;
}

// The error that the caller gets for the attempt's failure.
base::error final_error(open_request const& open, base::error error)
{
    auto const ran = base::row_of(error.kind).ran;
    if (open.stage != request_stage::running && ran != base::ran_state::no)
    {
        return {base::error_kind::peer_unreachable, error.detail};
    }
    if (ran == base::ran_state::unknown && !open.request.idempotent)
    {
        return {base::error_kind::outcome_unknown, error.detail};
    }
    return error;
}

// Whether another endpoint may run the request after this failure.
bool may_retry(open_request const& open, base::error const& error)
{
    if (open.detached)
    {
        return false;
    }
    if (open.request.idempotent)
    {
        return true;
    }
    // Failure: a booking runs twice because its first answer was lost. So only
    // attempts that certainly were not run are repeated. A call without a key
    // is not repeated even then once its body was sent, unless the body could
    // not be handed to the peer.
    auto const not_run = base::row_of(error.kind).ran == base::ran_state::no;
    auto const body_left = open.stage == request_stage::running;
    return not_run && (open.claim || !body_left ||
                       error.kind == base::error_kind::peer_unreachable);
}

// Continues the request on another endpoint or in the queue; false when neither
// is possible.
bool retry(
    state& state,
    open_request& open,
    base::error const& error,
    base::time_point now,
    actions& out)
{
    auto const may_change_version = open.relayed_pieces == 0;
    if (may_change_version)
    {
        // The caller has received nothing of that version, so any released
        // version may answer.
        open.digest.clear();
    }
    if (is_full(error.kind))
    {
        out.push_back(core::count_retry{error.kind});
        if (!may_change_version)
        {
            return wait_to_resume(state, open);
        }
        requeue(state, open, now, out);
        return true;
    }
    open.endpoint_losses +=
        error.kind == base::error_kind::endpoint_lost ? 1 : 0;
    if (open.endpoint_losses >= max_endpoint_losses ||
        request::is_suspect(state.requests.suspects, open.fingerprint))
    {
        return false;
    }
    if (++open.failures >= max_failures ||
        !request::spend(state.requests.retries))
    {
        return false;
    }
    out.push_back(core::count_retry{error.kind});
    if (place(state, open, now, out))
    {
        return true;
    }
    if (!may_change_version)
    {
        return wait_to_resume(state, open);
    }
    requeue(state, open, now, out);
    return true;
}

void store_answer(
    state& state,
    open_request const& open,
    wire::RunOutput const& output,
    base::time_point now,
    actions& out)
{
    request::claim ended;
    ended.state = request::claim_state::finished;
    ended.attempt = open.attempt;
    ended.agent = open.agent;
    ended.request_digest = open.claim->request_digest;
    ended.status = output.status();
    ended.content_type = output.content_type();
    ended.body = output.body();
    close_claim(state, open.claim->path, open.claim->version, ended, now, out);
}

void relay(
    state& state,
    open_request& open,
    wire::RunOutput const& output,
    base::time_point now,
    actions& out)
{
    ++open.next_sequence;
    reply piece;
    piece.caller = open.request.caller;
    piece.body = output.body();
    piece.last = output.last();
    if (open.relayed_pieces == 0)
    {
        // Only the first piece carries the head of the answer. The pieces of
        // 500 streams wait in memory, and a head in each piece would be more
        // than half of their size.
        piece.status = output.status();
        piece.content_type = output.content_type();
        piece.generation = open.generation;
        piece.digest = output.digest();
    }
    ++open.relayed_pieces;
    auto const was_detached = open.detached;
    if (output.last())
    {
        if (output.status() < 500)
        {
            request::note_answered(
                state.requests.suspects, open.fingerprint, now);
        }
        scheduling::note(
            pool_of(state, open).queue.service,
            std::chrono::duration_cast<std::chrono::microseconds>(
                now - open.attempt_start));
        if (open.claim)
        {
            store_answer(state, open, output, now, out);
        }
        close_request(state, open.request.caller, now, out);
    }
    if (!was_detached)
    {
        out.push_back(std::move(piece));
    }
}

// The error if a piece does not continue what the caller has received.
std::optional<base::error>
continuity_error(open_request const& open, wire::RunOutput const& output)
{
    if (output.sequence() != open.next_sequence)
    {
        return base::error{
            base::error_kind::endpoint_lost, "a piece is missing"};
    }
    if (open.relayed_pieces > 0 &&
        !output.content_type().starts_with(stream_type))
    {
        return base::error{
            base::error_kind::endpoint_failed, "the stream did not resume"};
    }
    return std::nullopt;
}

} // namespace

bool is_servable(state const& state, open_request const& open)
{
    return std::ranges::any_of(
        state.control.endpoints,
        [&](auto const& item)
        {
            return can_serve(state, item.first, item.second, open);
        });
}

void send_run(
    state& state, open_request& open, base::time_point now, actions& out)
{
    core::send_message message{open.agent, {}};
    auto* const run = message.envelope.mutable_run();
    core::to_wire(open.attempt, *run->mutable_attempt());
    set_target(open, *run->mutable_target());
    run->set_method(open.request.method);
    run->set_path(open.request.path);
    run->set_content_type(open.request.content_type);
    run->set_body(open.request.body);
    run->set_stream(open.request.stream);
    run->set_priority(open.request.priority);
    run->set_request_id(open.request.request_id);
    run->set_fingerprint(open.fingerprint);
    run->set_time_left_ms(time_left(open, now));
    run->set_token(open.token);
    run->set_resume_from(open.relayed_pieces);
    open.stage = request_stage::running;
    open.stage_deadline.reset();
    open.attempt_start = now;
    out.push_back(std::move(message));
    static_cast<void>(state);
}

bool place(state& state, open_request& open, base::time_point now, actions& out)
{
    auto const options = candidates(state, open);
    auto const* const chosen = request::choose(
        options,
        {.own_domain = state.self.failure_domain,
         .prefix = open.request.prefix,
         .tried = open.tried,
         .prefer_least_loaded = open.endpoint_losses > 0 ||
                                request::has_crash_record(
                                    state.requests.suspects, open.fingerprint)},
        state.random);
    if (chosen == nullptr)
    {
        return false;
    }
    open.agent = chosen->agent;
    auto& view = state.control.endpoints.at(open.agent);
    ++view.running;
    if (!open.request.model.empty())
    {
        open.digest = view.serving.at(open.request.model);
    }
    open.tried.push_back(chosen->agent);
    open.attempt = base::make_attempt_id(state.random);
    open.next_sequence = 0;
    open.token = 0;
    state.requests.attempts.emplace(open.attempt, open.request.caller);
    if (open.request.idempotent)
    {
        send_run(state, open, now, out);
    }
    else
    {
        send_reserve(open, now, out);
    }
    return true;
}

void attempt_failed(
    state& state,
    open_request& open,
    base::error error,
    base::time_point now,
    actions& out)
{
    state.requests.attempts.erase(open.attempt);
    open.stage_deadline.reset();
    auto final = final_error(open, std::move(error));
    if (may_retry(open, final))
    {
        auto const caller = open.request.caller;
        if (open.stage == request_stage::reserving &&
            final.kind == base::error_kind::peer_unreachable)
        {
            // The slot may have been granted nevertheless, so it is returned.
            core::send_message message{open.agent, {}};
            core::to_wire(
                open.attempt,
                *message.envelope.mutable_confirm_not_run()->mutable_attempt());
            out.push_back(std::move(message));
        }
        open.stage = request_stage::waiting;
        if (retry(state, open, final, now, out) ||
            !state.requests.open.contains(caller))
        {
            return;
        }
    }
    else if (base::row_of(final.kind).ran == base::ran_state::no)
    {
        // Certainly not run: close_request marks its claim accordingly.
        open.stage = request_stage::waiting;
    }
    end_with_error(state, open, std::move(final), now, out);
}

open_request*
find_attempt(state& state, base::attempt_id attempt, std::string const& peer)
{
    auto const caller = state.requests.attempts.find(attempt);
    if (caller == state.requests.attempts.end())
    {
        return nullptr;
    }
    auto& open = state.requests.open.at(caller->second);
    return open.agent == peer ? &open : nullptr;
}

void on_grant(
    state& state,
    std::string const& peer,
    wire::Grant const& grant,
    base::time_point now,
    actions& out)
{
    auto* const open =
        find_attempt(state, core::from_wire(grant.attempt()), peer);
    if (open == nullptr || open->stage != request_stage::reserving)
    {
        // The granted slot expires by itself.
        out.push_back(
            core::count_metric{"foxtailvale_late_replies_dropped_total"});
        return;
    }
    open->token = grant.token();
    if (open->claim)
    {
        write_claim(state, *open, now, out);
        return;
    }
    send_run(state, *open, now, out);
}

void on_run_output(
    state& state,
    std::string const& peer,
    wire::RunOutput const& output,
    base::time_point now,
    actions& out)
{
    note_load(state, peer, output);
    auto const attempt = core::from_wire(output.attempt());
    // Failure: an answer arrives late, after its request was tried elsewhere,
    // or belongs to another request. If it were relayed, the caller would get
    // another caller's text. Each attempt has its own id, so only the answer to
    // the current attempt is accepted.
    auto* open = find_attempt(state, attempt, peer);
    if (open != nullptr && !open->detached && now >= open->deadline)
    {
        end_past_deadline(state, *open, now, out);
        open = find_attempt(state, attempt, peer);
    }
    if (open == nullptr)
    {
        out.push_back(
            core::count_metric{"foxtailvale_late_replies_dropped_total"});
        return;
    }
    if (!output.error().empty())
    {
        attempt_failed(
            state, *open,
            {base::error_kind_from_name(output.error()), output.detail()}, now,
            out);
        return;
    }
    auto fault = continuity_error(*open, output);
    if (fault)
    {
        cancel_attempt(*open, out);
        attempt_failed(state, *open, std::move(*fault), now, out);
        return;
    }
    relay(state, *open, output, now, out);
}

void on_request_send_failed(
    state& state,
    core::send_failed const& failed,
    base::time_point now,
    actions& out)
{
    auto const& envelope = failed.envelope;
    base::attempt_id attempt;
    if (envelope.has_run())
    {
        attempt = core::from_wire(envelope.run().attempt());
    }
    else if (envelope.has_reserve())
    {
        attempt = core::from_wire(envelope.reserve().attempt());
    }
    else if (envelope.has_outcome_query())
    {
        attempt = core::from_wire(envelope.outcome_query().attempt());
    }
    else
    {
        return;
    }
    auto* const open = find_attempt(state, attempt, failed.peer);
    if (open == nullptr)
    {
        return;
    }
    if (open->stage == request_stage::querying_outcome)
    {
        end_with_error(
            state, *open,
            {base::error_kind::outcome_unknown, "its agent is gone"}, now, out);
        return;
    }
    attempt_failed(
        state, *open, {base::error_kind::peer_unreachable, failed.peer}, now,
        out);
}

void on_endpoint_lost(
    state& state, std::string const& agent, base::time_point now, actions& out)
{
    std::vector<caller_handle> lost;
    for (auto const& [caller, open] : state.requests.open)
    {
        // A request that is writing its claim is left to wait for the answer of
        // that write. The body that it sends afterwards carries a token that is
        // void.
        auto const at_agent = open.stage == request_stage::running ||
                              open.stage == request_stage::reserving;
        if (open.agent == agent && at_agent)
        {
            lost.push_back(caller);
        }
    }
    for (auto const caller : lost)
    {
        auto const open = state.requests.open.find(caller);
        if (open != state.requests.open.end() && open->second.agent == agent)
        {
            attempt_failed(
                state, open->second, {base::error_kind::endpoint_lost, agent},
                now, out);
        }
    }
}

} // namespace foxtailvale::entry_core
