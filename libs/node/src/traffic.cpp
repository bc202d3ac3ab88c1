#include <node/traffic.hpp>

namespace foxtailvale::node
{

std::string_view name_of(traffic_kind kind)
{
    switch (kind)
    {
    case traffic_kind::control:
        return "control";
    case traffic_kind::requests:
        return "requests";
    case traffic_kind::weights:
        break;
    }
    return "weights";
}

traffic_kind kind_of(wire::Envelope::BodyCase body)
{
    // The message numbers are grouped by kind in proto/foxtailvale.proto.
    constexpr int first_request = 20;
    constexpr int first_weights = 40;
    constexpr int first_more_control = 60;
    auto const number = static_cast<int>(body);
    if (number >= first_more_control || number < first_request)
    {
        return traffic_kind::control;
    }
    return number < first_weights ? traffic_kind::requests
                                  : traffic_kind::weights;
}

} // namespace foxtailvale::node
