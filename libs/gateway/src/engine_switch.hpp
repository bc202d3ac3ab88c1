#ifndef FOXTAILVALE_GATEWAY_ENGINE_SWITCH_HPP
#define FOXTAILVALE_GATEWAY_ENGINE_SWITCH_HPP

#include "agent_context.hpp"
#include "switch_log.hpp"

#include <weights/staged_verification.hpp>

#include <functional>
#include <set>

namespace foxtailvale::gateway
{

struct fetched;

// Switches the engine to a version that the agent holds: stages the chunks
// beside the engine, verifies all staged chunks shortly before the order, and
// sends it.
// advance() derives the next step from the current state, so lost answers and
// engine restarts need no recovery path of their own.
class engine_switch : public std::enable_shared_from_this<engine_switch>
{
public:
    explicit engine_switch(std::shared_ptr<agent_context> shared);

    // Begins the next step towards the version.
    void advance(std::uint64_t wanted);

    // Reads the chunks that are staged beside the engine into the version's
    // transfer.
    void recover(std::uint64_t version);

    // Whether recover() has finished for the version since the engine's last
    // start.
    bool has_recovered(std::uint64_t version) const;

    // Whether the version must be kept: its staged chunks are being verified,
    // or an order that has not been answered may still load them.
    bool is_in_use(std::uint64_t version) const;

    // Called before an order is sent.
    std::function<void()> on_order;
    // Called after each completed step.
    std::function<void()> on_step;

private:
    void recover_next();
    void reset_staged();
    void discard_verification();
    void stage_next();
    void verify();
    // Reads further staged chunks, or sends the order once all are verified.
    void continue_verification();
    void read_staged(std::uint32_t index);
    void on_staged_read(
        std::uint32_t index,
        weights::read_end end,
        base::boot_time requested_at);
    void log_outdated_reads(char const* found_at);
    void order();
    // Sends the order, unless the reads of the staged chunks are outdated when
    // it is written. Failure: the machine froze between the reads and the
    // write, a chunk became corrupt meanwhile, and the engine loaded it.
    void send_order();
    void on_order_answered(std::optional<fetched> const& response);
    void settle_order();
    // Whether an order was sent and its answer has not come. Failure: the order
    // lay unread at an unresponsive engine while the next version was staged
    // over the chunks that it was for, and the engine then loaded a mixture of
    // both. The same order is therefore sent again until it is answered: its
    // precondition can hold for only one of the copies.
    bool has_unanswered_order() const;
    // Logs the planned switch when it has changed noticeably.
    void log_plan_change(std::uint64_t version);
    // Fields of a log line about the order under way.
    nlohmann::json order_fields() const;
    void record_activation();

    std::shared_ptr<agent_context> context;
    // The version that is staged or being staged, and the indexes of its staged
    // chunks.
    std::uint64_t staged_version = 0;
    std::set<std::uint32_t> staged;
    // Start time of the engine process for which the staged state holds.
    std::uint64_t engine_start_ms = 0;
    std::uint64_t recovered_version = 0;
    bool recovering = false;
    std::vector<std::uint32_t> to_recover;
    bool staging = false;
    // Whether staged chunks are being read, and what the reads have shown since
    // the last order; empty before the first of them.
    bool verifying = false;
    std::shared_ptr<weights::staged_verification> verification;
    bool outdated_reads_logged = false;
    bool ordering = false;
    // Whether the order under way was written to a connection.
    bool order_written = false;
    base::time_point next_order_at;
    bool order_unanswered = false;
    std::optional<switch_plan> plan;
    logged_plan last_logged;
    // When the last chunk was staged, and when their verification began.
    std::optional<base::time_point> staged_complete_at;
    base::time_point verify_began;
    // The plan at the time when the order was sent.
    std::optional<switch_plan> plan_at_order;
    base::time_point ordered_at;
};

} // namespace foxtailvale::gateway

#endif
