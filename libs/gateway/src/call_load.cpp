#include "call.hpp"

#include <gateway/ranked_admission.hpp>

// Counts the request in the load of its service.
namespace foxtailvale::gateway
{

namespace
{

using clock = std::chrono::steady_clock;

scheduling::engine_speed
speed_of(std::optional<routing::engine_costs> const& costs)
{
    if (!costs)
    {
        return {};
    }
    return {
        .slots = costs->slots,
        .step = costs->step,
        .step_per_request = costs->step_per_request,
        .read_per_second = costs->read_per_second,
        .usual_prompt = costs->usual_prompt,
        .usual_answer = costs->usual_answer};
}

} // namespace

void call::note_offered()
{
    this->is_ranked = gateway::is_ranked(*this->context, this->service_name);
    if (!this->is_ranked)
    {
        return;
    }
    this->cost = scheduling::request_cost(
        speed_of(this->service->engine),
        {this->parsed.prompt_tokens, this->parsed.expected_tokens});
    this->workspace = scheduling::workspace_key_of(
        this->allowed.owner != nullptr ? this->allowed.owner->name : "");
    scheduling::note_offered(
        this->context->loads[this->service_name], this->allowed.priority,
        this->workspace, this->cost, clock::now());
}

void call::note_started()
{
    if (!this->is_ranked)
    {
        return;
    }
    auto const now = clock::now();
    scheduling::note_started(
        this->context->loads[this->service_name], this->allowed.priority,
        this->workspace, this->cost, now);
    if (this->kept_return)
    {
        scheduling::note_return_started(
            this->context->returns,
            {this->service_name, this->allowed.priority}, this->cost, now);
    }
}

void call::note_refused()
{
    // A request that was sent to an endpoint is counted as started.
    if (!this->is_ranked || this->sends > 0)
    {
        return;
    }
    scheduling::note_refused(
        this->context->loads[this->service_name], this->allowed.priority,
        this->workspace, this->cost, clock::now());
    if (this->kept_return)
    {
        this->context->counters.count("foxtailvale_returns_refused_total", {});
    }
}

void call::note_queue_length() const
{
    if (!this->is_ranked)
    {
        return;
    }
    auto const& queue = this->context->waiting[this->service_name];
    scheduling::note_waiting(
        this->context->loads[this->service_name],
        static_cast<std::uint32_t>(queue.size()));
}

} // namespace foxtailvale::gateway
