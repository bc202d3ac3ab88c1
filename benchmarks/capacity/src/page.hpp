#ifndef FOXTAILVALE_CAPACITY_PAGE_HPP
#define FOXTAILVALE_CAPACITY_PAGE_HPP

#include "samples.hpp"

#include <string>

namespace foxtailvale::capacity
{

// Markers that enclose the generated tables of the page.
inline constexpr char const* tables_begin = "<!-- capacity: begin -->";
inline constexpr char const* tables_end = "<!-- capacity: end -->";

// Formats the tables: for each target its value, how the value was obtained and
// whether the target is met; then the measured figures by size.
std::string make_tables(samples const& all);

// Returns the page with the text between its markers replaced. Throws
// std::runtime_error when a marker is missing or they are in the wrong order.
std::string replace_tables(std::string const& page, std::string const& tables);

} // namespace foxtailvale::capacity

#endif
