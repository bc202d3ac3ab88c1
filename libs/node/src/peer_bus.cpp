#include <node/peer_bus.hpp>

#include <stdexcept>
#include <utility>

namespace foxtailvale::node
{

namespace
{

// Largest accepted frame in bytes: the largest chunk with room for its
// envelope.
constexpr std::int64_t max_frame_bytes = 80LL * 1024 * 1024;

// ZeroMQ's heartbeats detect dead connections that carry no traffic, in
// milliseconds. Sized for an entry with 300 connections: at one heartbeat a
// second, they alone would exceed the byte budget of all control traffic. Dead
// connections in use are detected sooner, by unacknowledged bytes.
constexpr int heartbeat_interval_ms = 15'000;
constexpr int heartbeat_timeout_ms = 30'000;

// A network partition loses frames. When it heals, TCP waits for its next
// retransmission, by then many seconds away, and peers seem unreachable for
// that long. A connection with bytes unacknowledged for the first time limit is
// therefore closed, and a connection attempt abandoned after the second, so
// that a new one is made within a second of the end of the partition. In
// milliseconds.
constexpr int unacknowledged_timeout_ms = 3000;
constexpr int connect_timeout_ms = 1000;

// Limit of the frames queued for one peer. The protocols above keep what is in
// flight per peer well below it; beyond it a send fails rather than waits.
constexpr int max_queued_frames = 10'000;

// How long the exit of a process may wait for its last frames.
constexpr int flush_timeout_ms = 1000;

void configure(zmq::socket_t& socket, std::string const& name)
{
    socket.set(zmq::sockopt::routing_id, name);
    socket.set(zmq::sockopt::router_mandatory, true);
    // A restarted process takes over the connection of its name.
    socket.set(zmq::sockopt::router_handover, true);
    socket.set(zmq::sockopt::linger, 0);
    socket.set(zmq::sockopt::maxmsgsize, max_frame_bytes);
    socket.set(zmq::sockopt::heartbeat_ivl, heartbeat_interval_ms);
    socket.set(zmq::sockopt::heartbeat_timeout, heartbeat_timeout_ms);
    socket.set(zmq::sockopt::tcp_maxrt, unacknowledged_timeout_ms);
    socket.set(zmq::sockopt::connect_timeout, connect_timeout_ms);
    socket.set(zmq::sockopt::sndhwm, max_queued_frames);
    socket.set(zmq::sockopt::rcvhwm, max_queued_frames);
    // Queues frames for established connections only and drops them with the
    // connection. Otherwise, a frame queued for a peer that is gone would be
    // sent after the reconnect, long after its request timed out.
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
    std::uint64_t own_incarnation)
    : name(settings.name), own_address(settings.address),
      incarnation(own_incarnation), rewrites(settings.rewrites), context(1),
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
    // Connects from the configured address also where a machine has several, so
    // that peers and links can tell whose traffic it is.
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
    auto const sent = (this->connected.contains(peer) &&
                       try_send(this->outbound, peer, frame)) ||
                      try_send(this->inbound, peer, frame);
    if (!sent)
    {
        return base::fail(base::error_kind::peer_unreachable, peer);
    }
    auto const kind = static_cast<std::size_t>(kind_of(envelope.body_case()));
    this->counted.sent[kind] += frame.size();
    return boost::outcome_v2::success();
}

traffic peer_bus::take_traffic()
{
    return std::exchange(this->counted, {});
}

void peer_bus::flush_on_close()
{
    this->inbound.set(zmq::sockopt::linger, flush_timeout_ms);
    this->outbound.set(zmq::sockopt::linger, flush_timeout_ms);
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
    auto const kind = static_cast<std::size_t>(kind_of(envelope.body_case()));
    this->counted.received[kind] += frame.size();
    // A frame addressed to an earlier incarnation of this process arrives late.
    // A request in it may have been abandoned as not run, so it must not be
    // executed: the frame is dropped.
    if (envelope.to_incarnation() != 0 &&
        envelope.to_incarnation() != this->incarnation)
    {
        this->incarnations[peer] = envelope.from_incarnation();
        this->reporter(
            {base::error_kind::bad_frame,
             "addressed to an earlier incarnation"},
            peer);
        // A process that restarts under its name may send nothing on its own:
        // its peers would keep addressing the earlier incarnation, and it would
        // drop every frame for ever. An envelope without a body tells them the
        // new one.
        static_cast<void>(this->send(peer, {}));
        return;
    }
    this->incarnations[peer] = envelope.from_incarnation();
    this->receiver(std::move(peer), std::move(envelope));
}

} // namespace foxtailvale::node
