#ifndef FOXTAILVALE_NODE_OPERATOR_SERVER_HPP
#define FOXTAILVALE_NODE_OPERATOR_SERVER_HPP

#include <kernel/metrics.hpp>

#include <http/http_server.hpp>

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace foxtailvale::node
{

// A page of the operator port: its content type and the function that produces
// its text.
struct operator_page
{
    std::string content_type;
    std::function<std::string()> text;
};

// Serves the operator port: /metrics, /healthz, /readyz and pages that the
// process adds.
class operator_server
{
public:
    operator_server(
        http::server_options const& options,
        std::shared_ptr<kernel::metrics> metrics,
        std::map<std::string, operator_page> pages = {});

    // Sets whether new work is accepted, as /readyz reports it. Turned off
    // before the listener closes, since the load balancer notices late.
    void set_ready(bool ready);

private:
    void answer(
        Poco::Net::HTTPServerRequest& request,
        Poco::Net::HTTPServerResponse& response);

    std::shared_ptr<kernel::metrics> metrics;
    std::map<std::string, operator_page> pages;
    std::atomic<bool> ready{false};
    http::server listener;
};

} // namespace foxtailvale::node

#endif
