#include <net/server_capacity.hpp>

#include <gtest/gtest.h>

#include <vector>

// Who goes first when clients hold more than their server's capacity.
namespace foxtailvale::net
{

namespace
{

using std::chrono::milliseconds;

constexpr std::size_t kib = 1024;
constexpr std::size_t mib = kib * kib;

constexpr server_capacity capacity{100, 16 * mib, 16 * mib};

session_load reading(std::size_t bytes, milliseconds age)
{
    return {
        .state = session_state::reading,
        .request_bytes = bytes,
        .request_age = age};
}

total_load holding(std::size_t bytes, std::size_t large_bytes)
{
    return {.request_bytes = bytes, .large_request_bytes = large_bytes};
}

} // namespace

// Guards against a caller who sends steadily and is refused for those who
// stopped before the end of their bodies.
TEST(request_to_refuse, is_the_one_that_held_most_for_the_longest_time)
{
    std::vector<session_load> const sessions{
        reading(mib, milliseconds(10000)), reading(4 * mib, milliseconds(8000)),
        reading(4 * mib, milliseconds(100))};
    EXPECT_EQ(
        choose_request_to_refuse(
            sessions, holding(20 * mib, 9 * mib), capacity),
        1U);
}

// Guards against small requests that are refused as large ones take all room.
TEST(request_to_refuse, is_large_while_only_large_ones_exceed_their_share)
{
    std::vector<session_load> const sessions{
        reading(kib, milliseconds(60'000'000)), reading(mib, milliseconds(10))};
    auto const all = holding(15 * mib, 15 * mib);
    EXPECT_TRUE(exceeds_requests(all, capacity));
    EXPECT_EQ(choose_request_to_refuse(sessions, all, capacity), 1U);
    EXPECT_FALSE(exceeds_requests(holding(15 * mib, 11 * mib), capacity));
}

// Guards against a refusal that says "not run" of a request that an endpoint
// has.
TEST(request_to_refuse, is_never_one_that_is_handled)
{
    auto handled = reading(8 * mib, milliseconds(9000));
    handled.state = session_state::busy;
    EXPECT_EQ(
        choose_request_to_refuse(
            std::vector{handled}, holding(20 * mib, 20 * mib), capacity),
        std::nullopt);
}

// Guards against requests under way that are cut for a new connection, and
// against kept connections that go before those that never sent anything.
TEST(connection_to_close, goes_by_what_its_client_would_lose)
{
    auto const with = [](session_state state, bool has_answered)
    {
        return session_load{
            .state = state,
            .quiet_time = milliseconds(1000),
            .has_answered = has_answered};
    };
    std::vector<session_load> sessions{with(session_state::busy, true),
                                       with(session_state::writing, true),
                                       with(session_state::reading, false),
                                       with(session_state::idle, true),
                                       with(session_state::idle, false),
                                       with(session_state::lingering, true)};
    for (auto const expected : {5U, 4U, 3U, 2U})
    {
        auto const chosen = choose_connection_to_close(sessions);
        EXPECT_EQ(chosen, expected);
        sessions[expected].state = session_state::closed;
    }
    EXPECT_EQ(choose_connection_to_close(sessions), std::nullopt);
}

// Guards against a caller who reads on and is cut for one who reads nothing.
TEST(reader_to_close, is_the_one_whose_bytes_stand_still)
{
    auto const unread = [](std::size_t bytes, milliseconds age)
    {
        return session_load{
            .state = session_state::busy,
            .unsent_bytes = bytes,
            .unsent_age = age};
    };
    EXPECT_EQ(
        choose_reader_to_close(std::vector{
            unread(4 * mib, milliseconds(20)), unread(mib, milliseconds(9000)),
            unread(0, milliseconds(90000))}),
        1U);
    EXPECT_EQ(
        choose_reader_to_close(std::vector{unread(0, milliseconds(9000))}),
        std::nullopt);
}

// Guards against shares that together exceed the memory of the smallest VM or
// its sockets, and against one body of the usual limit that does not fit.
TEST(capacity, leaves_room_for_the_rest_of_the_process)
{
    constexpr process_limits smallest{160 * mib, 3900};
    auto const callers = caller_capacity(smallest);
    auto const answers = callers.unsent_bytes;
    EXPECT_LE(
        callers.request_bytes + callers.unsent_bytes + answers,
        smallest.memory_bytes * 2 / 3);
    auto const peers = peer_capacity(smallest);
    EXPECT_LT(
        2 * callers.connections + peers.connections +
            2 * question_capacity().connections,
        smallest.sockets);
    EXPECT_GT(
        callers.request_bytes * large_requests_percent / 100, 2 * 4 * mib);
}

} // namespace foxtailvale::net
