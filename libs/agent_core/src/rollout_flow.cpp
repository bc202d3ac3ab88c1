#include "weights_parts.hpp"

#include <algorithm>

namespace foxtailvale::agent_core
{

namespace
{

constexpr std::chrono::milliseconds query_interval{250};

// An agent that has not answered for this long is considered dead. It serves
// nothing, so the roll-out does not wait for it.
constexpr std::chrono::milliseconds unresponsive_timeout{5000};

// Unless the release declares a higher floor, two thirds of a domain's replicas
// continue to serve while the others switch versions.
constexpr std::size_t rollout_divisor = 3;

using endpoint_list = std::vector<control::plan_endpoint const*>;

endpoint_list rollout_order(state const& state, std::string const& digest)
{
    auto const plan = state.control.plans.find(state.self.failure_domain);
    return plan == state.control.plans.end()
               ? endpoint_list{}
               : control::holders(plan->second, digest);
}

// Number of replicas of a domain that may switch at the same time.
std::size_t max_concurrent_moves(
    state const& state, std::string const& model, std::size_t replicas)
{
    auto const released = state.control.configuration.models.find(model);
    auto const floor = released == state.control.configuration.models.end()
                           ? 0
                           : released->second.floor;
    auto const spare = replicas > floor ? replicas - floor : 1;
    return std::clamp<std::size_t>(replicas / rollout_divisor, 1, spare);
}

void send_activation_query(
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

// The agent that must switch before this one; null when there is none.
control::plan_endpoint const* predecessor(
    state const& state,
    control::assigned_model const& wanted,
    std::size_t skipped)
{
    auto const order = rollout_order(state, wanted.digest);
    auto const self = std::ranges::find(
        order, state.self.name, &control::plan_endpoint::agent);
    if (self == order.end())
    {
        return nullptr;
    }
    auto const place = static_cast<std::size_t>(self - order.begin());
    auto const width = max_concurrent_moves(state, wanted.model, order.size());
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

bool may_activate(
    state& state,
    control::assigned_model const& wanted,
    base::time_point now,
    actions& out)
{
    auto& wait = state.weights.activation_waits[wanted.digest];
    auto const* const before = predecessor(state, wanted, wait.skipped);
    auto& overtaken_by = state.weights.overtaken_by[wanted.digest];
    auto const predecessor_done = before == nullptr || wait.predecessor_done;
    if (predecessor_done && overtaken_by.empty())
    {
        return true;
    }
    if (wait.last_heard == base::time_point{})
    {
        wait.last_heard = now;
    }
    // Failure: the agent that is waited for dies during a roll-out, and all
    // agents after it would stay on the old version for good.
    if (now - wait.last_heard > unresponsive_timeout)
    {
        wait.last_heard = now;
        overtaken_by.clear();
        wait.skipped += predecessor_done ? 0 : 1;
        return false;
    }
    if (now - wait.last_queried < query_interval)
    {
        return false;
    }
    wait.last_queried = now;
    if (!predecessor_done)
    {
        send_activation_query(state, *before, wanted, out);
    }
    for (auto const* const agent : rollout_order(state, wanted.digest))
    {
        if (overtaken_by.contains(agent->agent))
        {
            send_activation_query(state, *agent, wanted, out);
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
    // An agent whose chunks are still missing lets later agents switch first
    // and then waits for them in turn, so that the limit on concurrent switches
    // holds.
    auto const passes = !reply->active() &&
                        !weights::is_complete(state.weights.store, digest) &&
                        !state.weights.switching.contains(query.model());
    if (passes)
    {
        reply->set_passes(true);
        state.weights.overtaken_by[digest].insert(peer);
    }
    out.push_back(std::move(message));
}

void on_activation_reply(
    state& state,
    std::string const& peer,
    wire::ActivationReply const& reply,
    base::time_point now)
{
    auto const found = state.weights.activation_waits.find(reply.digest());
    if (found == state.weights.activation_waits.end())
    {
        return;
    }
    auto& wait = found->second;
    wait.last_heard = now;
    if (reply.active())
    {
        state.weights.overtaken_by[reply.digest()].erase(peer);
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
