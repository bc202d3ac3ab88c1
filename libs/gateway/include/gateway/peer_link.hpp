#ifndef FOXTAILVALE_GATEWAY_PEER_LINK_HPP
#define FOXTAILVALE_GATEWAY_PEER_LINK_HPP

#include <gateway/entry_context.hpp>
#include <net/datagram_socket.hpp>

#include <utility>

namespace foxtailvale::wire
{
class CrashNotice;
class EngineState;
class FleetAsk;
class Subscribe;
class ViewNotice;
} // namespace foxtailvale::wire

namespace foxtailvale::gateway
{

// What an entry exchanges with agents and other entries. It asks the agents of
// listed engines for reports; their reports name the other entries that ask
// too, so entries find each other without a register of their own.
class peer_link : public std::enable_shared_from_this<peer_link>
{
public:
    explicit peer_link(std::shared_ptr<entry_context> shared);

    // An error text when the address cannot be bound.
    std::optional<std::string> open();

    // Asks all agents for reports anew.
    void subscribe_all();

    // Tells the neighbours of requests that were refused since the last time.
    void tell_refusals();

    // Sends a datagram's bytes to one entry.
    void send(std::string const& entry, std::string const& bytes);

    // Messages about views of the platform, by the sender's IP address. Set
    // before open().
    std::function<void(std::string const& from, std::uint64_t token)>
        on_view_ask;
    std::function<void(std::string const& from, wire::ViewNotice const&)>
        on_view_notice;

private:
    // Tells agents what the configuration says of engines.
    void add_models(wire::Subscribe& asked) const;
    // Agents run beside engines only.
    bool has_agent(std::string const& service) const;
    // The agent at the address cannot reach its engine.
    void note_gone_at(std::string const& ip);
    // An agent names the entries of its failure domain, if that is this one's.
    void
    note_neighbours(std::string const& agent, wire::EngineState const& state);
    void
    send_to(std::set<std::string> const& entries, std::string const& bytes);
    void receive(net::udp_endpoint const& source, std::string_view bytes);
    void take_state(std::string const& agent, wire::EngineState const& state);
    // Tells an agent who else stands beside engines of its service.
    void
    tell_fleet(net::udp_endpoint const& agent, wire::FleetAsk const& asked);
    void take_crash(wire::CrashNotice const& notice);
    void tell_crash(
        request::fingerprint print, std::string const& endpoint, bool answered);

    std::shared_ptr<entry_context> context;
    std::shared_ptr<net::datagram_socket> socket;
};

} // namespace foxtailvale::gateway

#endif
