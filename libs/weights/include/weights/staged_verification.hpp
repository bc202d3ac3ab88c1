#ifndef FOXTAILVALE_WEIGHTS_STAGED_VERIFICATION_HPP
#define FOXTAILVALE_WEIGHTS_STAGED_VERIFICATION_HPP

#include <base/boot_clock.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <vector>

// Verification of the chunks that are staged beside an engine, before the
// engine is ordered to load them. A staged chunk may become corrupt at any
// moment, so a read that found it intact counts for a limited time only.
namespace foxtailvale::weights
{

// An engine may load a chunk that has been corrupt for this long, no longer.
inline constexpr std::chrono::milliseconds corruption_grace{3000};

// Time limit of an order: an engine that answers it has accepted it by then.
inline constexpr std::chrono::milliseconds order_timeout{1000};

// Time limit of the read of one staged chunk.
inline constexpr std::chrono::milliseconds staged_read_timeout{1000};

// No read may be older than this when the order is written.
inline constexpr std::chrono::milliseconds max_read_age =
    corruption_grace - order_timeout;

// The reads of the chunks of one version that is staged beside one engine.
// Times are of the boot clock, which goes on while the process or its machine
// stands still.
struct staged_verification
{
    // When the last read that found the chunk intact was requested, by chunk.
    // The engine read it later than that. Empty when there is none.
    std::vector<std::optional<base::boot_time>> intact_at;
    // Chunks whose read is in progress.
    std::set<std::uint32_t> reading;
    // The shortest time that a read has taken.
    std::optional<std::chrono::milliseconds> shortest_read;
    // Whether a read was not answered. An engine that reads one chunk after the
    // other may be slower than the limit when it gets several at once.
    bool one_at_a_time = false;
    // Intact reads in succession, each of which was answered in time.
    std::size_t uninterrupted = 0;
};

// A verification of this number of chunks, none of which has been read.
staged_verification make_verification(std::size_t chunks);

// How many chunks may be read at once: more than one at an engine that would
// otherwise take so long that the first reads are outdated by the last.
std::size_t max_reads_at_once(staged_verification const& state);

// The chunk to read next: one that has not been found intact, or else the one
// whose read is outdated the longest. Nothing when there is none or enough are
// being read.
std::optional<std::uint32_t>
next_to_read(staged_verification const& state, base::boot_time now);

// What the end of a read says about the chunk.
enum class read_end
{
    intact,
    corrupt,
    // The engine did not answer.
    unanswered,
};

void begin_read(staged_verification& state, std::uint32_t chunk);

// Records the end of a read. An answer that took longer than the limit was
// delayed by a freeze: it does not count as intact.
void note_read(
    staged_verification& state,
    std::uint32_t chunk,
    read_end end,
    base::boot_time requested_at,
    base::boot_time now);

// When the oldest of the reads was requested; nothing while a chunk has not
// been found intact.
std::optional<base::boot_time> oldest_read(staged_verification const& state);

// Whether an order that is written now loads only chunks that were intact
// shortly before. At an engine that is too slow for max_read_age, two
// uninterrupted rounds of reads count instead; it would never be ordered to
// load anything otherwise.
bool may_order(staged_verification const& state, base::boot_time now);

} // namespace foxtailvale::weights

#endif
