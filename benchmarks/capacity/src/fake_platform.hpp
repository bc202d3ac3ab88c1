#ifndef FOXTAILVALE_CAPACITY_FAKE_PLATFORM_HPP
#define FOXTAILVALE_CAPACITY_FAKE_PLATFORM_HPP

#include <base/ids.hpp>

#include <core/platform.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace foxtailvale::capacity
{

// In-memory object API of the platform in virtual time, with object versions,
// conditional updates and watches. Counts calls and bytes.
class fake_platform
{
public:
    explicit fake_platform(std::string vm_list);

    void write(std::string const& path, std::string value);

    void submit(core::platform_call const& call, base::time_point now);

    // Removes and returns the answers that are due.
    std::vector<core::platform_answer> take_answers(base::time_point now);

    // Number of calls so far by kind: "read", "write", "watch".
    std::map<std::string, std::uint64_t> const& calls() const;

    // Total bytes of the values in all answers so far.
    std::uint64_t bytes_answered() const;

private:
    struct object
    {
        std::uint64_t version = 0;
        std::string value;
    };

    struct waiting_call
    {
        core::platform_call call;
        base::time_point until;
    };

    std::optional<core::platform_answer>
    try_answer(waiting_call const& waiting, base::time_point now);
    core::platform_answer put(core::platform_call const& call);
    std::string list(std::string const& prefix) const;

    std::string vms;
    std::map<std::string, object> objects;
    std::vector<waiting_call> waiting;
    std::map<std::string, std::uint64_t> call_counts;
    std::uint64_t last_version = 0;
    std::uint64_t bytes = 0;
};

} // namespace foxtailvale::capacity

#endif
