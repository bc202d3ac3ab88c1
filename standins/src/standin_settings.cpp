#include <release/object_reader.hpp>

#include <standins/standins.hpp>

namespace foxtailvale::standins
{

namespace
{

using release::object_reader;
using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr std::uint64_t max_bytes = 1ULL << 34U;
constexpr std::uint64_t max_rate = 1ULL << 40U;
constexpr milliseconds max_time{600'000};
// Each long stream and each waiting watch occupies a thread.
constexpr std::uint16_t server_threads = 512;

http::server_options read_listen(object_reader& reader)
{
    http::server_options options;
    options.address = reader.text("address");
    options.port = static_cast<std::uint16_t>(reader.number("port", 1, 65535));
    options.max_threads = server_threads;
    return options;
}

platform_settings read_platform(object_reader reader, release::document& source)
{
    platform_settings settings;
    settings.listen = read_listen(reader);
    if (reader.has("vms"))
    {
        settings.vms = source.value["platform"]["vms"];
    }
    reader.finish();
    return settings;
}

origin_settings read_origin(object_reader reader)
{
    origin_settings settings;
    settings.listen = read_listen(reader);
    settings.behaviour.bytes_per_second =
        reader.number_or("bytes_per_second", 0, 0, max_rate);
    for (std::size_t index = 0; index < reader.size("versions"); ++index)
    {
        auto entry = reader.element("versions", index);
        settings.versions.push_back(
            {entry.number("seed", 0, max_rate),
             entry.number("bytes", 1, max_bytes),
             static_cast<std::uint32_t>(
                 entry.number("chunk_bytes", 1024, 1U << 30U))});
        entry.finish();
    }
    reader.finish();
    return settings;
}

microseconds read_microseconds(
    object_reader& reader, std::string_view key, microseconds fallback)
{
    return microseconds(reader.number_or(
        key, static_cast<std::uint64_t>(fallback.count()), 0, max_rate));
}

std::uint32_t
read_count(object_reader& reader, std::string_view key, std::uint32_t fallback)
{
    return static_cast<std::uint32_t>(
        reader.number_or(key, fallback, 0, 1'000'000));
}

engine_settings read_engine(object_reader reader)
{
    engine_settings settings;
    settings.listen = read_listen(reader);
    auto& behaviour = settings.behaviour;
    behaviour.name = reader.text("name");
    behaviour.slots = read_count(reader, "slots", behaviour.slots);
    behaviour.cold_capacity =
        read_count(reader, "cold_bears", behaviour.cold_capacity);
    behaviour.warm_after =
        read_count(reader, "warm_after", behaviour.warm_after);
    behaviour.first_token =
        read_microseconds(reader, "first_token_us", behaviour.first_token);
    behaviour.token_interval = read_microseconds(
        reader, "token_interval_us", behaviour.token_interval);
    behaviour.checks_fencing =
        reader.flag_or("checks_fencing", behaviour.checks_fencing);
    behaviour.cached_prefixes =
        read_count(reader, "cached_prefixes", behaviour.cached_prefixes);
    reader.finish();
    return settings;
}

service_settings read_service(object_reader reader)
{
    service_settings settings;
    settings.listen = read_listen(reader);
    settings.name = reader.text("name");
    settings.work = reader.milliseconds_or(
        "work_ms", milliseconds(10), milliseconds(0), max_time);
    reader.finish();
    return settings;
}

link_route read_route(object_reader reader)
{
    link_route route;
    route.from = reader.text("from");
    route.listen_address = reader.text("listen_address");
    route.listen_port =
        static_cast<std::uint16_t>(reader.number("listen_port", 1, 65535));
    route.target_address = reader.text("target_address");
    route.target_port =
        static_cast<std::uint16_t>(reader.number("target_port", 1, 65535));
    reader.finish();
    return route;
}

link_settings read_link(object_reader reader)
{
    link_settings settings;
    settings.control = read_listen(reader);
    settings.link.first = reader.text("first");
    settings.link.second = reader.text("second");
    settings.link.latency =
        read_microseconds(reader, "latency_us", microseconds(0));
    settings.link.bits_per_second =
        reader.number_or("bits_per_second", 0, 0, max_rate);
    for (std::size_t index = 0; index < reader.size("routes"); ++index)
    {
        settings.link.routes.push_back(
            read_route(reader.element("routes", index)));
    }
    reader.finish();
    return settings;
}

} // namespace

standin_settings read_standin_settings(release::document& source)
{
    object_reader reader(source, "", source.faults);
    standin_settings settings;
    if (reader.has("platform"))
    {
        settings.platform = read_platform(reader.child("platform"), source);
    }
    if (reader.has("origin"))
    {
        settings.origin = read_origin(reader.child("origin"));
    }
    for (std::size_t index = 0; index < reader.size("engines"); ++index)
    {
        settings.engines.push_back(
            read_engine(reader.element("engines", index)));
    }
    for (std::size_t index = 0; index < reader.size("services"); ++index)
    {
        settings.services.push_back(
            read_service(reader.element("services", index)));
    }
    for (std::size_t index = 0; index < reader.size("links"); ++index)
    {
        settings.links.push_back(read_link(reader.element("links", index)));
    }
    reader.finish();
    return settings;
}

} // namespace foxtailvale::standins
