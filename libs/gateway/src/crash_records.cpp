#include <gateway/crash_records.hpp>
#include <gateway/entry_context.hpp>
#include <kernel/events.hpp>
#include <proto/foxtailvale.pb.h>

#include <algorithm>

namespace foxtailvale::gateway
{

namespace
{

using std::chrono::milliseconds;
using clock = std::chrono::steady_clock;

// Logs the record of a crash, and that the request became suspect by it.
void log_crash(
    entry_context const& context,
    request::fingerprint print,
    std::string const& endpoint,
    std::string const& reporter,
    bool was_suspect)
{
    kernel::log_event(
        kernel::event_id::crash_recorded,
        {{"fingerprint", print},
         {"endpoint", endpoint},
         {"reporter", reporter},
         {"crashed", request::crashed_endpoints(context.suspects, print)}});
    if (!was_suspect && request::is_suspect(context.suspects, print))
    {
        kernel::log_event(
            kernel::event_id::suspect_marked,
            {{"fingerprint", print}, {"endpoint", endpoint}});
    }
}

} // namespace

void note_crash(
    entry_context& context,
    request::fingerprint print,
    std::string const& endpoint,
    std::string const& reporter)
{
    auto const before = request::is_suspect(context.suspects, print);
    request::note_crash(context.suspects, print, endpoint, clock::now());
    log_crash(context, print, endpoint, reporter, before);
}

void note_crash_records(
    entry_context& context,
    wire::CrashRecords const& records,
    std::string const& reporter)
{
    auto const now = clock::now();
    constexpr auto oldest = static_cast<std::uint64_t>(
        milliseconds(request::suspect_duration).count());
    for (auto const& record : records.records())
    {
        for (auto const& crash : record.crashes())
        {
            auto const print = record.fingerprint();
            auto const age = milliseconds(std::min(crash.age_ms(), oldest));
            auto const before = request::is_suspect(context.suspects, print);
            if (request::note_relayed_crash(
                    context.suspects, print, crash.endpoint(), now - age, now))
            {
                log_crash(context, print, crash.endpoint(), reporter, before);
            }
        }
    }
}

void add_suspects(entry_context& context, wire::CrashRecords& records)
{
    // This many fit into a datagram that no link fragments.
    constexpr std::size_t max_records = 16;
    auto const known = request::suspects(context.suspects);
    if (known.empty())
    {
        return;
    }
    auto const now = clock::now();
    auto const start = base::random_below(context.random, known.size());
    for (std::size_t next = 0; next < std::min(max_records, known.size());
         ++next)
    {
        auto const print = known[(start + next) % known.size()];
        auto& record = *records.add_records();
        record.set_fingerprint(print);
        for (auto const& [endpoint, at] :
             context.suspects.records.at(print).endpoints)
        {
            if (static_cast<std::size_t>(record.crashes_size()) ==
                request::min_crashed_endpoints)
            {
                break;
            }
            auto& crash = *record.add_crashes();
            crash.set_endpoint(endpoint);
            crash.set_age_ms(static_cast<std::uint64_t>(
                std::chrono::duration_cast<milliseconds>(now - at).count()));
        }
    }
}

void note_crash_answered(
    entry_context& context,
    request::fingerprint print,
    std::string const& reporter)
{
    auto const crashed = request::crashed_endpoints(context.suspects, print);
    if (crashed > 0)
    {
        kernel::log_event(
            kernel::event_id::crash_record_cleared, {{"fingerprint", print},
                                                     {"reporter", reporter},
                                                     {"crashed", crashed}});
    }
    request::note_answered(context.suspects, print, clock::now());
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
