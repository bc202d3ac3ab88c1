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

// Transfer of one version's chunks to one agent: which missing chunk to request
// next from which source, and how to handle responses.
namespace foxtailvale::weights
{

// A chunk that was requested and has not arrived.
struct pending_chunk
{
    chunk_source source;
    base::time_point requested_at;
    // The request went to an agent whose turn to fetch the chunk from the
    // origin comes before this agent's, after this agent's turn had come too.
    bool asks_earlier_fetcher = false;
};

// State of a chunk in the summaries that agents exchange, one character per
// chunk.
inline constexpr char chunk_missing = '0';
inline constexpr char chunk_held = '1';
// The agent fetches the chunk from the origin now or next, and its last fetch
// from the origin did not fail.
inline constexpr char chunk_fetching = '2';

// Result of the last liveness check of an origin fetcher.
struct fetcher_check
{
    base::time_point checked_at;
    bool is_pending = false;
    bool is_unresponsive = false;
};

struct reported_holdings
{
    chunk_source source;
    std::string marks;
    base::time_point reported_at;
};

struct chunk_transfer
{
    // SHA-256 of each chunk.
    std::vector<std::string> digests;
    // Verified bytes; null for chunks that are missing.
    std::vector<chunk_data> chunks;
    std::uint32_t held = 0;
    base::time_point begun;
    std::map<std::uint32_t, pending_chunk> pending;
    // Chunk summaries last received from other agents, by agent name.
    std::map<std::string, reported_holdings> holdings;
    // Liveness checks of origin fetchers, by agent name.
    std::map<std::string, fetcher_check> checks;
    // Agents that responded that they do not have a chunk, and until when that
    // response counts.
    std::map<std::pair<std::uint32_t, std::string>, base::time_point> declined;
};

// The agent that requests chunks, and what it needs to know to find sources.
struct transfer_requester
{
    std::string failure_domain;
    std::string agent;
    // The digest under which the plans list the version.
    std::string label;
    // Agents beside engines that serve the version; only those of the agent's
    // own failure domain if there are any. They hold every chunk, so an agent
    // that is added later requests chunks from them, and neither waits for
    // other new agents nor fetches from the origin.
    std::vector<chunk_source> holders;
};

// Limits on concurrent requests. An agent that does not have a chunk yet holds
// the request until it does, so many chunks are requested at once: a chunk then
// moves along a chain of agents without a pause at any of them. Senders send
// one chunk after the other, so early requests do not congest a link.
struct transfer_limits
{
    // Requests to other agents. Fetches from the origin do not count: a chunk
    // that nobody has fetched yet delays all agents, not only this one.
    std::size_t total = 24;
    std::size_t per_agent = 8;
    // Fetches from the origin. One is enough: overlapping fetches would only
    // hide a round trip of a few milliseconds, and the fetchers together
    // saturate the origin's link.
    std::size_t origin = 1;
};

struct wanted_chunk
{
    std::uint32_t index = 0;
    // The origin when the agent name is empty.
    chunk_source source;
    // Agents below this one in the chunk's tree. A source serves the request
    // with the most waiting agents first.
    std::size_t behind = 0;
};

// `begin` starts a transfer without any chunks. `reuse` copies the chunks that
// another transfer holds: a chunk that did not change between two versions is
// not fetched again.
void begin(
    chunk_transfer& state,
    std::vector<std::string> digests,
    base::time_point now);
void reuse(chunk_transfer& state, chunk_transfer const& other);

bool is_complete(chunk_transfer const& state);

// The chunks that this agent holds or fetches from the origin, in the format of
// `holdings`.
std::string holdings_of(
    chunk_transfer const& state,
    origin_fetch_schedule const& schedule,
    std::string const& agent,
    bool origin_fails);

// Records another agent's chunk summary. Failure: agents die in the middle of a
// burst and the trees change. Without summaries a chunk that some agents hold
// is requested from its ancestors in the tree, which still wait for it
// themselves, and never from the agents that have it.
void note_holdings(
    chunk_transfer& state,
    chunk_source const& agent,
    std::string marks,
    base::time_point now);

// Origin fetchers whose liveness has to be checked now; each is recorded as
// being checked. Substitutes check shortly after the time slot of a chunk that
// has not arrived. Failure: two fetchers died within a second of an
// announcement; without checks the substitutes took more than a second for each
// chunk to notice, and the origin died before they had fetched the chunks.
std::vector<chunk_source> next_liveness_checks(
    chunk_transfer& state,
    plan_set const& plans,
    transfer_requester const& requester,
    origin_fetch_schedule const& schedule,
    base::time_point now);

// Time that a live fetcher has to answer a liveness check.
inline constexpr std::chrono::milliseconds liveness_check_timeout{250};

// Records the result of a liveness check. When the fetcher did not answer, the
// next one in turn fetches its chunks.
void note_liveness_check(
    chunk_transfer& state, std::string const& fetcher, bool is_alive);

// Chunks to request now; each is recorded as pending.
std::vector<wanted_chunk> next_chunk_requests(
    chunk_transfer& state,
    source_table& table,
    plan_set const& plans,
    transfer_requester const& requester,
    origin_fetch_schedule const& schedule,
    transfer_limits const& limits,
    base::time_point now);

// Stores bytes that were obtained without a request; returns false when they do
// not match the chunk's digest.
bool offer(chunk_transfer& state, std::uint32_t index, std::string_view bytes);

// Stores the response of a source; returns false when it does not match the
// chunk's digest. Failure: a chunk arrives corrupted. The bytes are dropped,
// the source is avoided for a while and the chunk is requested again elsewhere.
bool deliver(
    chunk_transfer& state,
    source_table& table,
    std::uint32_t index,
    std::string bytes,
    base::time_point now);

// Cancels the request for a chunk that arrived by other means.
void withdraw(chunk_transfer& state, source_table& table, std::uint32_t index);

enum class chunk_loss
{
    // The source does not have the chunk and does not expect it.
    missing,
    // The source does not have the chunk yet but expects it.
    not_yet,
    // The source did not respond or returned an error.
    failed,
};

// Records that a request for a chunk failed.
void lose(
    chunk_transfer& state,
    source_table& table,
    std::uint32_t index,
    chunk_loss why,
    base::time_point now);

} // namespace foxtailvale::weights

#endif
