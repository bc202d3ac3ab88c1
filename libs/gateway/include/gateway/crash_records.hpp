#ifndef FOXTAILVALE_GATEWAY_CRASH_RECORDS_HPP
#define FOXTAILVALE_GATEWAY_CRASH_RECORDS_HPP

#include <request/suspects.hpp>

#include <optional>
#include <string>
#include <vector>

// Which requests, and which parts of their prompts, ran at endpoints as these
// crashed, as this entry has seen it and as the other entries have told it.
namespace foxtailvale::wire
{
class CrashNotice;
class CrashRecords;
} // namespace foxtailvale::wire

namespace foxtailvale::gateway
{

struct entry_context;

// The parts in hexadecimal digits, for log lines.
std::vector<std::string> part_names(std::vector<std::uint64_t> const& parts);

// Handles what another entry tells of a crash, or of an answer after which
// crashes have another cause. The reporter is the name of that entry.
void note_crash_notice(
    entry_context& context,
    wire::CrashNotice const& notice,
    std::string const& reporter);

// Records that the request was answered at this time, and tells the other
// entries if it or a part of its prompt had a crash record.
void note_crash_answered(
    entry_context& context,
    request::request_prints const& prints,
    base::time_point at);

// Takes over the records of another entry, with the times of the crashes.
// Returns what that entry is to be told: that some of it was answered since.
// Failure: an entry that started or was cut off as the notices were sent let a
// request crash two more endpoints.
std::optional<wire::CrashNotice> note_crash_records(
    entry_context& context,
    wire::CrashRecords const& records,
    std::string const& reporter);

// Adds the records of what this entry refuses, as many as fit into a datagram,
// others each time when there are more.
void add_suspects(entry_context& context, wire::CrashRecords& records);

// Handles an endpoint that was found to be gone: requests whose answers were
// cut off there shortly before may have crashed it. They are recorded and the
// other entries are notified.
void note_gone(entry_context& context, std::string const& endpoint);

// The same for all endpoints at the IP address, whose agent reports that its
// engine is unreachable.
void note_gone_at(entry_context& context, std::string const& ip);

} // namespace foxtailvale::gateway

#endif
