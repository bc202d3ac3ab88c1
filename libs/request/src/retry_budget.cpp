#include <request/retry_budget.hpp>

#include <algorithm>

namespace foxtailvale::request
{

namespace
{

constexpr double retry_tokens_per_request = 0.1;
constexpr double max_retry_tokens = 10;

} // namespace

void earn(retry_budget& budget)
{
    budget.tokens =
        std::min(budget.tokens + retry_tokens_per_request, max_retry_tokens);
}

bool spend(retry_budget& budget)
{
    if (budget.tokens < 1)
    {
        return false;
    }
    --budget.tokens;
    return true;
}

} // namespace foxtailvale::request
