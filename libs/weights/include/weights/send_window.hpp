#ifndef FOXTAILVALE_WEIGHTS_SEND_LINE_HPP
#define FOXTAILVALE_WEIGHTS_SEND_LINE_HPP

#include <base/ids.hpp>

#include <cstddef>
#include <deque>

namespace foxtailvale::weights
{

// Chunks that an agent has promised to others and not sent yet. Made for many
// that come for chunks at once: 36 engines are added, and all of their agents
// ask the agents of those that serve. A chunk is promised only while so few are
// outstanding that it is sent within 150 ms; the others ask
// elsewhere or wait, and no link stands idle.
//
// Failure: with every question answered yes, a dozen chunks stood in line at
// one agent. Who waited for them took its link for a squeezed one and avoided
// it for up to half a minute, one after the other, until nobody was left to
// ask: added engines were filled in ten seconds instead of three.
struct send_window
{
    // Promises that nobody has called in yet, oldest first.
    std::deque<base::time_point> promised;
    // Called in and waiting for the link.
    std::size_t waiting = 0;
};

// Whether one more chunk may be promised.
bool may_promise(send_window const& line, base::time_point now);

void note_promised(send_window& line, base::time_point now);

// A chunk was asked for, promised before or not.
void note_fetch_requested(send_window& line, base::time_point now);

// One that was asked for was sent or is not wanted any more.
void note_left(send_window& line);

} // namespace foxtailvale::weights

#endif
