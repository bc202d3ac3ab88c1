#ifndef FOXTAILVALE_GATEWAY_VERSION_FETCH_HPP
#define FOXTAILVALE_GATEWAY_VERSION_FETCH_HPP

#include "agent_context.hpp"

#include <weights/receive_window.hpp>

#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <functional>

namespace foxtailvale::gateway
{

// Gets manifests and chunks of versions into an agent's memory, from other
// agents where it can and from the origin where it must.
class version_fetch : public std::enable_shared_from_this<version_fetch>
{
public:
    explicit version_fetch(std::shared_ptr<agent_context> shared);

    // Begins what can be begun now for the version. Without `chunks` only the
    // manifest is fetched.
    void drive(std::uint64_t version, bool chunks);

    // Called when a manifest or a chunk has come.
    std::function<void()> on_progress;

private:
    // Whom to ask for the version's manifest now; empty for the origin, nothing
    // while it has to wait.
    std::optional<std::string>
    manifest_source(held_version& held, std::uint64_t version) const;
    void fetch_manifest(std::uint64_t version);
    void take_manifest(
        std::uint64_t version, std::optional<std::string> const& body);
    void ask_for_chunks(std::uint64_t version);
    // Says once a second which chunks a transfer waits for, and from whom.
    void tell_waiting(std::uint64_t version);
    // A chunk that its source holds and that waits for room on the own link.
    struct ready_chunk
    {
        std::uint64_t version = 0;
        weights::wanted_chunk wanted;
    };

    void ask(std::uint64_t version, weights::wanted_chunk const& wanted);
    // Asks an agent that draws from the origin whether it lives.
    void check(std::uint64_t version, weights::chunk_source const& drawer);
    void fetch_ready();
    void fetch_chunk(ready_chunk const& next);
    // Numbers a fetch from another agent.
    std::uint64_t begin(ready_chunk const& next);
    // Asks elsewhere for chunks that stand before squeezed links.
    void leave_squeezed(base::time_point now);
    void lose(ready_chunk const& asked, unsigned status);
    void
    take_chunk(std::uint64_t version, std::uint32_t index, std::string bytes);

    // The chunk has come another way; the question for it is forgotten.
    bool is_held(ready_chunk const& next);
    std::shared_ptr<agent_context> context;
    std::deque<ready_chunk> ready;
    weights::receive_window line;
    // Fetches whose chunk is not asked for elsewhere, by number.
    std::map<std::uint64_t, ready_chunk> fetches;
    boost::asio::steady_timer timer;
};

} // namespace foxtailvale::gateway

#endif
