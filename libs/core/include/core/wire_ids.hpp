#ifndef FOXTAILVALE_CORE_WIRE_IDS_HPP
#define FOXTAILVALE_CORE_WIRE_IDS_HPP

#include <base/ids.hpp>
#include <proto/foxtailvale.pb.h>

namespace foxtailvale::core
{

base::attempt_id from_wire(wire::AttemptId const& id);
void to_wire(base::attempt_id id, wire::AttemptId& into);

} // namespace foxtailvale::core

#endif
