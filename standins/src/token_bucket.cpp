#include <standins/token_bucket.hpp>

#include <algorithm>

namespace foxtailvale::standins
{

bool take(
    token_bucket& bucket,
    double amount,
    std::chrono::steady_clock::time_point now)
{
    if (bucket.per_second == 0)
    {
        return true;
    }
    std::chrono::duration<double> const passed = now - bucket.refilled;
    bucket.refilled = now;
    bucket.allowance = std::min(
        bucket.per_second,
        bucket.allowance + passed.count() * bucket.per_second);
    if (bucket.allowance < amount)
    {
        return false;
    }
    bucket.allowance -= amount;
    return true;
}

} // namespace foxtailvale::standins
