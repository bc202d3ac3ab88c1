#ifndef FOXTAILVALE_DIRECT_RETRY_HPP
#define FOXTAILVALE_DIRECT_RETRY_HPP

#include <base/error.hpp>
#include <routing/configuration.hpp>

// Decides whether a request may be sent again and what the caller is told.
// These two decisions uphold the guarantees "at most once" and "not run means
// not run".
namespace foxtailvale::direct
{

// Observations from one attempt at an endpoint.
struct attempt_facts
{
    // At least one byte of the request was written to the connection.
    bool written = false;
    // The head of the response arrived.
    bool head_seen = false;
    // The response bears the request's identifier and no other.
    bool identified = false;
    // The response states that the endpoint did not run its request.
    bool says_not_run = false;
    // The response arrived completely and carries the endpoint's seal.
    bool whole = false;
    // The response is sealed: it is the endpoint's own success or failure.
    bool sealed = false;
    unsigned status = 0;
};

// Whose answer a response is, as far as its identifiers tell.
enum class answer_owner
{
    this_request,
    other_request,
    // The response has no identifier, or an empty one.
    unnamed,
};

// What is to be done with a response's head.
enum class head_use
{
    take,
    // The response is to another request: the request's own may follow.
    skip,
};

// Returns what to do with a response on a connection that carried other
// requests before (`reused`) and stays open behind it (`stays_open`). Without
// an identifier it is most likely a second response to an earlier request: an
// endpoint returns the identifier in each of its own.
head_use use_of(answer_owner owner, bool reused, bool stays_open);

// Returns whether the endpoint ran the request. It counts as not run only if no
// byte was written to the connection, or if the endpoint says so in a refusal
// that bears the request's identifier. Failure: a connection that is reset,
// closed or unresponsive after the first byte may hide a run whose answer was
// lost, and a refusal without the identifier may belong to an earlier request
// on the connection; a booking that is sent again then runs twice.
base::ran_state judge_run(attempt_facts const& facts);

// Whether the attempt's response is to be returned to the caller.
bool is_answer(attempt_facts const& facts);

// State of a request after a failed attempt.
struct retry_query
{
    routing::retry_safety repeats = routing::retry_safety::non_idempotent;
    base::ran_state ran = base::ran_state::unknown;
    // Endpoints on which the request has run or may have run so far.
    std::uint32_t runs = 0;
    std::uint32_t most_attempts = 1;
    // Number of times the request was sent, for any reason.
    std::uint32_t sends = 0;
    // The caller has already received the beginning of an answer; only a
    // resumable stream may continue.
    bool answer_begun = false;
};

// Returns how a request may be retried whose route changed from one to the
// other while it waited: not at all if either forbids it, else as at its
// arrival.
routing::retry_safety
stricter(routing::retry_safety at_arrival, routing::retry_safety now);

// Maximum number of times one request is sent, whatever the results. Each time
// counts against the shared retry budget, and after four failures the endpoints
// are considered unavailable.
inline constexpr std::uint32_t max_sends = 4;

// Whether the request may be sent to one more endpoint, disregarding deadline
// and retry budget.
bool is_retry_allowed(retry_query const& query);

// Returns the error that the caller gets when no attempt is left.
base::error_kind final_error(base::ran_state ran, bool time_is_up);

} // namespace foxtailvale::direct

#endif
