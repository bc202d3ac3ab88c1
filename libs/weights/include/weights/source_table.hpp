#ifndef FOXTAILVALE_WEIGHTS_SOURCE_TABLE_HPP
#define FOXTAILVALE_WEIGHTS_SOURCE_TABLE_HPP

#include <base/ids.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace foxtailvale::weights
{

// What an agent knows about another agent, or the origin, as a source of
// chunks.
struct source_record
{
    // Requested chunks that have neither arrived nor been abandoned.
    std::uint32_t outstanding = 0;
    // Whether the source sent anything since the first of the outstanding
    // requests.
    bool answers = false;
    base::time_point last_heard;
    // The source is not used before this time.
    base::time_point avoid_until;
    // Since when all frames to the source have failed; valid while
    // `unreachable` is set.
    base::time_point unreachable_since;
    bool unreachable = false;
    // Failures since its last valid chunk.
    std::uint32_t failures = 0;
    // Exponentially smoothed transfer rate; zero before the first chunk.
    double bytes_per_second = 0;
};

// All sources by agent name (empty for the origin), shared by all transfers of
// one agent.
struct source_table
{
    std::map<std::string, source_record> sources;
    // When a source was last found to be unresponsive.
    std::optional<base::time_point> last_unresponsive;
};

// Limit of outstanding chunks per source: enough to keep a link busy over a
// round trip, and few enough that a source that dies takes few with it.
inline constexpr std::uint32_t max_outstanding = 8;

// Whether another chunk may be requested from the source.
bool has_room(source_table const& table, std::string const& agent);

// Whether the source is not being avoided at this time.
bool is_usable(
    source_table const& table, std::string const& agent, base::time_point now);

void note_requested(
    source_table& table, std::string const& agent, base::time_point now);

// Records that a frame of any kind was received from the source.
void note_heard(
    source_table& table, std::string const& agent, base::time_point now);

// Records that an outstanding request to the source ended or was abandoned.
void note_dropped(source_table& table, std::string const& agent);

// Records that a valid chunk of this size arrived after this time.
void note_delivered(
    source_table& table,
    std::string const& agent,
    std::uint32_t bytes,
    std::chrono::nanoseconds took);

// Records that a frame could not be sent; returns true when the source should
// be abandoned. Frames also fail for a moment while a connection is being
// established.
bool note_unreachable(
    source_table& table, std::string const& agent, base::time_point now);

// Records that the source is unresponsive: it is avoided, and for a while other
// sources that have not responded are abandoned sooner.
void note_unresponsive(
    source_table& table, std::string const& agent, base::time_point now);

// Records a failure of the source: it is avoided for a time that doubles with
// each failure.
void avoid_after_failure(
    source_table& table, std::string const& agent, base::time_point now);

// Records a failure of a source that is to be retried soon: it is avoided for a
// fraction of a second, which doubles with each failure up to one and a half
// seconds. Versions must be in use within seconds, so an origin that was away
// for six seconds must not be avoided for ten more. Failures of several chunks
// at once count as one.
void avoid_briefly(
    source_table& table, std::string const& agent, base::time_point now);

// Failures of the source since its last valid chunk.
std::uint32_t failures_of(source_table const& table, std::string const& agent);

// Records that the source sent corrupted bytes: it is avoided for minutes.
void blame(source_table& table, std::string const& agent, base::time_point now);

// Whether chunks are outstanding at the source and nothing has been received
// from it for too long. A live source that still waits for a chunk itself
// reports that twice a second. Failure: a rack fails, and its dead agents are
// tried one after the other. Soon after one source was found to be
// unresponsive, another that has not responded at all is abandoned much sooner,
// so that a chunk is not held up for long by many dead agents.
bool is_silent(
    source_table const& table, std::string const& agent, base::time_point now);

// Time-out of a chunk that the source holds, from the source's measured rate
// and the other chunks outstanding there.
std::chrono::milliseconds delivery_timeout(
    source_table const& table, std::string const& agent, std::uint32_t bytes);

} // namespace foxtailvale::weights

#endif
