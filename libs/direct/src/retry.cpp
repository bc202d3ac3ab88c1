#include <direct/retry.hpp>

namespace foxtailvale::direct
{

using base::error_kind;
using base::ran_state;
using routing::retry_safety;

base::ran_state judge_run(attempt_facts const& facts)
{
    if (!facts.written)
    {
        return ran_state::no;
    }
    if (facts.head_seen && facts.says_not_run)
    {
        return ran_state::no;
    }
    if (facts.head_seen && facts.sealed)
    {
        return ran_state::yes;
    }
    return ran_state::unknown;
}

bool is_answer(attempt_facts const& facts)
{
    return facts.head_seen && facts.sealed && facts.whole &&
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
