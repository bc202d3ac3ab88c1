#ifndef FOXTAILVALE_GATEWAY_EVENT_SPLITTER_HPP
#define FOXTAILVALE_GATEWAY_EVENT_SPLITTER_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace foxtailvale::gateway
{

// One complete event of a text/event-stream, with the bytes it was parsed from.
struct stream_event
{
    std::string bytes;
    std::optional<std::uint64_t> id;
};

// Splits the bytes of an event stream into complete events; an incomplete event
// is held back until its rest arrives. Failure: an endpoint that crashes stops
// in the middle of an event; if that fragment were forwarded, the caller would
// join it with the bytes of the next endpoint.
struct event_splitter
{
    std::string incomplete;
};

// Whether the incomplete event is longer than any event may be.
bool is_too_long(event_splitter const& state);

// Adds received bytes and returns the events that are complete by then.
std::vector<stream_event> split(event_splitter& state, std::string_view data);

} // namespace foxtailvale::gateway

#endif
