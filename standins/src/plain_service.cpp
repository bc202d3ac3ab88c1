#include <nlohmann/json.hpp>
#include <standins/plain_service.hpp>
#include <standins/wall_clock.hpp>

#include <thread>

namespace foxtailvale::standins
{

namespace
{

using nlohmann::json;

constexpr std::uint64_t max_body_bytes = 1024U * 1024U;
constexpr char const* json_type = "application/json";

} // namespace

plain_service::plain_service(
    http::server_options const& options,
    std::string name,
    std::chrono::milliseconds work)
    : instance(std::move(name)), work_time(work),
      listener(
          options,
          [this](request& incoming, response& reply)
          {
              this->answer(incoming, reply);
          })
{
}

void plain_service::answer(request& incoming, response& reply)
{
    auto const& uri = incoming.getURI();
    if (uri == "/state")
    {
        return http::send_text(
            reply, 200, json_type,
            json{{"instance", this->instance}, {"cold", false}}.dump());
    }
    if (uri == "/counters")
    {
        json value;
        {
            std::lock_guard const lock(this->mutex);
            value["runs"] = this->runs;
            value["last_begin_ms"] = this->last_begin_ms;
            value["begun"] = this->starts.to_json();
        }
        return http::send_text(reply, 200, json_type, value.dump());
    }
    std::string body;
    http::read_body(incoming, max_body_bytes, body);
    auto const id = incoming.get("X-Request-Id", "none");
    {
        std::lock_guard const lock(this->mutex);
        ++this->runs[id];
        this->last_begin_ms = wall_clock_ms();
        this->starts.add(id);
    }
    std::this_thread::sleep_for(this->work_time);
    http::send_text(
        reply, 200, json_type,
        json{{"request", id}, {"bytes", body.size()}}.dump());
}

} // namespace foxtailvale::standins
