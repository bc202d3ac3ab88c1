#ifndef FOXTAILVALE_DIRECT_PLANNED_STOP_HPP
#define FOXTAILVALE_DIRECT_PLANNED_STOP_HPP

#include <base/ids.hpp>

#include <optional>

// Decides which requests a process that was told to stop still sends to
// endpoints.
namespace foxtailvale::direct
{

// The end of a process that was told to stop.
struct planned_stop
{
    // When it was told.
    base::time_point began;
    // From then on the load balancer opens no new connections to this process,
    // and refused callers reach another one.
    base::time_point rerouted;
    // What has not been answered by then no longer is.
    base::time_point ends;
};

// A request that is to be sent to an endpoint now.
struct stop_query
{
    base::time_point now;
    // The end of the request's own time.
    base::time_point deadline;
    // How long answers of its route take at most, as far as they did so far;
    // nothing if none is known.
    std::optional<base::duration> longest_answer;
};

// Whether the request's answer ends before the process does. A request that may
// last longer than its process is better refused: its caller sends it to
// another process at once, while an answer that is cut is lost with all the
// time it took. What answers took so far is relied on only as long as the load
// balancer may still choose this process.
bool ends_in_time(planned_stop const& stop, stop_query const& query);

} // namespace foxtailvale::direct

#endif
