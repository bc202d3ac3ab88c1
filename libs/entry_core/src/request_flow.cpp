#include "flows.hpp"

#include <base/digest.hpp>
#include <request/placement.hpp>

#include <core/wire_ids.hpp>

#include <algorithm>

namespace foxtailvale::entry_core
{

namespace
{

// A request is tried on this many endpoints at the most: with more, one
// refused request would load many gates at a time when they are full.
constexpr std::size_t most_attempts = 3;

void refuse_caller(
    caller_request const& request, base::error error, actions& out)
{
    out.push_back(core::report_error{
        error,
        {{"request", request.request_id}, {"workspace", request.workspace}}});
    out.push_back(refuse{request.caller, std::move(error)});
}

// Why a request cannot be taken at all, if so.
std::optional<base::error>
refusal(state const& state, caller_request const& request)
{
    using base::error_kind;
    auto const& configuration = state.control.configuration;
    if (state.control.drain.refuses)
    {
        return base::error{error_kind::entry_stopping, {}};
    }
    if (request.workspace.empty())
    {
        return base::error{
            error_kind::missing_workspace, "set the header X-Workspace"};
    }
    if (!request.model.empty() && !configuration.models.contains(request.model))
    {
        return base::error{error_kind::unknown_model, request.model};
    }
    if (request.model.empty() &&
        !configuration.services.contains(request.service))
    {
        return base::error{error_kind::unknown_service, request.service};
    }
    if (state.requests.open.size() >= state.self.most_requests)
    {
        return base::error{error_kind::queue_full, {}};
    }
    return std::nullopt;
}

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

bool serves(endpoint_view const& view, open_request const& open)
{
    if (open.request.model.empty())
    {
        return view.service == open.request.service;
    }
    auto const found = view.serving.find(open.request.model);
    return found != view.serving.end() && found->second == open.digest;
}

// A generated answer may be generated again; of a service's calls those that
// only read, or all when the release says so.
bool may_repeat(state const& state, caller_request const& request)
{
    if (!request.model.empty() || request.method == "GET")
    {
        return true;
    }
    auto const& services = state.control.configuration.services;
    return services.at(request.service).repeatable;
}

std::vector<request::candidate>
candidates(state const& state, open_request const& open)
{
    std::vector<request::candidate> options;
    for (auto const& [agent, view] : state.control.endpoints)
    {
        if (!view.leaving && serves(view, open) &&
            domain_is_in(state, view.failure_domain) && is_alive(state, agent))
        {
            options.push_back(
                {agent, view.failure_domain, view.limit, view.running});
        }
    }
    return options;
}

void send_run(
    state& state, open_request& open, base::time_point now, actions& out)
{
    core::send_message message{open.agent, {}};
    auto* const run = message.envelope.mutable_run();
    core::to_wire(open.attempt, *run->mutable_attempt());
    auto* const target = run->mutable_target();
    target->set_model(open.request.model);
    target->set_service(open.request.service);
    target->set_digest(open.digest);
    target->set_generation(open.generation);
    run->set_method(open.request.method);
    run->set_path(open.request.path);
    run->set_content_type(open.request.content_type);
    run->set_body(open.request.body);
    run->set_stream(open.request.stream);
    run->set_priority(open.request.priority);
    run->set_request_id(open.request.request_id);
    run->set_fingerprint(base::stable_hash(open.request.body));
    auto const left = std::chrono::duration_cast<std::chrono::milliseconds>(
        open.deadline - now);
    run->set_time_left_ms(
        static_cast<std::uint32_t>(std::max<std::int64_t>(left.count(), 0)));
    ++state.control.endpoints[open.agent].running;
    out.push_back(std::move(message));
}

// Starts the next attempt; false when no endpoint can take it.
bool place(state& state, open_request& open, base::time_point now, actions& out)
{
    auto const options = candidates(state, open);
    auto const* const chosen = request::choose(
        options, {state.self.failure_domain, open.request.prefix, open.tried},
        state.random);
    if (chosen == nullptr)
    {
        return false;
    }
    open.agent = chosen->agent;
    open.tried.push_back(chosen->agent);
    open.attempt = base::make_attempt_id(state.random);
    open.next_sequence = 0;
    state.requests.attempts.emplace(open.attempt, open.request.caller);
    send_run(state, open, now, out);
    return true;
}

void close(state& state, caller_handle caller)
{
    auto const found = state.requests.open.find(caller);
    state.requests.attempts.erase(found->second.attempt);
    state.requests.open.erase(found);
}

void end_with_error(
    state& state, open_request& open, base::error error, actions& out)
{
    auto const request = open.request;
    close(state, request.caller);
    refuse_caller(request, std::move(error), out);
}

// Whether another endpoint may run the request after this failure.
bool may_retry(open_request const& open, base::error_kind kind)
{
    if (open.replied || open.tried.size() >= most_attempts)
    {
        return false;
    }
    auto const ran = base::row_of(kind).ran;
    // Failure: a booking runs twice because its first answer was lost. Only
    // what certainly was not run is sent again, or what may run twice.
    return ran == base::ran_state::no || open.request.idempotent;
}

void attempt_failed(
    state& state,
    open_request& open,
    base::error error,
    base::time_point now,
    actions& out)
{
    state.requests.attempts.erase(open.attempt);
    if (may_retry(open, error.kind))
    {
        out.push_back(core::count_retry{error.kind});
        if (place(state, open, now, out))
        {
            return;
        }
    }
    auto const unknown =
        base::row_of(error.kind).ran == base::ran_state::unknown &&
        !open.request.idempotent;
    if (unknown)
    {
        error.kind = base::error_kind::outcome_unknown;
    }
    end_with_error(state, open, std::move(error), out);
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

void relay(
    state& state,
    open_request& open,
    wire::RunOutput const& output,
    actions& out)
{
    ++open.next_sequence;
    open.replied = true;
    reply piece;
    piece.caller = open.request.caller;
    piece.status = output.status();
    piece.content_type = output.content_type();
    piece.body = output.body();
    piece.last = output.last();
    piece.generation = open.generation;
    piece.digest = output.digest();
    if (output.last())
    {
        close(state, open.request.caller);
    }
    out.push_back(std::move(piece));
}

} // namespace

void on_caller_request(
    state& state,
    caller_request const& request,
    base::time_point now,
    actions& out)
{
    auto refused = refusal(state, request);
    if (refused)
    {
        refuse_caller(request, std::move(*refused), out);
        return;
    }
    open_request open;
    open.request = request;
    open.request.idempotent = may_repeat(state, request);
    open.generation = state.control.configuration.generation;
    open.deadline = now + request.time_left;
    if (!request.model.empty())
    {
        open.digest =
            state.control.configuration.models.at(request.model).digest;
    }
    auto& added = state.requests.open.emplace(request.caller, std::move(open))
                      .first->second;
    if (!place(state, added, now, out))
    {
        end_with_error(state, added, {base::error_kind::no_endpoint, {}}, out);
    }
}

void on_caller_left(state& state, caller_left const& left, actions& out)
{
    auto const found = state.requests.open.find(left.caller);
    if (found == state.requests.open.end())
    {
        return;
    }
    core::send_message message{found->second.agent, {}};
    core::to_wire(
        found->second.attempt,
        *message.envelope.mutable_cancel()->mutable_attempt());
    out.push_back(std::move(message));
    out.push_back(core::report_error{
        {base::error_kind::caller_gone, {}},
        {{"request", found->second.request.request_id}}});
    close(state, left.caller);
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
    // Failure: an answer comes late, after its request was tried elsewhere, or
    // crossed. Relayed, a caller would get somebody else's text. Each attempt
    // has its own id, so only the awaited one passes.
    auto* const open = find_attempt(state, attempt, peer);
    if (open == nullptr)
    {
        out.push_back(
            core::count_metric{"foxtailvale_late_replies_dropped_total"});
        return;
    }
    if (!output.error().empty())
    {
        attempt_failed(
            state, *open, {base::kind_named(output.error()), output.detail()},
            now, out);
        return;
    }
    if (output.sequence() != open->next_sequence)
    {
        attempt_failed(
            state, *open,
            {base::error_kind::endpoint_lost, "a piece is missing"}, now, out);
        return;
    }
    relay(state, *open, output, out);
}

void on_request_send_failed(
    state& state,
    core::send_failed const& failed,
    base::time_point now,
    actions& out)
{
    if (!failed.envelope.has_run())
    {
        return;
    }
    auto const attempt = core::from_wire(failed.envelope.run().attempt());
    auto* const open = find_attempt(state, attempt, failed.peer);
    if (open != nullptr)
    {
        attempt_failed(
            state, *open, {base::error_kind::peer_unreachable, failed.peer},
            now, out);
    }
}

void on_endpoint_lost(
    state& state, std::string const& agent, base::time_point now, actions& out)
{
    std::vector<caller_handle> lost;
    for (auto const& [caller, open] : state.requests.open)
    {
        if (open.agent == agent)
        {
            lost.push_back(caller);
        }
    }
    for (auto const caller : lost)
    {
        attempt_failed(
            state, state.requests.open.at(caller),
            {base::error_kind::endpoint_lost, agent}, now, out);
    }
}

void on_request_tick(state& state, base::time_point now, actions& out)
{
    std::vector<caller_handle> late;
    for (auto const& [caller, open] : state.requests.open)
    {
        if (now >= open.deadline)
        {
            late.push_back(caller);
        }
    }
    for (auto const caller : late)
    {
        auto& open = state.requests.open.at(caller);
        core::send_message message{open.agent, {}};
        core::to_wire(
            open.attempt,
            *message.envelope.mutable_cancel()->mutable_attempt());
        out.push_back(std::move(message));
        end_with_error(
            state, open, {base::error_kind::deadline_passed, {}}, out);
    }
}

void check_drained(state& state, base::time_point now, actions& out)
{
    auto const busy = !state.requests.open.empty();
    if (core::advance_drain(
            state.control.drain, state.self.drain_limits, busy, now))
    {
        out.push_back(core::stop_finished{});
    }
}

} // namespace foxtailvale::entry_core
