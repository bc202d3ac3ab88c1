#ifndef FOXTAILVALE_REQUEST_SUSPECTS_HPP
#define FOXTAILVALE_REQUEST_SUSPECTS_HPP

#include <base/ids.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

// Requests that ran on endpoints as they crashed. Made for the request that
// takes down every endpoint it runs on and that its caller sends again: left
// alone, it empties a failure domain within seconds.
namespace foxtailvale::request
{

// Hash of what was asked.
using fingerprint = std::uint64_t;

struct crash_record
{
    // Endpoints that crashed under it.
    std::map<std::string, base::time_point> endpoints;
    base::time_point until;
};

struct suspect_list
{
    std::map<fingerprint, crash_record> records;
};

// A caller may have mended its request or the engine its fault by then, and an
// operator who sees the log entry had time to look.
inline constexpr std::chrono::minutes suspect_length{10};

// Two different endpoints; one crash has many causes.
inline constexpr std::size_t crashes_to_suspect = 2;

// A crashing engine takes its batch along, so each crash names up to a
// hundred; past this the records that end first go.
inline constexpr std::size_t most_crash_records = 4096;

// Notes that the request ran on the endpoint as it crashed. True when it has
// just become suspect by that.
bool note_crash(
    suspect_list& state,
    fingerprint request,
    std::string const& endpoint,
    base::time_point now);

// Notes that the request was answered. Failure: a common prompt happens to run
// beside the culprit on two endpoints, and all its callers are refused. The
// culprit never ends well; what does is no culprit.
void note_answered(suspect_list& state, fingerprint request);

bool is_suspect(suspect_list const& state, fingerprint request);

// Whether an endpoint crashed under it at least once: it runs next where few
// others would fall with it.
bool has_crash_record(suspect_list const& state, fingerprint request);

// An operator lets it run again; false when it was not on the list.
bool release(suspect_list& state, fingerprint request);

// Forgets what is past its time.
void expire(suspect_list& state, base::time_point now);

// Those that are refused now.
std::vector<fingerprint> suspects(suspect_list const& state);

} // namespace foxtailvale::request

#endif
