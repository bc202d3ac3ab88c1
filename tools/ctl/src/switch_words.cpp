#include "switch_words.hpp"

#include <algorithm>
#include <map>

namespace foxtailvale::ctl
{

namespace
{

using json = nlohmann::json;
using formatter = std::string (*)(json const&);

std::string engine_of(json const& body)
{
    return "The engine at " + text_of(body, "ip");
}

std::string since_announcement(json const& body, char const* key)
{
    return text_of(body, key) + " ms after version " +
           text_of(body, "first_newer") + " was named";
}

std::string relative_to_bound(json const& body, std::int64_t left)
{
    return time_before(left) + " version " + text_of(body, "from_version") +
           " had to end";
}

std::string describe_planned(json const& body)
{
    auto const left = number_of(body, "bound_ms") - number_of(body, "turn_ms");
    auto const missing = number_of(body, "missing");
    return engine_of(body) + " was to go from version " +
           text_of(body, "from_version") + " to " + text_of(body, "version") +
           " " + since_announcement(body, "turn_ms") + ", " +
           relative_to_bound(body, left) +
           (body.value("skips", false)
                ? ", leaving out version " + text_of(body, "first_newer")
                : "") +
           "; " +
           (missing < 0 ? "its manifest was not there"
                        : "chunks missing: " + std::to_string(missing)) +
           ".";
}

std::string reason_late(json const& body)
{
    auto const by = text_of(body, "late_by");
    if (by == "staging")
    {
        return " Late, as chunks were put beside the engine late.";
    }
    if (by == "look")
    {
        return " Late, as the look at the staged chunks took long.";
    }
    return by == "wait" ? " Late, as the engine was busy or did not answer, or "
                          "the agent stood still."
                        : "";
}

std::string describe_ordered(json const& body)
{
    return engine_of(body) + " was ordered from version " +
           text_of(body, "from_version") + " to " + text_of(body, "version") +
           " " + since_announcement(body, "after_ms") + ", " +
           relative_to_bound(body, number_of(body, "left_ms")) +
           "; planned at " + text_of(body, "turn_ms") +
           " ms, chunks whole at " + text_of(body, "whole_ms") +
           " ms, staged at " + text_of(body, "staged_ms") +
           " ms, looked at for " + text_of(body, "look_ms") + " ms." +
           reason_late(body);
}

std::string describe_accepted(json const& body)
{
    return engine_of(body) + " took the order " +
           text_of(body, "since_order_ms") + " ms after it was sent, " +
           relative_to_bound(body, number_of(body, "left_ms")) +
           "; from then on it began nothing on that version.";
}

std::string describe_order_failed(json const& body)
{
    if (number_of(body, "status") == 0)
    {
        return engine_of(body) + " did not answer the order within " +
               text_of(body, "since_order_ms") + " ms; it may have taken it.";
    }
    return engine_of(body) + " refused the order with status " +
           text_of(body, "status") + ": " + text_of(body, "answer");
}

std::string describe_activated(json const& body)
{
    return engine_of(body) + " served version " + text_of(body, "version") +
           " " + text_of(body, "since_order_ms") + " ms after the order, " +
           relative_to_bound(body, number_of(body, "left_ms")) + ".";
}

// Formatters of the agents' lines about a switch, by the name of the event.
std::map<std::string, formatter> const& switch_formatters()
{
    static std::map<std::string, formatter> const formatters{
        {"switch_planned", describe_planned},
        {"engine_order_sent", describe_ordered},
        {"engine_order_accepted", describe_accepted},
        {"engine_order_failed", describe_order_failed},
        {"weights_activated", describe_activated}};
    return formatters;
}

served_engine engine_of_switch(json const& body)
{
    return {text_of(body, "ip"), number_of(body, "from_version")};
}

} // namespace

bool is_switch_line(log_line const& line)
{
    return switch_formatters().contains(text_of(line.body, "name"));
}

std::vector<explained_line> describe_switches(
    std::vector<log_line> lines, std::set<served_engine> const& engines)
{
    std::ranges::stable_sort(lines, {}, &log_line::time);
    std::map<served_engine, std::vector<log_line const*>> by_engine;
    for (auto const& line : lines)
    {
        auto const engine = engine_of_switch(line.body);
        if (engines.contains(engine))
        {
            by_engine[engine].push_back(&line);
        }
    }
    auto const is_plan = [](log_line const* line)
    {
        return text_of(line->body, "name") == "switch_planned";
    };
    std::vector<explained_line> explanation;
    for (auto const& [engine, found] : by_engine)
    {
        for (std::size_t index = 0; index < found.size(); ++index)
        {
            auto const is_intermediate_plan =
                index > 0 && index + 1 < found.size() &&
                is_plan(found[index - 1]) && is_plan(found[index]) &&
                is_plan(found[index + 1]);
            if (!is_intermediate_plan)
            {
                auto const& body = found[index]->body;
                explanation.push_back(
                    {found[index]->time, found[index]->process,
                     switch_formatters().at(text_of(body, "name"))(body)});
            }
        }
    }
    return explanation;
}

} // namespace foxtailvale::ctl
