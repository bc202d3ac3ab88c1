#ifndef FOXTAILVALE_REQUEST_CLAIM_HPP
#define FOXTAILVALE_REQUEST_CLAIM_HPP

#include <base/error.hpp>
#include <base/ids.hpp>

#include <cstdint>
#include <string>

// A claim is the record in the object API that makes a call with an idempotency
// key run at most once, whichever entries its caller reaches.
namespace foxtailvale::request
{

enum class claim_state
{
    // The recorded attempt may be running, may have run or may be void; its
    // agent knows which.
    running,
    // The attempt completed with the stored answer.
    finished,
    // The attempt definitely did not run; another attempt may take over.
    not_run,
};

struct claim
{
    claim_state state = claim_state::running;
    // 128 random bits that only the writer knows. An entry that lost the
    // response to its write recognises its own claim by them.
    base::attempt_id attempt;
    std::string agent;
    // Digest of the request; a different request with the same key is refused.
    std::string request_digest;
    // HTTP status, content type and body of the answer.
    std::uint32_t status = 0;
    std::string content_type;
    std::string body;
    // False if the answer's body was too large to be stored.
    bool body_kept = true;
};

// Largest answer body that is stored, in bytes. The platform's values hold up
// to a megabyte; base64 adds a third, and the rest is left for the other
// members.
inline constexpr std::size_t max_stored_bytes = 512UL * 1024;

// Identifies a call. The same key in two workspaces identifies two calls.
struct claim_name
{
    std::string workspace;
    std::string service;
    std::string key;
};

// Object path of a claim. The two hexadecimal digits after the prefix
// distribute the claims evenly, so that they can be listed in parts.
std::string claim_path(std::string const& prefix, claim_name const& name);

// Digest of the parts of a request that a retry must repeat unchanged.
std::string request_digest(
    std::string const& method,
    std::string const& path,
    std::string const& content_type,
    std::string const& body);

// Serialises a claim as JSON text. A body over max_stored_bytes is omitted and
// marked as such.
std::string to_text(claim const& value);

// Parses the output of `to_text`; fails with bad_frame if the text is
// malformed.
base::result<claim> parse_claim(std::string const& text);

} // namespace foxtailvale::request

#endif
