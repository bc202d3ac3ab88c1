#include <node/peer_bus.hpp>

#include <stdexcept>

namespace foxtailvale::node
{

namespace
{

// Largest frame: the largest chunk with room for its envelope, in bytes.
constexpr std::int64_t largest_frame = 80LL * 1024 * 1024;

// ZeroMQ's own heartbeats find dead connections, in milliseconds.
constexpr int heartbeat_interval = 1000;
constexpr int heartbeat_timeout = 4000;

// Frames queued for one peer at most. The protocols above bound what is under
// way per peer well below it; past it a send fails rather than waits.
constexpr int queue_length = 10'000;

// How long the end of a process may wait for its last frames.
constexpr int flush_milliseconds = 1000;

void configure(zmq::socket_t& socket, std::string const& name)
{
    socket.set(zmq::sockopt::routing_id, name);
    socket.set(zmq::sockopt::router_mandatory, true);
    // A restarted process takes over its name's connection.
    socket.set(zmq::sockopt::router_handover, true);
    socket.set(zmq::sockopt::linger, 0);
    socket.set(zmq::sockopt::maxmsgsize, largest_frame);
    socket.set(zmq::sockopt::heartbeat_ivl, heartbeat_interval);
    socket.set(zmq::sockopt::heartbeat_timeout, heartbeat_timeout);
    socket.set(zmq::sockopt::sndhwm, queue_length);
    socket.set(zmq::sockopt::rcvhwm, queue_length);
    // Failure: a frame queued for a peer that is gone goes out after the
    // reconnect, when its request was long given up. With this option frames
    // are queued for finished connections only, and dropped with them.
    socket.set(zmq::sockopt::immediate, true);
}

void listen_at(zmq::socket_t& socket, std::string const& address)
{
    try
    {
        socket.bind(address);
    }
    catch (zmq::error_t const& fault)
    {
        throw std::runtime_error(
            "cannot listen at " + address + ": " + fault.what());
    }
}

bool try_send(
    zmq::socket_t& socket, std::string const& peer, std::string const& frame)
{
    try
    {
        auto const flags = zmq::send_flags::dontwait;
        if (!socket.send(zmq::buffer(peer), flags | zmq::send_flags::sndmore))
        {
            return false;
        }
        return socket.send(zmq::buffer(frame), flags).has_value();
    }
    catch (zmq::error_t const&)
    {
        return false;
    }
}

} // namespace

peer_bus::peer_bus(
    event_loop& loop,
    release::node_settings const& settings,
    std::uint64_t life)
    : name(settings.name), own_address(settings.address), incarnation(life),
      rewrites(settings.rewrites), context(1),
      inbound(this->context, zmq::socket_type::router),
      outbound(this->context, zmq::socket_type::router)
{
    configure(this->inbound, this->name);
    configure(this->outbound, this->name);
    listen_at(
        this->inbound,
        "tcp://" + settings.address + ":" + std::to_string(settings.peer_port));
    loop.watch(
        this->inbound,
        [this]
        {
            this->receive_all(this->inbound);
        });
    loop.watch(
        this->outbound,
        [this]
        {
            this->receive_all(this->outbound);
        });
}

void peer_bus::on_message(handler receive)
{
    this->receiver = std::move(receive);
}

void peer_bus::on_fault(fault_handler report)
{
    this->reporter = std::move(report);
}

std::string peer_bus::rewritten(std::string const& address) const
{
    for (auto const& rewrite : this->rewrites)
    {
        if (address.starts_with(rewrite.from))
        {
            return rewrite.to + address.substr(rewrite.from.size());
        }
    }
    return address;
}

void peer_bus::connect(std::string const& peer, std::string const& address)
{
    // Leaves from the own address also where a machine has several, so that
    // peers and links can tell whose traffic it is.
    auto const target =
        "tcp://" + this->own_address + ":0;" + this->rewritten(address);
    auto const known = this->connected.find(peer);
    if (known != this->connected.end())
    {
        if (known->second == target)
        {
            return;
        }
        this->disconnect(peer);
    }
    this->connected[peer] = target;
    this->outbound.connect(target);
}

void peer_bus::disconnect(std::string const& peer)
{
    auto const known = this->connected.find(peer);
    if (known == this->connected.end())
    {
        return;
    }
    this->outbound.disconnect(known->second);
    this->connected.erase(known);
}

base::result<void>
peer_bus::send(std::string const& peer, wire::Envelope envelope)
{
    envelope.set_from(this->name);
    envelope.set_from_incarnation(this->incarnation);
    auto const known = this->incarnations.find(peer);
    if (known != this->incarnations.end())
    {
        envelope.set_to_incarnation(known->second);
    }
    auto const frame = envelope.SerializeAsString();
    if (this->connected.contains(peer) && try_send(this->outbound, peer, frame))
    {
        return boost::outcome_v2::success();
    }
    if (try_send(this->inbound, peer, frame))
    {
        return boost::outcome_v2::success();
    }
    return base::fail(base::error_kind::peer_unreachable, peer);
}

void peer_bus::flush_on_close()
{
    this->inbound.set(zmq::sockopt::linger, flush_milliseconds);
    this->outbound.set(zmq::sockopt::linger, flush_milliseconds);
}

void peer_bus::receive_all(zmq::socket_t& socket)
{
    while (true)
    {
        zmq::message_t peer;
        if (!socket.recv(peer, zmq::recv_flags::dontwait))
        {
            return;
        }
        zmq::message_t frame;
        auto more = peer.more();
        auto parts = 1;
        while (more)
        {
            static_cast<void>(socket.recv(frame, zmq::recv_flags::none));
            more = frame.more();
            ++parts;
        }
        if (parts == 2)
        {
            this->receive_one(peer.to_string(), frame);
        }
        else
        {
            this->reporter({base::error_kind::bad_frame, "parts"}, "");
        }
    }
}

void peer_bus::receive_one(std::string peer, zmq::message_t const& frame)
{
    wire::Envelope envelope;
    if (!envelope.ParseFromArray(
            frame.data(), static_cast<int>(frame.size())) ||
        envelope.from() != peer)
    {
        this->reporter({base::error_kind::bad_frame, "unreadable"}, peer);
        return;
    }
    // Failure: a frame meant for this process's earlier life arrives late. A
    // request in it may have been given up as not run. Its incarnation is not
    // ours, so it is dropped.
    if (envelope.to_incarnation() != 0 &&
        envelope.to_incarnation() != this->incarnation)
    {
        this->incarnations[peer] = envelope.from_incarnation();
        this->reporter({base::error_kind::bad_frame, "earlier life"}, peer);
        // Failure: a process restarts under its name and says nothing of its
        // own accord, so its peers go on addressing its earlier life and it
        // drops every frame for ever. An envelope without a body tells them.
        static_cast<void>(this->send(peer, {}));
        return;
    }
    this->incarnations[peer] = envelope.from_incarnation();
    this->receiver(std::move(peer), std::move(envelope));
}

} // namespace foxtailvale::node
