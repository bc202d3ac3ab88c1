#ifndef FOXTAILVALE_CHECKER_PROMISES_HPP
#define FOXTAILVALE_CHECKER_PROMISES_HPP

#include <checker/evidence.hpp>

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace foxtailvale::checker
{

// The guarantees of the system, in the order in which the users stated them.
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

std::string_view name_of(promise value);
std::span<promise const> all_promises();

// A broken promise and a description of the case that shows it.
struct violation
{
    promise broken = promise::whole_weights;
    std::string what;
};

// Returns all violations that the evidence shows, ordered by promise.
std::vector<violation> find_violations(evidence const& recorded);

// The promises allow "a few seconds" until an absent domain or endpoint gets no
// new work, and limit the time until an accepted configuration is in force.
inline constexpr wall_time absence_grace{3000};
inline constexpr wall_time in_force_limit{4000};

} // namespace foxtailvale::checker

#endif
