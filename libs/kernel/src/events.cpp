#include "nonblocking_appender.hpp"

#include <kernel/events.hpp>
#include <kernel/log_budget.hpp>

#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>
#include <unistd.h>

#include <algorithm>
#include <array>

namespace foxtailvale::kernel
{

namespace
{

constexpr std::array catalogue{
    event_row{event_id::process_started, "process_started"},
    event_row{event_id::process_stopping, "process_stopping"},
    event_row{event_id::process_stopped, "process_stopped"},
    event_row{event_id::settings_refused, "settings_refused"},
    event_row{event_id::settings_reloaded, "settings_reloaded"},
    event_row{event_id::log_lines_left_out, "log_lines_left_out"},
    event_row{event_id::process_draining, "process_draining"},
    event_row{event_id::configuration_adopted, "configuration_adopted"},
    event_row{event_id::plan_adopted, "plan_adopted"},
    event_row{event_id::plan_written, "plan_written"},
    event_row{event_id::lease_taken, "lease_taken"},
    event_row{event_id::lease_lost, "lease_lost"},
    event_row{event_id::platform_lost, "platform_lost"},
    event_row{event_id::platform_back, "platform_back"},
    event_row{event_id::version_named, "version_named"},
    event_row{event_id::watching_began, "watching_began"},
    event_row{event_id::watching_ended, "watching_ended"},
    event_row{event_id::store_returned, "store_returned"},
    event_row{event_id::endpoint_unusable, "endpoint_unusable"},
    event_row{event_id::peer_suspected, "peer_suspected"},
    event_row{event_id::peer_back, "peer_back"},
    event_row{event_id::peer_leaving, "peer_leaving"},
    event_row{event_id::bad_frame_dropped, "bad_frame_dropped"},
    event_row{event_id::transfer_started, "transfer_started"},
    event_row{event_id::transfer_finished, "transfer_finished"},
    event_row{event_id::transfer_stopped, "transfer_stopped"},
    event_row{event_id::chunk_refused, "chunk_refused"},
    event_row{event_id::weights_activated, "weights_activated"},
    event_row{event_id::weights_released, "weights_released"},
    event_row{event_id::engine_order_sent, "engine_order_sent"},
    event_row{event_id::engine_turned_cold, "engine_turned_cold"},
    event_row{event_id::engine_order_failed, "engine_order_failed"},
    event_row{event_id::manifest_not_had, "manifest_not_had"},
    event_row{event_id::draw_failed, "draw_failed"},
    event_row{event_id::transfer_waits, "transfer_waits"},
    event_row{event_id::switch_planned, "switch_planned"},
    event_row{event_id::engine_order_accepted, "engine_order_accepted"},
    event_row{event_id::fetcher_silent, "fetcher_silent"},
    event_row{event_id::staged_reads_outdated, "staged_reads_outdated"},
    event_row{event_id::manifest_doubted, "manifest_doubted"},
    event_row{event_id::request_refused, "request_refused"},
    event_row{event_id::request_retried, "request_retried"},
    event_row{event_id::request_failed, "request_failed"},
    event_row{event_id::late_reply_dropped, "late_reply_dropped"},
    event_row{event_id::suspect_marked, "suspect_marked"},
    event_row{event_id::suspect_released, "suspect_released"},
    event_row{event_id::request_answered, "request_answered"},
    event_row{event_id::request_cut, "request_cut"},
    event_row{event_id::request_left, "request_left"},
    event_row{event_id::request_placed, "request_placed"},
    event_row{event_id::crash_recorded, "crash_recorded"},
    event_row{event_id::crash_record_cleared, "crash_record_cleared"},
    event_row{event_id::rate_limit_named, "rate_limit_named"},
    event_row{event_id::rate_limit_ended, "rate_limit_ended"},
    event_row{event_id::rate_limit_unreadable, "rate_limit_unreadable"},
    event_row{event_id::stream_continued, "stream_continued"},
    event_row{event_id::suspect_withdrawn, "suspect_withdrawn"},
    event_row{event_id::suspect_probed, "suspect_probed"},
    event_row{event_id::rest_asked, "rest_asked"},
    event_row{event_id::endpoint_leaving, "endpoint_leaving"},
    event_row{event_id::retry_settled, "retry_settled"},
    event_row{event_id::attempt_not_run, "attempt_not_run"},
    event_row{event_id::request_sent_again, "request_sent_again"},
    event_row{event_id::answer_skipped, "answer_skipped"},
    event_row{event_id::answer_unsent, "answer_unsent"},
    event_row{event_id::connection_closed, "connection_closed"},
    event_row{event_id::accept_failed, "accept_failed"},
    event_row{event_id::domain_out, "domain_out"},
    event_row{event_id::domain_in, "domain_in"},
};

std::string& process_name()
{
    static std::string name;
    return name;
}

log4cxx::LoggerPtr const& logger()
{
    static log4cxx::LoggerPtr const instance =
        log4cxx::Logger::getLogger("foxtailvale");
    return instance;
}

std::string
format_line(int event_number, std::string_view name, nlohmann::json fields)
{
    fields["event"] = event_number;
    fields["name"] = name;
    fields["process"] = process_name();
    return fields.dump(
        -1, ' ', false, nlohmann::json::error_handler_t::replace);
}

log_budget& budget()
{
    static log_budget instance;
    return instance;
}

bool& is_rate_limited()
{
    static bool rate_limited = false;
    return rate_limited;
}

// Whether a line of this event may be written now. On the first call of a new
// second, also logs how many lines were left out before.
bool may_write(int event_number)
{
    if (!is_rate_limited())
    {
        return true;
    }
    auto const decision =
        admit_line(budget(), event_number, std::chrono::steady_clock::now());
    if (decision.left_out_lines > 0)
    {
        auto const text = format_line(
            static_cast<int>(event_id::log_lines_left_out),
            "log_lines_left_out",
            {{"lines", decision.left_out_lines + unwritten_lines()}});
        LOG4CXX_WARN(logger(), text);
    }
    return decision.may_write;
}

} // namespace

std::span<event_row const> event_table()
{
    return catalogue;
}

void start_logging(
    std::string const& process, std::string const& level, log_target target)
{
    process_name() = process;
    auto const layout = std::make_shared<log4cxx::PatternLayout>(
        "{\"time\":\"%d{yyyy-MM-ddTHH:mm:ss.SSSZ}\",\"level\":\"%p\","
        "\"body\":%m}%n");
    is_rate_limited() = target == log_target::standard_output;
    log4cxx::AppenderPtr const appender =
        is_rate_limited()
            ? make_nonblocking_appender(STDOUT_FILENO, layout)
            : std::make_shared<log4cxx::ConsoleAppender>(
                  layout, log4cxx::ConsoleAppender::getSystemErr());
    logger()->removeAllAppenders();
    logger()->addAppender(appender);
    logger()->setAdditivity(false);
    logger()->setLevel(log4cxx::Level::toLevel(level));
}

void log_event(event_id id, nlohmann::json fields)
{
    if (!may_write(static_cast<int>(id)))
    {
        return;
    }
    auto const found = std::ranges::find(catalogue, id, &event_row::id);
    auto const text =
        format_line(static_cast<int>(id), found->name, std::move(fields));
    LOG4CXX_INFO(logger(), text);
}

void log_error(base::error const& error, nlohmann::json fields)
{
    auto const& row = base::row_of(error.kind);
    if (!may_write(row.event))
    {
        return;
    }
    fields["detail"] = error.detail;
    auto const text = format_line(row.event, row.name, std::move(fields));
    LOG4CXX_WARN(logger(), text);
}

} // namespace foxtailvale::kernel
