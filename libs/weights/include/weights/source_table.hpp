#ifndef FOXTAILVALE_WEIGHTS_SOURCE_BOOK_HPP
#define FOXTAILVALE_WEIGHTS_SOURCE_BOOK_HPP

#include <base/ids.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace foxtailvale::weights
{

// What an agent has learned about another as a source of chunks.
struct source_record
{
    // Chunks asked for and neither come nor given up.
    std::uint32_t outstanding = 0;
    // Whether anything came since it was asked with nothing outstanding.
    bool answers = false;
    base::time_point last_heard;
    // Not asked before then.
    base::time_point avoid_until;
    // Since when every frame to it failed; unset while they pass.
    base::time_point unreachable_since;
    bool unreachable = false;
    // Failures since its last good chunk.
    std::uint32_t strikes = 0;
    // Smoothed rate at which its chunks came; zero before the first.
    double bytes_per_second = 0;
};

// All sources by agent name, shared by all transfers of one agent.
struct source_table
{
    std::map<std::string, source_record> sources;
    // When one was last found silent.
    std::optional<base::time_point> last_silence;
};

// Chunks that may be outstanding at one source: enough to keep a link busy
// over a round trip, few enough that a source that dies takes few with it.
inline constexpr std::uint32_t most_outstanding = 8;

// Whether the source may be asked for one more chunk.
bool has_room(source_table const& book, std::string const& agent);

// Whether the source is not being avoided.
bool is_usable(
    source_table const& book, std::string const& agent, base::time_point now);

void note_requested(
    source_table& book, std::string const& agent, base::time_point now);

// A frame of any kind came from the source.
void note_heard(
    source_table& book, std::string const& agent, base::time_point now);

// A chunk that was asked for is no longer awaited there.
void note_dropped(source_table& book, std::string const& agent);

// A good chunk of this size came after this time.
void note_delivered(
    source_table& book,
    std::string const& agent,
    std::uint32_t bytes,
    std::chrono::nanoseconds took);

// A frame could not be sent; true when the source is to be given up. A
// connection that is only being made fails for a moment too.
bool note_unreachable(
    source_table& book, std::string const& agent, base::time_point now);

// The source is silent: avoided, and others that do not answer are given up
// sooner for a while.
void note_unresponsive(
    source_table& book, std::string const& agent, base::time_point now);

// The source failed: avoided for a time that doubles with each failure.
void avoid_after_failure(
    source_table& book, std::string const& agent, base::time_point now);

// The source failed and is asked again soon: avoided for a fraction of a second
// that doubles up to one and a half. Made for a fleet whose versions must be in
// use within seconds, where an origin that was away for six seconds must not be
// avoided for ten more. Failures of several chunks at once count as one.
void avoid_briefly(
    source_table& book, std::string const& agent, base::time_point now);

// Failures of the source since its last good chunk.
std::uint32_t failures_of(source_table const& book, std::string const& agent);

// The source sent bytes that are not the chunk: avoided for minutes.
void blame(source_table& book, std::string const& agent, base::time_point now);

// Chunks are outstanding and nothing at all has come for too long. A live
// source that still waits for a chunk itself says so twice a second.
// Failure: a rack goes and one dead source after the other is tried. Soon
// after one fell silent, another that has not answered at all is given up
// much sooner, so that a chunk's way past many dead stays short.
bool is_silent(
    source_table const& book, std::string const& agent, base::time_point now);

// How long a chunk that the source holds may take, from its measured rate and
// what else is outstanding there.
std::chrono::milliseconds delivery_timeout(
    source_table const& book, std::string const& agent, std::uint32_t bytes);

} // namespace foxtailvale::weights

#endif
