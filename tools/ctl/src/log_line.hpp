#ifndef FOXTAILVALE_CTL_LOG_LINE_HPP
#define FOXTAILVALE_CTL_LOG_LINE_HPP

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace foxtailvale::ctl
{

// One log line as a process wrote it.
struct log_line
{
    std::string time;
    std::string process;
    nlohmann::json body;
};

// One log line as a sentence.
struct told_line
{
    // As the process wrote it; lines are put in this order.
    std::string time;
    std::string process;
    std::string text;
};

// Reads a line that holds one JSON object, with anything in front of it;
// nothing for what is no log line.
std::optional<log_line> parse_line(std::string const& text);

// A field as text; "unknown" when it is not there.
std::string text_of(nlohmann::json const& body, char const* key);

// A field that holds a whole number; zero when it is not there.
std::int64_t number_of(nlohmann::json const& body, char const* key);

// So many milliseconds before a moment, or after it when the number is below
// zero.
std::string time_before(std::int64_t left);

} // namespace foxtailvale::ctl

#endif
