#include <gateway/traffic.hpp>

#include <gtest/gtest.h>

namespace foxtailvale::gateway
{

// Guards against links that fill up and nothing tells with what.
TEST(traffic, is_counted_by_kind_and_by_where_it_came_from)
{
    traffic_book book;
    direct::endpoint_table known;
    known.domain_entries["a"] = {"10.0.0.1"};
    direct::endpoint_record record;
    record.id = "e";
    record.address = "10.0.1.1:80";
    record.failure_domain = "b";
    direct::put(known, record);
    note_received(book, "page", "10.0.0.1", 100);
    note_received(book, "page", "10.0.0.1", 20);
    note_received(book, "reports", "10.0.1.1", 7);
    note_received(book, "reports", "10.0.9.9", 3);
    kernel::metrics counters;
    tell_traffic(book, known, "a", counters);
    tell_traffic(book, known, "a", counters);
    auto const text = counters.expose();
    auto const line = [&text](std::string const& labels, std::string value)
    {
        return text.find(
                   "foxtailvale_peer_bytes_total{" + labels + "} " + value) !=
               std::string::npos;
    };
    EXPECT_TRUE(line("domain=\"own\",kind=\"page\"", "120")) << text;
    EXPECT_TRUE(line("domain=\"other\",kind=\"reports\"", "7")) << text;
    EXPECT_TRUE(line("domain=\"unknown\",kind=\"reports\"", "3")) << text;
}

} // namespace foxtailvale::gateway
