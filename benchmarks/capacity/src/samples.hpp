#ifndef FOXTAILVALE_CAPACITY_SAMPLES_HPP
#define FOXTAILVALE_CAPACITY_SAMPLES_HPP

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace foxtailvale::capacity
{

// One measured figure at one fleet size.
struct sample
{
    // Dotted name: role, subject, quantity.
    std::string name;
    // Size at which it was measured, usually a number of endpoints.
    std::uint64_t size = 0;
    double value = 0;
    std::string unit;
};

using samples = std::vector<sample>;

// Least-squares line through the samples of one name.
struct slope
{
    double intercept = 0;
    double gradient = 0;
    std::size_t points = 0;
};

slope slope_of(samples const& all, std::string const& name);

// Returns the value of the line at a size.
double value_at(slope const& line, double size);

// Returns the value of the sample with this name and exactly this size, or NaN
// when there is none.
double
sample_value(samples const& all, std::string const& name, std::uint64_t size);

// Formats the samples as CSV: a header line, then one line per sample.
std::string to_csv(samples const& all);

// Parses the output of to_csv. Malformed lines are skipped.
samples from_csv(std::string const& text);

// Processor time used by the calling thread so far.
std::chrono::nanoseconds thread_processor_time();

// Bytes currently allocated on the heap by the process.
std::uint64_t heap_bytes();

// Number of events of one kind and the processor time spent on them.
struct cost
{
    std::uint64_t count = 0;
    std::chrono::nanoseconds time{0};
};

using costs = std::map<std::string, cost>;

// Mean microseconds per event, or 0 when there were no events.
double mean_us(cost const& of);

} // namespace foxtailvale::capacity

#endif
