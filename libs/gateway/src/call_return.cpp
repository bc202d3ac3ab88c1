#include "call.hpp"

#include <algorithm>

// Promises the caller of a refused request a time to return, and honours it.
namespace foxtailvale::gateway
{

namespace
{

using std::chrono::milliseconds;
using clock = std::chrono::steady_clock;

// Callers honour Retry-After up to this part of the time they have left.
constexpr int patience_divisor = 3;

// Goes before the other requests of its rank; see call_admission.cpp.
constexpr std::uint32_t precedence_kept_return = 2;

// A kept return may wait for this part of the time it has left.
constexpr int kept_wait_divisor = 2;

} // namespace

void call::claim_return()
{
    if (!this->ranked)
    {
        return;
    }
    auto const claim = scheduling::claim_return(
        this->context->returns, this->prints.whole, this->arrived);
    if (claim == scheduling::return_claim::early)
    {
        this->context->counters.count("foxtailvale_returns_early_total", {});
    }
    if (claim != scheduling::return_claim::kept)
    {
        return;
    }
    this->context->counters.count("foxtailvale_returns_kept_total", {});
    this->kept_return = true;
    this->ranked->waiting.precedence = precedence_kept_return;
    auto const half_left = (this->deadline - this->arrived) / kept_wait_divisor;
    this->wait_until = std::max(this->wait_until, this->arrived + half_left);
}

bool call::yields_to_new_requests() const
{
    return this->goal_expired && !this->kept_return;
}

milliseconds call::promised_retry_after()
{
    // A caller that finds all endpoints at their rate limits or at rest is told
    // when that ends.
    if (!this->ranked || this->sends > 0 || this->room_at)
    {
        return this->retry_after();
    }
    auto const now = clock::now();
    scheduling::place_group const group{
        this->service_name, this->allowed.priority};
    auto const spacing = scheduling::place_spacing(
        this->context->returns, this->context->loads[this->service_name], group,
        this->ranked->cost, now);
    auto const promised = spacing ? scheduling::promise_return(
                                        this->context->returns,
                                        {this->prints.whole, group, *spacing,
                                         this->time_left() / patience_divisor},
                                        now)
                                  : std::nullopt;
    if (!promised)
    {
        return this->retry_after();
    }
    this->context->counters.count("foxtailvale_returns_promised_total", {});
    return *promised;
}

} // namespace foxtailvale::gateway
