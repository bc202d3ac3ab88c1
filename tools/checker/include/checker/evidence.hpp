#ifndef FOXTAILVALE_CHECKER_EVIDENCE_HPP
#define FOXTAILVALE_CHECKER_EVIDENCE_HPP

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

// What a run left behind, as the stand-ins, the load tool and the scenario
// recorded it.
namespace foxtailvale::checker
{

// Milliseconds since the epoch; all of a run's processes share one clock.
using wall_time = std::chrono::milliseconds;

// One request as its caller saw it.
struct caller_record
{
    std::string id;
    // Address of the entry, "http://IP:PORT".
    std::string entry;
    bool booking = false;
    // "right", "wrong", "mixed", "lost", "refused" or "failed".
    std::string ended;
    std::string error;
    // "no", "yes" or "unknown", when the caller was told.
    std::string ran;
    wall_time begun{0};
    wall_time over{0};
    // From the answer's headers; 0 and empty when there were none.
    std::uint64_t generation = 0;
    std::string digest;
};

// Work that an endpoint began.
struct begun_work
{
    wall_time when{0};
    std::string request;
};

// One endpoint as its stand-in saw it.
struct endpoint_record
{
    std::string failure_domain;
    bool booking = false;
    std::vector<begun_work> begun;
    // Times that more came than the endpoint could bear while cold.
    std::uint64_t overloaded_cold = 0;
};

// A failure domain that operators took out, or an endpoint that left.
struct absence
{
    // Name of the domain or of the endpoint.
    std::string of;
    wall_time from{0};
    // When it was back; the end of the run when it never was.
    wall_time until{0};
};

// A stretch in which an entry was killed, frozen or cut off from its callers.
struct entry_fault
{
    std::string entry;
    wall_time from{0};
    wall_time until{0};
};

// A process that was asked to stop in an orderly way.
struct planned_stop
{
    std::string process;
    // Address when it is an entry.
    std::string entry;
    wall_time asked{0};
    wall_time over{0};
    int exit_code = 0;
};

// A configuration that the platform accepted, and the digests it offers.
struct accepted_note
{
    std::uint64_t generation = 0;
    wall_time when{0};
    std::vector<std::string> digests;
};

// A stretch in which some entries could not hear of new configurations.
struct partition
{
    wall_time from{0};
    wall_time until{0};
};

struct evidence
{
    std::vector<caller_record> callers;
    std::map<std::string, endpoint_record> endpoints;
    std::vector<absence> domains_out;
    std::vector<absence> endpoints_leaving;
    std::vector<entry_fault> entry_faults;
    std::vector<planned_stop> stops;
    std::vector<accepted_note> notes;
    std::vector<partition> partitions;
};

// Adds the load tool's report.
void add_load_report(evidence& into, nlohmann::json const& report);

// Adds an endpoint's page of counters.
void add_endpoint(
    evidence& into,
    std::string const& name,
    std::string const& failure_domain,
    bool booking,
    nlohmann::json const& counters);

} // namespace foxtailvale::checker

#endif
