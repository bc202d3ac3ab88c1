#ifndef FOXTAILVALE_CHECKER_EVIDENCE_HPP
#define FOXTAILVALE_CHECKER_EVIDENCE_HPP

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

// The records of a run, made by the stand-ins, the load tool and the scenario.
namespace foxtailvale::checker
{

// Milliseconds since the epoch. All processes of a run share one clock.
using wall_time = std::chrono::milliseconds;

// A request as observed by its caller.
struct caller_record
{
    std::string id;
    // URL of the entry, "http://IP:PORT".
    std::string entry;
    bool booking = false;
    // "right", "wrong", "mixed", "lost", "refused" or "failed".
    std::string ended;
    std::string error;
    // "no", "yes" or "unknown" if the answer told the caller; otherwise empty.
    std::string ran;
    wall_time begun{0};
    wall_time finished{0};
    // From the headers of the answer; 0 and empty if absent.
    std::uint64_t generation = 0;
    std::string digest;
};

// A request that an endpoint began to run.
struct begun_work
{
    wall_time when{0};
    std::string request;
};

// An endpoint as observed by its stand-in.
struct endpoint_record
{
    std::string failure_domain;
    bool booking = false;
    std::vector<begun_work> begun;
    // How often the endpoint got more requests than it could handle while cold.
    std::uint64_t overloaded_cold = 0;
};

// A period in which a failure domain was taken out of service by operators, or
// an endpoint had left.
struct absence
{
    // Name of the failure domain or endpoint.
    std::string subject;
    wall_time from{0};
    // Time of the return; the end of the run if it did not return.
    wall_time until{0};
};

// A period in which an entry was killed, frozen or cut off from its callers.
struct entry_fault
{
    std::string entry;
    wall_time from{0};
    wall_time until{0};
};

// An orderly stop of a process.
struct planned_stop
{
    std::string process;
    // URL of the entry; empty if the process is not an entry.
    std::string entry;
    wall_time requested{0};
    wall_time finished{0};
    int exit_code = 0;
};

// A configuration that the platform accepted, and the digests of the weights
// that it offers.
struct accepted_note
{
    std::uint64_t generation = 0;
    wall_time when{0};
    std::vector<std::string> digests;
};

// A period in which some entries could not receive new configurations.
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

// Adds the records of the load tool's report.
void add_load_report(evidence& into, nlohmann::json const& report);

// Adds the counters that an endpoint's stand-in reported.
void add_endpoint(
    evidence& into,
    std::string const& name,
    std::string const& failure_domain,
    bool booking,
    nlohmann::json const& counters);

} // namespace foxtailvale::checker

#endif
