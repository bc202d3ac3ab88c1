#include "call.hpp"

#include <gateway/entry_context.hpp>

#include <set>

namespace foxtailvale::gateway
{

namespace
{

// From zero to below one.
double random_fraction(base::random_state& random)
{
    constexpr std::uint64_t steps = 1'000;
    return static_cast<double>(base::random_below(random, steps)) / steps;
}

} // namespace

entry_context::entry_context(
    boost::asio::io_context& event_loop, platform::settings given)
    : loop(event_loop), settings(std::move(given)), pool(event_loop),
      started(std::chrono::steady_clock::now()), random{base::entropy_seed()}
{
    this->book.regions = this->settings.regions;
    this->entry_addresses.insert(this->settings.ip);
    this->suspended = suspended_time();
    this->returns.random.value = base::next_random(this->random);
    this->returns.phase = random_fraction(this->random);
}

std::chrono::milliseconds suspended_time()
{
    auto const running = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::steady_clock::now().time_since_epoch());
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               base::boot_now().since_boot) -
           running;
}

void note_suspend(entry_context& context)
{
    // Tolerance for the time that passes between the two clock reads.
    constexpr std::chrono::milliseconds clock_read_tolerance{50};
    auto const total = suspended_time();
    if (total - context.suspended > clock_read_tolerance)
    {
        auto const suspended = total - context.suspended;
        direct::note_suspended(context.book, suspended);
        scheduling::note_suspended(context.returns, suspended);
        for (auto& [service, load] : context.loads)
        {
            scheduling::note_suspended(load, suspended);
        }
        context.suspended = total;
    }
}

direct::retry_budget&
budget_of(entry_context& context, std::string const& service)
{
    auto& budget = context.retry_budgets[service];
    budget.started = context.started;
    return budget;
}

bool has_agents(entry_context const& context, std::string const& service)
{
    if (!context.configuration)
    {
        return true;
    }
    auto const& known = context.configuration->services;
    auto const found = known.find(service);
    return found != known.end() && found->second.engine;
}

std::set<std::string> agent_domains(entry_context const& context)
{
    std::set<std::string> found;
    for (auto const& [id, state] : context.book.endpoints)
    {
        if (has_agents(context, state.listed.service))
        {
            found.insert(state.listed.failure_domain);
        }
    }
    return found;
}

direct::placement_query query_for(
    entry_context const& context,
    std::string const& name,
    routing::service const& service)
{
    auto const& bounds = context.settings.promised;
    direct::placement_query ask;
    ask.service = name;
    ask.own_domain = context.settings.failure_domain;
    ask.cold.per_second = service.cold_per_second * bounds.cold_factor;
    ask.cold.tolerance = bounds.cold_tolerance;
    ask.entries = direct::entries_per_endpoint(
        direct::sharers(context.entries), ask.cold);
    ask.all_sharers = direct::sharers(context.entries);
    ask.all_entries = &context.entry_addresses;
    ask.own_entry = context.settings.ip;
    ask.choice = context.settings.scheduling.choice;
    ask.read_per_second = service.engine ? service.engine->read_per_second : 0;
    return ask;
}

bool is_divided(entry_context const& context, std::string const& service)
{
    if (!context.configuration)
    {
        return false;
    }
    auto const found = context.configuration->services.find(service);
    return found != context.configuration->services.end() &&
           direct::is_divided(
               context.entry_addresses.size(),
               query_for(context, service, found->second).cold);
}

namespace
{

// Requests are ordered anew before each, as a start changes the service that
// workspaces have received.
void serve_ranked(entry_context& context, std::string const& service)
{
    auto const found = context.ranked.find(service);
    if (found == context.ranked.end())
    {
        return;
    }
    while (auto const next = scheduling::next(found->second.order))
    {
        auto const waiting = found->second.calls.at(next->id);
        if (!waiting->try_waiting())
        {
            // The requests behind this one need the same capacity.
            return;
        }
    }
}

} // namespace

void serve_waiting(entry_context& context, std::string const& service)
{
    serve_ranked(context, service);
    auto const found = context.waiting.find(service);
    if (found == context.waiting.end())
    {
        return;
    }
    // A placed or refused request removes itself from the queue, so the queue
    // is walked by position and not by iterator.
    auto position = queue_position{};
    while (true)
    {
        auto const next = found->second.lower_bound(position);
        if (next == found->second.end())
        {
            return;
        }
        auto const waiting = next->second;
        position = next->first;
        ++position.arrival;
        if (!waiting->try_waiting())
        {
            // The requests behind this one need the same capacity.
            return;
        }
    }
}

void serve_all_waiting(entry_context& context)
{
    std::set<std::string> services;
    for (auto const& [service, queue] : context.waiting)
    {
        if (!queue.empty())
        {
            services.insert(service);
        }
    }
    for (auto const& [service, queue] : context.ranked)
    {
        if (!queue.calls.empty())
        {
            services.insert(service);
        }
    }
    for (auto const& service : services)
    {
        serve_waiting(context, service);
    }
}

} // namespace foxtailvale::gateway
