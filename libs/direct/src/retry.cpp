#include <direct/retry.hpp>

#include <algorithm>
#include <array>

namespace foxtailvale::direct
{

using base::error_kind;
using base::ran_state;
using routing::retry_safety;

namespace
{

// Statuses with which an endpoint may state that it did not run a request. With
// any other, the statement contradicts the status.
bool is_refusal(unsigned status)
{
    constexpr std::array refusals{400U, 421U, 429U, 503U};
    return std::ranges::find(refusals, status) != refusals.end();
}

} // namespace

head_use use_of(answer_owner owner, bool reused, bool stays_open)
{
    auto const may_be_late = owner == answer_owner::unnamed && reused;
    return owner == answer_owner::other_request || (may_be_late && stays_open)
               ? head_use::skip
               : head_use::take;
}

base::ran_state judge_run(attempt_facts const& facts)
{
    if (!facts.written)
    {
        return ran_state::no;
    }
    if (!facts.head_seen || !facts.identified)
    {
        return ran_state::unknown;
    }
    if (facts.says_not_run)
    {
        return is_refusal(facts.status) ? ran_state::no : ran_state::unknown;
    }
    return facts.sealed ? ran_state::yes : ran_state::unknown;
}

bool is_answer(attempt_facts const& facts)
{
    return facts.head_seen && facts.identified && facts.sealed && facts.whole &&
           !facts.says_not_run;
}

bool is_retry_allowed(retry_query const& query)
{
    if (query.sends >= max_sends)
    {
        return false;
    }
    if (query.answer_begun)
    {
        return query.repeats == retry_safety::resumable &&
               (query.ran == ran_state::no || query.runs < query.most_attempts);
    }
    if (query.ran == ran_state::no && query.runs == 0)
    {
        return true;
    }
    if (query.repeats == retry_safety::non_idempotent)
    {
        return false;
    }
    return query.runs < query.most_attempts;
}

retry_safety stricter(retry_safety at_arrival, retry_safety now)
{
    return now == retry_safety::non_idempotent ? now : at_arrival;
}

base::error_kind final_error(base::ran_state ran, bool time_is_up)
{
    if (ran == ran_state::no)
    {
        return time_is_up ? error_kind::deadline_unreachable
                          : error_kind::no_endpoint;
    }
    return time_is_up ? error_kind::deadline_passed : error_kind::endpoint_lost;
}

} // namespace foxtailvale::direct
