#ifndef FOXTAILVALE_BASE_ERROR_HPP
#define FOXTAILVALE_BASE_ERROR_HPP

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/try.hpp>

#include <chrono>
#include <span>
#include <string>
#include <string_view>

namespace foxtailvale::base
{

// The closed list of errors that callers, operators and peers can get. Each
// kind has exactly one row in the error table.
enum class error_kind
{
    // Errors in the request itself.
    malformed_request,
    request_too_large,
    missing_workspace,
    unknown_model,
    unknown_service,
    key_reused,
    unknown_route,
    unknown_key,
    no_region,
    head_too_large,
    head_timed_out,
    body_timed_out,
    // Refusals because of load or an ongoing change; the request was not run.
    queue_full,
    deadline_unreachable,
    workspace_over_share,
    no_endpoint,
    endpoint_cold,
    endpoint_full,
    endpoint_leaving,
    domain_out,
    version_mismatch,
    suspect_request,
    retry_budget_spent,
    entry_stopping,
    claim_unavailable,
    already_running,
    grant_void,
    answer_not_kept,
    no_configuration,
    stale_configuration,
    entry_overloaded,
    // Failures after the request may have started to run.
    endpoint_lost,
    endpoint_failed,
    outcome_unknown,
    deadline_passed,
    caller_gone,
    // Errors between the system's processes and the platform.
    peer_unreachable,
    bad_frame,
    unknown_peer,
    stale_fencing,
    stale_generation,
    platform_unavailable,
    platform_conflict,
    platform_refused,
    not_found,
    // Errors of weights.
    bad_digest,
    origin_unavailable,
    origin_refused,
    // Errors in an operator's input.
    bad_settings,
    bad_release_note,
    // A bug in this program.
    internal,
};

// Whether an endpoint ran a request that ended with an error.
enum class ran_state
{
    no,
    yes,
    unknown,
};

// One row of the error table: how an error kind is reported to callers,
// operators and peers.
struct error_row
{
    error_kind kind;
    // Stable name, used as problem type, counter label and heading in
    // docs/ERRORS.md.
    std::string_view name;
    // HTTP status sent to callers.
    int status;
    ran_state ran;
    // Delay after which the caller may retry; zero if a retry cannot succeed.
    std::chrono::milliseconds retry_after;
    // Event number, see docs/EVENTS.md.
    int event;
    // One-sentence description for human readers.
    std::string_view title;
};

// An error kind with details of the specific case.
struct error
{
    error_kind kind = error_kind::internal;
    std::string detail;
};

// A value or an error. Reading the side that is not set terminates the process,
// because it is a programming error.
template <class Value>
using result = boost::outcome_v2::
    basic_result<Value, error, boost::outcome_v2::policy::terminate>;

// Makes a failure to return from a function that returns a result.
inline auto fail(error_kind kind, std::string detail = {})
{
    return boost::outcome_v2::failure(error{kind, std::move(detail)});
}

// The complete table, in the order of error_kind.
std::span<error_row const> error_table();

// The row of one kind.
error_row const& row_of(error_kind kind);

// Returns the kind with the given stable name, or internal if there is none.
error_kind error_kind_from_name(std::string_view name);

// Returns "no", "yes" or "unknown", the form that callers get.
std::string_view to_string(ran_state ran);

} // namespace foxtailvale::base

#endif
