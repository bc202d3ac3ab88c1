#include <gateway/traffic.hpp>

#include <gtest/gtest.h>

namespace foxtailvale::gateway
{

// Guards against links that fill up while no metric shows which messages fill
// them.
TEST(traffic, is_counted_by_kind_and_sender_domain)
{
    traffic_counts counts;
    direct::endpoint_table known;
    known.domain_entries["a"] = {"10.0.0.1"};
    direct::endpoint_record record;
    record.id = "e";
    record.address = "10.0.1.1:80";
    record.failure_domain = "b";
    direct::put(known, record);
    note_received(counts, "page", "10.0.0.1", 100);
    note_received(counts, "page", "10.0.0.1", 20);
    note_received(counts, "reports", "10.0.1.1", 7);
    note_received(counts, "reports", "10.0.9.9", 3);
    kernel::metrics counters;
    flush_traffic(counts, known, "a", counters);
    flush_traffic(counts, known, "a", counters);
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
