#include <release/release_note.hpp>

#include <gtest/gtest.h>

namespace foxtailvale::release
{

namespace
{

std::string const digest(64, 'a');

std::string first_note()
{
    return R"({"note": 1, "follows": 0, "added": {
        "domains": {"split-a": {"region": "dalmacija"}},
        "models": {"assistant": {"digest": ")" +
           digest + R"(", "replicas": {"split-a": 2}}}}})";
}

configuration accept(configuration const& in_force, std::string const& text)
{
    auto source = parse_document("note", text);
    auto const note = read_release_note(source);
    auto next = apply_note(in_force, note, source);
    EXPECT_TRUE(source.faults.empty()) << describe(source, source.faults);
    return next;
}

} // namespace

TEST(release_note, adds_a_domain_and_takes_it_out)
{
    auto const one = accept({}, first_note());
    EXPECT_EQ(one.generation, 1U);
    EXPECT_EQ(one.models.at("assistant").replicas.at("split-a"), 2U);
    auto const two = accept(one, R"({"note": 2, "follows": 1,
                 "failure_domains": {"split-a": "out"}})");
    EXPECT_FALSE(two.domains.at("split-a").in);
    EXPECT_EQ(parse_configuration(to_text(two)).value(), two);
}

TEST(release_note, lists_all_conflicts_with_the_configuration_in_force)
{
    auto const one = accept({}, first_note());
    auto source = parse_document("note", R"({"note": 5, "follows": 3,
        "changed": {"models": {"other": {"digest": "xyz"}}},
        "withdrawn": {"services": ["gone"]},
        "failure_domains": {"nowhere": "out"}})");
    auto const note = read_release_note(source);
    apply_note(one, note, source);
    auto const text = describe(source, source.faults);
    for (auto const* const expected :
         {"but note 1 is in force", "/changed/models/other: is not there",
          "64 lower-case", "gone is not there", "not a known failure domain"})
    {
        EXPECT_NE(text.find(expected), std::string::npos) << expected;
    }
}

} // namespace foxtailvale::release
