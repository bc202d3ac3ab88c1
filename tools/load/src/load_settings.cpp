#include <release/object_reader.hpp>

#include <load/run_load.hpp>

namespace foxtailvale::load
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds max_run_length{3'600'000};
constexpr std::uint64_t max_rate = 100'000;

} // namespace

load_settings read_load_settings(release::document& source)
{
    release::object_reader reader(source, "", source.faults);
    load_settings settings;
    auto const count = [&](char const* key, std::uint32_t fallback)
    {
        return static_cast<std::uint32_t>(
            reader.number_or(key, fallback, 0, max_rate));
    };
    settings.entries = reader.texts_or_empty("entries");
    if (settings.entries.empty())
    {
        reader.add_fault("entries", "must name at least one entry");
    }
    settings.readiness = reader.texts_or_empty("readiness");
    if (!settings.readiness.empty() &&
        settings.readiness.size() != settings.entries.size())
    {
        reader.add_fault("readiness", "must be as long as entries, or absent");
    }
    for (std::size_t index = 0; index < reader.size("workspaces"); ++index)
    {
        auto entry = reader.element("workspaces", index);
        settings.workspaces.push_back(
            {entry.text("name"), static_cast<std::uint32_t>(entry.number_or(
                                     "weight", 1, 1, max_rate))});
        entry.finish();
    }
    if (settings.workspaces.empty())
    {
        reader.add_fault("workspaces", "must name at least one workspace");
    }
    settings.model = reader.text_or("model", "");
    settings.service = reader.text_or("service", "");
    settings.chats_per_second = count("chats_per_second", 0);
    settings.bookings_per_second = count("bookings_per_second", 0);
    settings.tokens = count("tokens", settings.tokens);
    settings.slow_readers_percent = static_cast<std::uint32_t>(
        reader.number_or("slow_readers_percent", 0, 0, 100));
    settings.prompts = count("prompts", settings.prompts);
    settings.seed = reader.number_or("seed", 1, 0, 1ULL << 62U);
    settings.duration = reader.milliseconds_or(
        "duration_ms", milliseconds(10'000), milliseconds(1), max_run_length);
    settings.deadline = reader.milliseconds_or(
        "deadline_ms", settings.deadline, milliseconds(1), max_run_length);
    reader.finish();
    return settings;
}

} // namespace foxtailvale::load
