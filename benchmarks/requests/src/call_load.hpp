#ifndef FOXTAILVALE_BENCHMARKS_REQUESTS_CALL_LOAD_HPP
#define FOXTAILVALE_BENCHMARKS_REQUESTS_CALL_LOAD_HPP

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace foxtailvale::bench
{

// Where and what to call, over keep-alive connections.
struct call_target
{
    // "IP:PORT".
    std::string address;
    std::string path;
    // Empty for GET.
    std::string body;
};

// Latencies and failures of all calls of a run.
struct call_results
{
    std::vector<std::chrono::microseconds> latencies;
    std::uint64_t failed = 0;
    std::chrono::microseconds duration{0};
};

// Open-loop load: issues calls at a constant rate, independent of the answers
// to earlier calls. Latency is measured from the time a call was due.
call_results call_open_loop(
    call_target const& target,
    std::uint32_t per_second,
    std::chrono::seconds duration);

// Closed-loop load: each connection issues its next call as soon as the
// previous one is answered.
call_results call_closed_loop(
    call_target const& target,
    std::size_t connections,
    std::chrono::seconds duration);

// Issues one call on each of the connections concurrently.
call_results
call_concurrently(call_target const& target, std::size_t connections);

// Returns a quantile between 0 and 1 of the latencies, in milliseconds; 0 when
// there are none.
double latency_quantile_ms(call_results const& results, double quantile);

} // namespace foxtailvale::bench

#endif
