#ifndef FOXTAILVALE_WEIGHTS_CHUNK_TRANSFER_HPP
#define FOXTAILVALE_WEIGHTS_CHUNK_TRANSFER_HPP

#include <weights/chunk_store.hpp>
#include <weights/forest.hpp>
#include <weights/origin_schedule.hpp>
#include <weights/source_table.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

// One agent's way from nothing to all chunks of a version: which chunk it asks
// whom for next, and what it makes of what comes.
namespace foxtailvale::weights
{

// A chunk that was asked for and has not come.
struct chunk_pending
{
    chunk_source source;
    base::time_point asked;
    // Asked of one that draws the chunk before this agent does, whose turn has
    // come too.
    bool stands_in = false;
};

// In what agents tell each other of a chunk, one character each.
inline constexpr char chunk_missing = '0';
inline constexpr char chunk_held = '1';
// The agent draws it from the origin now or next, and the origin has not failed
// it.
inline constexpr char chunk_drawn = '2';

// Whether a drawer lives, as last asked.
struct drawer_check
{
    base::time_point asked;
    bool is_pending = false;
    bool is_silent = false;
};

struct said_holdings
{
    chunk_source source;
    std::string marks;
    base::time_point said;
};

struct chunk_transfer
{
    // SHA-256 of each chunk.
    std::vector<std::string> digests;
    // Verified bytes; null where a chunk is missing.
    std::vector<chunk_data> chunks;
    std::uint32_t held = 0;
    base::time_point begun;
    std::map<std::uint32_t, chunk_pending> pending;
    // What other agents last said they hold.
    std::map<std::string, said_holdings> holdings;
    // Drawers that were asked whether they live, by name.
    std::map<std::string, drawer_check> checks;
    // Agents that said that they do not have a chunk, until when that counts.
    std::map<std::pair<std::uint32_t, std::string>, base::time_point> declined;
};

// Who asks.
struct transfer_requester
{
    std::string failure_domain;
    std::string agent;
    // The digest under which the plans list the version's holders.
    std::string label;
    // Agents beside engines that serve the version, those of the own failure
    // domain alone if there are any. They hold every chunk, so whoever comes
    // later asks them and neither waits for others that have just come nor
    // draws from the origin.
    std::vector<chunk_source> holders;
};

// What may be under way at one time. An agent that does not have a chunk yet
// keeps the question until it has, so many are asked for at once: each chunk
// then passes through a row of agents without a pause at any of them. Senders
// send one chunk after the other, so asking early fills no link.
struct transfer_limits
{
    // Questions to other agents. Draws from the origin do not count: a chunk
    // that nobody has drawn yet holds up all agents, not this one alone.
    std::size_t total = 24;
    std::size_t per_agent = 8;
    // Draws from the origin: one hides no other's round trip of a few
    // milliseconds, and the fetchers fill its link together.
    std::size_t origin = 1;
};

struct wanted_chunk
{
    std::uint32_t index = 0;
    // The origin when its agent is empty.
    chunk_source source;
    // Agents that wait for the chunk behind this one; whoever is asked serves
    // those first behind whom most wait.
    std::size_t behind = 0;
};

// Begins with what another transfer holds: a chunk that did not change between
// two versions is not fetched again.
void begin(
    chunk_transfer& state,
    std::vector<std::string> digests,
    base::time_point now);
void reuse(chunk_transfer& state, chunk_transfer const& other);

bool is_complete(chunk_transfer const& state);

// What this agent holds and draws, in the form of `holdings`.
std::string holdings_of(
    chunk_transfer const& state,
    origin_fetch_schedule const& schedule,
    std::string const& agent,
    bool origin_fails);

// Another agent said what it holds. Failure: agents end in the middle of a
// burst and the trees change; a chunk that some hold is asked of those before
// in its tree, who wait for it themselves, and nobody asks the ones that have
// it.
void note_holdings(
    chunk_transfer& state,
    chunk_source const& agent,
    std::string marks,
    base::time_point now);

// Drawers to be asked now whether they live, each noted as asked. Those who
// stand in ask a moment after a chunk's slot when it has not come. Failure: two
// fetchers ended within a second of a naming, who stood in found out after a
// second and more for each chunk, and the origin died before.
std::vector<chunk_source> next_liveness_checks(
    chunk_transfer& state,
    plan_set const& plans,
    transfer_requester const& place,
    origin_fetch_schedule const& schedule,
    base::time_point now);

// How long a drawer that lives may take for its answer.
inline constexpr std::chrono::milliseconds liveness_check_timeout{250};

// The drawer answered or did not. If not, the next in turn draws its chunks.
void note_liveness_check(
    chunk_transfer& state, std::string const& drawer, bool lives);

// Chunks to ask for now, each noted as pending.
std::vector<wanted_chunk> next_chunk_requests(
    chunk_transfer& state,
    source_table& book,
    plan_set const& plans,
    transfer_requester const& place,
    origin_fetch_schedule const& schedule,
    transfer_limits const& limits,
    base::time_point now);

// Takes bytes that were found somewhere, not asked for; false when they are
// not that chunk.
bool offer(chunk_transfer& state, std::uint32_t index, std::string_view bytes);

// Takes what a source sent. Failure: chunks arrive corrupted; what does not
// match its digest is dropped, its source is avoided and another is asked.
bool deliver(
    chunk_transfer& state,
    source_table& book,
    std::uint32_t index,
    std::string bytes,
    base::time_point now);

// Forgets a question for a chunk that has come another way meanwhile.
void withdraw(chunk_transfer& state, source_table& book, std::uint32_t index);

enum class chunk_loss
{
    // The agent does not have it and does not expect it.
    missing,
    // The agent is about to have it.
    not_yet,
    // The source did not answer or failed.
    failed,
};

// A chunk that was asked for will not come from there.
void lose(
    chunk_transfer& state,
    source_table& book,
    std::uint32_t index,
    chunk_loss why,
    base::time_point now);

} // namespace foxtailvale::weights

#endif
