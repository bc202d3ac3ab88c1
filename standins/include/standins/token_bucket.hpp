#ifndef FOXTAILVALE_STANDINS_TOKEN_BUCKET_HPP
#define FOXTAILVALE_STANDINS_TOKEN_BUCKET_HPP

#include <chrono>

namespace foxtailvale::standins
{

// A rate limiter that allows bursts of up to one second's allowance. A rate of
// zero means no limit.
struct token_bucket
{
    double per_second = 0;
    double allowance = 0;
    std::chrono::steady_clock::time_point refilled;
};

// Takes the amount from the bucket and returns true, or returns false without
// taking anything when the allowance does not cover it.
bool take(
    token_bucket& bucket,
    double amount,
    std::chrono::steady_clock::time_point now);

} // namespace foxtailvale::standins

#endif
