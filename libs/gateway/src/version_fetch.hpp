#ifndef FOXTAILVALE_GATEWAY_VERSION_FETCH_HPP
#define FOXTAILVALE_GATEWAY_VERSION_FETCH_HPP

#include "agent_context.hpp"

#include <weights/receive_window.hpp>

#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <functional>

namespace foxtailvale::gateway
{

// Fetches manifests and chunks of versions into an agent's memory: from other
// agents where possible, otherwise from the origin.
class version_fetch : public std::enable_shared_from_this<version_fetch>
{
public:
    explicit version_fetch(std::shared_ptr<agent_context> shared);

    // Sends the requests for the version that can be sent now. Without `chunks`
    // only the manifest is fetched.
    void advance(std::uint64_t version, bool chunks);

    // Called when a manifest or a chunk has arrived.
    std::function<void()> on_progress;

private:
    // Where to request the version's manifest now: the address of a peer, empty
    // for the origin; nothing while the request has to wait.
    std::optional<std::string>
    manifest_source(held_version& held, std::uint64_t version) const;
    void fetch_manifest(std::uint64_t version);
    // Asks the origin for the manifest of a version again whose chunks do not
    // match it. Failure: one digest of a manifest had arrived corrupt; its
    // chunk was fetched and refused for ever, by all agents that had the
    // manifest from this one.
    void refetch_manifest(std::uint64_t version);
    // Requests the manifest from the origin or from the peer at the address.
    void request_manifest(
        std::uint64_t version, std::string const& address, bool from_origin);
    void
    on_manifest(std::uint64_t version, std::optional<std::string> const& body);
    void request_chunks(std::uint64_t version);
    // Logs once a second which chunks a transfer is waiting for, and from which
    // sources.
    void log_waiting(std::uint64_t version);
    // A chunk that its source has promised and whose fetch waits for capacity
    // on this agent's link.
    struct ready_chunk
    {
        std::uint64_t version = 0;
        weights::wanted_chunk wanted;
    };

    void
    request_chunk(std::uint64_t version, weights::wanted_chunk const& wanted);
    // Checks whether an agent that fetches from the origin is alive.
    void check_peer(
        std::uint64_t version, weights::chunk_source const& origin_fetcher);
    void fetch_ready();
    void fetch_chunk(ready_chunk const& next);
    // Registers a fetch from another agent and returns its number.
    std::uint64_t register_fetch(ready_chunk const& next);
    // Withdraws fetches that are stuck behind slow links, so that their chunks
    // are requested elsewhere.
    void withdraw_slow_fetches(base::time_point now);
    void on_chunk_failed(ready_chunk const& asked, unsigned status);
    void
    on_chunk(std::uint64_t version, std::uint32_t index, std::string bytes);
    void on_chunk_refused(std::uint64_t version, std::uint32_t index);

    // Withdraws the request and returns true when the chunk has already arrived
    // from another source.
    bool drop_if_held(ready_chunk const& next);
    std::shared_ptr<agent_context> context;
    std::deque<ready_chunk> ready_chunks;
    weights::receive_window receive_queue;
    // Fetches by number, without those that were withdrawn.
    std::map<std::uint64_t, ready_chunk> fetches;
    boost::asio::steady_timer timer;
};

} // namespace foxtailvale::gateway

#endif
