#ifndef FOXTAILVALE_CTL_EXPLAIN_HPP
#define FOXTAILVALE_CTL_EXPLAIN_HPP

#include "log_line.hpp"

#include <istream>
#include <string>
#include <vector>

// What became of one request, in plain words, out of the log lines of all
// processes that touched it.
namespace foxtailvale::ctl
{

// What was read of the logs for one request.
struct read_log
{
    // Lines that name the request.
    std::vector<log_line> of_request;
    // Agents' lines on switches of their engines, which know no request.
    std::vector<log_line> of_switches;
};

// Reads log lines, one JSON object a line with anything in front of it. Lines
// that are no log lines are passed over.
void read_lines(read_log& log, std::istream& lines, std::string const& request);

// Tells the lines that name the request, in the order of their times. Where it
// was sent to an engine on an older version, the lines of the agent with that
// engine's IP address on its way from that version are told, too.
std::vector<told_line> explain(read_log const& log);

// Prints what explain() tells; an exit code.
int explain_request(
    std::string const& request, std::vector<std::string> const& files);

} // namespace foxtailvale::ctl

#endif
