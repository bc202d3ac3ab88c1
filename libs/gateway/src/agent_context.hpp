#ifndef FOXTAILVALE_GATEWAY_AGENT_CONTEXT_HPP
#define FOXTAILVALE_GATEWAY_AGENT_CONTEXT_HPP

#include <base/ids.hpp>
#include <base/random.hpp>
#include <kernel/metrics.hpp>
#include <weights/chunk_transfer.hpp>

#include <boost/asio/io_context.hpp>
#include <gateway/connection_pool.hpp>
#include <platform/engine_calls.hpp>
#include <platform/settings.hpp>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace foxtailvale::gateway
{

// A version that operators named, and when this agent learned of it.
struct target_version
{
    std::uint64_t version = 0;
    base::time_point named;
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
    // Versions of it that were named, oldest first.
    std::vector<target_version> targets;
    // "IP:PORT" of the origin; empty while unknown.
    std::string origin;
    // Agents beside engines of the same service, by failure domain.
    weights::plan_set fleet;

    // What the engine last said, while it answers.
    std::optional<platform::engine_report> engine;
    // An order of ours is on its way or being carried out.
    bool switching = false;

    // The version whose chunks are held or fetched.
    std::optional<platform::version_manifest> manifest;
    weights::chunk_transfer transfer;
    weights::source_book sources;

    agent_context(boost::asio::io_context& event_loop, platform::settings given)
        : loop(event_loop), settings(std::move(given)),
          pool(event_loop), random{base::entropy_seed()}
    {
    }
};

// The newest named version; the first when none was named.
inline std::uint64_t newest_version(agent_context const& state)
{
    return state.targets.empty() ? 1 : state.targets.back().version;
}

} // namespace foxtailvale::gateway

#endif
