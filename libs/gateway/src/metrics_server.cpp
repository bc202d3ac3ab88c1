#include "metrics_server.hpp"

#include <kernel/events.hpp>

namespace foxtailvale::gateway
{

std::shared_ptr<net::http_server> start_metrics_server(
    boost::asio::io_context& loop,
    std::string const& ip,
    kernel::metrics const& counters)
{
    net::server_handlers handlers;
    handlers.on_request =
        [&counters](
            std::shared_ptr<net::server_session> const& session,
            net::request const& asked)
    {
        if (asked.target != "/metrics")
        {
            session->respond(404, {}, {});
            return;
        }
        session->respond(
            200, {{"Content-Type", "text/plain; version=0.0.4"}},
            counters.expose());
    };
    handlers.on_fault = [](net::server_session& session, net::read_fault)
    {
        session.abort();
    };
    auto server = std::make_shared<net::http_server>(
        loop, net::server_limits{}, std::move(handlers),
        net::question_capacity());
    boost::system::error_code error;
    auto const address = boost::asio::ip::make_address(ip, error);
    auto const fault = error ? std::optional(error.message())
                             : server->listen({address, metrics_port});
    if (fault)
    {
        kernel::log_error(
            {base::error_kind::bad_settings, "metrics address: " + *fault});
        return nullptr;
    }
    return server;
}

} // namespace foxtailvale::gateway
