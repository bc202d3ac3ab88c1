#ifndef FOXTAILVALE_DIRECT_RETRY_WORLD_PLAN_HPP
#define FOXTAILVALE_DIRECT_RETRY_WORLD_PLAN_HPP

#include "retry_world.hpp"

#include <base/random.hpp>
#include <direct/retry_budget.hpp>

#include <chrono>
#include <optional>
#include <vector>

// The entries of a retry_course, and what happens to them and their links when.
namespace foxtailvale::direct
{

// Requests are sent from the start for this long; entries run before that.
inline constexpr base::time_point course_start{std::chrono::hours(1)};
inline constexpr std::chrono::milliseconds course_length{40000};
inline constexpr std::chrono::milliseconds before_traffic{15000};

struct retry_on_the_way
{
    retry_source source = retry_source::recent_requests;
    base::time_point arrives;
    // By when it and the request's earlier attempts have arrived, as far as the
    // entry knows.
    base::time_point by;
};

struct played_process
{
    retry_budget budget;
    entry_count count;
    base::time_point started;
    // When it began to stop.
    std::optional<base::time_point> stopping;
    // Its retries that have not arrived yet.
    std::vector<retry_on_the_way> on_the_way;
};

struct played_entry
{
    std::size_t domain = 0;
    // When it starts; the process is absent until then.
    base::time_point starts;
    // It stopped as planned and has not started again: callers use others.
    bool is_stopped = false;
    // Since when it stands still.
    std::optional<base::time_point> paused;
    // When the requests were sent that wait until it runs again.
    std::vector<base::time_point> unread;
    std::optional<played_process> process;
};

struct cut
{
    std::size_t domain = 0;
    base::time_point from;
    base::time_point until;
};

struct planned_kill
{
    std::size_t entry = 0;
    base::time_point at;
    std::chrono::milliseconds down{0};
};

struct planned_stop
{
    std::size_t entry = 0;
    base::time_point at;
    // The process ends this much later at the latest.
    std::chrono::milliseconds drain{0};
    std::chrono::milliseconds down{0};
};

struct planned_pause
{
    std::size_t entry = 0;
    base::time_point from;
    base::time_point until;
};

// From a time on, a part of the callers uses these entries alone.
struct caller_move
{
    base::time_point from;
    std::uint64_t percent = 0;
    std::vector<std::size_t> entries;
};

// A third of the links stand still.
struct held_links
{
    base::time_point from;
    base::time_point until;
};

// An attempt whose link stands still, until its entry gives it up.
struct unseen_attempt
{
    std::size_t entry = 0;
    base::time_point process_started;
    base::time_point given_up;
    // Index of its request among the played ones.
    std::size_t request = 0;
    // What paid for it, if it is a retry.
    std::optional<retry_source> source;
    // The endpoint has it although it does not answer.
    bool has_arrived = false;
};

struct played_request
{
    std::uint32_t sends = 0;
    // By when those attempts have arrived that were given up without a sign,
    // and those of them that a link held.
    base::time_point unseen_until;
    base::time_point held_until;
    std::vector<base::time_point> arrivals;
};

struct world
{
    std::vector<played_entry> entries;
    std::vector<caller_move> moves;
    std::vector<held_links> holds;
    std::vector<unseen_attempt> unseen;
    std::vector<played_request> played;
    base::time_point fails_from;
    std::vector<cut> cuts;
    std::vector<planned_kill> kills;
    std::vector<planned_stop> stops;
    std::vector<planned_pause> pauses;
    std::vector<base::time_point> stalls;
    std::vector<base::time_point> requests;
    std::vector<base::time_point> arrivals;
    std::size_t domains = 0;
    base::random_state random;
};

// Draws what happens in the course.
world make_world(retry_course const& course);

// True once in so many draws.
bool one_in(base::random_state& random, std::uint64_t many);

} // namespace foxtailvale::direct

#endif
