#include <gateway/crash_records.hpp>
#include <gateway/entry_context.hpp>
#include <kernel/events.hpp>
#include <proto/foxtailvale.pb.h>

#include <algorithm>
#include <array>
#include <cinttypes>
#include <cstdio>

namespace foxtailvale::gateway
{

namespace
{

using std::chrono::milliseconds;
using clock = std::chrono::steady_clock;

std::uint64_t in_ms(base::duration time)
{
    auto const count = std::chrono::duration_cast<milliseconds>(time).count();
    return static_cast<std::uint64_t>(std::max<std::int64_t>(count, 0));
}

// Times told by another entry; nothing there is older than this.
milliseconds from_ms(std::uint64_t told)
{
    constexpr auto oldest = static_cast<std::uint64_t>(
        milliseconds(request::suspect_part_duration).count());
    return milliseconds(std::min(told, oldest));
}

std::vector<std::uint64_t>
parts_of(google::protobuf::RepeatedField<std::uint64_t> const& told)
{
    return {told.begin(), told.end()};
}

// Logs what became suspect and what is not suspect any more, if anything
// changed since `before` was read.
void log_suspects(
    entry_context const& context, std::set<request::fingerprint> const& before)
{
    auto const& list = context.suspects;
    auto const log = [&list](kernel::event_id event, request::fingerprint print)
    {
        nlohmann::json fields{
            {"fingerprint", print},
            {"crashed", request::crash_count(list, print)}};
        auto const found = list.records.find(print);
        if (found != list.records.end() && found->second.part_position)
        {
            fields["part"] = part_names({print}).front();
        }
        kernel::log_event(event, std::move(fields));
    };
    for (auto const print : list.suspects)
    {
        if (!before.contains(print))
        {
            log(kernel::event_id::suspect_marked, print);
        }
    }
    for (auto const print : before)
    {
        if (!list.suspects.contains(print))
        {
            log(kernel::event_id::suspect_withdrawn, print);
        }
    }
}

void log_crash(
    entry_context const& context,
    request::request_prints const& accused,
    std::string const& endpoint,
    std::string const& reporter)
{
    kernel::log_event(
        kernel::event_id::crash_recorded,
        {{"fingerprint", accused.whole},
         {"parts", part_names(accused.parts)},
         {"endpoint", endpoint},
         {"reporter", reporter},
         {"crashed", request::crash_count(context.suspects, accused.whole)}});
}

void log_cleared(
    std::vector<request::fingerprint> const& cleared,
    std::string const& reporter)
{
    kernel::log_event(
        kernel::event_id::crash_record_cleared,
        {{"fingerprints", cleared}, {"reporter", reporter}});
}

// A notice that these were answered this long ago.
wire::CrashNotice answered_notice(
    std::vector<request::fingerprint> const& prints, base::duration age)
{
    wire::CrashNotice notice;
    notice.set_answered(true);
    notice.set_fingerprint(prints.front());
    notice.mutable_parts()->Assign(prints.begin() + 1, prints.end());
    notice.set_age_ms(in_ms(age));
    return notice;
}

void note_lost(
    entry_context& context,
    std::string const& endpoint,
    request::lost_answer const& lost)
{
    auto const now = clock::now();
    auto const before = context.suspects.suspects;
    auto const accused = request::note_crash(
        context.suspects, lost.prints, {endpoint, lost.sent, lost.ended}, now);
    log_crash(context, accused, endpoint, context.settings.name);
    log_suspects(context, before);
    wire::CrashNotice notice;
    notice.set_fingerprint(accused.whole);
    notice.set_endpoint(endpoint);
    notice.mutable_parts()->Assign(accused.parts.begin(), accused.parts.end());
    notice.set_age_ms(in_ms(now - lost.ended));
    notice.set_run_ms(in_ms(lost.ended - lost.sent));
    context.notify_crash(notice);
}

void add_record(
    entry_context const& context,
    request::fingerprint print,
    wire::CrashRecords& records)
{
    // As many of the last ones as may be needed to find the request suspect.
    constexpr std::size_t max_crashes = 8;
    auto const now = clock::now();
    auto const& known = context.suspects.records.at(print);
    auto& record = *records.add_records();
    record.set_fingerprint(print);
    if (known.part_position)
    {
        record.set_part_position(*known.part_position + 1);
    }
    auto const first =
        known.crashes.size() - std::min(known.crashes.size(), max_crashes);
    for (auto next = first; next < known.crashes.size(); ++next)
    {
        auto const& seen = known.crashes[next].seen;
        auto& crash = *record.add_crashes();
        crash.set_endpoint(seen.endpoint);
        crash.set_age_ms(in_ms(now - seen.ended));
        crash.set_run_ms(in_ms(seen.ended - seen.sent));
    }
}

} // namespace

std::vector<std::string> part_names(std::vector<std::uint64_t> const& parts)
{
    std::vector<std::string> names;
    for (auto const part : parts)
    {
        std::array<char, 17> text{};
        std::snprintf(text.data(), text.size(), "%" PRIx64, part);
        names.emplace_back(text.data());
    }
    return names;
}

void note_crash_notice(
    entry_context& context,
    wire::CrashNotice const& notice,
    std::string const& reporter)
{
    auto const now = clock::now();
    auto const at = now - from_ms(notice.age_ms());
    auto const before = context.suspects.suspects;
    if (!notice.answered())
    {
        request::request_prints const accused{
            notice.fingerprint(), parts_of(notice.parts())};
        request::note_told_crash(
            context.suspects, accused,
            {notice.endpoint(), at - from_ms(notice.run_ms()), at}, now);
        log_crash(context, accused, notice.endpoint(), reporter);
        log_suspects(context, before);
        return;
    }
    auto prints = parts_of(notice.parts());
    prints.push_back(notice.fingerprint());
    for (auto const print : prints)
    {
        request::note_answered(context.suspects, print, at);
    }
    log_cleared(prints, reporter);
    log_suspects(context, before);
}

void note_crash_answered(
    entry_context& context,
    request::request_prints const& prints,
    base::time_point at)
{
    auto const before = context.suspects.suspects;
    auto const cleared = request::note_answered(context.suspects, prints, at);
    if (cleared.empty())
    {
        return;
    }
    log_cleared(cleared, context.settings.name);
    log_suspects(context, before);
    context.notify_crash(answered_notice(cleared, clock::now() - at));
}

std::optional<wire::CrashNotice> note_crash_records(
    entry_context& context,
    wire::CrashRecords const& records,
    std::string const& reporter)
{
    auto const now = clock::now();
    auto const before = context.suspects.suspects;
    std::vector<request::fingerprint> refuted;
    auto answered = now;
    for (auto const& record : records.records())
    {
        request::relayed_crash told;
        told.print = record.fingerprint();
        told.suspect = true;
        if (record.part_position() > 0)
        {
            told.part_position = record.part_position() - 1;
        }
        for (auto const& crash : record.crashes())
        {
            auto const at = now - from_ms(crash.age_ms());
            told.seen = {crash.endpoint(), at - from_ms(crash.run_ms()), at};
            auto const since =
                request::answered_since(context.suspects, told.print, at);
            if (since && !std::ranges::count(refuted, told.print))
            {
                refuted.push_back(told.print);
                answered = std::min(answered, *since);
            }
            if (request::note_relayed_crash(context.suspects, told, now))
            {
                log_crash(
                    context, {told.print, {}}, crash.endpoint(), reporter);
            }
        }
    }
    log_suspects(context, before);
    if (refuted.empty())
    {
        return std::nullopt;
    }
    return answered_notice(refuted, now - answered);
}

void add_suspects(entry_context& context, wire::CrashRecords& records)
{
    // This many crashes fit into a datagram that no link fragments.
    constexpr std::size_t max_crashes = 40;
    auto const known = request::suspects(context.suspects);
    if (known.empty())
    {
        return;
    }
    auto const start = base::random_below(context.random, known.size());
    std::size_t added = 0;
    for (std::size_t next = 0; next < known.size() && added < max_crashes;
         ++next)
    {
        auto const print = known[(start + next) % known.size()];
        add_record(context, print, records);
        auto const& last = records.records(records.records_size() - 1);
        added += static_cast<std::size_t>(last.crashes_size());
    }
}

void note_gone(entry_context& context, std::string const& endpoint)
{
    auto const lost_answers = request::take_lost_answers(
        context.lost_answers, endpoint, clock::now());
    for (auto const& lost : lost_answers)
    {
        note_lost(context, endpoint, lost);
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
