#include <core/wire_ids.hpp>

namespace foxtailvale::core
{

base::attempt_id from_wire(wire::AttemptId const& id)
{
    return {id.high(), id.low()};
}

void to_wire(base::attempt_id id, wire::AttemptId& into)
{
    into.set_high(id.high);
    into.set_low(id.low);
}

} // namespace foxtailvale::core
