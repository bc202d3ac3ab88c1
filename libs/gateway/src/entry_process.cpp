#include "run_process.hpp"

#include <gateway/entry.hpp>
#include <gateway/entry_process.hpp>

#include <utility>

namespace foxtailvale::gateway
{

int run_entry(std::string const& settings_path)
{
    return run_process<entry_process>(settings_path, "foxtailvale-entry");
}

int check_entry(std::string const& settings_path)
{
    return check_settings(
        settings_path,
        [](platform::settings const& read) -> std::optional<std::string>
        {
            if (read.caller_address.empty() || read.readiness_address.empty())
            {
                return "the settings lack an address for callers or readiness "
                       "checks";
            }
            return std::nullopt;
        });
}

} // namespace foxtailvale::gateway
