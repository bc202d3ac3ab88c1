#include "flows.hpp"
#include "weights_parts.hpp"

#include <algorithm>

namespace foxtailvale::agent_core
{

namespace
{

constexpr std::chrono::milliseconds order_timeout{15'000};

std::uint64_t fencing(state const& state)
{
    auto const found = state.control.plans.find(state.self.failure_domain);
    return found == state.control.plans.end() ? 0 : found->second.version;
}

void send_order(
    state& state,
    order_kind kind,
    control::assigned_model const& model,
    base::time_point now,
    actions& out)
{
    order_engine const order{
        ++state.weights.last_order, kind, model.model, model.digest,
        fencing(state)};
    state.weights.order = pending_order{order, now};
    out.push_back(order);
    out.push_back(core::write_log{
        kernel::event_id::engine_order_sent,
        {{"kind", kind == order_kind::load ? "load" : "unload"},
         {"model", model.model},
         {"digest", model.digest},
         {"fencing", order.fencing}}});
}

bool runs_model(state const& state, std::string const& model)
{
    return std::ranges::any_of(
        state.requests.running,
        [&model](auto const& entry)
        {
            return entry.second.model == model;
        });
}

// One order at a time: load what is assigned and whole, unload what is no
// longer assigned. A model moves to another digest only between requests, so
// that no answer comes from two versions.
void order_difference(state& state, base::time_point now, actions& out)
{
    auto const* const part = own_part(state);
    if (part == nullptr || state.weights.order || !state.self.service.empty())
    {
        return;
    }
    for (auto const& wanted : part->models)
    {
        auto const serving = state.weights.serving.find(wanted.model);
        auto const there = serving != state.weights.serving.end();
        if (there && serving->second == wanted.digest)
        {
            continue;
        }
        if (weights::is_whole(state.weights.store, wanted.digest) &&
            !(there && runs_model(state, wanted.model)))
        {
            send_order(state, order_kind::load, wanted, now, out);
            return;
        }
    }
    for (auto const& [model, digest] : state.weights.serving)
    {
        auto const assigned = std::ranges::find(
            part->models, model, &control::assigned_model::model);
        if (assigned == part->models.end() && !runs_model(state, model))
        {
            send_order(state, order_kind::unload, {model, digest}, now, out);
            return;
        }
    }
}

bool is_serving(state const& state, std::string const& digest)
{
    return std::ranges::any_of(
        state.weights.serving,
        [&digest](auto const& entry)
        {
            return entry.second == digest;
        });
}

void release_unused(state& state, actions& out)
{
    std::vector<std::string> unused;
    for (auto const& [digest, version] : state.weights.store.versions)
    {
        if (!is_assigned(state, digest) && !is_serving(state, digest))
        {
            unused.push_back(digest);
        }
    }
    for (auto const& digest : unused)
    {
        weights::remove_version(state.weights.store, digest);
        out.push_back(core::write_log{
            kernel::event_id::weights_released, {{"digest", digest}}});
    }
}

} // namespace

void on_order_answered(state& state, order_answered const& answer, actions& out)
{
    if (!state.weights.order ||
        state.weights.order->order.order != answer.order)
    {
        return;
    }
    // Whether it took effect is read from the engine's next report, so that a
    // lost answer and a refusal end the same way.
    state.weights.order.reset();
    if (answer.failure)
    {
        out.push_back(core::report_error{*answer.failure, {}});
    }
}

void on_activation_tick(state& state, base::time_point now, actions& out)
{
    auto& order = state.weights.order;
    if (order && now - order->sent > order_timeout)
    {
        order.reset();
    }
    order_difference(state, now, out);
    release_unused(state, out);
}

} // namespace foxtailvale::agent_core
