#ifndef FOXTAILVALE_GATEWAY_AGENT_CONTEXT_HPP
#define FOXTAILVALE_GATEWAY_AGENT_CONTEXT_HPP

#include <base/ids.hpp>
#include <base/random.hpp>
#include <gateway/connection_pool.hpp>
#include <kernel/metrics.hpp>
#include <platform/engine_calls.hpp>
#include <platform/settings.hpp>
#include <weights/chunk_transfer.hpp>
#include <weights/switch_time.hpp>

#include <boost/asio/io_context.hpp>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace foxtailvale::gateway
{

// A version of the model that this agent holds or fetches.
struct held_version
{
    std::optional<platform::version_manifest> manifest;
    weights::chunk_transfer transfer;
    // Being asked for; tries so far and when the next may begin.
    bool manifest_pending = false;
    std::uint32_t manifest_tries = 0;
    // Who was asked last: "origin" or another agent.
    std::string manifest_source;
    base::time_point manifest_again;
    // When this agent first wanted the version.
    std::optional<base::time_point> wanted;
    // When all chunks were there.
    std::optional<base::time_point> whole;
    // When a chunk last came, or its absence was last told.
    base::time_point last_news;
};

// What the parts of one agent share. Used from the loop only.
struct agent_context
{
    boost::asio::io_context& loop;
    platform::settings settings;
    connection_pool pool;
    kernel::metrics counters;
    base::random_state random;

    // The model that the engine's service serves; empty while unknown.
    std::string model;
    // Versions that were named, oldest first, by model.
    std::map<std::string, std::vector<weights::announced_target>> named;
    // "IP:PORT" of the origin, empty while unknown.
    std::string origin;
    weights::origin_limits origin_bounds;
    // Agents beside engines of the same service, by failure domain.
    weights::plan_set fleet;
    // When they were last listed.
    base::time_point fleet_listed_at;

    // Agents whose engine serves a version whole, by version and domain.
    std::map<
        std::uint64_t,
        std::map<std::string, std::vector<weights::chunk_source>>>
        holders;

    // What the engine last said, while it answers.
    std::optional<platform::engine_report> engine;
    // An order of ours is on its way or being carried out.
    bool switching = false;

    // By version.
    std::map<std::uint64_t, held_version> versions;
    weights::source_table sources;
    // Time from the naming of a version until it was whole here, as last seen.
    std::optional<std::chrono::milliseconds> arrival;

    // Versions before this one are not held any more.
    std::uint64_t oldest_held() const;

    agent_context(
        boost::asio::io_context& event_loop, platform::settings given);
};

// What the configuration says of the engine's service.
struct served_model
{
    std::string model;
    // "IP:PORT" of the origin.
    std::string origin;
    weights::origin_limits limits;
};

void note_served(agent_context& state, served_model const& served);

// Takes a version in that operators named; false when it is not newer than
// those known.
bool note_named(
    agent_context& state,
    std::string const& model,
    weights::announced_target const& target);

// Named versions of the engine's model, oldest first.
std::vector<weights::announced_target> const&
targets_of(agent_context const& state);

// The newest named version; the first when none was named.
std::uint64_t newest_version(agent_context const& state);

// The version that the engine serves whole; zero when it serves none.
std::uint64_t serving_version(agent_context const& state);

// When the engine will take nothing new because it switches; nothing when that
// is not near. Told to entries ahead, so that they send only what will have
// ended by then.
std::optional<base::time_point>
expected_switch(agent_context const& state, base::time_point now);

// Agents of the own failure domain to ask for chunks of a version that half of
// them serve already; none for a version that is still on its way to most.
std::vector<weights::chunk_source>
holders_of(agent_context const& state, std::uint64_t version);

// Who draws the version's chunks from the origin, and when.
weights::origin_fetch_schedule
draws_of(agent_context const& state, std::uint64_t version);

// The version that the engine goes to next, as things stand here.
std::uint64_t next_version(agent_context const& state, base::time_point now);

// Notes which versions have become whole.
void note_whole(agent_context& state, base::time_point now);

// What the decisions on switching go by.
weights::switch_context
switch_ask_of(agent_context const& state, base::time_point now);

} // namespace foxtailvale::gateway

#endif
