#include <entry_core/entry_core.hpp>

#include <gtest/gtest.h>

namespace foxtailvale::entry_core
{

namespace
{

using std::chrono::milliseconds;

state make_entry()
{
    state entry;
    entry.self = {"entry-1", "split-a", "dalmacija", 100};
    entry.control.configuration.generation = 4;
    entry.control.configuration.models["assistant"].digest = "d1";
    entry.control.configuration.services["booking"] = {};
    return entry;
}

bool is_ready_at(state& entry, int time)
{
    step(entry, core::tick{}, base::time_point(milliseconds(time)));
    return entry.control.readiness.ready;
}

} // namespace

// Failure: an entry is restarted under load, and the load balancer routes
// callers to it as soon as it is ready. It has the configuration at once but
// hears from agents later, and would refuse every caller until then.
TEST(readiness, waits_for_an_endpoint_of_each_kind)
{
    auto entry = make_entry();
    EXPECT_FALSE(is_ready_at(entry, 0));
    auto& engine = entry.control.endpoints["agent-1"];
    engine.serving["assistant"] = "d0";
    engine.limit = 1;
    EXPECT_FALSE(is_ready_at(entry, 100));
    auto& booking = entry.control.endpoints["agent-2"];
    booking.service = "booking";
    booking.limit = 0;
    EXPECT_FALSE(is_ready_at(entry, 200));
    booking.limit = 1;
    EXPECT_TRUE(is_ready_at(entry, 300));
    entry.control.endpoints.clear();
    EXPECT_TRUE(is_ready_at(entry, 400));
}

// Failure: a complete failure domain is cut off, or no endpoint serves a model
// yet. If entries waited without limit, none would be ready for the requests
// that the other endpoints could still serve.
TEST(readiness, does_not_wait_for_ever)
{
    auto entry = make_entry();
    EXPECT_FALSE(is_ready_at(entry, 1000));
    EXPECT_FALSE(is_ready_at(entry, 5999));
    EXPECT_TRUE(is_ready_at(entry, 6000));
}

TEST(readiness, needs_a_configuration)
{
    state entry;
    EXPECT_FALSE(is_ready_at(entry, 0));
    EXPECT_FALSE(is_ready_at(entry, 60'000));
}

} // namespace foxtailvale::entry_core
