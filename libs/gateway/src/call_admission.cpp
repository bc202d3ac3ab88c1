#include "answer_status.hpp"
#include "call.hpp"

#include <gateway/ranked_admission.hpp>
#include <kernel/events.hpp>

#include <algorithm>
#include <limits>

// Requests to services where ranked admission is in force.
namespace foxtailvale::gateway
{

namespace
{

using base::error_kind;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using clock = std::chrono::steady_clock;

// Of requests within a rank.
constexpr std::uint32_t precedence_goal_expired = 0;
constexpr std::uint32_t precedence_usual = 1;

constexpr std::size_t max_measured_workspaces = 32;

constexpr double us_per_ms = 1000;

double in_ms(microseconds cost)
{
    return static_cast<double>(cost.count()) / us_per_ms;
}

// The queue runs higher priorities first; rank zero is the highest.
std::uint32_t priority_of(std::uint32_t rank)
{
    return std::numeric_limits<std::uint32_t>::max() - rank;
}

scheduling::engine_speed speed_of(routing::service const& service)
{
    if (!service.engine)
    {
        return {};
    }
    auto const& engine = *service.engine;
    return {
        engine.slots,           engine.step,         engine.step_per_request,
        engine.read_per_second, engine.usual_prompt, engine.usual_answer};
}

std::uint32_t
weight_of(entry_context const& context, std::string const& workspace)
{
    auto const& weights = context.settings.scheduling.workspace_weights;
    auto const found = weights.find(workspace);
    return found == weights.end() ? 1 : found->second;
}

// Counts cost by workspace. Callers cannot name workspaces, but a configuration
// may have thousands, and each would be a time series.
void count_workspace(
    entry_context& context, std::string const& workspace, microseconds cost)
{
    auto& measured = context.measured_workspaces;
    if (measured.size() < max_measured_workspaces)
    {
        measured.insert(workspace);
    }
    context.counters.count(
        "foxtailvale_workspace_cost_ms_total",
        {{"workspace", measured.contains(workspace) ? workspace : "other"}},
        in_ms(cost));
}

void note_waiting(entry_context& context, std::string const& service)
{
    scheduling::note_waiting(
        context.loads[service],
        static_cast<std::uint32_t>(context.ranked[service].order.size));
}

} // namespace

void call::begin_ranked()
{
    auto& shared = *this->context;
    if (!is_ranked(shared, this->service_name))
    {
        return;
    }
    auto& own = this->ranked.emplace();
    own.rank = this->allowed.priority;
    own.workspace =
        this->allowed.owner != nullptr ? this->allowed.owner->name : "";
    own.key = scheduling::workspace_key_of(own.workspace);
    own.cost = scheduling::request_cost(
        speed_of(*this->service),
        {this->parsed.prompt_tokens, this->parsed.expected_tokens},
        shared.answer_sizes[this->allowed.chosen->name]);
    own.waiting = {
        .id = ++shared.arrivals,
        .workspace = own.workspace,
        .weight = weight_of(shared, own.workspace),
        .priority = priority_of(own.rank),
        .precedence =
            this->goal_expired ? precedence_goal_expired : precedence_usual,
        .cost = in_ms(own.cost)};
    shared.ranked[this->service_name].order.order =
        scheduling::queue_order::priority_first;
    scheduling::note_offered(
        shared.loads[this->service_name], own.rank, own.key, own.cost,
        clock::now());
}

scheduling::admission_view call::admission_view() const
{
    auto const now = clock::now();
    auto const& shared = *this->context;
    auto const& load = shared.loads.at(this->service_name);
    scheduling::admission_view view;
    view.load = scheduling::totals(load, now);
    view.usual_cost = scheduling::request_cost(
        speed_of(*this->service), {},
        shared.answer_sizes.at(this->allowed.chosen->name));
    view.is_incomplete = now - shared.started < scheduling::load_window &&
                         !scheduling::has_summary(load, now);
    if (scheduling::is_under_pressure(view))
    {
        view.free_slots =
            direct::count_free_slots(shared.book, this->placement(), now);
    }
    return view;
}

bool call::admit_ranked()
{
    auto& own = *this->ranked;
    auto& shared = *this->context;
    auto const decision = scheduling::decide(
        this->admission_view(),
        scheduling::admission_settings_of(shared.settings.scheduling),
        {.rank = own.rank,
         .workspace = own.key,
         .kept_return = this->kept_return},
        shared.random);
    own.level = decision.level;
    shared.counters.gauge(
        "foxtailvale_admission_level",
        {{"service", this->service_name}, {"rank", std::to_string(own.rank)}},
        own.level.rank);
    if (decision.verdict == scheduling::admission_verdict::admit)
    {
        return true;
    }
    this->fail(
        error_kind::queue_full,
        decision.verdict == scheduling::admission_verdict::refuse_workspace
            ? "workspace is over its share"
            : "rank is over its level");
    return false;
}

bool call::yields_to_ranked() const
{
    auto const next =
        scheduling::next(this->context->ranked.at(this->service_name).order);
    auto const& own = this->ranked->waiting;
    return next && std::pair(next->priority, next->precedence) >
                       std::pair(own.priority, own.precedence);
}

void call::wait_ranked()
{
    auto& shared = *this->context;
    auto& queue = shared.ranked[this->service_name];
    auto& own = this->ranked->waiting;
    own.deadline = this->wait_until;
    if (this->sends > 0)
    {
        scheduling::requeue(queue.order, own);
    }
    else
    {
        auto const arrived_at =
            scheduling::arrive(queue.order, own, clock::now());
        if (arrived_at.evicted)
        {
            auto const evicted = queue.calls.at(*arrived_at.evicted);
            evicted->fail(error_kind::queue_full, "evicted by a higher rank");
        }
        if (arrived_at.refused)
        {
            this->fail(*arrived_at.refused, "no capacity in time");
            return;
        }
    }
    queue.calls[own.id] = this->shared_from_this();
    this->is_queued = true;
    note_waiting(shared, this->service_name);
    this->set_timer();
}

void call::leave_ranked()
{
    auto& queue = this->context->ranked[this->service_name];
    scheduling::withdraw(queue.order, this->ranked->waiting);
    queue.calls.erase(this->ranked->waiting.id);
    note_waiting(*this->context, this->service_name);
}

void call::note_ranked_start()
{
    if (!this->ranked || this->ranked->is_started)
    {
        return;
    }
    auto& own = *this->ranked;
    auto& shared = *this->context;
    auto const now = clock::now();
    own.is_started = true;
    scheduling::start(
        shared.ranked[this->service_name].order, own.waiting, now);
    scheduling::note_started(
        shared.loads[this->service_name], own.rank, own.key, own.cost, now);
    count_workspace(shared, own.workspace, own.cost);
    if (this->kept_return)
    {
        scheduling::note_return_started(
            shared.returns, {this->service_name, own.rank}, own.cost, now);
    }
}

void call::note_ranked_refusal(error_kind kind)
{
    if (!this->ranked || this->ranked->is_started ||
        kind == error_kind::suspect_request ||
        kind == error_kind::entry_stopping)
    {
        return;
    }
    auto const& own = *this->ranked;
    scheduling::note_refused(
        this->context->loads[this->service_name], own.rank, own.key, own.cost,
        clock::now());
    this->context->counters.count(
        "foxtailvale_admission_refused_total",
        {{"service", this->service_name},
         {"rank", std::to_string(own.rank)},
         {"reason", std::string(base::row_of(kind).name)}});
    if (this->kept_return)
    {
        this->context->counters.count("foxtailvale_returns_refused_total", {});
    }
}

void call::note_answer_size() const
{
    if (!this->ranked || !this->service->engine || !this->current ||
        !this->current->is_stream || this->current->events_seen == 0)
    {
        return;
    }
    auto const tokens = this->current->events_seen *
                        std::max(1U, this->service->engine->steps_per_pass);
    scheduling::note_answer(
        this->context->answer_sizes[this->allowed.chosen->name], tokens);
}

void call::add_admission(nlohmann::json& fields) const
{
    if (!this->ranked)
    {
        return;
    }
    auto const& own = *this->ranked;
    fields["rank"] = own.rank;
    fields["workspace"] = own.workspace;
    fields["cost_ms"] = in_ms(own.cost);
    fields["level"] = own.level.rank;
    fields["share"] = own.level.workspace;
    if (this->told_return)
    {
        fields["retry_after_ms"] = this->told_return->count();
    }
}

} // namespace foxtailvale::gateway
