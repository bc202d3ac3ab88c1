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
    // Whether a manifest request is in flight, how many have failed, and when
    // the next may be sent.
    bool manifest_pending = false;
    std::uint32_t manifest_tries = 0;
    // Source of the last manifest request: "origin" or a peer's address.
    std::string manifest_source;
    base::time_point next_manifest_try;
    // How often each chunk has arrived and did not match the manifest, since
    // the manifest was last received.
    std::map<std::uint32_t, std::uint32_t> refused_chunks;
    // When this agent first needed the version.
    std::optional<base::time_point> wanted_since;
    // When the last missing chunk arrived.
    std::optional<base::time_point> complete_at;
    // When a chunk last arrived, or the missing chunks were last logged.
    base::time_point last_progress;
};

// State shared by the components of one agent. Used only from the event loop's
// thread.
struct agent_context
{
    boost::asio::io_context& loop;
    platform::settings settings;
    connection_pool pool;
    kernel::metrics counters;
    base::random_state random;

    // The model that the engine's service serves; empty until known.
    std::string model;
    // Announced versions by model, oldest first.
    std::map<std::string, std::vector<weights::announced_target>> announced;
    // Address of the origin as "IP:PORT"; empty until known.
    std::string origin;
    weights::origin_limits origin_bounds;
    // Agents beside engines of the same service, by failure domain.
    weights::plan_set fleet;
    // When the fleet was last listed.
    base::time_point fleet_listed_at;

    // Agents whose engine serves a version completely, by version and failure
    // domain.
    std::map<
        std::uint64_t,
        std::map<std::string, std::vector<weights::chunk_source>>>
        holders;

    // The engine's last report; empty while it does not answer.
    std::optional<platform::engine_report> engine;
    // Whether an order from this agent is in flight or being carried out.
    bool switching = false;

    // Held versions and their transfers, by version number.
    std::map<std::uint64_t, held_version> versions;
    weights::source_table sources;
    // Time from the announcement of a version until it was complete here, as
    // measured for the last one.
    std::optional<std::chrono::milliseconds> last_transfer_time;

    // The oldest held version, zero when none is held; versions before it have
    // been dropped.
    std::uint64_t oldest_held() const;

    agent_context(
        boost::asio::io_context& event_loop, platform::settings given);
};

// What the configuration says about the engine's service.
struct served_model
{
    std::string model;
    // Address of the origin as "IP:PORT".
    std::string origin;
    weights::origin_limits limits;
};

void note_served(agent_context& state, served_model const& served);

// Records a version that operators announced. Returns false when it is not
// newer than those already known.
bool add_announced_version(
    agent_context& state,
    std::string const& model,
    weights::announced_target const& target);

// Announced versions of the engine's model, oldest first.
std::vector<weights::announced_target> const&
announced_versions(agent_context const& state);

// The newest announced version; 1 when none was announced.
std::uint64_t newest_version(agent_context const& state);

// The version that the engine serves completely; zero when it serves none.
std::uint64_t serving_version(agent_context const& state);

// When the engine will stop accepting requests for a version switch; empty when
// no switch is near. Reported to the entries in advance, so that they send only
// requests that will have finished by then.
std::optional<base::time_point>
expected_switch(agent_context const& state, base::time_point now);

// Peers in the agent's own failure domain that can be asked for chunks of a
// version, once at least half of them serve it; empty while most of them are
// still receiving it.
std::vector<weights::chunk_source>
chunk_holders(agent_context const& state, std::uint64_t version);

// Which agents fetch the version's chunks from the origin, and when.
weights::origin_fetch_schedule
origin_fetch_schedule(agent_context const& state, std::uint64_t version);

// The version that the engine should switch to next, given what is held now.
std::uint64_t next_version(agent_context const& state, base::time_point now);

// Records the time for each version that has become complete.
void record_complete_versions(agent_context& state, base::time_point now);

// Input for the decisions about version switches.
weights::switch_context
switch_ask_of(agent_context const& state, base::time_point now);

} // namespace foxtailvale::gateway

#endif
