#ifndef FOXTAILVALE_DIRECT_PLAYED_AGENTS_HPP
#define FOXTAILVALE_DIRECT_PLAYED_AGENTS_HPP

#include "played_fleet.hpp"

#include <cstddef>

// Agents of a played fleet: they report on their engines and switch them.
namespace foxtailvale::direct
{

// Asks the engine, tells the entries and goes on with a switch; again and
// again.
void poll(world& state, std::size_t number);

// Entries tell agents once a second which versions are named.
void subscribe(world& state, played_entry& entry);

} // namespace foxtailvale::direct

#endif
