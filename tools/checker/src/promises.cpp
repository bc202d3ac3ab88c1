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

std::string after(wall_time from, wall_time when)
{
    return std::to_string((when - from).count()) + " ms after";
}

// How often each request was begun, over all endpoints.
std::map<std::string, std::uint64_t> count_runs(evidence const& seen)
{
    std::map<std::string, std::uint64_t> runs;
    for (auto const& [name, endpoint] : seen.endpoints)
    {
        for (auto const& begun : endpoint.begun)
        {
            ++runs[begun.request];
        }
    }
    return runs;
}

void judge_weights(evidence const& seen, violations& found)
{
    std::set<std::string> released;
    for (auto const& note : seen.notes)
    {
        released.insert(note.digests.begin(), note.digests.end());
    }
    for (auto const& record : seen.callers)
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

void judge_cold(evidence const& seen, violations& found)
{
    for (auto const& [name, endpoint] : seen.endpoints)
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

bool within(absence const& gone, wall_time when)
{
    return when > gone.from + few_seconds && when < gone.until;
}

void judge_domains(evidence const& seen, violations& found)
{
    for (auto const& gone : seen.domains_out)
    {
        for (auto const& [name, endpoint] : seen.endpoints)
        {
            if (endpoint.failure_domain != gone.of)
            {
                continue;
            }
            for (auto const& begun : endpoint.begun)
            {
                if (within(gone, begun.when))
                {
                    found.push_back(
                        {promise::domain_out_gets_nothing,
                         name + " began " + begun.request + " " +
                             after(gone.from, begun.when) + " " + gone.of +
                             " was taken out"});
                }
            }
        }
    }
}

void judge_leaving(evidence const& seen, violations& found)
{
    for (auto const& gone : seen.endpoints_leaving)
    {
        auto const endpoint = seen.endpoints.find(gone.of);
        if (endpoint == seen.endpoints.end())
        {
            continue;
        }
        for (auto const& begun : endpoint->second.begun)
        {
            if (within(gone, begun.when))
            {
                found.push_back(
                    {promise::leaving_gets_nothing,
                     gone.of + " began " + begun.request + " " +
                         after(gone.from, begun.when) + " it began to leave"});
            }
        }
    }
}

bool overlaps(caller_record const& record, wall_time from, wall_time until)
{
    return record.begun <= until && record.over >= from;
}

// Whether the entry itself was down: then nobody is left to answer, and what
// the caller sees is a broken connection, which it cannot take for an answer.
bool entry_was_down(evidence const& seen, caller_record const& record)
{
    return std::ranges::any_of(
        seen.entry_faults,
        [&](entry_fault const& fault)
        {
            return fault.entry == record.entry &&
                   overlaps(record, fault.from, fault.until);
        });
}

// Whether the entry was being stopped by plan.
planned_stop const*
stop_during(evidence const& seen, caller_record const& record)
{
    for (auto const& stop : seen.stops)
    {
        if (stop.entry == record.entry && record.begun <= stop.over &&
            record.over >= stop.asked)
        {
            return &stop;
        }
    }
    return nullptr;
}

void judge_answers(evidence const& seen, violations& found)
{
    for (auto const& record : seen.callers)
    {
        if (record.ended == "lost" && !entry_was_down(seen, record) &&
            stop_during(seen, record) == nullptr)
        {
            found.push_back(
                {promise::whole_answer,
                 record.id +
                     " got neither its answer nor an error: " + record.error});
        }
    }
}

void judge_not_run(evidence const& seen, violations& found)
{
    auto const runs = count_runs(seen);
    for (auto const& record : seen.callers)
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

void judge_once(evidence const& seen, violations& found)
{
    std::map<std::string, std::uint64_t> runs;
    for (auto const& [name, endpoint] : seen.endpoints)
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

void judge_stops(evidence const& seen, violations& found)
{
    for (auto const& stop : seen.stops)
    {
        if (stop.exit_code != 0)
        {
            found.push_back(
                {promise::graceful_stop, stop.process + " ended with " +
                                             std::to_string(stop.exit_code)});
        }
    }
    for (auto const& record : seen.callers)
    {
        auto const* const stop = stop_during(seen, record);
        // One that begins after the stop was asked for may meet a closed
        // port, since the balancer lags; it is told so at once and not cut.
        auto const cut = record.ended == "lost" && stop != nullptr &&
                         record.begun < stop->asked;
        if (cut)
        {
            found.push_back(
                {promise::graceful_stop,
                 record.id + " was cut off as " + stop->process + " stopped"});
        }
    }
}

bool was_partitioned(evidence const& seen, wall_time from, wall_time until)
{
    return std::ranges::any_of(
        seen.partitions,
        [&](partition const& cut)
        {
            return cut.from <= until && cut.until + in_force_limit >= from;
        });
}

void judge_in_force(evidence const& seen, violations& found)
{
    for (auto const& note : seen.notes)
    {
        for (auto const& record : seen.callers)
        {
            auto const late = record.generation > 0 &&
                              record.generation < note.generation &&
                              record.begun > note.when + in_force_limit;
            if (late && !was_partitioned(seen, note.when, record.begun))
            {
                found.push_back(
                    {promise::configuration_holds,
                     record.id + " was answered under generation " +
                         std::to_string(record.generation) + ", " +
                         after(note.when, record.begun) + " generation " +
                         std::to_string(note.generation) + " was accepted"});
            }
        }
    }
}

// An entry that has answered under one generation never begins a request
// under an older one.
void judge_reverts(evidence const& seen, violations& found)
{
    std::map<std::string, std::vector<caller_record const*>> by_entry;
    for (auto const& record : seen.callers)
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
                if (earlier->over < later->begun &&
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

std::string_view name_of(promise kept)
{
    switch (kept)
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

std::vector<violation> judge(evidence const& seen)
{
    violations found;
    judge_weights(seen, found);
    judge_cold(seen, found);
    judge_domains(seen, found);
    judge_answers(seen, found);
    judge_not_run(seen, found);
    judge_once(seen, found);
    judge_leaving(seen, found);
    judge_stops(seen, found);
    judge_in_force(seen, found);
    judge_reverts(seen, found);
    return found;
}

} // namespace foxtailvale::checker
