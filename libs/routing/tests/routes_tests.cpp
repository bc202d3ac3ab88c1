#include <base/random.hpp>
#include <routing/routes.hpp>

#include <gtest/gtest.h>

#include <map>

namespace foxtailvale::routing
{

namespace
{

using base::error_kind;
using std::chrono::milliseconds;

route route_to(std::string prefix, std::string service)
{
    route made;
    made.host = "a.example";
    made.path_prefix = std::move(prefix);
    made.services = {{std::move(service), 1}};
    return made;
}

configuration two_routes()
{
    configuration made;
    made.version = 7;
    made.routes["a.example"] = {
        route_to("/x/", "short"), route_to("/x/y/", "long")};
    made.needs_keys = true;
    made.workspaces["w"] = {.name = "w", .priority = 1, .regions = {}};
    made.keys["k"] = "w";
    sort_routes(made);
    return made;
}

milliseconds const fresh{100};
milliseconds const old{4000};

error_kind refusal_of(configuration const* current, permit_query const& query)
{
    auto const permitted = permit(current, query, {});
    return permitted.has_error() ? permitted.error().kind
                                 : error_kind::internal;
}

} // namespace

TEST(routes, the_longest_prefix_of_the_host_wins)
{
    auto const current = two_routes();
    EXPECT_EQ(
        find_route(current, "A.example:80", "/x/y/z?q=/x/")->path_prefix,
        "/x/y/");
    EXPECT_EQ(find_route(current, "a.example", "/x/yy")->path_prefix, "/x/");
    EXPECT_EQ(find_route(current, "a.example", "/xy/"), nullptr);
    EXPECT_EQ(find_route(current, "b.example", "/x/"), nullptr);
}

TEST(routes, a_split_keeps_its_weights_and_is_stable)
{
    auto split = route_to("/", "a");
    split.services = {{"a", 90}, {"b", 10}};
    std::map<std::string, int> counts;
    for (auto number = 0; number < 10000; ++number)
    {
        auto const token = std::to_string(number);
        auto const& chosen = choose_service(split, token);
        EXPECT_EQ(chosen, choose_service(split, token));
        ++counts[chosen];
    }
    EXPECT_NEAR(counts["b"], 1000, 150);
}

TEST(routes, a_service_of_weight_zero_gets_nothing)
{
    auto split = route_to("/", "a");
    split.services = {{"a", 0}, {"b", 5}};
    for (auto number = 0; number < 100; ++number)
    {
        EXPECT_EQ(choose_service(split, std::to_string(number)), "b");
    }
}

// An entry starts while the platform is unreachable. If it answered "no such
// route", callers would not retry although the route exists.
TEST(permit, without_a_configuration_nothing_is_denied)
{
    EXPECT_EQ(
        refusal_of(nullptr, {"a.example", "/x/", "k", fresh}),
        error_kind::no_configuration);
}

TEST(permit, unknown_routes_and_unknown_keys_are_reported_apart)
{
    auto const current = two_routes();
    EXPECT_EQ(
        refusal_of(&current, {"a.example", "/none/", "k", fresh}),
        error_kind::unknown_route);
    EXPECT_EQ(
        refusal_of(&current, {"a.example", "/x/", "other", fresh}),
        error_kind::unknown_key);
    EXPECT_EQ(
        refusal_of(&current, {"a.example", "/x/", "", fresh}),
        error_kind::unknown_key);
    auto const permitted =
        permit(&current, {"a.example", "/x/", "k", fresh}, {});
    ASSERT_TRUE(permitted.has_value());
    EXPECT_EQ(permitted.value().owner->name, "w");
    EXPECT_EQ(permitted.value().priority, 1U);
}

// A key is revoked while a machine is cut off from the platform. Without the
// age limit the machine would still serve the key's former holder.
TEST(permit, a_key_is_not_accepted_on_an_old_view)
{
    auto const current = two_routes();
    EXPECT_EQ(
        refusal_of(&current, {"a.example", "/x/", "k", old}),
        error_kind::stale_configuration);
}

// A suspended machine resumes with an old view. Without the age limit, a route
// added since would be denied permanently instead of with a retryable error.
TEST(permit, an_old_view_gives_no_permanent_denial)
{
    auto const current = two_routes();
    EXPECT_EQ(
        refusal_of(&current, {"a.example", "/none/", "k", old}),
        error_kind::stale_configuration);
    EXPECT_EQ(
        refusal_of(&current, {"a.example", "/x/", "other", old}),
        error_kind::stale_configuration);
}

// With random views, keys and ages: a request with a key is permitted only on a
// view within the age limit, which contains every revocation older than that
// limit, and no request is denied permanently on an older view.
TEST(permit, a_view_past_its_limit_accepts_no_key_and_gives_no_permanent_denial)
{
    base::random_state random{17};
    view_limits const limits;
    char const* const paths[] = {"/x/", "/none/", "/x/y/z"};
    char const* const keys[] = {"k", "other", ""};
    for (auto scenario = 0; scenario < 20000; ++scenario)
    {
        auto current = two_routes();
        auto const is_open = base::random_below(random, 4) == 0;
        for (auto& route : current.routes["a.example"])
        {
            route.open = is_open;
        }
        view_age const age(base::random_below(random, 8000));
        auto const permitted = permit(
            base::random_below(random, 10) == 0 ? nullptr : &current,
            {"a.example", paths[base::random_below(random, 3)],
             keys[base::random_below(random, 3)], age},
            limits);
        if (permitted.has_value())
        {
            EXPECT_TRUE(is_open || age <= limits.max_age_for_keys)
                << "seed 17, scenario " << scenario;
            continue;
        }
        auto const kind = permitted.error().kind;
        if (age > limits.max_age_for_denials)
        {
            EXPECT_EQ(base::row_of(kind).status, 503)
                << "seed 17, scenario " << scenario;
        }
    }
}

TEST(permit, open_routes_need_no_key_at_any_age)
{
    auto current = two_routes();
    current.routes["a.example"].front().open = true;
    auto const permitted =
        permit(&current, {"a.example", "/x/y/", "", old}, {});
    ASSERT_TRUE(permitted.has_value());
    EXPECT_EQ(permitted.value().owner, nullptr);
}

TEST(permit, regions_must_be_allowed_by_route_and_workspace)
{
    auto current = two_routes();
    current.routes["a.example"].back().regions = {"r1", "r2"};
    current.workspaces["w"].regions = {"r2", "r3"};
    auto const permitted =
        permit(&current, {"a.example", "/x/", "k", fresh}, {});
    ASSERT_TRUE(permitted.has_value());
    EXPECT_EQ(permitted.value().regions, std::set<std::string>{"r2"});
    current.workspaces["w"].regions = {"r3"};
    EXPECT_EQ(
        refusal_of(&current, {"a.example", "/x/", "k", fresh}),
        error_kind::no_region);
}

// Failure: a workspace of low priority waited longer at an entry than one of
// high priority, because its route has a longer goal.
TEST(routes, no_goal_is_longer_than_that_of_a_higher_priority)
{
    auto current = two_routes();
    auto& routes = current.routes["a.example"];
    routes[0].services = routes[1].services;
    EXPECT_FALSE(differ_in_priority(current, "short"));
    routes[0].priority = 2;
    routes[0].goal = milliseconds(800);
    routes[1].goal = milliseconds(400);
    EXPECT_TRUE(differ_in_priority(current, "short"));
    EXPECT_FALSE(differ_in_priority(current, "long"));
    EXPECT_EQ(shortest_goal(current, "short", 2), milliseconds(400));
    routes[0].goal = milliseconds(300);
    EXPECT_EQ(shortest_goal(current, "short", 1), milliseconds(400));
    EXPECT_EQ(shortest_goal(current, "long", 2), std::nullopt);
}

} // namespace foxtailvale::routing
