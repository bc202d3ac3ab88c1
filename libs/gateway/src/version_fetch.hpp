#ifndef FOXTAILVALE_GATEWAY_VERSION_FETCH_HPP
#define FOXTAILVALE_GATEWAY_VERSION_FETCH_HPP

#include "agent_context.hpp"

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
    bool asks_origin(held_version const& held, std::uint64_t version) const;
    void fetch_manifest(std::uint64_t version);
    void take_manifest(
        std::uint64_t version, std::optional<std::string> const& body);
    void ask_for_chunks(std::uint64_t version);
    void ask(std::uint64_t version, weights::chunk_ask const& wanted);
    void
    take_chunk(std::uint64_t version, std::uint32_t index, std::string bytes);

    std::shared_ptr<agent_context> context;
};

} // namespace foxtailvale::gateway

#endif
