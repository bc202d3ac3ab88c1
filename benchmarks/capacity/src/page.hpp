#ifndef FOXTAILVALE_CAPACITY_PAGE_HPP
#define FOXTAILVALE_CAPACITY_PAGE_HPP

#include "samples.hpp"

#include <string>

namespace foxtailvale::capacity
{

// Markers between which the page's tables are rewritten.
inline constexpr char const* tables_begin = "<!-- capacity: begin -->";
inline constexpr char const* tables_end = "<!-- capacity: end -->";

// The tables: each line of the target with its value, how the value was come
// by and whether it is met, then the measured figures by size.
std::string make_tables(samples const& all);

// The page with the text between its markers replaced; throws
// std::runtime_error when a marker is missing.
std::string replace_tables(std::string const& page, std::string const& tables);

} // namespace foxtailvale::capacity

#endif
