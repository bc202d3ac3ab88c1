#ifndef FOXTAILVALE_REQUEST_SUSPECTS_HPP
#define FOXTAILVALE_REQUEST_SUSPECTS_HPP

#include <base/ids.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

// Tracks requests that were running on endpoints when these crashed. A request
// that crashes every endpoint it runs on and is resent by its caller would take
// down all endpoints of a failure domain within seconds.
namespace foxtailvale::request
{

// Hash of the request's content.
using fingerprint = std::uint64_t;

struct crash_record
{
    // Time of the last crash by endpoint, for endpoints that crashed while they
    // ran the request.
    std::map<std::string, base::time_point> endpoints;
    base::time_point expires_at;
};

struct suspect_list
{
    std::map<fingerprint, crash_record> records;
    // When a request was last answered, for the time in which another entry may
    // relay older crashes.
    std::map<fingerprint, base::time_point> answered;
};

// Time after the last crash at which a record expires. By then the request or
// the engine may have been fixed, and an operator has had time to look into the
// log entry.
inline constexpr std::chrono::minutes suspect_duration{10};

// Number of different endpoints that must crash while running a request before
// the request is suspect. One crash can have many other causes.
inline constexpr std::size_t min_crashed_endpoints = 2;

// Maximum number of records; beyond it the record that expires first is
// evicted, one that is not suspect before one that is. An engine crash ends its
// whole batch, so a single crash adds up to a hundred records.
inline constexpr std::size_t max_crash_records = 4096;

// Records that the request was running on the endpoint when it crashed. Returns
// true if this made the request suspect.
bool note_crash(
    suspect_list& state,
    fingerprint request,
    std::string const& endpoint,
    base::time_point now);

// The same for a crash at an earlier time that another entry relays. Returns
// false and changes nothing if it is on record already, has expired, or came
// before the request was last answered.
bool note_relayed_crash(
    suspect_list& state,
    fingerprint request,
    std::string const& endpoint,
    base::time_point at,
    base::time_point now);

// Records that the request was answered, not with a failure of the endpoint,
// and clears its crash record. Without this, a common prompt that happens to
// run beside the crashing request on two endpoints would be refused for all its
// callers. A request that crashes endpoints is never answered, so an answered
// one is not the cause.
void note_answered(
    suspect_list& state, fingerprint request, base::time_point now);

// Whether the request is refused: enough different endpoints crashed under it.
bool is_suspect(suspect_list const& state, fingerprint request);

// Returns the number of endpoints that crashed while running the request.
std::size_t crashed_endpoints(suspect_list const& state, fingerprint request);

// Whether at least one endpoint crashed while running the request. Such a
// request is placed on the least loaded endpoint, where another crash affects
// the fewest other requests.
bool has_crash_record(suspect_list const& state, fingerprint request);

// Removes a request from the list on behalf of an operator, so that it may run
// again. Returns false if it was not on the list.
bool release(suspect_list& state, fingerprint request);

// Removes expired records.
void expire(suspect_list& state, base::time_point now);

// Returns the requests that are currently suspect and therefore refused.
std::vector<fingerprint> suspects(suspect_list const& state);

} // namespace foxtailvale::request

#endif
