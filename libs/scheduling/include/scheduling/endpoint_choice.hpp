#ifndef FOXTAILVALE_SCHEDULING_ENDPOINT_CHOICE_HPP
#define FOXTAILVALE_SCHEDULING_ENDPOINT_CHOICE_HPP

#include <base/random.hpp>

#include <scheduling/scheduling_settings.hpp>

#include <cstddef>
#include <span>

// Choice among the endpoints that have capacity for a request.
namespace foxtailvale::scheduling
{

struct endpoint_candidate
{
    // Relative load and what else speaks against the endpoint; lower is better.
    double cost = 0;
    // In the failure domain of the entry.
    bool is_local = false;
    // Taken only if no other candidate is left.
    bool is_last_resort = false;
    // The cost includes the requests of other entries, from a report that all
    // entries see.
    bool is_reported = true;
};

// Returns the index of the chosen candidate; there must be at least one.
//
// `least_loaded` takes the cheapest of all. `sampled` draws two local
// candidates and a remote one at random and takes the cheapest of these (the
// power of two choices). Without any report it takes the cheapest of all too:
// what the entries know from their own requests differs, so that they do not
// choose alike, and a sample would only discard what is known.
//
// Failure: reports are 0.1 s old, and all entries send to the endpoint that
// appears least loaded in the same report. Each request then waits for the
// prompts of those that arrived together with it, while the endpoints next in
// order get nothing.
std::size_t choose_endpoint(
    std::span<endpoint_candidate const> candidates,
    endpoint_choice method,
    base::random_state& random);

} // namespace foxtailvale::scheduling

#endif
