#ifndef FOXTAILVALE_KERNEL_EVENTS_HPP
#define FOXTAILVALE_KERNEL_EVENTS_HPP

#include <base/error.hpp>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace foxtailvale::kernel
{

// Numbered log events in addition to those of the error table. docs/EVENTS.md
// lists both.
enum class event_id
{
    process_started = 1001,
    process_stopping = 1002,
    process_stopped = 1003,
    settings_refused = 1004,
    settings_reloaded = 1005,
    log_lines_left_out = 1006,
    process_draining = 1007,
    configuration_adopted = 1101,
    plan_adopted = 1102,
    plan_written = 1103,
    lease_taken = 1104,
    lease_lost = 1105,
    platform_lost = 1106,
    platform_back = 1107,
    version_named = 1108,
    watching_began = 1109,
    watching_ended = 1110,
    store_returned = 1111,
    endpoint_unusable = 1112,
    peer_suspected = 1201,
    peer_back = 1202,
    peer_leaving = 1203,
    bad_frame_dropped = 1204,
    transfer_started = 1301,
    transfer_finished = 1302,
    transfer_stopped = 1303,
    chunk_refused = 1304,
    weights_activated = 1305,
    weights_released = 1306,
    engine_order_sent = 1307,
    engine_turned_cold = 1308,
    engine_order_failed = 1309,
    manifest_not_had = 1310,
    draw_failed = 1311,
    transfer_waits = 1312,
    switch_planned = 1313,
    engine_order_accepted = 1314,
    fetcher_silent = 1315,
    staged_reads_outdated = 1316,
    manifest_doubted = 1317,
    request_refused = 1401,
    request_retried = 1402,
    request_failed = 1403,
    late_reply_dropped = 1404,
    suspect_marked = 1405,
    suspect_released = 1406,
    request_answered = 1407,
    request_cut = 1408,
    request_left = 1409,
    request_placed = 1410,
    crash_recorded = 1411,
    crash_record_cleared = 1412,
    rate_limit_named = 1413,
    rate_limit_ended = 1414,
    rate_limit_unreadable = 1415,
    stream_continued = 1416,
    suspect_withdrawn = 1417,
    suspect_probed = 1418,
    rest_asked = 1419,
    endpoint_leaving = 1420,
    retry_settled = 1421,
    attempt_not_run = 1422,
    request_sent_again = 1423,
    answer_skipped = 1424,
    answer_unsent = 1425,
    connection_closed = 1426,
    accept_failed = 1427,
    domain_out = 1501,
    domain_in = 1502,
};

// One row of the event catalogue.
struct event_row
{
    event_id id;
    std::string_view name;
};

// All events of event_id, ordered by number.
std::span<event_row const> event_table();

// Destination of a process's log lines.
enum class log_target
{
    standard_error,
    // Never blocks on the reader: a line is left out if it does not fit into
    // the pipe, or if max_lines_per_second lines of the same event were already
    // written in this second. The event log_lines_left_out reports the number
    // of lines left out, at most once a second.
    standard_output,
};

inline constexpr std::uint32_t max_lines_per_second = 100;

// Sets up logging: the process's log lines are JSON, one object per line. Call
// once, before the first log line.
void start_logging(
    std::string const& process,
    std::string const& level,
    log_target target = log_target::standard_error);

// Writes an event at level INFO. The fields must be a JSON object.
void log_event(event_id id, nlohmann::json fields = nlohmann::json::object());

// Writes an error at level WARN, under the event number of its row in the error
// table.
void log_error(
    base::error const& error, nlohmann::json fields = nlohmann::json::object());

} // namespace foxtailvale::kernel

#endif
