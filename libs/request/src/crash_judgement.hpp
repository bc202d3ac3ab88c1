#ifndef FOXTAILVALE_REQUEST_CRASH_JUDGEMENT_HPP
#define FOXTAILVALE_REQUEST_CRASH_JUDGEMENT_HPP

#include <request/suspects.hpp>

// Decides which requests and parts of prompts are suspect. An engine's whole
// batch ends with it, so most of what a crash accuses only ran beside its
// cause.
namespace foxtailvale::request
{

// Returns the largest number of crashes of which each hit an attempt that was
// sent after the crash before. Endpoints that end together, as in a loss of
// power, count as one.
std::size_t
crashes_in_sequence(std::vector<crash_record::recorded_crash> const& crashes);

// Whether the record has so many crashes that it may be suspect.
bool may_be_suspect(crash_record const& record);

// Renews the suspects of the list. A crash that one suspect explains accuses
// nothing else: neither the sound requests beside it nor the parts that they
// share with it.
void judge(suspect_list& state);

} // namespace foxtailvale::request

#endif
