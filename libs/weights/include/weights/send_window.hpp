#ifndef FOXTAILVALE_WEIGHTS_SEND_WINDOW_HPP
#define FOXTAILVALE_WEIGHTS_SEND_WINDOW_HPP

#include <base/ids.hpp>

#include <cstddef>
#include <deque>

namespace foxtailvale::weights
{

// Limits how many chunks an agent has promised to other agents and not sent
// yet. When 36 engines are added, all of their agents request chunks at once
// from the agents beside serving engines. A chunk is promised only while so few
// are outstanding that it is sent within 150 ms; other requesters use another
// source or wait, and no link is idle.
//
// Failure: when every request was accepted, a dozen chunks queued up at one
// agent. The requesters took its link for a narrowed one and avoided the agent
// for up to half a minute, one after the other, until no source was left: added
// engines got their weights in ten seconds instead of three.
struct send_window
{
    // Promises whose chunk has not been requested yet, oldest first.
    std::deque<base::time_point> promised;
    // Requested chunks that wait for the link.
    std::size_t waiting = 0;
};

// Whether another chunk may be promised.
bool may_promise(send_window const& window, base::time_point now);

void note_promised(send_window& window, base::time_point now);

// Records a request for a chunk, whether or not it was promised before.
void note_fetch_requested(send_window& window, base::time_point now);

// Records that a requested chunk was sent or is no longer wanted.
void note_left(send_window& window);

} // namespace foxtailvale::weights

#endif
