#ifndef FOXTAILVALE_DIRECT_PLAYED_AGENTS_HPP
#define FOXTAILVALE_DIRECT_PLAYED_AGENTS_HPP

#include "played_fleet.hpp"

#include <cstddef>

// Agents of a simulated fleet: they report on their engines and switch them.
namespace foxtailvale::direct
{

// Polls the engine, reports to the entries and continues a switch. Repeats
// itself every report_interval.
void poll(simulation& state, std::size_t number);

// Sends the announced versions to all agents. Repeats itself every
// subscription_interval.
void subscribe(simulation& state, simulated_entry& entry);

} // namespace foxtailvale::direct

#endif
