#include <scheduling/measured_time.hpp>

#include <cstdint>

namespace foxtailvale::scheduling
{

namespace
{

using std::chrono::microseconds;

// A new measurement has a weight of 1/8: the mean follows a change within some
// tens of requests, and one slow answer does not distort it.
constexpr std::int64_t smoothing_divisor = 8;

} // namespace

void note(measured_time& state, microseconds measured)
{
    if (!state.known)
    {
        state = {measured, measured / 2, true};
        return;
    }
    auto const error = measured - state.mean;
    state.mean += error / smoothing_divisor;
    state.deviation +=
        (std::chrono::abs(error) - state.deviation) / smoothing_divisor;
}

} // namespace foxtailvale::scheduling
