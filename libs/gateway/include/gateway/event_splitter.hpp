#ifndef FOXTAILVALE_GATEWAY_EVENT_SPLITTER_HPP
#define FOXTAILVALE_GATEWAY_EVENT_SPLITTER_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace foxtailvale::gateway
{

// One whole event of a text/event-stream, with the bytes that it came in.
struct stream_event
{
    std::string bytes;
    std::optional<std::uint64_t> id;
};

// Cuts the bytes of an event stream into whole events. Failure: an endpoint
// that crashes stops in the middle of an event; passed on, its half would be
// joined with the next endpoint's bytes. Only whole events leave here.
struct event_splitter
{
    std::string rest;
};

std::vector<stream_event> split(event_splitter& state, std::string_view data);

} // namespace foxtailvale::gateway

#endif
