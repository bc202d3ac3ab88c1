#ifndef FOXTAILVALE_DIRECT_ENDPOINT_TABLE_HPP
#define FOXTAILVALE_DIRECT_ENDPOINT_TABLE_HPP

#include <base/ids.hpp>
#include <direct/rate_limit.hpp>

#include <scheduling/engine_view.hpp>

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

// Table of the endpoints to which an entry sends requests directly. Combines
// the platform's list, the agents' reports and the results of the entry's own
// requests.
namespace foxtailvale::direct
{

struct served_weights
{
    std::string model;
    // Zero when the endpoint holds no weights.
    std::uint64_t version = 0;
    // All layers are present.
    bool whole = false;

    bool operator==(served_weights const&) const = default;
};

struct endpoint_record;

// Whether the agent beside the endpoint takes part in transfers of the
// service's weights. Agents of draining endpoints do not.
//
// Failure: endpoints that were being removed came first in the list, so that
// their agents were assigned a sixth of a version's chunks to fetch from the
// origin and were stopped 0.5 s later. The origin then failed, and the fleet
// lacked two chunks for 6 s. Planned maintenance announces seconds in advance
// that an endpoint leaves.
bool participates_in_transfer(
    endpoint_record const& endpoint, std::string const& service);

// An endpoint as listed by the platform.
struct endpoint_record
{
    // Unique for each start of the endpoint's process.
    std::string id;
    std::string service;
    // "IP:PORT"; may be reused by another endpoint after this one has ended.
    std::string address;
    std::string failure_domain;
    std::uint32_t slots = 1;
    bool draining = false;
    // Unix time in milliseconds at which the endpoint's process started, which
    // tells its starts under one id apart; zero if not specified.
    std::uint64_t started_ms = 0;
    // Remaining cold time when the record was written.
    std::chrono::milliseconds cold_left{0};
    served_weights weights;

    bool operator==(endpoint_record const&) const = default;
};

// Engine state as reported by its agent; more recent than the platform's list.
struct load_report
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    // Slowdown relative to the published speed; 2 means half as fast.
    double pace = 1;
    served_weights weights;
    // The engine accepts no new requests until a switch order is completed.
    bool switching = false;
    // Expected time of the next switch.
    std::optional<base::time_point> switches_at;
    // The agent could not reach the engine.
    bool unreachable = false;
    // The engine told its agent that it is leaving.
    bool leaving = false;
};

struct endpoint_state
{
    endpoint_record listed;
    std::optional<load_report> report;
    base::time_point reported;
    // This entry's requests that are running at the endpoint.
    std::uint32_t own_running = 0;
    // This entry's requests that began minus those that ended since the report.
    std::int32_t own_delta = 0;
    // Start times of this entry's requests in the last 3 s, oldest first.
    std::deque<base::time_point> recent;
    scheduling::engine_view view;
    // Last time at which the endpoint sent anything, or at which it was sent a
    // request while it owed no answer.
    base::time_point last_heard;
    // Last time at which the endpoint sent anything.
    base::time_point last_sent;
    // Exponentially weighted share of faulty answers.
    double fault_share = 0;
    base::time_point last_fault;
    // The endpoint is not used before this time, after a failed connection or a
    // rejected request.
    base::time_point avoid_until;
    std::uint32_t connect_faults = 0;
    rate_limit limit;
    // Set when the endpoint left the list while the list was unreliable; the
    // endpoint is removed at this time.
    std::optional<base::time_point> removal_due;
};

// A version of a model's weights that operators announced.
struct announced_version
{
    std::uint64_t version = 0;
    base::time_point learned;
    // No request may start on the previous version after this time.
    base::time_point predecessor_retires_at;
};

// What is known about list entries that may be wrong because the platform's
// store was restored from an older copy.
struct store_restore_state
{
    // When the store was last restored.
    std::optional<base::time_point> restored;
    // Endpoints that left the list, with the time.
    std::map<std::string, base::time_point> departed;
    // Records of the copy that are not applied yet, by endpoint id.
    std::map<std::string, endpoint_record> withheld;
    // Failure domains that stay out of service although the copy does not list
    // them.
    std::set<std::string> held_out;
};

// An endpoint's word that it is leaving.
struct said_leaving
{
    // Start of the endpoint's process, as in its record.
    std::uint64_t started_ms = 0;
    base::time_point said;
};

struct endpoint_table
{
    // By endpoint id. Endpoints are added and removed by the functions below,
    // which keep the fields after it in step.
    std::map<std::string, endpoint_state> endpoints;
    // Ids of the endpoints at each IP address. Failure: each report was looked
    // up among all endpoints, which took most of an entry's processor time in a
    // large fleet.
    std::map<std::string, std::set<std::string>> ids_by_ip;
    // No endpoint's removal is due before this time.
    std::optional<base::time_point> next_removal;
    // Failure domains that are out of service.
    std::set<std::string> domains_out;
    // By model. Announced versions whose predecessors may still be in use,
    // oldest first.
    std::map<std::string, std::vector<announced_version>> versions;
    // Region of each failure domain.
    std::map<std::string, std::string> regions;
    // Entries of each failure domain, as announced by the agents there.
    std::map<std::string, std::set<std::string>> domain_entries;
    store_restore_state restore_state;
    // Until when endpoints want no requests from this entry, by id. Kept while
    // an endpoint is not listed.
    std::map<std::string, base::time_point> rests;
    // Endpoints that said that they are leaving, by id. Kept like the rests.
    std::map<std::string, said_leaving> leaving;
};

// How long an endpoint that disappeared from the list stays in use when the
// list itself was lost for a while. Live endpoints register again within 2 s of
// the platform's return, and an endpoint that leaves may get no requests after
// another 2 s.
inline constexpr std::chrono::milliseconds removal_grace{1500};

// Adds or updates a record. Returns false if nothing changed.
bool put(endpoint_table& table, endpoint_record record);

// Removes an endpoint: at once, or after removal_grace if the list was
// unreliable and the endpoint was not draining.
void remove(
    endpoint_table& table,
    std::string const& id,
    bool list_was_lost,
    base::time_point now);

// Replaces the whole list.
void replace_all(
    endpoint_table& table,
    std::vector<endpoint_record> records,
    bool list_was_lost,
    base::time_point now);

// Returns the ids of the endpoints at the IP address.
std::set<std::string>
endpoints_at(endpoint_table const& table, std::string const& ip);

// Returns the number of listed endpoints of the service.
std::size_t count_of(endpoint_table const& table, std::string const& service);

// Removes endpoints whose grace period has ended and applies withheld records
// whose time has come.
void expire(endpoint_table& table, base::time_point now);

// Applies an agent's report on the engine at this IP address.
void note_report(
    endpoint_table& table,
    std::string const& address,
    load_report const& report,
    base::time_point now);

// Applies a report that another entry relayed, dated with the time at which
// that entry received it. Does nothing if a newer report is known. Requests
// that this entry has sent since that time are counted on top.
//
// Failure: two entries relay the same report, and the second copy resets the
// count of requests sent since the first.
void note_relayed_report(
    endpoint_table& table,
    std::string const& address,
    load_report const& report,
    base::time_point as_of);

// Records a version if it is newer than all known ones. Returns false
// otherwise.
bool announce_version(
    endpoint_table& table,
    std::string const& model,
    announced_version const& announced);

// Corrects the times of all versions, rests and sent prompts after the machine
// was suspended for this time. Failure: the steady clock does not advance
// during a suspension, so that older versions would stay in use for that much
// longer here than at all other entries.
void note_suspended(endpoint_table& table, std::chrono::milliseconds time);

// Returns the time after which no request may start on this version of the
// model, as far as newer versions are known; nothing for the newest version.
std::optional<base::time_point> version_retires_at(
    endpoint_table const& table,
    std::string const& model,
    std::uint64_t version);

// Returns the time at which the first newer version was announced; nothing for
// the newest version.
std::optional<base::time_point> superseded_at(
    endpoint_table const& table,
    std::string const& model,
    std::uint64_t version);

// Result of this entry's request, as it counts for the endpoint's rating.
enum class request_outcome
{
    answered,
    // The endpoint rejected the request without running it because it is full.
    declined,
    // The endpoint is not the intended one: the address belongs to another
    // endpoint now, or the endpoint holds other weights.
    misdirected,
    // Endpoint error, truncated answer or time-out.
    faulty,
    // The connection could not be established.
    not_connected,
    // Cancelled by this entry.
    cancelled,
};

void note_request_begun(
    endpoint_table& table, std::string const& id, base::time_point now);
// Records the size of the prompt that was sent with a request that has begun.
void note_prompt_sent(
    endpoint_table& table,
    std::string const& id,
    std::uint64_t tokens,
    base::time_point now);
void note_request_ended(
    endpoint_table& table,
    std::string const& id,
    request_outcome outcome,
    base::time_point now);

// Records that the endpoint sent something.
void note_heard(
    endpoint_table& table, std::string const& id, base::time_point now);

// An endpoint that owes answers and has sent nothing for this long has stalled.
// Streams send every 50 ms, and plain answers take less than 0.5 s.
inline constexpr std::chrono::milliseconds stall_time{500};
bool is_stalled(endpoint_state const& state, base::time_point now);

// An agent whose last report is older than this counts as unresponsive.
inline constexpr std::chrono::milliseconds report_timeout{700};

// Whether the agent, which reported before, is unresponsive and the endpoint
// has sent nothing for as long: its machine may be paused.
bool is_unresponsive(endpoint_state const& state, base::time_point now);

// Returns the weights as best known: from the agent's report while it is fresh
// and the agent reaches the engine, otherwise from the list.
served_weights const&
weights_of(endpoint_state const& state, base::time_point now);

// Whether the agent's last report is no older than report_timeout.
bool is_fresh(endpoint_state const& state, base::time_point now);

// Whether such a report says that the agent reaches the endpoint.
bool is_reported_reachable(endpoint_state const& state, base::time_point now);

} // namespace foxtailvale::direct

#endif
