#include <node/operator_server.hpp>

namespace foxtailvale::node
{

operator_server::operator_server(
    http::server_options const& options,
    std::shared_ptr<kernel::metrics> counters,
    std::map<std::string, operator_page> extra)
    : metrics(std::move(counters)), pages(std::move(extra)),
      listener(
          options,
          [this](
              Poco::Net::HTTPServerRequest& request,
              Poco::Net::HTTPServerResponse& response)
          {
              this->answer(request, response);
          })
{
}

void operator_server::set_ready(bool value)
{
    this->ready = value;
}

void operator_server::answer(
    Poco::Net::HTTPServerRequest& request,
    Poco::Net::HTTPServerResponse& response)
{
    auto const& path = request.getURI();
    if (path == "/metrics")
    {
        http::send_text(
            response, 200, "text/plain; version=0.0.4",
            this->metrics->expose());
        return;
    }
    if (path == "/healthz")
    {
        http::send_text(response, 200, "text/plain", "ok\n");
        return;
    }
    if (path == "/readyz")
    {
        auto const status = this->ready ? 200 : 503;
        http::send_text(
            response, status, "text/plain",
            this->ready ? "ready\n" : "not ready\n");
        return;
    }
    auto const page = this->pages.find(path);
    if (page != this->pages.end())
    {
        http::send_text(
            response, 200, page->second.content_type, page->second.text());
        return;
    }
    http::send_text(response, 404, "text/plain", "no such page\n");
}

} // namespace foxtailvale::node
