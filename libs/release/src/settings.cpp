#include <release/object_reader.hpp>
#include <release/settings.hpp>

#include <algorithm>

namespace foxtailvale::release
{

namespace
{

using std::chrono::milliseconds;

constexpr std::uint64_t min_port = 1;
constexpr std::uint64_t max_port = 65535;
constexpr std::uint64_t max_mbit = 1'000'000;
// The load balancer polls readiness about once a second; entries learn that an
// agent is leaving from its next heartbeat.
constexpr milliseconds default_entry_stop_grace{2000};
constexpr milliseconds default_agent_stop_grace{1000};
constexpr milliseconds max_stop_grace{60'000};
constexpr std::uint64_t mebibyte = 1024U * 1024U;
constexpr std::uint64_t max_bodies_bytes = 16384 * mebibyte;

std::uint16_t read_port(object_reader& reader, std::string_view key)
{
    return static_cast<std::uint16_t>(reader.number(key, min_port, max_port));
}

std::string read_base_address(object_reader& reader, std::string_view key)
{
    auto text = reader.text(key);
    if (!text.empty() && !text.starts_with("http://"))
    {
        reader.add_fault(key, "must begin with http://");
    }
    return text;
}

node_settings read_node(object_reader& reader, milliseconds stop_grace)
{
    node_settings node;
    node.name = reader.text("name");
    node.failure_domain = reader.text("failure_domain");
    node.region = reader.text("region");
    node.address = reader.text("address");
    node.peer_port = read_port(reader, "peer_port");
    node.operator_port = read_port(reader, "operator_port");
    node.platform = read_base_address(reader, "platform");
    node.stop_grace = reader.milliseconds_or(
        "stop_grace_ms", stop_grace, milliseconds(0), max_stop_grace);
    node.log_level = reader.text_or("log_level", node.log_level);
    for (std::size_t index = 0; index < reader.size("address_rewrites");
         ++index)
    {
        auto entry = reader.element("address_rewrites", index);
        node.rewrites.push_back({entry.text("from"), entry.text("to")});
        entry.finish();
    }
    return node;
}

} // namespace

entry_settings read_entry_settings(document& source)
{
    object_reader reader(source, "", source.faults);
    entry_settings settings;
    settings.node = read_node(reader, default_entry_stop_grace);
    settings.caller_port = read_port(reader, "caller_port");
    settings.max_requests = static_cast<std::uint32_t>(
        reader.number_or("most_requests", settings.max_requests, 1, 100'000));
    settings.most_body_bytes =
        reader.number_or("most_body_bytes", mebibyte, 1024, 64 * mebibyte);
    // The text of a body grows by doubling.
    auto const least_bodies_bytes = 2 * settings.most_body_bytes;
    settings.max_bodies_bytes = reader.number_or(
        "most_bodies_bytes",
        std::max(settings.max_bodies_bytes, least_bodies_bytes),
        least_bodies_bytes, max_bodies_bytes);
    settings.default_deadline = reader.milliseconds_or(
        "default_deadline_ms", milliseconds(30'000), milliseconds(10),
        milliseconds(3'600'000));
    settings.max_deadline = reader.milliseconds_or(
        "longest_deadline_ms", milliseconds(120'000), milliseconds(10),
        milliseconds(3'600'000));
    reader.finish();
    return settings;
}

agent_settings read_agent_settings(document& source)
{
    object_reader reader(source, "", source.faults);
    agent_settings settings;
    settings.node = read_node(reader, default_agent_stop_grace);
    settings.endpoint = read_base_address(reader, "endpoint");
    settings.service = reader.text_or("service", "");
    settings.origin = read_base_address(reader, "origin");
    settings.weights_port = read_port(reader, "weights_port");
    settings.spool_bytes =
        mebibyte * reader.number_or("spool_mib", 512, 1, 1024U * 1024U);
    settings.upload_mbit = static_cast<std::uint32_t>(
        reader.number_or("upload_mbit", 0, 0, max_mbit));
    settings.origin_link_mbit = static_cast<std::uint32_t>(
        reader.number_or("origin_link_mbit", 0, 0, max_mbit));
    settings.live_reserve_percent = static_cast<std::uint32_t>(
        reader.number_or("live_reserve_percent", 8, 0, 90));
    settings.distribution = reader.text_or("distribution", "forest");
    if (settings.distribution != "forest" && settings.distribution != "swarm" &&
        settings.distribution != "origin")
    {
        reader.add_fault("distribution", "must be forest, swarm or origin");
    }
    settings.memory_mib = static_cast<std::uint32_t>(
        reader.number_or("memory_mib", 1024, 1, 16U * 1024U * 1024U));
    reader.finish();
    return settings;
}

} // namespace foxtailvale::release
