#ifndef FOXTAILVALE_REQUEST_GATE_HPP
#define FOXTAILVALE_REQUEST_GATE_HPP

#include <base/error.hpp>
#include <base/ids.hpp>

#include <cstdint>
#include <set>
#include <string>

namespace foxtailvale::request
{

// The gate before one endpoint. Made for several hundred entries that cannot
// agree on what one endpoint bears: whatever they send, no more than the limit
// runs, because this one gate alone lets it through.
struct gate
{
    // Limits as released: a cold endpoint falls over under a full load.
    std::uint32_t warm_limit = 1;
    std::uint32_t cold_limit = 1;
    // The limit now; grows from the cold to the warm one with answers.
    std::uint32_t limit = 1;
    // Answers on time since the limit last grew.
    std::uint32_t answers = 0;
    // What the endpoint last said of itself.
    bool reports_cold = false;
    bool leaving = false;
    bool domain_in = true;
    // Instance of the endpoint that the limit was earned by.
    std::string instance;
    std::set<base::attempt_id> running;
};

// What an attempt asks for and what the endpoint has.
struct gate_query
{
    base::attempt_id attempt;
    // Digest that the request is pinned to and the one that serves; both
    // empty for a plain service.
    std::string wanted_digest;
    std::string serving_digest;
};

// Takes new limits from a release without losing the ramp.
void set_limits(gate& state, std::uint32_t warm, std::uint32_t cold);

// Lets the attempt run or says why not. A refusal here means "not run".
base::result<void> admit(gate& state, gate_query const& ask);

// An attempt ended; only an answer on time lets the limit grow, doubling after
// as many answers as the limit is, so that a cold endpoint warms up under a
// load it has already borne. While the endpoint says that it is cold the limit
// does not grow at all.
void finish(gate& state, base::attempt_id attempt, bool answered);

// The endpoint turned out to be another instance or cold: back to the cold
// limit. Attempts that run are left alone.
void turn_cold(gate& state, std::string instance);

} // namespace foxtailvale::request

#endif
