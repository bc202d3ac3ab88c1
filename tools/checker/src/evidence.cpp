#include <checker/evidence.hpp>

namespace foxtailvale::checker
{

void add_load_report(evidence& into, nlohmann::json const& report)
{
    wall_time const started(report.value("started_ms", std::int64_t{0}));
    for (auto const& entry : report.at("records"))
    {
        caller_record record;
        record.id = entry.at("id");
        record.entry = entry.at("entry");
        record.booking = entry.at("booking");
        record.ended = entry.at("ended");
        record.error = entry.value("error", "");
        record.ran = entry.value("ran", "");
        record.begun =
            started + wall_time(entry.at("begun_ms").get<std::int64_t>());
        record.finished =
            record.begun + wall_time(entry.at("whole_ms").get<std::int64_t>());
        record.generation = entry.value("generation", std::uint64_t{0});
        record.digest = entry.value("digest", "");
        into.callers.push_back(std::move(record));
    }
}

void add_endpoint(
    evidence& into,
    std::string const& name,
    std::string const& failure_domain,
    bool booking,
    nlohmann::json const& counters)
{
    auto& record = into.endpoints[name];
    record.failure_domain = failure_domain;
    record.booking = booking;
    record.overloaded_cold = counters.value("overloaded_cold", 0U);
    for (auto const& begun : counters.at("begun"))
    {
        record.begun.push_back(
            {wall_time(begun.at(0).get<std::int64_t>()),
             begun.at(1).get<std::string>()});
    }
}

} // namespace foxtailvale::checker
