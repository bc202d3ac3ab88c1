#include <gateway/event_splitter.hpp>

#include <gtest/gtest.h>

namespace foxtailvale::gateway
{

TEST(event_splitter, only_complete_events_are_returned)
{
    event_splitter state;
    EXPECT_TRUE(split(state, "id: 1\nda").empty());
    auto const first = split(state, "ta: a\n\nid: 2\n");
    ASSERT_EQ(first.size(), 1U);
    EXPECT_EQ(first[0].bytes, "id: 1\ndata: a\n\n");
    EXPECT_EQ(first[0].id, 1U);
    EXPECT_EQ(state.incomplete, "id: 2\n");
}

TEST(event_splitter, splits_at_any_byte_give_the_same_events)
{
    std::string const text =
        "id:7\r\ndata: a\r\n\r\n: note\n\nid: 8\ndata: b\ndata: c\n\n";
    event_splitter whole;
    auto const expected = split(whole, text);
    ASSERT_EQ(expected.size(), 3U);
    EXPECT_EQ(expected[0].id, 7U);
    EXPECT_FALSE(expected[1].id);
    EXPECT_EQ(expected[2].id, 8U);
    for (std::size_t cut = 0; cut <= text.size(); ++cut)
    {
        event_splitter state;
        auto events = split(state, text.substr(0, cut));
        for (auto& event : split(state, text.substr(cut)))
        {
            events.push_back(std::move(event));
        }
        ASSERT_EQ(events.size(), expected.size()) << cut;
        for (std::size_t index = 0; index < events.size(); ++index)
        {
            EXPECT_EQ(events[index].bytes, expected[index].bytes);
            EXPECT_EQ(events[index].id, expected[index].id);
        }
    }
}

} // namespace foxtailvale::gateway
