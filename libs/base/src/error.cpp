#include <base/error.hpp>

#include <algorithm>
#include <array>
#include <cassert>

namespace foxtailvale::base
{

namespace
{

using std::chrono::milliseconds;
using kind = error_kind;

constexpr milliseconds no_retry{0};
constexpr milliseconds retry_soon{200};
constexpr milliseconds retry_later{1000};
constexpr milliseconds retry_much_later{5000};

constexpr std::array table{
    error_row{
        kind::malformed_request, "malformed_request", 400, ran_state::no,
        no_retry, 2001, "The request cannot be read."},
    error_row{
        kind::request_too_large, "request_too_large", 413, ran_state::no,
        no_retry, 2002, "The request is larger than the limit."},
    error_row{
        kind::missing_workspace, "missing_workspace", 400, ran_state::no,
        no_retry, 2003, "The request names no workspace."},
    error_row{
        kind::unknown_model, "unknown_model", 404, ran_state::no, no_retry,
        2004, "No release names this model."},
    error_row{
        kind::unknown_service, "unknown_service", 404, ran_state::no, no_retry,
        2005, "No release names this service."},
    error_row{
        kind::key_reused, "key_reused", 422, ran_state::no, no_retry, 2006,
        "The idempotency key was used with another body."},
    error_row{
        kind::unknown_route, "unknown_route", 404, ran_state::no, no_retry,
        2007, "No route of the configuration takes this request."},
    error_row{
        kind::unknown_key, "unknown_key", 401, ran_state::no, no_retry, 2008,
        "No workspace holds this key."},
    error_row{
        kind::no_region, "no_region", 403, ran_state::no, no_retry, 2009,
        "No region may serve both the route and the workspace."},
    error_row{
        kind::head_too_large, "head_too_large", 431, ran_state::no, no_retry,
        2010, "The head of the request is larger than the limit."},
    error_row{
        kind::head_timed_out, "head_timed_out", 408, ran_state::no, no_retry,
        2011, "The head of the request did not come in time."},
    error_row{
        kind::body_timed_out, "body_timed_out", 408, ran_state::no, no_retry,
        2012, "The body of the request did not come in the caller's time."},
    error_row{
        kind::queue_full, "queue_full", 503, ran_state::no, retry_later, 2101,
        "Too many requests are waiting."},
    error_row{
        kind::deadline_unreachable, "deadline_unreachable", 503, ran_state::no,
        retry_later, 2102, "The answer would come after the deadline."},
    error_row{
        kind::workspace_over_share, "workspace_over_share", 429, ran_state::no,
        retry_later, 2103, "The workspace uses more than its share."},
    error_row{
        kind::no_endpoint, "no_endpoint", 503, ran_state::no, retry_later, 2104,
        "No endpoint can take the request now."},
    error_row{
        kind::endpoint_cold, "endpoint_cold", 503, ran_state::no, retry_soon,
        2105, "The endpoint is warming up."},
    error_row{
        kind::endpoint_full, "endpoint_full", 503, ran_state::no, retry_soon,
        2106, "The endpoint has no free slot."},
    error_row{
        kind::endpoint_leaving, "endpoint_leaving", 503, ran_state::no,
        retry_soon, 2107, "The endpoint is leaving."},
    error_row{
        kind::domain_out, "domain_out", 503, ran_state::no, retry_soon, 2108,
        "The failure domain is out of service."},
    error_row{
        kind::version_mismatch, "version_mismatch", 503, ran_state::no,
        retry_soon, 2109, "The endpoint holds other weights."},
    error_row{
        kind::suspect_request, "suspect_request", 422, ran_state::no, no_retry,
        2110,
        "The request crashed two endpoints, or a part of its prompt three or "
        "more."},
    error_row{
        kind::retry_budget_spent, "retry_budget_spent", 503, ran_state::no,
        retry_later, 2111, "Too many requests are being retried."},
    error_row{
        kind::entry_stopping, "entry_stopping", 503, ran_state::no, retry_soon,
        2112, "This entry is stopping."},
    error_row{
        kind::claim_unavailable, "claim_unavailable", 503, ran_state::no,
        retry_much_later, 2113, "The platform cannot record the request."},
    error_row{
        kind::already_running, "already_running", 409, ran_state::unknown,
        retry_later, 2114, "The same request is running."},
    error_row{
        kind::grant_void, "grant_void", 503, ran_state::no, retry_soon, 2115,
        "The reserved slot is no longer valid."},
    error_row{
        kind::answer_not_kept, "answer_not_kept", 410, ran_state::yes, no_retry,
        2116, "The request ran; its answer was too large to keep."},
    error_row{
        kind::no_configuration, "no_configuration", 503, ran_state::no,
        retry_later, 2117, "This entry knows no configuration yet."},
    error_row{
        kind::stale_configuration, "stale_configuration", 503, ran_state::no,
        retry_later, 2118, "The configuration was not confirmed for too long."},
    error_row{
        kind::entry_overloaded, "entry_overloaded", 503, ran_state::no,
        retry_later, 2119, "Callers send this entry more than it can hold."},
    error_row{
        kind::endpoint_lost, "endpoint_lost", 502, ran_state::unknown,
        retry_soon, 2201, "The endpoint was lost while it ran the request."},
    error_row{
        kind::endpoint_failed, "endpoint_failed", 502, ran_state::yes,
        retry_later, 2202, "The endpoint answered with a fault."},
    error_row{
        kind::outcome_unknown, "outcome_unknown", 504, ran_state::unknown,
        no_retry, 2203, "Whether the request ran is not known."},
    error_row{
        kind::deadline_passed, "deadline_passed", 504, ran_state::unknown,
        no_retry, 2204, "The deadline passed before the answer."},
    error_row{
        kind::caller_gone, "caller_gone", 499, ran_state::unknown, no_retry,
        2205, "The caller went away."},
    error_row{
        kind::peer_unreachable, "peer_unreachable", 503, ran_state::no,
        retry_soon, 2301, "A peer cannot be reached."},
    error_row{
        kind::bad_frame, "bad_frame", 500, ran_state::no, no_retry, 2302,
        "A peer sent a frame that cannot be read."},
    error_row{
        kind::unknown_peer, "unknown_peer", 403, ran_state::no, no_retry, 2303,
        "A peer is not on the allow-list."},
    error_row{
        kind::stale_fencing, "stale_fencing", 409, ran_state::no, no_retry,
        2304, "The order carries an old fencing number."},
    error_row{
        kind::stale_generation, "stale_generation", 409, ran_state::no,
        no_retry, 2305, "The configuration is older than the one in force."},
    error_row{
        kind::platform_unavailable, "platform_unavailable", 503, ran_state::no,
        retry_later, 2306, "The platform does not answer."},
    error_row{
        kind::platform_conflict, "platform_conflict", 409, ran_state::no,
        no_retry, 2307, "Another writer was first."},
    error_row{
        kind::platform_refused, "platform_refused", 429, ran_state::no,
        retry_later, 2308, "The platform refuses more calls."},
    error_row{
        kind::not_found, "not_found", 404, ran_state::no, no_retry, 2309,
        "There is no such object."},
    error_row{
        kind::bad_digest, "bad_digest", 502, ran_state::no, retry_soon, 2401,
        "Weights do not match their digest."},
    error_row{
        kind::origin_unavailable, "origin_unavailable", 503, ran_state::no,
        retry_later, 2402, "The origin of weights does not answer."},
    error_row{
        kind::origin_refused, "origin_refused", 429, ran_state::no, retry_later,
        2403, "The weight store refuses more reads."},
    error_row{
        kind::bad_settings, "bad_settings", 400, ran_state::no, no_retry, 2501,
        "The settings are not valid."},
    error_row{
        kind::bad_release_note, "bad_release_note", 400, ran_state::no,
        no_retry, 2502, "The release note is not valid."},
    error_row{
        kind::internal, "internal", 500, ran_state::unknown, no_retry, 2901,
        "A defect of foxtailvale."},
};

} // namespace

std::span<error_row const> error_table()
{
    return table;
}

error_row const& row_of(error_kind kind)
{
    auto const index = static_cast<std::size_t>(kind);
    assert(index < table.size() && table[index].kind == kind);
    return table[index];
}

error_kind error_kind_from_name(std::string_view name)
{
    auto const found = std::ranges::find_if(
        table,
        [name](error_row const& row)
        {
            return row.name == name;
        });
    return found == table.end() ? error_kind::internal : found->kind;
}

std::string_view to_string(ran_state ran)
{
    switch (ran)
    {
    case ran_state::no:
        return "no";
    case ran_state::yes:
        return "yes";
    case ran_state::unknown:
        break;
    }
    return "unknown";
}

} // namespace foxtailvale::base
