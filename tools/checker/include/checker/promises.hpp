#ifndef FOXTAILVALE_CHECKER_PROMISES_HPP
#define FOXTAILVALE_CHECKER_PROMISES_HPP

#include <checker/evidence.hpp>

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace foxtailvale::checker
{

// What must always hold, in the users' order.
enum class promise
{
    whole_weights,
    cold_endpoint_spared,
    domain_out_gets_nothing,
    whole_answer,
    not_run_means_not_run,
    at_most_once,
    leaving_gets_nothing,
    graceful_stop,
    configuration_holds,
};

std::string_view name_of(promise kept);
std::span<promise const> all_promises();

// One broken promise and the case that shows it.
struct violation
{
    promise broken = promise::whole_weights;
    std::string what;
};

// All violations that the evidence shows, in order of promise.
std::vector<violation> judge(evidence const& seen);

// "A few seconds" after which an absent domain or endpoint gets no new work,
// and the time within which a configuration is in force.
inline constexpr wall_time few_seconds{3000};
inline constexpr wall_time in_force_limit{4000};

} // namespace foxtailvale::checker

#endif
