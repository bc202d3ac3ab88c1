#include "run_process.hpp"

#include <gateway/agent.hpp>
#include <gateway/agent_process.hpp>

namespace foxtailvale::gateway
{

int run_agent(std::string const& settings_path)
{
    return run_process<agent_process>(settings_path, "foxtailvale-agent");
}

int check_agent(std::string const& settings_path)
{
    return check_settings(
        settings_path,
        [](platform::settings const& read) -> std::optional<std::string>
        {
            if (read.engine_address.empty())
            {
                return "the settings specify no engine address";
            }
            return std::nullopt;
        });
}

} // namespace foxtailvale::gateway
