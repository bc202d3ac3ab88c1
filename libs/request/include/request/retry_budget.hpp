#ifndef FOXTAILVALE_REQUEST_RETRY_BUDGET_HPP
#define FOXTAILVALE_REQUEST_RETRY_BUDGET_HPP

namespace foxtailvale::request
{

// Token bucket that limits retries to a share of the load. Without it, slow
// endpoints cause requests to be resent repeatedly, and the load grows when
// there is the least capacity. Endpoints are sized for an additional load of a
// tenth.
struct retry_budget
{
    double tokens = 10;
};

// Adds a tenth of a token for a new request, up to ten tokens.
void earn(retry_budget& budget);
// Takes one token for a retry. Returns false if there is none.
bool spend(retry_budget& budget);

} // namespace foxtailvale::request

#endif
