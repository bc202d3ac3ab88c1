#ifndef FOXTAILVALE_NODE_TRAFFIC_HPP
#define FOXTAILVALE_NODE_TRAFFIC_HPP

#include <proto/foxtailvale.pb.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace foxtailvale::node
{

// Purpose of a frame between the system's processes. Only control traffic has a
// budget of its own per node; the other kinds grow with the load from callers.
enum class traffic_kind
{
    control,
    requests,
    weights,
};

inline constexpr std::size_t traffic_kinds = 3;

std::string_view name_of(traffic_kind kind);

traffic_kind kind_of(wire::Envelope::BodyCase body);

// Bytes of frames sent and received, by kind, without the transport's own
// headers and keep-alives.
struct traffic
{
    std::array<std::uint64_t, traffic_kinds> sent{};
    std::array<std::uint64_t, traffic_kinds> received{};
};

} // namespace foxtailvale::node

#endif
