#ifndef FOXTAILVALE_GATEWAY_ANSWER_STATUS_HPP
#define FOXTAILVALE_GATEWAY_ANSWER_STATUS_HPP

namespace foxtailvale::gateway
{

// Statuses that tell a caller that the request was not run. An endpoint that
// returns one of them without its own not-run field has not made that promise.
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
