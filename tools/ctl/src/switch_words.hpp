#ifndef FOXTAILVALE_CTL_SWITCH_WORDS_HPP
#define FOXTAILVALE_CTL_SWITCH_WORDS_HPP

#include "log_line.hpp"

#include <cstdint>
#include <set>
#include <string>
#include <utility>
#include <vector>

// Agents' lines on switches of their engines, in plain words.
namespace foxtailvale::ctl
{

// An engine by its IP address and the version that it served.
using served_engine = std::pair<std::string, std::int64_t>;

// Whether it is an agent's line on a switch.
bool is_of_switch(log_line const& line);

// The switches of these engines, each told in the order of time. Of plans that
// follow each other the first and the last are told.
std::vector<told_line> tell_switches(
    std::vector<log_line> lines, std::set<served_engine> const& engines);

} // namespace foxtailvale::ctl

#endif
