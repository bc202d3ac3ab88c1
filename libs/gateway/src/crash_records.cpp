#include <gateway/crash_records.hpp>
#include <gateway/entry_context.hpp>
#include <kernel/events.hpp>

namespace foxtailvale::gateway
{

namespace
{

using clock = std::chrono::steady_clock;

} // namespace

void note_crash(
    entry_context& context,
    request::fingerprint print,
    std::string const& endpoint,
    std::string const& reporter)
{
    auto const marked =
        request::note_crash(context.suspects, print, endpoint, clock::now());
    kernel::log_event(
        kernel::event_id::crash_recorded,
        {{"fingerprint", print},
         {"endpoint", endpoint},
         {"reporter", reporter},
         {"crashed", request::crashed_endpoints(context.suspects, print)}});
    if (marked)
    {
        kernel::log_event(
            kernel::event_id::suspect_marked,
            {{"fingerprint", print}, {"endpoint", endpoint}});
    }
}

void note_crash_answered(
    entry_context& context,
    request::fingerprint print,
    std::string const& reporter)
{
    auto const crashed = request::crashed_endpoints(context.suspects, print);
    if (crashed == 0)
    {
        return;
    }
    kernel::log_event(
        kernel::event_id::crash_record_cleared,
        {{"fingerprint", print}, {"reporter", reporter}, {"crashed", crashed}});
    request::note_answered(context.suspects, print);
}

void note_gone(entry_context& context, std::string const& endpoint)
{
    for (auto const print :
         direct::take_lost_answers(context.book, endpoint, clock::now()))
    {
        note_crash(context, print, endpoint, context.settings.name);
        context.notify_crash(print, endpoint, false);
    }
}

void note_gone_at(entry_context& context, std::string const& ip)
{
    for (auto const& id : direct::endpoints_at(context.book, ip))
    {
        note_gone(context, id);
    }
}

} // namespace foxtailvale::gateway
