#ifndef FOXTAILVALE_REQUEST_CLAIM_HPP
#define FOXTAILVALE_REQUEST_CLAIM_HPP

#include <base/error.hpp>
#include <base/ids.hpp>

#include <cstdint>
#include <string>

// The record in the object API that makes a call with an idempotency key run
// at most once, whichever entries its caller reaches.
namespace foxtailvale::request
{

enum class claim_state
{
    // The named attempt may run, may have run or may be void; its agent knows.
    running,
    // The attempt ended with the stored answer.
    finished,
    // The attempt certainly did not run: the next one may take over.
    not_run,
};

struct claim
{
    claim_state state = claim_state::running;
    // 128 random bits that only the writer knows: an entry that lost the
    // answer to its write recognises its own claim by them.
    base::attempt_id attempt;
    std::string agent;
    // Digest of what was asked; equal keys with other requests are refused.
    std::string request_digest;
    std::uint32_t status = 0;
    std::string content_type;
    std::string body;
    // False when the answer was too large to be stored.
    bool body_kept = true;
};

// Largest answer that is stored, in bytes. The platform's values hold a
// megabyte; base64 adds a third, and the rest is left for the other members.
inline constexpr std::size_t max_stored_bytes = 512UL * 1024;

// What names a call: the same key of two workspaces is two calls.
struct claim_name
{
    std::string workspace;
    std::string service;
    std::string key;
};

// Object path. The two digits after the prefix spread the claims evenly, so
// that a listing can go through them in parts.
std::string claim_path(std::string const& prefix, claim_name const& name);

// Digest of a request as a re-send must repeat it.
std::string request_digest(
    std::string const& method,
    std::string const& path,
    std::string const& content_type,
    std::string const& body);

// Stored form. An answer over the limit is left out and marked so.
std::string to_text(claim const& value);

// Reads the stored form; bad_frame when it is not one.
base::result<claim> parse_claim(std::string const& text);

} // namespace foxtailvale::request

#endif
