#ifndef FOXTAILVALE_SCHEDULING_MEASURED_TIME_HPP
#define FOXTAILVALE_SCHEDULING_MEASURED_TIME_HPP

#include <chrono>

namespace foxtailvale::scheduling
{

// Exponentially weighted mean and mean deviation of a measured duration.
struct measured_time
{
    std::chrono::microseconds mean{0};
    std::chrono::microseconds deviation{0};
    // False until the first measurement.
    bool known = false;
};

// Updates the mean and the deviation with a measurement.
void note(measured_time& state, std::chrono::microseconds measured);

} // namespace foxtailvale::scheduling

#endif
