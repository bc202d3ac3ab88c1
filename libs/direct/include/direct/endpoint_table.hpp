#ifndef FOXTAILVALE_DIRECT_ENDPOINT_TABLE_HPP
#define FOXTAILVALE_DIRECT_ENDPOINT_TABLE_HPP

#include <base/ids.hpp>

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

// What an entry knows of the endpoints that it sends requests to itself: what
// the platform lists, what agents report, and what its own requests met.
namespace foxtailvale::direct
{

// Weights that an endpoint serves.
struct served_weights
{
    std::string model;
    // Zero when the endpoint holds none.
    std::uint64_t version = 0;
    // Every layer is there.
    bool whole = false;

    bool operator==(served_weights const&) const = default;
};

struct endpoint_record;

// Whether the agent beside the endpoint takes part when weights of the service
// are handed on. Failure: endpoints that were being taken away stood first in
// the list, their agents were to draw a sixth of a version's chunks and were
// stopped half a second later; the origin died, and the fleet missed two chunks
// for six seconds. Planned work says that an endpoint leaves seconds ahead.
bool participates_in_transfer(endpoint_record const& endpoint, std::string const& service);

// An endpoint as the platform lists it.
struct endpoint_record
{
    // Names one start of the endpoint's process.
    std::string id;
    std::string service;
    // "IP:PORT"; used again by others after an endpoint's end.
    std::string address;
    std::string failure_domain;
    std::uint32_t slots = 1;
    bool draining = false;
    // How much longer it was cold when the record was written.
    std::chrono::milliseconds cold_left{0};
    served_weights weights;

    bool operator==(endpoint_record const&) const = default;
};

// What the agent beside an engine says of it, fresher than the list.
struct load_report
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    // Over one: it works that many times slower than published.
    double pace = 1;
    served_weights weights;
    // It takes no new work until an order is carried out.
    bool switching = false;
    // It will switch about then.
    std::optional<base::time_point> switches_at;
    // The agent could not reach the engine.
    bool unreachable = false;
};

struct endpoint_state
{
    endpoint_record listed;
    std::optional<load_report> report;
    base::time_point reported;
    // Own requests that run there.
    std::uint32_t own_running = 0;
    // Own requests begun less those ended since the report.
    std::int32_t own_change = 0;
    // Own requests of the last second and a little more, oldest first.
    std::deque<base::time_point> recent;
    // When it last sent anything, or was sent something while it owed nothing.
    base::time_point last_heard;
    // When it last sent anything.
    base::time_point last_sent;
    // Share of its answers that were faults, weighted to the latest.
    double fault_share = 0;
    base::time_point last_fault;
    // Not tried before then, after a connection that did not come about or a
    // request that was turned away.
    base::time_point avoid_until;
    std::uint32_t connect_faults = 0;
    // Requests whose answers were cut before they began, with the time.
    std::vector<std::pair<std::uint64_t, base::time_point>> cuts;
    // Left the list while the platform was not stable; kept until then.
    std::optional<base::time_point> lapses;
};

// A version of a model's weights that operators named.
struct named_version
{
    std::uint64_t version = 0;
    base::time_point learned;
    // The version before it may begin nothing after this moment.
    base::time_point older_until;
};

// What is held against the list after the store came back from a copy.
struct list_doubt
{
    // When the store last came back.
    std::optional<base::time_point> returned;
    // Endpoints that left the list, and when.
    std::map<std::string, base::time_point> left;
    // Records of the copy that are not believed yet, by id.
    std::map<std::string, endpoint_record> kept_back;
    // Failure domains that are out of service though the copy lacks them.
    std::set<std::string> held_out;
};

struct endpoint_table
{
    // By id.
    std::map<std::string, endpoint_state> endpoints;
    // Failure domains that are out of service.
    std::set<std::string> domains_out;
    // By model. Versions that were named and are not yet past their bound
    // stand behind each other, oldest first.
    std::map<std::string, std::vector<named_version>> versions;
    // Region of each failure domain.
    std::map<std::string, std::string> regions;
    // Entries of each failure domain, as the agents there name them.
    std::map<std::string, std::set<std::string>> domain_entries;
    list_doubt doubt;
};

// How long an endpoint that left the list is still used when the list itself
// was lost for a while: those that live are back within two seconds of the
// platform's return, and what leaves may get nothing two seconds later.
inline constexpr std::chrono::milliseconds lapse_time{1500};

// Takes one record in; false when nothing changed.
bool put(endpoint_table& book, endpoint_record record);

// Takes an endpoint off the list: at once, or after lapse_time when the list
// was not to be relied on.
void remove(
    endpoint_table& book,
    std::string const& id,
    bool list_was_lost,
    base::time_point now);

// Replaces the whole list.
void replace_all(
    endpoint_table& book,
    std::vector<endpoint_record> records,
    bool list_was_lost,
    base::time_point now);

// How many endpoints of the service are listed.
std::size_t count_of(endpoint_table const& book, std::string const& service);

// Drops what lapsed and believes what was kept back for long enough.
void expire(endpoint_table& book, base::time_point now);

// Takes an agent's word on the engine at this IP address.
void note_report(
    endpoint_table& book,
    std::string const& address,
    load_report const& report,
    base::time_point now);

// Takes a report that another entry passed on, as of the moment at which it
// came there; nothing changes when a newer one is known, and what this entry
// has sent since that moment counts on top. Failure: two entries pass the same
// report on, and what this entry has sent since the first is forgotten with the
// second.
void note_relayed_report(
    endpoint_table& book,
    std::string const& address,
    load_report const& report,
    base::time_point as_of);

// Takes a version in if it is newer than those known; false when it is not.
bool announce_version(
    endpoint_table& book, std::string const& model, named_version const& named);

// The machine was suspended for that long. Failure: the steady clock stands
// still meanwhile, and the time of older versions would end that much later
// here than everywhere else.
void note_suspended(endpoint_table& book, std::chrono::milliseconds time);

// When this version of the model stops to begin requests, as far as newer ones
// are known; nothing for the newest.
std::optional<base::time_point> version_retires_at(
    endpoint_table const& book, std::string const& model, std::uint64_t version);

// When the first version newer than this one was named; nothing for the newest.
std::optional<base::time_point> superseded_at(
    endpoint_table const& book, std::string const& model, std::uint64_t version);

// How an own request at an endpoint ended, as far as the endpoint is judged.
enum class request_outcome
{
    answered,
    // It said that it did not run it: full.
    declined,
    // It said that it is not what the request was sent for: another endpoint
    // has the address, or it holds other weights.
    misdirected,
    // A fault of its own, a cut answer or silence.
    faulty,
    // No connection came about.
    not_connected,
    // Ended from this side.
    cancelled,
};

void note_request_begun(
    endpoint_table& book, std::string const& id, base::time_point now);
void note_request_ended(
    endpoint_table& book,
    std::string const& id,
    request_outcome how,
    base::time_point now);

// The answer to a request was cut before it began: the request may have crashed
// the endpoint, or only its answer was lost.
void note_lost_answer(
    endpoint_table& book,
    std::string const& id,
    std::uint64_t request,
    base::time_point now);

// The endpoint is gone: the requests that were cut there a moment before, each
// told once. Failure: lost answers were taken for crashes, and everybody who
// asked the same was refused for minutes while the endpoints lived.
std::vector<std::uint64_t>
take_lost_answers(endpoint_table& book, std::string const& id, base::time_point now);

// Anything came from the endpoint.
void note_heard(
    endpoint_table& book, std::string const& id, base::time_point now);

// It owes answers and has sent nothing for this long. Streams send every 50 ms
// and plain answers take less than half a second.
inline constexpr std::chrono::milliseconds stall_time{500};
bool is_stalled(endpoint_state const& state, base::time_point now);

// Time after which an agent that reported before counts as silent.
inline constexpr std::chrono::milliseconds report_timeout{700};

// Its agent reported before and is silent now, and the endpoint has sent
// nothing since either: its machine may stand still.
bool is_silent(endpoint_state const& state, base::time_point now);

// Weights as known best now: the agent's word while it is fresh.
served_weights const&
weights_of(endpoint_state const& state, base::time_point now);

// True while the agent's last word is fresh.
bool is_fresh(endpoint_state const& state, base::time_point now);

} // namespace foxtailvale::direct

#endif
