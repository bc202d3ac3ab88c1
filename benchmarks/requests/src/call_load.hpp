#ifndef FOXTAILVALE_BENCHMARKS_REQUESTS_CALL_LOAD_HPP
#define FOXTAILVALE_BENCHMARKS_REQUESTS_CALL_LOAD_HPP

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace foxtailvale::bench
{

// What is called, over connections that are kept alive.
struct call_target
{
    // "IP:PORT".
    std::string address;
    std::string path;
    // Empty for GET.
    std::string body;
};

struct call_results
{
    std::vector<std::chrono::microseconds> latencies;
    std::uint64_t failed = 0;
    std::chrono::microseconds length{0};
};

// Calls at a steady rate, whether or not earlier ones were answered. Latency
// counts from the time a call was due.
call_results call_steadily(
    call_target const& target,
    std::uint32_t per_second,
    std::chrono::seconds length);

// Calls as fast as so many connections can, each waiting for its answer.
call_results call_hard(
    call_target const& target,
    std::size_t connections,
    std::chrono::seconds length);

// One call on each of so many connections at the same moment.
call_results call_at_once(call_target const& target, std::size_t connections);

double milliseconds_at(call_results const& results, double part);

} // namespace foxtailvale::bench

#endif
