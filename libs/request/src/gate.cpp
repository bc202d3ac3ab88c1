#include <request/gate.hpp>

#include <algorithm>

namespace foxtailvale::request
{

void set_limits(gate& state, std::uint32_t warm, std::uint32_t cold)
{
    state.warm_limit = std::max(warm, 1U);
    state.cold_limit = std::clamp(cold, 1U, state.warm_limit);
    state.limit = std::clamp(state.limit, state.cold_limit, state.warm_limit);
}

base::result<void> admit(gate& state, gate_query const& query)
{
    using base::error_kind;
    if (state.leaving)
    {
        return base::fail(error_kind::endpoint_leaving);
    }
    if (!state.domain_in)
    {
        return base::fail(error_kind::domain_out);
    }
    if (query.wanted_digest != query.serving_digest)
    {
        return base::fail(error_kind::version_mismatch, query.serving_digest);
    }
    if (state.running.size() >= state.limit)
    {
        auto const cold = state.limit < state.warm_limit;
        return base::fail(
            cold ? error_kind::endpoint_cold : error_kind::endpoint_full);
    }
    state.running.insert(query.attempt);
    return boost::outcome_v2::success();
}

void finish(gate& state, base::attempt_id attempt, bool answered)
{
    if (state.running.erase(attempt) == 0 || !answered)
    {
        return;
    }
    // Only the endpoint knows when it is warm. Without this check, two quick
    // answers doubled the limit of an engine that needs eight to be warm; it
    // crashed at the third concurrent request, and all its callers lost their
    // answers.
    if (state.reports_cold)
    {
        return;
    }
    if (state.limit >= state.warm_limit || ++state.answers < state.limit)
    {
        return;
    }
    state.answers = 0;
    state.limit = std::min(state.limit * 2, state.warm_limit);
}

void turn_cold(gate& state, std::string instance)
{
    state.instance = std::move(instance);
    state.limit = state.cold_limit;
    state.answers = 0;
}

} // namespace foxtailvale::request
