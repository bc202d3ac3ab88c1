#ifndef FOXTAILVALE_GATEWAY_ENGINE_SWITCH_HPP
#define FOXTAILVALE_GATEWAY_ENGINE_SWITCH_HPP

#include "agent_context.hpp"
#include "switch_sight.hpp"

#include <functional>
#include <set>

namespace foxtailvale::gateway
{

// Brings the engine to a version that the agent holds: puts the chunks beside
// the engine, looks at all that lies there once more, and gives the order.
// drive() looks at what is there and begins the next step, so a lost answer or
// a restarted engine needs no way back of its own.
class engine_switch : public std::enable_shared_from_this<engine_switch>
{
public:
    explicit engine_switch(std::shared_ptr<agent_context> shared);

    // Begins the next step towards the version.
    void drive(std::uint64_t wanted);

    // Reads what lies staged beside the engine into the version's chunks.
    void recover(std::uint64_t version);

    // Whether recover() has been done for the version and this engine.
    bool has_recovered(std::uint64_t version) const;

    // Whether the version's chunks may still be loaded by an order whose answer
    // has not come.
    bool needs(std::uint64_t version) const;

    // Called before an order is given.
    std::function<void()> on_order;
    // Called after each step.
    std::function<void()> on_step;

private:
    void recover_next();
    void forget_staged();
    void stage_next();
    void verify();
    void verify_next();
    void order();
    void settle();
    // An order was given whose answer has not come. Failure: it lay unread at
    // an engine that stood still, the next version was put over the chunks that
    // it was for, and it loaded some of both. The same order is given again
    // until it is answered: its condition then holds for one of them only.
    bool has_unanswered_order() const;
    // Tells the plan of the switch when it is news.
    void note_plan(std::uint64_t version);
    // Fields of a line on the order under way.
    nlohmann::json order_fields() const;
    void note_activated();

    std::shared_ptr<agent_context> context;
    // The version that lies staged, or is being put there, and its chunks.
    std::uint64_t staged_version = 0;
    std::set<std::uint32_t> staged;
    // The engine's start that this holds for.
    std::uint64_t born = 0;
    std::uint64_t recovered = 0;
    bool recovering = false;
    std::vector<std::uint32_t> to_recover;
    bool staging = false;
    bool verifying = false;
    std::uint32_t verified = 0;
    bool ordering = false;
    base::time_point order_again;
    bool unanswered = false;
    std::optional<switch_plan> plan;
    told_plan told;
    // When all chunks lay staged, and when the look at them began.
    std::optional<base::time_point> staged_whole;
    base::time_point look_began;
    // The plan as it was when the order was sent.
    std::optional<switch_plan> ordered;
    base::time_point ordered_at;
};

} // namespace foxtailvale::gateway

#endif
