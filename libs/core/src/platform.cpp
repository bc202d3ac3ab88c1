#include <core/platform.hpp>

namespace foxtailvale::core
{

std::string plan_path(std::string const& failure_domain)
{
    return plans_prefix + failure_domain;
}

std::string lease_path(std::string const& failure_domain)
{
    return leases_prefix + failure_domain;
}

} // namespace foxtailvale::core
