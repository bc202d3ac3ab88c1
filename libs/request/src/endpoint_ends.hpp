#ifndef FOXTAILVALE_REQUEST_ENDPOINT_ENDS_HPP
#define FOXTAILVALE_REQUEST_ENDPOINT_ENDS_HPP

#include <request/suspects.hpp>

// Which lost answers belong to one end of an endpoint, and which ends have a
// cause of their own.
namespace foxtailvale::request
{

// Returns the number of the end at which the answer was lost; a new one if no
// known end of that endpoint is near it. Withdraws what is suspect by ends of
// which it shows that they came together.
std::uint64_t note_end(suspect_list& state, crash const& seen);

} // namespace foxtailvale::request

#endif
