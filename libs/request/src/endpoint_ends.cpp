#include "endpoint_ends.hpp"

#include "crash_judgement.hpp"

#include <algorithm>

namespace foxtailvale::request
{

namespace
{

// Ends of one endpoint this close together are one end, which entries notice at
// different moments. An engine takes longer to start again.
constexpr std::chrono::milliseconds same_end{2000};

constexpr std::size_t max_ends = 4096;

// Endpoints that end within this time of each other, and how many of them end
// together for a reason of their own: a loss of power, a service that ends as a
// whole.
constexpr std::chrono::milliseconds same_moment{25};
constexpr std::size_t min_joint_ends = 3;

// Marks the ends around this time if they are too many to have a request, or a
// part, as their cause, and withdraws what was suspect by them.
void mark_joint_ends(suspect_list& state, base::time_point at)
{
    std::vector<endpoint_end*> joint;
    for (auto& end : state.ends)
    {
        if (end.at + same_moment >= at && end.at <= at + same_moment)
        {
            joint.push_back(&end);
        }
    }
    if (joint.size() < min_joint_ends)
    {
        return;
    }
    for (auto* const end : joint)
    {
        end->is_joint = true;
    }
    if (!state.suspects.empty())
    {
        judge(state);
    }
}

} // namespace

std::uint64_t note_end(suspect_list& state, crash const& seen)
{
    auto const known = std::ranges::find_if(
        state.ends.rbegin(), state.ends.rend(),
        [&seen](endpoint_end const& end)
        {
            return end.endpoint == seen.endpoint &&
                   end.at <= seen.ended + same_end &&
                   seen.ended <= end.at + same_end;
        });
    if (known != state.ends.rend())
    {
        return known->id;
    }
    state.ends.push_back({++state.last_end, seen.endpoint, seen.ended});
    mark_joint_ends(state, seen.ended);
    if (state.ends.size() > max_ends)
    {
        state.ends.pop_front();
    }
    return state.last_end;
}

} // namespace foxtailvale::request
