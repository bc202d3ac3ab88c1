#include <direct/planned_stop.hpp>

namespace foxtailvale::direct
{

bool ends_in_time(planned_stop const& stop, stop_query const& query)
{
    if (query.deadline <= stop.ends)
    {
        return query.now < stop.ends;
    }
    return query.longest_answer && query.now < stop.rerouted &&
           query.now + *query.longest_answer <= stop.ends;
}

} // namespace foxtailvale::direct
