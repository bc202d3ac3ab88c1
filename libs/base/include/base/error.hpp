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

// The closed list of everything that can go wrong for a caller, an operator
// or a peer. Each kind has exactly one row in the error table.
enum class error_kind
{
    // Faults of the request itself.
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
    // Refusals under load or change; the request was not run.
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
    // Failures after the request may have begun.
    endpoint_lost,
    endpoint_failed,
    outcome_unknown,
    deadline_passed,
    caller_gone,
    // Faults between the system's processes and the platform.
    peer_unreachable,
    bad_frame,
    unknown_peer,
    stale_fencing,
    stale_generation,
    platform_unavailable,
    platform_conflict,
    platform_refused,
    not_found,
    // Faults of weights.
    bad_digest,
    origin_unavailable,
    origin_refused,
    // Faults of an operator's input.
    bad_settings,
    bad_release_note,
    // A defect of this program.
    internal,
};

// Whether a request that ended with an error was run by an endpoint.
enum class ran_state
{
    no,
    yes,
    unknown,
};

// One row of the error table: what each side is told about an error kind.
struct error_row
{
    error_kind kind;
    // Stable name: problem type, counter label and docs/ERRORS.md heading.
    std::string_view name;
    // HTTP status towards callers.
    int status;
    ran_state ran;
    // When the caller may come back; zero means that a repeat cannot help.
    std::chrono::milliseconds retry_after;
    // Event number, see docs/EVENTS.md.
    int event;
    // One sentence for people.
    std::string_view title;
};

// An error with the detail that names the case at hand.
struct error
{
    error_kind kind = error_kind::internal;
    std::string detail;
};

// A value or an error; reading the wrong side ends the process, since it is a
// defect and not a condition.
template <class Value>
using result = boost::outcome_v2::
    basic_result<Value, error, boost::outcome_v2::policy::terminate>;

// Makes a failure for returning from a function that yields a result.
inline auto fail(error_kind kind, std::string detail = {})
{
    return boost::outcome_v2::failure(error{kind, std::move(detail)});
}

// The whole table, in the order of the list.
std::span<error_row const> error_table();

// The row of one kind.
error_row const& row_of(error_kind kind);

// The kind with the given stable name; internal when there is none.
error_kind error_kind_from_name(std::string_view name);

// "no", "yes" or "unknown", as callers read it.
std::string_view to_string(ran_state ran);

} // namespace foxtailvale::base

#endif
