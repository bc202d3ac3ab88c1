#ifndef FOXTAILVALE_REQUEST_GATE_HPP
#define FOXTAILVALE_REQUEST_GATE_HPP

#include <base/error.hpp>
#include <base/ids.hpp>

#include <cstdint>
#include <set>
#include <string>

namespace foxtailvale::request
{

// Concurrency limiter of one endpoint. Several hundred entries cannot agree on
// how much load one endpoint can handle. However much they send, no more
// attempts than the limit run, because all of them pass through this gate.
struct gate
{
    // Limits set by the release. The cold limit is lower because a cold
    // endpoint crashes under full load.
    std::uint32_t warm_limit = 1;
    std::uint32_t cold_limit = 1;
    // Current limit; grows from the cold to the warm limit as answers arrive.
    std::uint32_t limit = 1;
    // Answers on time since the limit last grew or was reset.
    std::uint32_t answers = 0;
    // Whether the endpoint last reported that it is cold.
    bool reports_cold = false;
    // The endpoint is leaving and accepts no new attempts.
    bool leaving = false;
    // Whether the endpoint's failure domain is in service.
    bool domain_in = true;
    // Instance of the endpoint whose answers raised the limit.
    std::string instance;
    std::set<base::attempt_id> running;
};

// An attempt with the version it requires and the version the endpoint serves.
struct gate_query
{
    base::attempt_id attempt;
    // Digest of the weights that the request is pinned to and of those being
    // served; both empty for a plain service.
    std::string wanted_digest;
    std::string serving_digest;
};

// Applies new limits from a release. The current limit is clamped to them, so
// that the progress of the ramp from cold to warm is kept.
void set_limits(gate& state, std::uint32_t warm, std::uint32_t cold);

// Admits an attempt or returns why it is refused: endpoint_leaving, domain_out,
// version_mismatch, endpoint_cold or endpoint_full. A refused attempt did not
// run.
base::result<void> admit(gate& state, gate_query const& query);

// Records the end of an attempt. `answered` is true if it was answered on time;
// only such answers let the limit grow. The limit doubles after as many answers
// as its current value, so that a cold endpoint warms up under a load it has
// already handled. While the endpoint reports that it is cold, the limit does
// not grow.
void finish(gate& state, base::attempt_id attempt, bool answered);

// Resets the limit to the cold limit, after the endpoint turned out to be
// another instance or cold. Running attempts are not affected.
void turn_cold(gate& state, std::string instance);

} // namespace foxtailvale::request

#endif
