#ifndef FOXTAILVALE_STANDINS_TOKEN_BUCKET_HPP
#define FOXTAILVALE_STANDINS_TOKEN_BUCKET_HPP

#include <chrono>

namespace foxtailvale::standins
{

// A rate limit with bursts of up to one second's worth. Zero is no limit.
struct token_bucket
{
    double per_second = 0;
    double allowance = 0;
    std::chrono::steady_clock::time_point refilled;
};

// Takes the amount if it is there.
bool take(
    token_bucket& bucket,
    double amount,
    std::chrono::steady_clock::time_point now);

} // namespace foxtailvale::standins

#endif
