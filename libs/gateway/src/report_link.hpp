#ifndef FOXTAILVALE_GATEWAY_REPORT_LINK_HPP
#define FOXTAILVALE_GATEWAY_REPORT_LINK_HPP

#include "agent_context.hpp"

#include <net/datagram_socket.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace google::protobuf
{
template <typename Element>
class RepeatedPtrField;
} // namespace google::protobuf

namespace foxtailvale::wire
{
class FleetNotice;
class ServedModel;
class Subscribe;
} // namespace foxtailvale::wire

namespace foxtailvale::gateway
{

// What passes between an agent and the entries: they ask for reports, and say
// which versions are named; it tells them how its engine is.
class report_link : public std::enable_shared_from_this<report_link>
{
public:
    explicit report_link(std::shared_ptr<agent_context> shared);

    // An error text when the peers' address cannot be listened on.
    std::optional<std::string> open();
    void close();

    // Tells all entries that are due; `at_once` tells those of other failure
    // domains too.
    void tell(bool at_once);

    // Forgets entries that have not asked for a while.
    void forget_silent();

    // Whether any entry asks for reports, and so tells which versions are
    // named.
    bool has_entries() const;

    // An entry knows of a version, named then. Set before open().
    std::function<void(
        std::string const& model, std::uint64_t version, base::time_point at)>
        on_version;

    // Asks one of the entries, those of the own failure domain first, another
    // one for another try; those that the settings name while none has asked
    // for reports. False when there is nobody to ask.
    bool ask_fleet(std::uint64_t token, std::uint32_t tries);

    // What an entry said of a failure domain. Set before open().
    std::function<void(wire::FleetNotice const&)> on_fleet;

private:
    // An entry that asked for reports.
    struct subscriber
    {
        base::time_point asked;
        std::string failure_domain;
    };

    void take(net::udp_endpoint const& source, wire::Subscribe const& asked);
    // Takes what the configuration says of this agent's service.
    void take_models(
        google::protobuf::RepeatedPtrField<wire::ServedModel> const& models);
    // The entry stands in this agent's failure domain.
    bool is_near(subscriber const& entry) const;
    std::string report() const;
    std::string entries_notice() const;

    std::shared_ptr<agent_context> context;
    std::shared_ptr<net::datagram_socket> socket;
    std::map<net::udp_endpoint, subscriber> subscribers;
    int rounds = 0;
};

} // namespace foxtailvale::gateway

#endif
