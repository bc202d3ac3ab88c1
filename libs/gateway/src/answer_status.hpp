#ifndef FOXTAILVALE_GATEWAY_ANSWER_STATUS_HPP
#define FOXTAILVALE_GATEWAY_ANSWER_STATUS_HPP

namespace foxtailvale::gateway
{

// Statuses that promise "not run"; an endpoint that says one of them without
// saying so in its own way has made no such promise.
inline bool promises_not_run(unsigned status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

inline bool is_success(unsigned status)
{
    return status >= 200 && status < 300;
}

} // namespace foxtailvale::gateway

#endif
