#ifndef FOXTAILVALE_GATEWAY_GRACEFUL_STOP_HPP
#define FOXTAILVALE_GATEWAY_GRACEFUL_STOP_HPP

#include <gateway/entry_context.hpp>
#include <net/http_server.hpp>

#include <boost/asio/steady_timer.hpp>

#include <memory>

namespace foxtailvale::gateway
{

// Ends an entry process once it is told to: answers the requests that still
// come while the load balancer takes the entry out, completes those that run,
// and stops the event loop when none is left or the time granted is used up.
// What runs then is ended with an answer, as far as its answer has not begun.
class graceful_stop : public std::enable_shared_from_this<graceful_stop>
{
public:
    graceful_stop(
        std::shared_ptr<entry_context> shared,
        std::shared_ptr<net::http_server> callers);

    // Has no effect when it has begun.
    void begin();

private:
    void await_drain();
    // Refuses requests that wait for an endpoint and can no longer be answered.
    void refuse_late();
    // Logs what is still open, once a second.
    void report_progress();
    // Logs whole answers that the end of the process cuts.
    void report_unsent();
    // Ends all requests that are left and waits until their answers are
    // written.
    void end_requests();
    void await_written();
    void end();
    void after(std::chrono::milliseconds time, void (graceful_stop::*next)());

    std::shared_ptr<entry_context> context;
    std::shared_ptr<net::http_server> caller_server;
    boost::asio::steady_timer timer;
    base::time_point next_report;
    // Requests that the end of the process ended.
    std::size_t ended_requests = 0;
};

} // namespace foxtailvale::gateway

#endif
