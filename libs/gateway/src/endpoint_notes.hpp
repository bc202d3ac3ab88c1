#ifndef FOXTAILVALE_GATEWAY_ENDPOINT_NOTES_HPP
#define FOXTAILVALE_GATEWAY_ENDPOINT_NOTES_HPP

#include <string>

namespace foxtailvale::platform
{
struct endpoint_head;
} // namespace foxtailvale::platform

// What the head of an endpoint's answer says of the endpoint itself.
namespace foxtailvale::gateway
{

struct entry_context;

// Applies what holds whichever request the endpoint has answered.
void note_answer_head(
    entry_context& context,
    std::string const& endpoint,
    platform::endpoint_head const& answer);

} // namespace foxtailvale::gateway

#endif
