#ifndef FOXTAILVALE_CTL_LOG_LINE_HPP
#define FOXTAILVALE_CTL_LOG_LINE_HPP

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace foxtailvale::ctl
{

// A log line as written by a process.
struct log_line
{
    std::string time;
    std::string process;
    nlohmann::json body;
};

// A log line, explained in a sentence.
struct explained_line
{
    // Time as the process wrote it; lines are sorted by it.
    std::string time;
    std::string process;
    std::string text;
};

// Parses a line that holds one JSON object, which may follow other text.
// Returns std::nullopt if it is not a log line.
std::optional<log_line> parse_line(std::string const& text);

// Returns a field as text, or "unknown" if it is absent.
std::string text_of(nlohmann::json const& body, char const* key);

// Returns an integer field, or zero if it is absent or not a number.
std::int64_t number_of(nlohmann::json const& body, char const* key);

// Formats a time relative to a moment: "N ms before" it, or "N ms after" it if
// the number of remaining milliseconds is negative.
std::string time_before(std::int64_t remaining_ms);

} // namespace foxtailvale::ctl

#endif
