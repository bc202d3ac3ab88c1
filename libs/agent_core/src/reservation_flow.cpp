#include "flows.hpp"

#include <request/claim.hpp>

#include <core/wire_ids.hpp>

// Slots for non-idempotent requests, and what became of them.
namespace foxtailvale::agent_core
{

namespace
{

// How long a slot waits for its body. The entry writes a claim meanwhile, which
// takes milliseconds; a store that needs longer must not hold back the slots of
// requests that need no claim.
constexpr std::chrono::milliseconds grant_length{2000};

// Outcomes are kept as long as a caller is likely to send again, and bounded
// for a process that may use 128 MB.
constexpr std::chrono::minutes outcome_length{10};
constexpr std::size_t most_outcomes = 4096;
constexpr std::size_t most_outcome_bytes = 16UL * 1024 * 1024;

void forget_oldest(state& state)
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
    // A frame that comes twice, or after its attempt was voided.
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
    // Zero means "no token" on the wire.
    auto const token = base::next_random(state.random) | 1U;
    requests.reservations[attempt] = {peer, token, now + grant_length};
    core::send_message message{peer, {}};
    auto* const grant = message.envelope.mutable_grant();
    *grant->mutable_attempt() = reserve.attempt();
    grant->set_token(token);
    grant->set_valid_ms(static_cast<std::uint32_t>(grant_length.count()));
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
    // Failure: the body comes twice, or after its sender has told the caller
    // "not run". The token is gone with its first use or its end, so neither
    // runs.
    state.requests.reservations.erase(found);
    return true;
}

void on_confirm_not_run(
    state& state,
    std::string const& peer,
    wire::ConfirmNotRun const& ask,
    base::time_point now,
    actions& out)
{
    auto const attempt = core::from_wire(ask.attempt());
    if (state.requests.reservations.contains(attempt))
    {
        void_reservation(state, attempt, now);
    }
    core::send_message message{peer, {}};
    auto* const answer = message.envelope.mutable_not_run_confirmed();
    *answer->mutable_attempt() = ask.attempt();
    // An attempt that is not known here may have run before a restart: only
    // one that is known as void is confirmed.
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
    while (requests.outcomes.size() > most_outcomes ||
           requests.outcome_bytes > most_outcome_bytes)
    {
        forget_oldest(state);
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
               outcome_length)
    {
        forget_oldest(state);
    }
}

} // namespace foxtailvale::agent_core
