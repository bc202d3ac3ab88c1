#ifndef FOXTAILVALE_GATEWAY_RANKED_ADMISSION_HPP
#define FOXTAILVALE_GATEWAY_RANKED_ADMISSION_HPP

#include <gateway/entry_context.hpp>

#include <string>

namespace foxtailvale::gateway
{

// Whether requests to the service are admitted by rank, workspace and cost: as
// the settings say, or else where the platform expects ranks to compete or
// routes to the service differ in priority.
bool is_ranked(entry_context const& context, std::string const& service);

} // namespace foxtailvale::gateway

#endif
