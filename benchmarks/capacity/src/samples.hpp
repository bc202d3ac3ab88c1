#ifndef FOXTAILVALE_CAPACITY_SAMPLES_HPP
#define FOXTAILVALE_CAPACITY_SAMPLES_HPP

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace foxtailvale::capacity
{

// One measured figure at one size.
struct sample
{
    // Dotted: role, subject, quantity.
    std::string name;
    // What the figure was measured at, such as a number of endpoints.
    std::uint64_t at = 0;
    double value = 0;
    std::string unit;
};

using samples = std::vector<sample>;

// Straight line through the samples of one name, by least squares.
struct slope
{
    double at_zero = 0;
    double each = 0;
    std::size_t points = 0;
};

slope slope_of(samples const& all, std::string const& name);

// Value of the line at a size.
double value_at(slope const& line, double size);

// The sample with this name at exactly this size; NaN when there is none.
double
measured(samples const& all, std::string const& name, std::uint64_t size);

// One line per sample, with a heading.
std::string to_csv(samples const& all);

// Reads what to_csv wrote; lines that are none are left out.
samples from_csv(std::string const& text);

// Processor time that the calling thread has used.
std::chrono::nanoseconds thread_processor_time();

// Bytes that the program holds on the heap.
std::uint64_t heap_bytes();

// Processor time and number of events by kind.
struct cost
{
    std::uint64_t count = 0;
    std::chrono::nanoseconds time{0};
};

using costs = std::map<std::string, cost>;

// Microseconds an event, or 0 when there was none.
double mean_us(cost const& of);

} // namespace foxtailvale::capacity

#endif
