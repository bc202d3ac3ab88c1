#include "endpoint_notes.hpp"

#include <direct/endpoint_rest.hpp>
#include <direct/leaving_endpoints.hpp>
#include <gateway/entry_context.hpp>
#include <kernel/events.hpp>
#include <platform/requests.hpp>

namespace foxtailvale::gateway
{

namespace
{

using clock = std::chrono::steady_clock;

void note_asked_rest(
    entry_context& context,
    std::string const& endpoint,
    platform::endpoint_head const& answer)
{
    direct::note_rest(context.book, endpoint, *answer.rest, clock::now());
    context.counters.count("foxtailvale_rests_asked_total", {});
    nlohmann::json fields{
        {"endpoint", endpoint}, {"rest_ms", answer.rest->count()}};
    if (answer.is_rest_unreadable)
    {
        fields["unreadable"] = true;
    }
    kernel::log_event(kernel::event_id::rest_asked, std::move(fields));
}

} // namespace

void note_answer_head(
    entry_context& context,
    std::string const& endpoint,
    platform::endpoint_head const& answer)
{
    if (answer.rest)
    {
        note_asked_rest(context, endpoint, answer);
    }
    if (answer.leaving &&
        direct::note_leaving(context.book, endpoint, clock::now()))
    {
        kernel::log_event(
            kernel::event_id::endpoint_leaving, {{"endpoint", endpoint}});
    }
}

} // namespace foxtailvale::gateway
