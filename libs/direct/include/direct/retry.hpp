#ifndef FOXTAILVALE_DIRECT_REPEAT_HPP
#define FOXTAILVALE_DIRECT_REPEAT_HPP

#include <base/error.hpp>
#include <routing/configuration.hpp>

// May it be sent again, and what may be said to the caller: the two decisions
// that keep "at most once" and "not run means not run".
namespace foxtailvale::direct
{

// Facts of one attempt at an endpoint.
struct attempt_facts
{
    // At least one byte of the request was handed to the connection.
    bool written = false;
    // A response of this attempt came, up to its head.
    bool head_seen = false;
    // The response says that the endpoint did not run the request.
    bool says_not_run = false;
    // The response came whole and is what an endpoint seals.
    bool whole = false;
    // The response is the endpoint's own success or failure, sealed.
    bool sealed = false;
    unsigned status = 0;
};

// Whether the endpoint ran the request. Not run only when it says so or when
// nothing of the request was handed to the connection. Failure: a connection
// that is reset, closed or silent after the first byte may hide a run whose
// answer was lost; a booking sent again then runs twice.
base::ran_state judge_run(attempt_facts const& facts);

// Whether the attempt's answer is the one to give to the caller.
bool is_answer(attempt_facts const& facts);

// What is known when an attempt failed.
struct retry_query
{
    routing::retry_safety repeats = routing::retry_safety::non_idempotent;
    base::ran_state ran = base::ran_state::unknown;
    // Endpoints on which the request has run or may have run so far.
    std::uint32_t runs = 0;
    std::uint32_t most_attempts = 1;
    // Sends of any kind so far.
    std::uint32_t sends = 0;
    // The answer that the caller already has begins with another attempt's
    // head; only a stream that resumes may go on.
    bool answer_begun = false;
};

// Sends of one request at the most, whatever they came to: each counts against
// the shared budget, and after four the endpoints are not to be had.
inline constexpr std::uint32_t most_sends = 4;

// Whether the request may be sent to one more endpoint, time and budget aside.
bool is_retry_allowed(retry_query const& ask);

// The kind that the caller is told when no attempt is left.
base::error_kind final_error(base::ran_state ran, bool time_is_up);

} // namespace foxtailvale::direct

#endif
