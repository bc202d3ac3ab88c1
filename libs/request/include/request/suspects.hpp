#ifndef FOXTAILVALE_REQUEST_SUSPECTS_HPP
#define FOXTAILVALE_REQUEST_SUSPECTS_HPP

#include <base/ids.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

// Tracks what endpoints ran as they crashed: whole requests, and the parts of
// their prompts that other requests share. A request or a part that crashes
// every endpoint that runs it and comes again and again would take down all
// endpoints of a failure domain within seconds.
namespace foxtailvale::request
{

// Hash of a request's content, or of one part of its prompt.
using fingerprint = std::uint64_t;

// The fingerprints by which crash records know a request. No part has the
// fingerprint zero.
struct request_prints
{
    fingerprint whole = 0;
    // In the order of the prompt, without its last part, which belongs to the
    // request alone. Zero stands for a part that is left out.
    std::vector<fingerprint> parts;
};

// The end of an endpoint while it ran a request.
struct crash
{
    std::string endpoint;
    // When the request was sent there, and when its answer broke off.
    base::time_point sent;
    base::time_point ended;
};

// The crashes of endpoints under one request, or under requests with one part.
struct crash_record
{
    // A crash, with the number of the endpoint's end.
    struct recorded_crash
    {
        std::uint64_t end = 0;
        crash seen;
    };

    // Position of the part in the prompts; nothing for a whole request.
    std::optional<std::uint32_t> part_position;
    // An endpoint answered a request with this part before its first crash.
    bool answered_before = false;
    // It is refused.
    bool suspect = false;
    // When this entry last sent a request to see whether the part still crashes
    // endpoints.
    std::optional<base::time_point> probed;
    // By the time of the end.
    std::vector<recorded_crash> crashes;
};

// An endpoint that ended while it ran requests.
struct endpoint_end
{
    std::uint64_t id = 0;
    std::string endpoint;
    base::time_point at;
    // Others ended at the same moment, so that no request is the cause.
    bool is_joint = false;
};

// A prompt whose answer this entry lost with an endpoint.
struct lost_prompt
{
    base::time_point at;
    std::uint64_t end = 0;
};

// What an entry knows of crashes of endpoints.
struct suspect_list
{
    std::map<fingerprint, crash_record> records;
    // When a request was last answered, or one with this part of a prompt.
    std::map<fingerprint, base::time_point> answered;
    // By the time at which this entry heard of them.
    std::deque<endpoint_end> ends;
    // The number that was given last.
    std::uint64_t last_end = 0;
    // This entry's last attempts at prompts, oldest first: when answers came,
    // and what was lost with an endpoint.
    std::deque<base::time_point> answered_prompts;
    std::deque<lost_prompt> lost_prompts;
    // What is refused.
    std::set<fingerprint> suspects;
};

// Time after the last crash at which a record expires. By then the request or
// the engine may have been fixed, and an operator has had time to look into the
// log entry.
inline constexpr std::chrono::minutes suspect_duration{10};

// The same for a suspect part. It is not forgotten after suspect_duration but
// probed: otherwise requests with it would crash endpoints from each entry at
// once.
inline constexpr std::chrono::minutes suspect_part_duration{60};

// Number of crashes that make a whole request suspect. One crash can have many
// other causes.
inline constexpr std::size_t min_crashed_endpoints = 2;

// The same for a part of prompts. More, since a wrong mark refuses all requests
// that share the part.
inline constexpr std::size_t min_part_crashes = 3;

// Maximum number of records; beyond it the record that expires first is
// evicted, one that is not suspect before one that is. An engine crash ends its
// whole batch, so a single crash adds up to a hundred records.
inline constexpr std::size_t max_crash_records = 4096;

// Records that the endpoint ended while it ran the request. Returns the
// fingerprints that are accused: not those of parts that were answered since
// the crash.
request_prints note_crash(
    suspect_list& state,
    request_prints const& prints,
    crash const& seen,
    base::time_point now);

// Records a crash that another entry tells of, with what it accuses.
void note_told_crash(
    suspect_list& state,
    request_prints const& accused,
    crash const& seen,
    base::time_point now);

// The same for a whole request and a crash at this moment. Returns true if this
// made the request suspect.
bool note_crash(
    suspect_list& state,
    fingerprint request,
    std::string const& endpoint,
    base::time_point now);

// A crash on the record of another entry.
struct relayed_crash
{
    fingerprint print = 0;
    std::optional<std::uint32_t> part_position;
    // The other entry refuses what the crash accuses.
    bool suspect = false;
    crash seen;
};

// Adds a crash that another entry relays. Returns false and changes nothing if
// it is on record already, has expired, or came before the request, or one with
// the part, was last answered.
bool note_relayed_crash(
    suspect_list& state, relayed_crash const& relayed, base::time_point now);
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

// The same for the request and the parts of its prompt, at the time of the
// answer. Returns the fingerprints whose crash records are cleared.
std::vector<fingerprint> note_answered(
    suspect_list& state, request_prints const& prints, base::time_point at);

// Whether the request is refused: enough endpoints crashed, at different
// moments, under it or under one part of its prompt, and no other suspect
// explains these crashes.
bool is_suspect(suspect_list const& state, request_prints const& prints);
bool is_suspect(suspect_list const& state, fingerprint print);

// Time until the suspect request may run: until its record expires or the
// suspect part may be probed.
base::duration quarantine_left(
    suspect_list const& state,
    request_prints const& prints,
    base::time_point now);

// Whether this entry may send the suspect request as a probe of its suspect
// parts. One probe at a time is sent in all entries together, as they take
// turns: `entries` are all of them, `own` this one. A part that crashed few
// endpoints is probed soon, as it may be suspect by chance.
bool may_probe(
    suspect_list const& state,
    request_prints const& prints,
    std::string const& own,
    std::set<std::string> const& entries,
    base::time_point now);

void note_probe(
    suspect_list& state, request_prints const& prints, base::time_point now);

// Returns the number of crashes on record for the request, or the part.
std::size_t crash_count(suspect_list const& state, fingerprint print);

// Whether at least one endpoint crashed while running the request.
bool has_crash_record(suspect_list const& state, fingerprint request);

// The same for the request or a part of its prompt.
bool has_crash_record(suspect_list const& state, request_prints const& prints);

// Removes a request, or a part, from the list on behalf of an operator, so that
// it may run again. Returns false if it was not on the list.
bool release(suspect_list& state, fingerprint request);

// Records an answer to a prompt that ended with its connection. It may have
// been cut off, and clears nothing.
void note_uncertain_answer(
    suspect_list& state, request_prints const& prints, base::time_point at);

// Returns when the request, or one with the part, was last answered, if that
// was after this time.
std::optional<base::time_point> answered_since(
    suspect_list const& state, fingerprint print, base::time_point at);

// Removes expired records.
void expire(suspect_list& state, base::time_point now);

// Returns the requests and the parts that are currently suspect and therefore
// refused.
std::vector<fingerprint> suspects(suspect_list const& state);

} // namespace foxtailvale::request

#endif
