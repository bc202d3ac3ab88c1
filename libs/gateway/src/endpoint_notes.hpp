#ifndef FOXTAILVALE_GATEWAY_ENDPOINT_NOTES_HPP
#define FOXTAILVALE_GATEWAY_ENDPOINT_NOTES_HPP

#include <base/ids.hpp>

#include <string>

namespace foxtailvale::platform
{
struct endpoint_head;
} // namespace foxtailvale::platform

// What the head of an endpoint's answer says of the endpoint itself, whatever
// becomes of the answer.
namespace foxtailvale::gateway
{

struct entry_context;

// Applies what the answer to a request that was sent at this time says.
void note_answer_head(
    entry_context& context,
    std::string const& endpoint,
    platform::endpoint_head const& answer,
    base::time_point sent);

} // namespace foxtailvale::gateway

#endif
