#include "test_address.hpp"

#include <node/peer_bus.hpp>

#include <gtest/gtest.h>

namespace foxtailvale::node
{

namespace
{

release::node_settings settings_for(std::string name, std::uint16_t port)
{
    release::node_settings settings;
    settings.name = std::move(name);
    settings.address = testing::own_address();
    settings.peer_port = port;
    return settings;
}

constexpr std::uint16_t first_port = 46101;
constexpr std::uint16_t second_port = 46102;

} // namespace

TEST(peer_bus, delivers_both_ways_over_one_connection)
{
    event_loop loop;
    peer_bus one(loop, settings_for("one", first_port), 1);
    peer_bus two(loop, settings_for("two", second_port), 2);
    one.on_fault(
        [](base::error const&, std::string const&)
        {
            FAIL();
        });
    two.on_fault(
        [](base::error const&, std::string const&)
        {
            FAIL();
        });
    two.on_message(
        [&](std::string peer, wire::Envelope)
        {
            EXPECT_EQ(peer, "one");
            wire::Envelope answer;
            answer.mutable_leaving();
            EXPECT_TRUE(two.send(peer, answer).has_value());
        });
    one.on_message(
        [&](std::string peer, wire::Envelope envelope)
        {
            EXPECT_EQ(peer, "two");
            EXPECT_TRUE(envelope.has_leaving());
            loop.stop();
        });
    one.connect(
        "two", testing::own_address() + ":" + std::to_string(second_port));
    loop.call_every(
        std::chrono::milliseconds(5),
        [&]
        {
            wire::Envelope hello;
            hello.mutable_leaving();
            static_cast<void>(one.send("two", hello));
        });
    loop.run();
}

// An agent restarts under its name while its peers address its earlier
// incarnation. Unless it tells them, every request to it is dropped until they
// restart too.
TEST(peer_bus, a_restarted_peer_is_reached_again)
{
    event_loop loop;
    auto const where =
        testing::own_address() + ":" + std::to_string(second_port);
    peer_bus one(loop, settings_for("one", first_port), 1);
    peer_bus two(loop, settings_for("two", second_port), 2);
    auto const ignore_fault = [](base::error const&, std::string const&) {};
    wire::Envelope hello;
    hello.set_to_incarnation(1);
    hello.mutable_leaving();
    one.on_fault(ignore_fault);
    two.on_fault(ignore_fault);
    two.on_message([](std::string const&, wire::Envelope const&) {});
    one.on_message(
        [&](std::string const& peer, wire::Envelope const& envelope)
        {
            EXPECT_EQ(peer, "two");
            EXPECT_EQ(envelope.from_incarnation(), 2U);
            EXPECT_EQ(envelope.body_case(), wire::Envelope::BODY_NOT_SET);
            loop.stop();
        });
    one.connect("two", where);
    loop.call_every(
        std::chrono::milliseconds(5),
        [&]
        {
            static_cast<void>(one.send("two", hello));
        });
    loop.run();
}

// A send to a peer that is not connected must fail at once: only then may a
// request go elsewhere as "not run".
TEST(peer_bus, says_when_a_frame_did_not_leave)
{
    event_loop loop;
    peer_bus one(loop, settings_for("one", first_port), 1);
    wire::Envelope hello;
    hello.mutable_leaving();
    EXPECT_EQ(
        one.send("nobody", hello).error().kind,
        base::error_kind::peer_unreachable);
}

// An operator starts an entry twice, or with a port that is in use. The message
// must name the address, since settings contain several.
TEST(peer_bus, names_the_address_that_it_cannot_listen_at)
{
    event_loop loop;
    auto const settings = settings_for("one", first_port);
    peer_bus const one(loop, settings, 1);
    try
    {
        peer_bus const two(loop, settings, 2);
        FAIL() << "listens twice";
    }
    catch (std::runtime_error const& fault)
    {
        auto const address =
            testing::own_address() + ":" + std::to_string(first_port);
        EXPECT_NE(std::string(fault.what()).find(address), std::string::npos)
            << fault.what();
    }
}

// A stranger sends bytes that are not a frame, a frame with a false sender and
// a message with a surplus part. Each is dropped and reported; the frames of a
// peer still arrive.
TEST(peer_bus, drops_and_reports_bad_frames)
{
    event_loop loop;
    peer_bus one(loop, settings_for("one", first_port), 1);
    std::vector<base::error_kind> faults;
    one.on_fault(
        [&](base::error const& error, std::string const&)
        {
            faults.push_back(error.kind);
        });
    std::string received_from;
    one.on_message(
        [&](std::string peer, wire::Envelope)
        {
            received_from = std::move(peer);
            loop.stop();
        });
    zmq::context_t context;
    zmq::socket_t stranger(context, zmq::socket_type::dealer);
    stranger.set(zmq::sockopt::linger, 0);
    stranger.set(zmq::sockopt::routing_id, "stranger");
    stranger.connect(
        "tcp://" + testing::own_address() + ":" + std::to_string(first_port));
    wire::Envelope hello;
    hello.mutable_leaving();
    hello.set_from("somebody else");
    stranger.send(zmq::str_buffer("\xff\xff no frame"), zmq::send_flags::none);
    stranger.send(
        zmq::buffer(hello.SerializeAsString()), zmq::send_flags::none);
    stranger.send(zmq::str_buffer("one"), zmq::send_flags::sndmore);
    stranger.send(zmq::str_buffer("two"), zmq::send_flags::none);
    hello.set_from("stranger");
    stranger.send(
        zmq::buffer(hello.SerializeAsString()), zmq::send_flags::none);
    loop.run();
    EXPECT_EQ(received_from, "stranger");
    EXPECT_EQ(
        faults, std::vector<base::error_kind>(3, base::error_kind::bad_frame));
}

} // namespace foxtailvale::node
