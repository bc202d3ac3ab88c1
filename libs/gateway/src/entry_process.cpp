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

} // namespace foxtailvale::gateway
