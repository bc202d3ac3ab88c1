#ifndef FOXTAILVALE_CTL_EXPLAIN_HPP
#define FOXTAILVALE_CTL_EXPLAIN_HPP

#include "log_line.hpp"

#include <istream>
#include <string>
#include <vector>

// Explains the outcome of one request in plain words, from the log lines of all
// processes that handled it.
namespace foxtailvale::ctl
{

// The log lines that are relevant to one request.
struct read_log
{
    // Lines that contain the request's ID.
    std::vector<log_line> request_lines;
    // Agents' lines about switches of their engines, which contain no request
    // ID.
    std::vector<log_line> switch_lines;
};

// Reads log lines, each holding one JSON object that may follow other text.
// Skips lines that are not log lines.
void read_lines(read_log& log, std::istream& lines, std::string const& request);

// Explains the lines of the request, ordered by time. If the request was sent
// to an engine on an older version, also explains the lines of the agent with
// that engine's IP address about the switch away from that version.
std::vector<explained_line> explain(read_log const& log);

// Prints the result of explain() for the log files, or for standard input if
// there are none. Returns the exit code.
int explain_request(
    std::string const& request, std::vector<std::string> const& files);

} // namespace foxtailvale::ctl

#endif
