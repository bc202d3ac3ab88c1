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
    made.has_workspaces = true;
    made.workspaces["w"] = {.name = "w", .priority = 1, .regions = {}};
    made.keys["k"] = "w";
    sort_routes(made);
    return made;
}

milliseconds const fresh{100};
milliseconds const old{4000};

error_kind refusal_of(configuration const* current, admission_ask const& ask)
{
    auto const permitted = permit(current, ask, {});
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

// An entry starts while the platform is away. It answers callers "no such
// route", they do not come back, and the route was there all along.
TEST(permit, without_a_configuration_nothing_is_denied)
{
    EXPECT_EQ(
        refusal_of(nullptr, {"a.example", "/x/", "k", fresh}),
        error_kind::no_configuration);
}

TEST(permit, tells_routes_and_keys_apart)
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

// A machine is cut off from the platform and a key is taken away meanwhile.
// Its former holder is still served there.
TEST(permit, a_key_is_not_used_on_an_old_view)
{
    auto const current = two_routes();
    EXPECT_EQ(
        refusal_of(&current, {"a.example", "/x/", "k", old}),
        error_kind::stale_configuration);
}

// A machine that was suspended wakes with an old view. A route added meanwhile
// is denied for good instead of "come back".
TEST(permit, an_old_view_denies_nothing_for_good)
{
    auto const current = two_routes();
    EXPECT_EQ(
        refusal_of(&current, {"a.example", "/none/", "k", old}),
        error_kind::stale_configuration);
    EXPECT_EQ(
        refusal_of(&current, {"a.example", "/x/", "other", old}),
        error_kind::stale_configuration);
}

// Random views, keys and ages: a caller with a key is served only on a view
// that is young enough to know of every withdrawal in its time, and nobody is
// denied for good on an older one.
TEST(permit, no_course_uses_a_key_or_denies_on_a_view_past_its_limit)
{
    base::random_state random{17};
    view_limits const limits;
    char const* const paths[] = {"/x/", "/none/", "/x/y/z"};
    char const* const keys[] = {"k", "other", ""};
    for (auto course = 0; course < 20000; ++course)
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
                << "seed 17, course " << course;
            continue;
        }
        auto const kind = permitted.error().kind;
        if (age > limits.max_age_for_denials)
        {
            EXPECT_EQ(base::row_of(kind).status, 503)
                << "seed 17, course " << course;
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

TEST(permit, both_the_routes_and_the_workspaces_regions_bind)
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

} // namespace foxtailvale::routing
