#include "weights_parts.hpp"

#include <algorithm>

namespace foxtailvale::agent_core
{

namespace
{

constexpr std::chrono::milliseconds ask_interval{250};

// An agent that has not answered for this long is gone; it serves nothing, so
// its move need not be waited for.
constexpr std::chrono::milliseconds silence_limit{5000};

// Where the release declares no higher floor, two thirds of a domain's
// replicas go on serving while the others move.
constexpr std::size_t moving_part = 3;

using ring = std::vector<control::plan_endpoint const*>;

ring movers(state const& state, std::string const& digest)
{
    auto const plan = state.control.plans.find(state.self.failure_domain);
    return plan == state.control.plans.end()
               ? ring{}
               : control::holders(plan->second, digest);
}

// Replicas of a domain that may move at once.
std::size_t moves_at_once(
    state const& state, std::string const& model, std::size_t replicas)
{
    auto const released = state.control.configuration.models.find(model);
    auto const floor = released == state.control.configuration.models.end()
                           ? 0
                           : released->second.floor;
    auto const spare = replicas > floor ? replicas - floor : 1;
    return std::clamp<std::size_t>(replicas / moving_part, 1, spare);
}

void ask(
    state& state,
    control::plan_endpoint const& agent,
    control::assigned_model const& wanted,
    actions& out)
{
    connect_source(state, {agent.agent, agent.address}, out);
    core::send_message message{agent.agent, {}};
    auto* const query = message.envelope.mutable_activation_query();
    query->set_model(wanted.model);
    query->set_digest(wanted.digest);
    out.push_back(std::move(message));
}

// The agent that must have moved before this one; nothing when there is none.
control::plan_endpoint const* predecessor(
    state const& state,
    control::assigned_model const& wanted,
    std::size_t skipped)
{
    auto const order = movers(state, wanted.digest);
    auto const self = std::ranges::find(
        order, state.self.name, &control::plan_endpoint::agent);
    if (self == order.end())
    {
        return nullptr;
    }
    auto const place = static_cast<std::size_t>(self - order.begin());
    auto const width = moves_at_once(state, wanted.model, order.size());
    auto const distance = width * (skipped + 1);
    return place < distance ? nullptr : order[place - distance];
}

bool serves(
    state const& state, std::string const& model, std::string const& digest)
{
    auto const found = state.weights.serving.find(model);
    return found != state.weights.serving.end() && found->second == digest &&
           !state.weights.switching.contains(model);
}

} // namespace

bool may_move(
    state& state,
    control::assigned_model const& wanted,
    base::time_point now,
    actions& out)
{
    auto& wait = state.weights.waits[wanted.digest];
    auto const* const before = predecessor(state, wanted, wait.skipped);
    auto& passed = state.weights.passed[wanted.digest];
    auto const predecessor_done = before == nullptr || wait.predecessor_done;
    if (predecessor_done && passed.empty())
    {
        return true;
    }
    if (wait.heard == base::time_point{})
    {
        wait.heard = now;
    }
    // Failure: the agent waited for died in the middle of a roll-out, and all
    // behind it would keep the old version for good.
    if (now - wait.heard > silence_limit)
    {
        wait.heard = now;
        passed.clear();
        wait.skipped += predecessor_done ? 0 : 1;
        return false;
    }
    if (now - wait.asked < ask_interval)
    {
        return false;
    }
    wait.asked = now;
    if (!predecessor_done)
    {
        ask(state, *before, wanted, out);
    }
    for (auto const* const agent : movers(state, wanted.digest))
    {
        if (passed.contains(agent->agent))
        {
            ask(state, *agent, wanted, out);
        }
    }
    return false;
}

void on_activation_query(
    state& state,
    std::string const& peer,
    wire::ActivationQuery const& query,
    actions& out)
{
    auto const& digest = query.digest();
    core::send_message message{peer, {}};
    auto* const reply = message.envelope.mutable_activation_reply();
    reply->set_model(query.model());
    reply->set_digest(digest);
    reply->set_active(serves(state, query.model(), digest));
    // An agent whose own chunks are late lets those behind it go first and
    // waits for them in turn, so that no more move at once than may.
    auto const passes = !reply->active() &&
                        !weights::is_complete(state.weights.store, digest) &&
                        !state.weights.switching.contains(query.model());
    if (passes)
    {
        reply->set_passes(true);
        state.weights.passed[digest].insert(peer);
    }
    out.push_back(std::move(message));
}

void on_activation_reply(
    state& state,
    std::string const& peer,
    wire::ActivationReply const& reply,
    base::time_point now)
{
    auto const found = state.weights.waits.find(reply.digest());
    if (found == state.weights.waits.end())
    {
        return;
    }
    auto& wait = found->second;
    wait.heard = now;
    if (reply.active())
    {
        state.weights.passed[reply.digest()].erase(peer);
    }
    auto const* const before =
        predecessor(state, {reply.model(), reply.digest()}, wait.skipped);
    if (before != nullptr && before->agent == peer &&
        (reply.active() || reply.passes()))
    {
        wait.predecessor_done = true;
    }
}

} // namespace foxtailvale::agent_core
