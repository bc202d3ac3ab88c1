#include "flows.hpp"

#include <request/claim.hpp>

#include <core/wire_ids.hpp>

// Slots reserved for non-idempotent requests, and the outcomes of these
// requests.
namespace foxtailvale::agent_core
{

namespace
{

// How long a slot stays reserved for its body. The entry writes a claim in this
// time, which takes milliseconds; a store that needs longer must not block
// slots for requests that need no claim.
constexpr std::chrono::milliseconds grant_lifetime{2000};

// Outcomes are stored for as long as a caller is likely to retry. Their number
// and size are bounded because the process may use only 128 MB.
constexpr std::chrono::minutes outcome_lifetime{10};
constexpr std::size_t max_outcomes = 4096;
constexpr std::size_t max_outcome_bytes = 16UL * 1024 * 1024;

void evict_oldest_outcome(state& state)
{
    auto& requests = state.requests;
    auto const oldest = requests.outcomes.find(requests.outcome_order.front());
    requests.outcome_order.pop_front();
    requests.outcome_bytes -= oldest->second.answer.body().size();
    requests.outcomes.erase(oldest);
}

void void_reservation(
    state& state, base::attempt_id attempt, base::time_point now)
{
    state.requests.reservations.erase(attempt);
    request::finish(state.requests.gate, attempt, false);
    wire::OutcomeReply answer;
    answer.set_state(wire::OutcomeReply::NOT_RUN);
    remember_outcome(state, attempt, std::move(answer), now);
}

wire::OutcomeReply find_outcome(state const& state, base::attempt_id attempt)
{
    wire::OutcomeReply answer;
    auto const known = state.requests.outcomes.find(attempt);
    if (known != state.requests.outcomes.end())
    {
        answer = known->second.answer;
    }
    else if (
        state.requests.running.contains(attempt) ||
        state.requests.reservations.contains(attempt))
    {
        answer.set_state(wire::OutcomeReply::RUNNING);
    }
    core::to_wire(attempt, *answer.mutable_attempt());
    return answer;
}

} // namespace

void on_reserve(
    state& state,
    std::string const& peer,
    wire::Reserve const& reserve,
    base::time_point now,
    actions& out)
{
    auto const attempt = core::from_wire(reserve.attempt());
    auto& requests = state.requests;
    // The frame is a duplicate, or it arrived after its attempt was voided.
    if (requests.reservations.contains(attempt) ||
        requests.running.contains(attempt) ||
        requests.outcomes.contains(attempt))
    {
        return;
    }
    auto const admitted = admit_attempt(state, attempt, reserve.target());
    if (!admitted)
    {
        refuse_attempt(state, peer, reserve.attempt(), admitted.error(), out);
        return;
    }
    // Zero means "no token" on the wire, so the token must not be zero.
    auto const token = base::next_random(state.random) | 1U;
    requests.reservations[attempt] = {peer, token, now + grant_lifetime};
    core::send_message message{peer, {}};
    auto* const grant = message.envelope.mutable_grant();
    *grant->mutable_attempt() = reserve.attempt();
    grant->set_token(token);
    grant->set_valid_ms(static_cast<std::uint32_t>(grant_lifetime.count()));
    out.push_back(std::move(message));
}

bool spend_token(
    state& state,
    base::attempt_id attempt,
    std::uint64_t token,
    base::time_point now)
{
    auto const found = state.requests.reservations.find(attempt);
    if (found == state.requests.reservations.end() ||
        found->second.token != token || now >= found->second.expires)
    {
        return false;
    }
    // Failure: the body arrives twice, or after its sender reported "not run"
    // to the caller. The token is removed when it is used or expires, so such a
    // body does not run.
    state.requests.reservations.erase(found);
    return true;
}

void on_confirm_not_run(
    state& state,
    std::string const& peer,
    wire::ConfirmNotRun const& confirm,
    base::time_point now,
    actions& out)
{
    auto const attempt = core::from_wire(confirm.attempt());
    if (state.requests.reservations.contains(attempt))
    {
        void_reservation(state, attempt, now);
    }
    core::send_message message{peer, {}};
    auto* const answer = message.envelope.mutable_not_run_confirmed();
    *answer->mutable_attempt() = confirm.attempt();
    // An attempt that is unknown here may have run before a restart. Only one
    // that is recorded as not run is confirmed.
    answer->set_not_run(
        find_outcome(state, attempt).state() == wire::OutcomeReply::NOT_RUN);
    out.push_back(std::move(message));
}

void on_outcome_query(
    state const& state,
    std::string const& peer,
    wire::OutcomeQuery const& query,
    actions& out)
{
    core::send_message message{peer, {}};
    *message.envelope.mutable_outcome_reply() =
        find_outcome(state, core::from_wire(query.attempt()));
    out.push_back(std::move(message));
}

void remember_outcome(
    state& state,
    base::attempt_id attempt,
    wire::OutcomeReply answer,
    base::time_point now)
{
    auto& requests = state.requests;
    if (answer.body().size() > request::max_stored_bytes)
    {
        answer.clear_body();
        answer.set_body_kept(false);
    }
    requests.outcome_bytes += answer.body().size();
    requests.outcomes[attempt] = {std::move(answer), now};
    requests.outcome_order.push_back(attempt);
    while (requests.outcomes.size() > max_outcomes ||
           requests.outcome_bytes > max_outcome_bytes)
    {
        evict_oldest_outcome(state);
    }
}

void on_reservation_tick(state& state, base::time_point now)
{
    std::vector<base::attempt_id> expired;
    for (auto const& [attempt, reservation] : state.requests.reservations)
    {
        if (now >= reservation.expires)
        {
            expired.push_back(attempt);
        }
    }
    for (auto const attempt : expired)
    {
        void_reservation(state, attempt, now);
    }
    auto const& order = state.requests.outcome_order;
    while (!order.empty() &&
           now - state.requests.outcomes.at(order.front()).ended >
               outcome_lifetime)
    {
        evict_oldest_outcome(state);
    }
}

} // namespace foxtailvale::agent_core
