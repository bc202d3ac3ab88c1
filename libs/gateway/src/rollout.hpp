#ifndef FOXTAILVALE_GATEWAY_ROLLOUT_HPP
#define FOXTAILVALE_GATEWAY_ROLLOUT_HPP

#include "agent_context.hpp"

#include <functional>
#include <set>

namespace foxtailvale::gateway
{

// Brings the engine to the newest named version: manifest, chunks, staging,
// a last look at all that lies staged, the order. Each step is level-driven:
// drive() looks at what is there and begins the next one.
class rollout : public std::enable_shared_from_this<rollout>
{
public:
    explicit rollout(std::shared_ptr<agent_context> shared);

    // Begins what can be begun now. Called at each tick and after each step.
    void drive();

    // Called when a chunk has come.
    std::function<void()> on_chunk;
    // Called when the engine is about to be ordered.
    std::function<void()> on_order;

private:
    bool engine_is_current() const;
    bool is_importer() const;
    void fetch_manifest();
    void take_manifest(platform::version_manifest manifest);
    void ask_origin_for_manifest();
    void recover_staged();
    void recover_next();
    void ask_for_chunks();
    void ask(weights::chunk_ask const& wanted);
    void stage_next();
    bool is_due() const;
    void verify();
    void verify_next();
    void order();
    void settle();

    std::shared_ptr<agent_context> context;
    bool manifest_pending = false;
    base::time_point manifest_again;
    std::uint32_t manifest_tries = 0;
    // Staged chunks of the engine were looked at for this manifest.
    bool recovered = false;
    bool recovering = false;
    std::vector<std::uint32_t> to_recover;
    // Chunks that were put beside the engine, by number.
    std::set<std::uint32_t> staged;
    std::uint64_t staged_born = 0;
    bool staging = false;
    bool verifying = false;
    std::uint32_t verified = 0;
    bool ordering = false;
    base::time_point order_again;
};

} // namespace foxtailvale::gateway

#endif
