#include <gateway/traffic.hpp>

#include <utility>

namespace foxtailvale::gateway
{

namespace
{

std::map<std::string, std::string>
domains_by_ip(direct::endpoint_table const& known)
{
    std::map<std::string, std::string> found;
    for (auto const& [domain, entries] : known.domain_entries)
    {
        for (auto const& entry : entries)
        {
            found[entry] = domain;
        }
    }
    for (auto const& [id, state] : known.endpoints)
    {
        auto const& address = state.listed.address;
        found[address.substr(0, address.rfind(':'))] =
            state.listed.failure_domain;
    }
    return found;
}

} // namespace

void note_received(
    traffic_counts& counts,
    std::string const& kind,
    std::string const& sender,
    std::size_t bytes)
{
    counts.received[{kind, sender}] += bytes;
}

void flush_traffic(
    traffic_counts& counts,
    direct::endpoint_table const& known,
    std::string const& own_domain,
    kernel::metrics& counters)
{
    if (counts.received.empty())
    {
        return;
    }
    auto const domains = domains_by_ip(known);
    std::map<std::pair<std::string, std::string>, std::uint64_t> sums;
    for (auto const& [key, bytes] : std::exchange(counts.received, {}))
    {
        auto const& [kind, sender] = key;
        auto const found = domains.find(sender);
        auto const* where = found == domains.end()        ? "unknown"
                            : found->second == own_domain ? "own"
                                                          : "other";
        sums[{kind, where}] += bytes;
    }
    for (auto const& [key, bytes] : sums)
    {
        counters.count(
            "foxtailvale_peer_bytes_total",
            {{"kind", key.first}, {"domain", key.second}},
            static_cast<double>(bytes));
    }
}

} // namespace foxtailvale::gateway
