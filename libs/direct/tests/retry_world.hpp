#ifndef FOXTAILVALE_DIRECT_RETRY_WORLD_HPP
#define FOXTAILVALE_DIRECT_RETRY_WORLD_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

// Plays entries that spend one service's retry budget in virtual time while
// attempts fail, and counts what arrives at the service.
namespace foxtailvale::direct
{

struct retry_course
{
    std::uint64_t seed = 1;
    // Number of entries in each failure domain.
    std::vector<std::size_t> domains{3, 1, 2};
    // Number of rounds in which some or all entries are killed or stopped one
    // after the other, and start again.
    std::size_t rounds_of_restarts = 0;
    // Number of entries that join.
    std::size_t joins = 0;
    // Number of times at which a failure domain is cut off from the others.
    std::size_t cuts = 0;
    // Every few seconds nothing arrives for this long, and what was decided on
    // meanwhile arrives at the end.
    std::chrono::milliseconds stall{0};
    // Number of moments at which most callers move to some of the entries.
    std::size_t moves = 0;
    // Attempts fail only from a random moment on that lies near the moves.
    bool fails_late = false;
    // A third of the links stand still for this long at two moments. An attempt
    // on one of them is given up and arrives when the link moves again, the
    // first one of a request included.
    std::chrono::milliseconds hold{0};
    // Attempts arrive at once, and their endpoints never answer.
    bool hangs = false;
    // Number of rounds in which all entries stop one after the other. One that
    // stops ends the requests that it has, repeats of them included, while its
    // callers use the others; then it starts again.
    std::size_t rolls = 0;
    // Number of moments at which some entries stand still for this long. They
    // read at the end what callers have sent meanwhile.
    std::size_t pauses = 0;
    std::chrono::milliseconds pause{0};
    // Requests a second at all entries together.
    double requests_per_second = 60;
};

// The ten seconds in which most arrived beyond what is allowed.
struct retry_excess
{
    std::size_t arrivals = 0;
    double allowed = 0;
};

// Returns the worst ten seconds: by arrivals less what is allowed then.
retry_excess play(retry_course const& course);

// Names the course in a failed expectation.
std::string to_string(retry_course const& course);

// Plays the course with 8, 40 and 150 entries in three failure domains, each
// with many seeds and the same number of requests for an entry. Names those
// plays in which ten seconds have more retries than allowed.
std::vector<std::string> courses_that_exceed(retry_course course);

} // namespace foxtailvale::direct

#endif
