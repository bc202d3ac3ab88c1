#ifndef FOXTAILVALE_NODE_PEER_BUS_HPP
#define FOXTAILVALE_NODE_PEER_BUS_HPP

#include <base/error.hpp>
#include <node/event_loop.hpp>
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

// Frames between the system's processes over ZeroMQ. Each process listens on
// one socket and calls others from a second one; an answer goes back whichever
// way is open. Lives on the loop's thread.
class peer_bus
{
public:
    using handler = std::function<void(std::string, wire::Envelope)>;
    using fault_handler = std::function<void(base::error, std::string)>;

    // Listens at the settings' peer address; throws std::runtime_error that
    // names it when that fails. The loop must outlive the bus.
    peer_bus(
        event_loop& loop,
        release::node_settings const& settings,
        std::uint64_t incarnation);

    // Who gets the frames, and who hears of frames that were dropped.
    void on_message(handler receive);
    void on_fault(fault_handler report);

    // Keeps a connection to the peer at "IP:PORT".
    void connect(std::string const& peer, std::string const& address);
    void disconnect(std::string const& peer);

    // Hands a frame to the transport; peer_unreachable means that it did not
    // leave and never will.
    base::result<void> send(std::string const& peer, wire::Envelope envelope);

    // From now on the end of the bus waits a moment for frames that are on
    // their way. Failure: an agent ends right after its last answer; dropped in
    // the transport's queue, that answer would be lost to its caller.
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
    handler receiver;
    fault_handler reporter;
    // Address in use, by peer.
    std::map<std::string, std::string> connected;
    // Incarnation last heard, by peer.
    std::map<std::string, std::uint64_t> incarnations;
};

} // namespace foxtailvale::node

#endif
