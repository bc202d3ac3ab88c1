#ifndef FOXTAILVALE_CORE_PLATFORM_HPP
#define FOXTAILVALE_CORE_PLATFORM_HPP

#include <base/error.hpp>

#include <chrono>
#include <cstdint>
#include <string>

// Calls to the platform's object API, as the state machines request them.
namespace foxtailvale::core
{

enum class platform_method
{
    get,
    // Conditional write: succeeds only if the object's current version equals
    // `expected`. Zero means that the object must not exist yet.
    put,
    // Long poll: answers once the object's version exceeds `expected`, or with
    // not_found when `wait` has passed.
    watch,
    // Lists all objects whose path begins with `path`, as one JSON object
    // {"objects": [{"path", "version", "value"}]}.
    list,
    // Gets the platform's list of VMs; answers not_found while its version
    // still equals `expected`.
    vms,
};

// One call; its answer carries the same id.
struct platform_call
{
    std::uint64_t id = 0;
    platform_method method = platform_method::get;
    std::string path;
    std::uint64_t expected = 0;
    std::string value;
    // Maximum time to wait for the answer; a watch may use all of it.
    std::chrono::milliseconds wait{1000};
};

// The answer to a call, or the failure to get one. A put without an answer may
// have taken effect: the caller must read the object back before it assumes
// either outcome.
struct platform_answer
{
    std::uint64_t id = 0;
    // True when the call succeeded. Otherwise `error` is platform_conflict,
    // not_found, platform_refused or platform_unavailable.
    bool ok = false;
    base::error_kind error = base::error_kind::platform_unavailable;
    std::uint64_t version = 0;
    std::string value;
};

// Paths of the objects that this system stores on the platform.
inline constexpr char const* release_path = "release/current";
inline constexpr char const* plans_prefix = "plans/";
inline constexpr char const* leases_prefix = "leases/";
inline constexpr char const* claims_prefix = "claims/";
inline constexpr char const* status_prefix = "status/";

std::string plan_path(std::string const& failure_domain);
std::string lease_path(std::string const& failure_domain);

} // namespace foxtailvale::core

#endif
