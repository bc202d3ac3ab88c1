#include <checker/promises.hpp>

#include <algorithm>
#include <array>
#include <set>

namespace foxtailvale::checker
{

namespace
{

using violations = std::vector<violation>;

constexpr std::array promises{
    promise::whole_weights,           promise::cold_endpoint_spared,
    promise::domain_out_gets_nothing, promise::whole_answer,
    promise::not_run_means_not_run,   promise::at_most_once,
    promise::leaving_gets_nothing,    promise::graceful_stop,
    promise::configuration_holds};

std::string delay_text(wall_time from, wall_time when)
{
    return std::to_string((when - from).count()) + " ms after";
}

// Counts how often each request was begun, over all endpoints.
std::map<std::string, std::uint64_t> count_runs(evidence const& recorded)
{
    std::map<std::string, std::uint64_t> runs;
    for (auto const& [name, endpoint] : recorded.endpoints)
    {
        for (auto const& begun : endpoint.begun)
        {
            ++runs[begun.request];
        }
    }
    return runs;
}

void check_weights(evidence const& recorded, violations& found)
{
    std::set<std::string> released;
    for (auto const& note : recorded.notes)
    {
        released.insert(note.digests.begin(), note.digests.end());
    }
    for (auto const& record : recorded.callers)
    {
        if (record.ended == "wrong" || record.ended == "mixed")
        {
            found.push_back(
                {promise::whole_weights, record.id + " ended " + record.ended});
        }
        else if (!record.digest.empty() && !released.contains(record.digest))
        {
            found.push_back(
                {promise::whole_weights,
                 record.id + " names weights that no note released"});
        }
    }
}

void check_cold_endpoints(evidence const& recorded, violations& found)
{
    for (auto const& [name, endpoint] : recorded.endpoints)
    {
        if (endpoint.overloaded_cold > 0)
        {
            found.push_back(
                {promise::cold_endpoint_spared,
                 name + " fell over cold, times: " +
                     std::to_string(endpoint.overloaded_cold)});
        }
    }
}

bool is_during_absence(absence const& gone, wall_time when)
{
    return when > gone.from + absence_grace && when < gone.until;
}

void check_domains_out(evidence const& recorded, violations& found)
{
    for (auto const& gone : recorded.domains_out)
    {
        for (auto const& [name, endpoint] : recorded.endpoints)
        {
            if (endpoint.failure_domain != gone.subject)
            {
                continue;
            }
            for (auto const& begun : endpoint.begun)
            {
                if (is_during_absence(gone, begun.when))
                {
                    found.push_back(
                        {promise::domain_out_gets_nothing,
                         name + " began " + begun.request + " " +
                             delay_text(gone.from, begun.when) + " " +
                             gone.subject + " was taken out"});
                }
            }
        }
    }
}

void check_leaving_endpoints(evidence const& recorded, violations& found)
{
    for (auto const& gone : recorded.endpoints_leaving)
    {
        auto const endpoint = recorded.endpoints.find(gone.subject);
        if (endpoint == recorded.endpoints.end())
        {
            continue;
        }
        for (auto const& begun : endpoint->second.begun)
        {
            if (is_during_absence(gone, begun.when))
            {
                found.push_back(
                    {promise::leaving_gets_nothing,
                     gone.subject + " began " + begun.request + " " +
                         delay_text(gone.from, begun.when) +
                         " it began to leave"});
            }
        }
    }
}

bool overlaps(caller_record const& record, wall_time from, wall_time until)
{
    return record.begun <= until && record.finished >= from;
}

// Whether the entry itself was down. Then nothing is left to answer, and the
// caller sees a broken connection, which it cannot mistake for an answer.
bool entry_was_down(evidence const& recorded, caller_record const& record)
{
    return std::ranges::any_of(
        recorded.entry_faults,
        [&](entry_fault const& fault)
        {
            return fault.entry == record.entry &&
                   overlaps(record, fault.from, fault.until);
        });
}

// Returns the planned stop of the entry that overlaps with the request, or
// null.
planned_stop const*
stop_during(evidence const& recorded, caller_record const& record)
{
    for (auto const& stop : recorded.stops)
    {
        if (stop.entry == record.entry && record.begun <= stop.finished &&
            record.finished >= stop.requested)
        {
            return &stop;
        }
    }
    return nullptr;
}

void check_answers(evidence const& recorded, violations& found)
{
    for (auto const& record : recorded.callers)
    {
        if (record.ended == "lost" && !entry_was_down(recorded, record) &&
            stop_during(recorded, record) == nullptr)
        {
            found.push_back(
                {promise::whole_answer,
                 record.id +
                     " got neither its answer nor an error: " + record.error});
        }
    }
}

void check_not_run(evidence const& recorded, violations& found)
{
    auto const runs = count_runs(recorded);
    for (auto const& record : recorded.callers)
    {
        if (record.ran == "no" && runs.contains(record.id))
        {
            found.push_back(
                {promise::not_run_means_not_run,
                 record.id + " was told \"not run\" (" + record.error +
                     ") and was run"});
        }
    }
}

void check_at_most_once(evidence const& recorded, violations& found)
{
    std::map<std::string, std::uint64_t> runs;
    for (auto const& [name, endpoint] : recorded.endpoints)
    {
        for (auto const& begun : endpoint.begun)
        {
            runs[begun.request] += endpoint.booking ? 1 : 0;
        }
    }
    for (auto const& [request, count] : runs)
    {
        if (count > 1)
        {
            found.push_back(
                {promise::at_most_once,
                 request + " ran " + std::to_string(count) + " times"});
        }
    }
}

void check_stops(evidence const& recorded, violations& found)
{
    for (auto const& stop : recorded.stops)
    {
        if (stop.exit_code != 0)
        {
            found.push_back(
                {promise::graceful_stop, stop.process + " ended with " +
                                             std::to_string(stop.exit_code)});
        }
    }
    for (auto const& record : recorded.callers)
    {
        auto const* const stop = stop_during(recorded, record);
        // A request that begins after the stop was requested may find a closed
        // port, since the load balancer lags behind. Its connection is refused
        // at once, which does not count as cut off.
        auto const cut = record.ended == "lost" && stop != nullptr &&
                         record.begun < stop->requested;
        if (cut)
        {
            found.push_back(
                {promise::graceful_stop,
                 record.id + " was cut off as " + stop->process + " stopped"});
        }
    }
}

bool was_partitioned(evidence const& recorded, wall_time from, wall_time until)
{
    return std::ranges::any_of(
        recorded.partitions,
        [&](partition const& cut)
        {
            return cut.from <= until && cut.until + in_force_limit >= from;
        });
}

void check_configuration_in_force(evidence const& recorded, violations& found)
{
    for (auto const& note : recorded.notes)
    {
        for (auto const& record : recorded.callers)
        {
            auto const late = record.generation > 0 &&
                              record.generation < note.generation &&
                              record.begun > note.when + in_force_limit;
            if (late && !was_partitioned(recorded, note.when, record.begun))
            {
                found.push_back(
                    {promise::configuration_holds,
                     record.id + " was answered under generation " +
                         std::to_string(record.generation) + ", " +
                         delay_text(note.when, record.begun) + " generation " +
                         std::to_string(note.generation) + " was accepted"});
            }
        }
    }
}

// An entry that has answered under one generation must not answer a later
// request under an older one.
void check_generation_order(evidence const& recorded, violations& found)
{
    std::map<std::string, std::vector<caller_record const*>> by_entry;
    for (auto const& record : recorded.callers)
    {
        if (record.generation > 0)
        {
            by_entry[record.entry].push_back(&record);
        }
    }
    for (auto& [entry, records] : by_entry)
    {
        for (auto const* const later : records)
        {
            for (auto const* const earlier : records)
            {
                if (earlier->finished < later->begun &&
                    earlier->generation > later->generation)
                {
                    found.push_back(
                        {promise::configuration_holds,
                         entry + " went back from generation " +
                             std::to_string(earlier->generation) + " to " +
                             std::to_string(later->generation)});
                    return;
                }
            }
        }
    }
}

} // namespace

std::string_view name_of(promise value)
{
    switch (value)
    {
    case promise::whole_weights:
        return "whole_weights";
    case promise::cold_endpoint_spared:
        return "cold_endpoint_spared";
    case promise::domain_out_gets_nothing:
        return "domain_out_gets_nothing";
    case promise::whole_answer:
        return "whole_answer";
    case promise::not_run_means_not_run:
        return "not_run_means_not_run";
    case promise::at_most_once:
        return "at_most_once";
    case promise::leaving_gets_nothing:
        return "leaving_gets_nothing";
    case promise::graceful_stop:
        return "graceful_stop";
    case promise::configuration_holds:
        break;
    }
    return "configuration_holds";
}

std::span<promise const> all_promises()
{
    return promises;
}

std::vector<violation> find_violations(evidence const& recorded)
{
    violations found;
    check_weights(recorded, found);
    check_cold_endpoints(recorded, found);
    check_domains_out(recorded, found);
    check_answers(recorded, found);
    check_not_run(recorded, found);
    check_at_most_once(recorded, found);
    check_leaving_endpoints(recorded, found);
    check_stops(recorded, found);
    check_configuration_in_force(recorded, found);
    check_generation_order(recorded, found);
    return found;
}

} // namespace foxtailvale::checker
