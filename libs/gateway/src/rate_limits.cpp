#include <gateway/entry_context.hpp>
#include <gateway/rate_limits.hpp>
#include <kernel/events.hpp>
#include <platform/requests.hpp>
#include <proto/foxtailvale.pb.h>

#include <algorithm>

namespace foxtailvale::gateway
{

namespace
{

using std::chrono::milliseconds;
using clock = std::chrono::steady_clock;

// This many fit into a datagram that no link fragments.
constexpr std::size_t max_limits = 24;

// How long other entries are told again that a limit has ended. One that hears
// nothing for longer asks the endpoint.
constexpr std::chrono::seconds ended_memory{30};

void log_named(
    std::string const& endpoint, double per_second, std::string const& reporter)
{
    kernel::log_event(
        kernel::event_id::rate_limit_named, {{"endpoint", endpoint},
                                             {"per_second", per_second},
                                             {"reporter", reporter}});
}

void log_ended(std::string const& endpoint, std::string const& reporter)
{
    kernel::log_event(
        kernel::event_id::rate_limit_ended,
        {{"endpoint", endpoint}, {"reporter", reporter}});
}

void note_unreadable(entry_context& context, std::string const& endpoint)
{
    context.counters.count("foxtailvale_unreadable_rate_limits_total", {});
    kernel::log_event(
        kernel::event_id::rate_limit_unreadable, {{"endpoint", endpoint}});
}

// Whether this entry was the last to read of the limit, or of an end that was
// not long ago.
bool is_worth_telling(direct::rate_limit const& limit, base::time_point now)
{
    auto const ended_lately = limit.ended_at != base::time_point{} &&
                              now - limit.ended_at < ended_memory;
    return limit.first_hand && (limit.per_second || ended_lately);
}

void add(
    wire::RateLimits& limits,
    std::string const& endpoint,
    direct::rate_limit const& limit,
    base::time_point now)
{
    auto const at = limit.per_second ? limit.named_at : limit.ended_at;
    auto& told = *limits.add_limits();
    told.set_endpoint(endpoint);
    told.set_ended(!limit.per_second);
    told.set_per_second(limit.per_second.value_or(0));
    told.set_age_ms(static_cast<std::uint64_t>(
        std::chrono::duration_cast<milliseconds>(now - at).count()));
}

} // namespace

void note_answered_limit(
    entry_context& context,
    std::string const& endpoint,
    platform::endpoint_head const& answer,
    base::time_point sent)
{
    auto const found = context.book.endpoints.find(endpoint);
    if (found == context.book.endpoints.end())
    {
        return;
    }
    auto const now = clock::now();
    auto& limit = found->second.limit;
    if (answer.is_rate_limit_unreadable)
    {
        note_unreadable(context, endpoint);
    }
    if (answer.rate_limit)
    {
        // What can't be read is no reason to change a limit that could.
        auto const was_known = limit.per_second.has_value();
        auto const named = answer.is_rate_limit_unreadable && was_known
                               ? *limit.per_second
                               : *answer.rate_limit;
        if (direct::note_named(limit, named, now, true))
        {
            log_named(endpoint, named, context.settings.name);
            if (!was_known)
            {
                context.changed_limits.insert(endpoint);
            }
        }
        return;
    }
    // A rejection does not tell whether the endpoint is still in need.
    if (answer.sealed && direct::note_not_named(limit, sent, now))
    {
        log_ended(endpoint, context.settings.name);
        context.changed_limits.insert(endpoint);
    }
}

void note_rate_limits(
    entry_context& context,
    wire::RateLimits const& limits,
    std::string const& reporter)
{
    // Older news are of no use to anybody.
    constexpr auto oldest = static_cast<std::uint64_t>(
        std::chrono::milliseconds(std::chrono::minutes(10)).count());
    auto const now = clock::now();
    for (auto const& told : limits.limits())
    {
        auto const found = context.book.endpoints.find(told.endpoint());
        if (found == context.book.endpoints.end() || told.age_ms() > oldest)
        {
            continue;
        }
        auto const at = now - milliseconds(told.age_ms());
        auto& limit = found->second.limit;
        auto const rate = told.per_second();
        if (told.ended())
        {
            if (direct::note_ended(limit, at))
            {
                log_ended(told.endpoint(), reporter);
            }
        }
        else if (!(rate >= 0 && rate <= platform::max_rate_limit))
        {
            note_unreadable(context, told.endpoint());
        }
        else if (direct::note_named(limit, rate, at, false))
        {
            log_named(told.endpoint(), rate, reporter);
        }
    }
}

void add_changed_limits(entry_context& context, wire::RateLimits& limits)
{
    auto const now = clock::now();
    auto& changed = context.changed_limits;
    while (!changed.empty() &&
           static_cast<std::size_t>(limits.limits_size()) < max_limits)
    {
        auto const found = context.book.endpoints.find(*changed.begin());
        if (found != context.book.endpoints.end() &&
            is_worth_telling(found->second.limit, now))
        {
            add(limits, found->first, found->second.limit, now);
        }
        changed.erase(changed.begin());
    }
}

void add_known_limits(entry_context& context, wire::RateLimits& limits)
{
    auto const now = clock::now();
    std::vector<std::string> worth;
    std::size_t in_force = 0;
    for (auto const& [id, state] : context.book.endpoints)
    {
        in_force += state.limit.per_second ? 1 : 0;
        if (is_worth_telling(state.limit, now))
        {
            worth.push_back(id);
        }
    }
    context.counters.gauge(
        "foxtailvale_rate_limits_in_force", {}, static_cast<double>(in_force));
    if (worth.empty())
    {
        return;
    }
    auto const start = base::random_below(context.random, worth.size());
    for (std::size_t next = 0; next < std::min(max_limits, worth.size());
         ++next)
    {
        auto const& id = worth[(start + next) % worth.size()];
        add(limits, id, context.book.endpoints.at(id).limit, now);
    }
}

} // namespace foxtailvale::gateway
