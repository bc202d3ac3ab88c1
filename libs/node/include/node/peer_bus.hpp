#ifndef FOXTAILVALE_NODE_PEER_BUS_HPP
#define FOXTAILVALE_NODE_PEER_BUS_HPP

#include <base/error.hpp>
#include <node/event_loop.hpp>
#include <node/traffic.hpp>
#include <proto/foxtailvale.pb.h>
#include <release/settings.hpp>

#include <zmq.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace foxtailvale::node
{

// Exchanges frames between the system's processes over ZeroMQ. Each process
// listens on one socket and connects to others from a second one; an answer
// uses whichever connection is open. Used on the loop's thread only.
class peer_bus
{
public:
    using handler = std::function<void(std::string, wire::Envelope)>;
    using fault_handler = std::function<void(base::error, std::string)>;

    // Listens at the settings' peer address; throws std::runtime_error with the
    // address on failure. The loop must outlive the bus.
    peer_bus(
        event_loop& loop,
        release::node_settings const& settings,
        std::uint64_t incarnation);

    // Set the callbacks for received frames and for frames that were dropped.
    void on_message(handler receive);
    void on_fault(fault_handler report);

    // Keeps a connection to the peer at "IP:PORT".
    void connect(std::string const& peer, std::string const& address);
    void disconnect(std::string const& peer);

    // Hands a frame to the transport; peer_unreachable means that the frame was
    // not sent and never will be.
    base::result<void> send(std::string const& peer, wire::Envelope envelope);

    // Returns the bytes of frames sent and received since the last call.
    traffic take_traffic();

    // Makes the bus wait briefly for queued frames when it closes. An agent
    // exits right after its last answer, which would otherwise be dropped in
    // the transport's queue and never reach its caller.
    void flush_on_close();

private:
    void receive_all(zmq::socket_t& socket);
    void receive_one(std::string peer, zmq::message_t const& frame);
    std::string rewritten(std::string const& address) const;

    std::string name;
    std::string own_address;
    std::uint64_t incarnation;
    std::vector<release::address_rewrite> rewrites;
    zmq::context_t context;
    zmq::socket_t inbound;
    zmq::socket_t outbound;
    traffic counted;
    handler receiver;
    fault_handler reporter;
    // Address in use, by peer.
    std::map<std::string, std::string> connected;
    // Incarnation last received, by peer.
    std::map<std::string, std::uint64_t> incarnations;
};

} // namespace foxtailvale::node

#endif
