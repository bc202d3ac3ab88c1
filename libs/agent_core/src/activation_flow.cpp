#include "weights_parts.hpp"

#include <algorithm>

namespace foxtailvale::agent_core
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds order_timeout{15'000};

// Pause after a refused order: the engine has seen a newer fencing number, so a
// newer plan is on its way, or it is busy.
constexpr milliseconds refusal_pause{1000};

// A new agent's first plan may be an old one from an entry that lags. Entries
// compare plans once a second.
constexpr milliseconds plan_settle_time{2500};

std::uint64_t fencing(state const& state)
{
    auto const found = state.control.plans.find(state.self.failure_domain);
    return found == state.control.plans.end() ? 0 : found->second.version;
}

// Closes or opens the gate of a model and schedules a heartbeat, so that the
// entries learn of it at once.
void close_gate(state& state, std::string const& model)
{
    if (state.weights.switching.insert(model).second)
    {
        state.control.heartbeat_due = true;
    }
}

void open_gate(state& state, std::string const& model)
{
    if (state.weights.switching.erase(model) > 0)
    {
        state.control.heartbeat_due = true;
    }
}

void send_order(
    state& state,
    order_kind kind,
    control::assigned_model const& model,
    base::time_point now,
    actions& out)
{
    close_gate(state, model.model);
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

// Guards against a replaced agent whose first plan is outdated: an engine that
// ignores fencing numbers would be ordered back to old weights.
bool is_settled(state const& state, base::time_point now)
{
    return state.weights.serving.empty() ||
           (state.weights.first_plan &&
            now - *state.weights.first_plan >= plan_settle_time);
}

// Brings one model to the version that the plan wants; true when an order was
// sent. A model that is being served is drained first: its gate closes, its
// running requests end on the old version, and only then the engine gets the
// order.
bool activate_version(
    state& state,
    control::assigned_model const& wanted,
    base::time_point now,
    actions& out)
{
    auto const& model = wanted.model;
    auto const serving = state.weights.serving.find(model);
    auto const is_loaded = serving != state.weights.serving.end();
    if (is_loaded && serving->second == wanted.digest)
    {
        open_gate(state, model);
        return false;
    }
    if (!weights::is_complete(state.weights.store, wanted.digest))
    {
        open_gate(state, model);
        return false;
    }
    if (is_loaded && !state.weights.switching.contains(model) &&
        !may_activate(state, wanted, now, out))
    {
        return false;
    }
    close_gate(state, model);
    if (runs_model(state, model))
    {
        return false;
    }
    send_order(state, order_kind::load, wanted, now, out);
    return true;
}

// Sends at most one order: loads an assigned version that is complete, or
// unloads a model that is no longer assigned.
void order_next_change(state& state, base::time_point now, actions& out)
{
    auto const* const plan_entry = own_plan_entry(state);
    // The engine fetches the weights from this process, which would end
    // meanwhile.
    if (state.control.stopping || plan_entry == nullptr ||
        state.weights.order || !state.self.service.empty() ||
        now < state.weights.order_not_before || !is_settled(state, now))
    {
        return;
    }
    for (auto const& wanted : plan_entry->models)
    {
        if (activate_version(state, wanted, now, out))
        {
            return;
        }
    }
    for (auto const& [model, digest] : state.weights.serving)
    {
        auto const assigned = std::ranges::find(
            plan_entry->models, model, &control::assigned_model::model);
        if (assigned != plan_entry->models.end())
        {
            continue;
        }
        close_gate(state, model);
        if (!runs_model(state, model))
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

bool is_ordered(state const& state, std::string const& digest)
{
    return state.weights.order && state.weights.order->order.digest == digest;
}

void release_unused(state& state, actions& out)
{
    std::vector<std::string> unused;
    for (auto const& [digest, version] : state.weights.store.versions)
    {
        if (!is_assigned(state, digest) && !is_serving(state, digest) &&
            !is_ordered(state, digest))
        {
            unused.push_back(digest);
        }
    }
    for (auto const& digest : unused)
    {
        weights::remove_version(state.weights.store, digest);
        state.weights.activation_waits.erase(digest);
        state.weights.overtaken_by.erase(digest);
        out.push_back(core::write_log{
            kernel::event_id::weights_released, {{"digest", digest}}});
    }
}

// Whether the engine's last report shows the effect of the order.
bool took_effect(state const& state, order_engine const& order)
{
    auto const found = state.weights.serving.find(order.model);
    auto const is_loaded = found != state.weights.serving.end();
    return order.kind == order_kind::load
               ? is_loaded && found->second == order.digest
               : !is_loaded;
}

} // namespace

bool awaits_engine(state const& state)
{
    return state.weights.order && !state.weights.order->answered;
}

void on_order_answered(
    state& state,
    order_answered const& answer,
    base::time_point now,
    actions& out)
{
    auto& order = state.weights.order;
    if (!order || order->order.order != answer.order)
    {
        return;
    }
    // Whether the order took effect is read from the engine's reports, so that
    // a lost answer and a refusal are handled alike. The report in transit may
    // be older than the effect; the one after it is not.
    constexpr int reports_until_known = 2;
    order->answered = true;
    order->reports_awaited = reports_until_known;
    if (answer.failure)
    {
        state.weights.order_not_before = now + refusal_pause;
        out.push_back(core::report_error{*answer.failure, {}});
    }
}

void on_engine_reported(state& state, endpoint_report const& report)
{
    auto& order = state.weights.order;
    if (!order || !report.reachable)
    {
        return;
    }
    auto const settled = order->answered && --order->reports_awaited <= 0;
    if (took_effect(state, order->order) || settled)
    {
        auto const model = order->order.model;
        order.reset();
        open_gate(state, model);
    }
}

void on_activation_tick(state& state, base::time_point now, actions& out)
{
    // Failure: the answer to the order is lost, and possibly the order itself.
    // The gate stays closed while it is unknown which version the engine
    // serves. The order is sent again, which is harmless if the first one
    // arrived.
    auto& order = state.weights.order;
    if (order && !order->answered && now - order->sent > order_timeout)
    {
        out.push_back(core::count_retry{base::error_kind::endpoint_lost});
        order.reset();
    }
    order_next_change(state, now, out);
    release_unused(state, out);
}

} // namespace foxtailvale::agent_core
