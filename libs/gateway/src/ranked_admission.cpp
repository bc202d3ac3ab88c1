#include <gateway/ranked_admission.hpp>
#include <routing/routes.hpp>

#include <scheduling/admission.hpp>

namespace foxtailvale::gateway
{

bool is_ranked(entry_context const& context, std::string const& service)
{
    return scheduling::is_ranked(
        context.settings.scheduling.admission, context.settings.ranks_compete,
        context.configuration &&
            routing::differ_in_priority(*context.configuration, service));
}

} // namespace foxtailvale::gateway
