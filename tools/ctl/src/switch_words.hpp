#ifndef FOXTAILVALE_CTL_SWITCH_WORDS_HPP
#define FOXTAILVALE_CTL_SWITCH_WORDS_HPP

#include "log_line.hpp"

#include <cstdint>
#include <set>
#include <string>
#include <utility>
#include <vector>

// Explains, in plain words, the agents' log lines about switches of their
// engines from one version of weights to another.
namespace foxtailvale::ctl
{

// An engine, identified by its IP address and the version that it served.
using served_engine = std::pair<std::string, std::int64_t>;

// Whether the line is an agent's line about a switch.
bool is_switch_line(log_line const& line);

// Explains the switches of these engines, each one ordered by time. Of
// consecutive plans, only the first and the last are included.
std::vector<explained_line> describe_switches(
    std::vector<log_line> lines, std::set<served_engine> const& engines);

} // namespace foxtailvale::ctl

#endif
