#ifndef FOXTAILVALE_CORE_PLATFORM_HPP
#define FOXTAILVALE_CORE_PLATFORM_HPP

#include <base/error.hpp>

#include <chrono>
#include <cstdint>
#include <string>

// Calls to the platform's object API, as a core asks for them.
namespace foxtailvale::core
{

enum class platform_method
{
    get,
    // Write if the object's version is still the expected one; expected zero
    // means that the object must not exist yet.
    put,
    // Answer when the object's version is above the expected one, or with
    // not_found after the wait.
    watch,
    // All objects whose name begins with the path, as one JSON object
    // {"objects": [{"path", "version", "value"}]}.
    list,
    // The platform's list of VMs; not_found when its version is still the
    // expected one.
    vms,
};

// One call; the answer carries the same id.
struct platform_call
{
    std::uint64_t id = 0;
    platform_method method = platform_method::get;
    std::string path;
    std::uint64_t expected = 0;
    std::string value;
    // Longest time to wait for an answer; a watch's answer may take this long.
    std::chrono::milliseconds wait{1000};
};

// The answer, or that there was none. A put without an answer may have taken
// effect all the same: read back before believing either.
struct platform_answer
{
    std::uint64_t id = 0;
    // Unset when the call went well; platform_conflict, not_found,
    // platform_refused or platform_unavailable.
    bool ok = false;
    base::error_kind error = base::error_kind::platform_unavailable;
    std::uint64_t version = 0;
    std::string value;
};

// Paths of the system's own objects.
inline constexpr char const* release_path = "release/current";
inline constexpr char const* plans_prefix = "plans/";
inline constexpr char const* leases_prefix = "leases/";
inline constexpr char const* claims_prefix = "claims/";
inline constexpr char const* status_prefix = "status/";

std::string plan_path(std::string const& failure_domain);
std::string lease_path(std::string const& failure_domain);

} // namespace foxtailvale::core

#endif
