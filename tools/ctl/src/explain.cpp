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

std::string after(json const& body)
{
    return text_of(body, "after_ms") + " ms after it arrived";
}

std::string endpoint_of(json const& body)
{
    auto const name = text_of(body, "endpoint");
    return name.empty() ? "no endpoint" : "endpoint " + name;
}

// Whether the request was run, for a reader who does not know the words.
std::string ran_words(json const& body)
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

std::string seen_of_platform(json const& body)
{
    return "The entry went by configuration " + text_of(body, "configuration") +
           ", confirmed " + text_of(body, "view_age_ms") + " ms before.";
}

base::error_row const& row_of(json const& body)
{
    return base::row_of(base::error_kind_from_name(text_of(body, "kind")));
}

// What came of a request at an engine on an older version.
std::string beginning_of(json const& body)
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

std::string tell_placed(json const& body)
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

std::string tell_answered(json const& body)
{
    return "It was answered with status " + text_of(body, "status") + " by " +
           endpoint_of(body) + " " + after(body) + ", after " +
           text_of(body, "sends") + " send(s). It waited " +
           text_of(body, "sent_ms") +
           " ms for room, and its answer began after " +
           text_of(body, "first_ms") + " ms." + beginning_of(body);
}

std::string tell_refused(json const& body)
{
    return "It was refused " + after(body) + ": " + text_of(body, "reason") +
           ". " + std::string(row_of(body).title) + " " + ran_words(body) +
           (row_of(body).retry_after.count() > 0
                ? " Its caller was told when to come back. "
                : " To come back would not help its caller. ") +
           seen_of_platform(body);
}

std::string tell_retried(json const& body)
{
    return "The attempt at " + endpoint_of(body) + " came to nothing " +
           after(body) + ": " + text_of(body, "reason") +
           ". It was sent once more, after event " +
           text_of(body, "last_event") + " of its answer." + beginning_of(body);
}

std::string tell_failed(json const& body)
{
    return "It was given up " + after(body) + " at " + endpoint_of(body) +
           ": " + text_of(body, "reason") + ". " +
           std::string(row_of(body).title) + " " + ran_words(body) + " " +
           seen_of_platform(body) + beginning_of(body);
}

std::string tell_cut(json const& body)
{
    return "Its answer broke off after event " + text_of(body, "last_event") +
           ", " + after(body) + ": " + text_of(body, "reason") +
           ". The connection was ended, so that what had come does not look "
           "whole." +
           beginning_of(body);
}

std::string tell_left(json const& body)
{
    return "Its caller left " + after(body) + ". The endpoint was told." +
           beginning_of(body);
}

using teller = std::string (*)(json const&);

// How each event is told.
std::map<std::string, teller> const& request_tellers()
{
    static std::map<std::string, teller> const tellers{
        {"request_placed", tell_placed},   {"request_answered", tell_answered},
        {"request_refused", tell_refused}, {"request_retried", tell_retried},
        {"request_failed", tell_failed},   {"request_cut", tell_cut},
        {"request_left", tell_left}};
    return tellers;
}

std::string tell(json const& body)
{
    auto const name = text_of(body, "name");
    auto const found = request_tellers().find(name);
    return found != request_tellers().end() ? found->second(body)
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
    // Only lines on a switch have this field.
    constexpr std::string_view switch_mark = "\"from_version\":";
    for (std::string text; std::getline(lines, text);)
    {
        auto const names = text.find(request) != std::string::npos;
        if (!names && text.find(switch_mark) == std::string::npos)
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
            log.of_request.push_back(std::move(*line));
        }
        else if (is_of_switch(*line))
        {
            log.of_switches.push_back(std::move(*line));
        }
    }
}

std::vector<told_line> explain(read_log const& log)
{
    std::vector<told_line> told;
    std::set<served_engine> engines;
    for (auto const& line : log.of_request)
    {
        told.push_back({line.time, line.process, tell(line.body)});
        if (text_of(line.body, "name") == "request_placed")
        {
            engines.insert(engine_sent_to(line.body));
        }
    }
    auto const switches = tell_switches(log.of_switches, engines);
    told.insert(told.end(), switches.begin(), switches.end());
    std::ranges::stable_sort(told, {}, &told_line::time);
    return told;
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
    auto const told = explain(log);
    for (auto const& line : told)
    {
        std::cout << line.time << "  " << line.process << "\n    " << line.text
                  << "\n";
    }
    if (told.empty())
    {
        std::cerr << "foxtailvalectl: no line names " << request
                  << "; it may have been left out of a busy second "
                     "(log_lines_left_out)\n";
        return exit_failed;
    }
    return exit_done;
}

} // namespace foxtailvale::ctl
