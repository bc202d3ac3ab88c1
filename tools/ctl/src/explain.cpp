#include "explain.hpp"

#include "switch_words.hpp"

#include <base/error.hpp>
#include <direct/endpoint_table.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <map>
#include <set>
#include <utility>

namespace foxtailvale::ctl
{

namespace
{

using json = nlohmann::json;

constexpr int exit_done = 0;
constexpr int exit_failed = 1;

std::string time_after_arrival(json const& body)
{
    return text_of(body, "after_ms") + " ms after it arrived";
}

std::string endpoint_of(json const& body)
{
    auto const name = text_of(body, "endpoint");
    return name.empty() ? "no endpoint" : "endpoint " + name;
}

// States whether the request was run, for a reader who does not know the
// field's values.
std::string describe_run_state(json const& body)
{
    auto const ran = text_of(body, "ran");
    if (ran == "no")
    {
        return "It was not run.";
    }
    return ran == "yes" ? "It was run."
                        : "Nobody can say whether it was run, so it was not "
                          "sent again and its caller was not told that it was "
                          "not run.";
}

std::string describe_configuration_view(json const& body)
{
    return "The entry went by configuration " + text_of(body, "configuration") +
           ", confirmed " + text_of(body, "view_age_ms") + " ms before.";
}

base::error_row const& row_of(json const& body)
{
    return base::row_of(base::error_kind_from_name(text_of(body, "kind")));
}

// Describes when a request began at an engine on an older version; empty if the
// line has no such field.
std::string describe_first_event(json const& body)
{
    if (!body.contains("begun_ms"))
    {
        return "";
    }
    auto const begun = number_of(body, "begun_ms");
    if (begun < 0)
    {
        return " No event came from there, so when it began, if it did, was "
               "not seen.";
    }
    return " Its first event came " + std::to_string(begun) +
           " ms after it was sent (" + text_of(body, "expected_ms") +
           " ms were expected), " +
           time_before(number_of(body, "before_end_ms")) + " version " +
           text_of(body, "version") + " ended for this entry.";
}

std::string describe_placed(json const& body)
{
    auto const age = number_of(body, "report_age_ms");
    auto const source =
        age < 0 ? std::string("the list and its own requests, without a report")
        : age > direct::report_timeout.count()
            ? "the list and its own requests, as the last report was " +
                  std::to_string(age) + " ms old"
            : "a report " + std::to_string(age) + " ms old";
    return "It was sent (send " + text_of(body, "sends") + ") to " +
           endpoint_of(body) + " at " + text_of(body, "address") +
           " on version " + text_of(body, "version") +
           ", which is not the newest and ends for this entry in " +
           text_of(body, "ends_in_ms") + " ms. The entry counted " +
           text_of(body, "work") + " requests there at " +
           text_of(body, "slots") + " slots and " + text_of(body, "line") +
           " in line, by " + source + ", and expected it to begin within " +
           text_of(body, "expected_ms") + " ms.";
}

std::string describe_answered(json const& body)
{
    return "It was answered with status " + text_of(body, "status") + " by " +
           endpoint_of(body) + " " + time_after_arrival(body) + ", after " +
           text_of(body, "sends") + " send(s). It waited " +
           text_of(body, "sent_ms") +
           " ms for room, and its answer began after " +
           text_of(body, "first_ms") + " ms." + describe_first_event(body);
}

// Describes when an endpoint would have had room, for a request that only rate
// limits kept from all of them; empty for others.
std::string describe_room(json const& body)
{
    return body.contains("room_in_ms")
               ? " The endpoints name how many requests a second they take; "
                 "the first has room for this entry in " +
                     text_of(body, "room_in_ms") + " ms."
               : "";
}

std::string describe_refused(json const& body)
{
    return "It was refused " + time_after_arrival(body) + ": " +
           text_of(body, "reason") + "." + describe_room(body) + " " +
           std::string(row_of(body).title) + " " + describe_run_state(body) +
           (row_of(body).retry_after.count() > 0
                ? " Its caller was told when to come back. "
                : " To come back would not help its caller. ") +
           describe_configuration_view(body);
}

std::string describe_retried(json const& body)
{
    if (body.value("kept", false))
    {
        return "Nothing came from " + endpoint_of(body) + " after event " +
               text_of(body, "last_event") + " of its answer, " +
               time_after_arrival(body) +
               ". It was sent to another endpoint as well; the first to send "
               "goes on.";
    }
    return "The attempt at " + endpoint_of(body) + " came to nothing " +
           time_after_arrival(body) + ": " + text_of(body, "reason") +
           ". It was sent once more, after event " +
           text_of(body, "last_event") + " of its answer." +
           describe_first_event(body);
}

std::string describe_failed(json const& body)
{
    return "It was given up " + time_after_arrival(body) + " at " +
           endpoint_of(body) + ": " + text_of(body, "reason") + ". " +
           std::string(row_of(body).title) + " " + describe_run_state(body) +
           " " + describe_configuration_view(body) + describe_first_event(body);
}

std::string describe_cut(json const& body)
{
    return "Its answer broke off after event " + text_of(body, "last_event") +
           ", " + time_after_arrival(body) + ": " + text_of(body, "reason") +
           ". The connection was ended, so that what had come does not look "
           "whole." +
           describe_first_event(body);
}

std::string describe_continued(json const& body)
{
    return "The stream from " + endpoint_of(body) + " went on after " +
           text_of(body, "pause_ms") + " ms without an event.";
}

std::string describe_caller_left(json const& body)
{
    return "Its caller left " + time_after_arrival(body) +
           ". The endpoint was told." + describe_first_event(body);
}

using formatter = std::string (*)(json const&);

// Formatters by the name of the event.
std::map<std::string, formatter> const& request_formatters()
{
    static std::map<std::string, formatter> const formatters{
        {"request_placed", describe_placed},
        {"request_answered", describe_answered},
        {"request_refused", describe_refused},
        {"request_retried", describe_retried},
        {"request_failed", describe_failed},
        {"request_cut", describe_cut},
        {"request_left", describe_caller_left},
        {"stream_continued", describe_continued}};
    return formatters;
}

std::string describe(json const& body)
{
    auto const name = text_of(body, "name");
    auto const found = request_formatters().find(name);
    return found != request_formatters().end() ? found->second(body)
                                               : name + ": " + body.dump();
}

served_engine engine_sent_to(json const& body)
{
    auto const address = text_of(body, "address");
    return {address.substr(0, address.rfind(':')), number_of(body, "version")};
}

} // namespace

void read_lines(read_log& log, std::istream& lines, std::string const& request)
{
    // Only the lines about a switch of weights contain this field.
    constexpr std::string_view switch_mark = "\"from_version\":";
    for (std::string text; std::getline(lines, text);)
    {
        auto const names_request = text.find(request) != std::string::npos;
        if (!names_request && text.find(switch_mark) == std::string::npos)
        {
            continue;
        }
        auto line = parse_line(text);
        if (!line)
        {
            continue;
        }
        if (text_of(line->body, "request") == request)
        {
            log.request_lines.push_back(std::move(*line));
        }
        else if (is_switch_line(*line))
        {
            log.switch_lines.push_back(std::move(*line));
        }
    }
}

std::vector<explained_line> explain(read_log const& log)
{
    std::vector<explained_line> explanation;
    std::set<served_engine> engines;
    for (auto const& line : log.request_lines)
    {
        explanation.push_back({line.time, line.process, describe(line.body)});
        if (text_of(line.body, "name") == "request_placed")
        {
            engines.insert(engine_sent_to(line.body));
        }
    }
    auto const switches = describe_switches(log.switch_lines, engines);
    explanation.insert(explanation.end(), switches.begin(), switches.end());
    std::ranges::stable_sort(explanation, {}, &explained_line::time);
    return explanation;
}

int explain_request(
    std::string const& request, std::vector<std::string> const& files)
{
    read_log log;
    if (files.empty())
    {
        read_lines(log, std::cin, request);
    }
    for (auto const& path : files)
    {
        std::ifstream file(path);
        if (!file)
        {
            std::cerr << "foxtailvalectl: " << path << " cannot be read\n";
            return exit_failed;
        }
        read_lines(log, file, request);
    }
    auto const explanation = explain(log);
    for (auto const& line : explanation)
    {
        std::cout << line.time << "  " << line.process << "\n    " << line.text
                  << "\n";
    }
    if (explanation.empty())
    {
        std::cerr << "foxtailvalectl: no line names " << request
                  << "; it may have been left out of a busy second "
                     "(log_lines_left_out)\n";
        return exit_failed;
    }
    return exit_done;
}

} // namespace foxtailvale::ctl
