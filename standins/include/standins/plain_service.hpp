#ifndef FOXTAILVALE_STANDINS_PLAIN_SERVICE_HPP
#define FOXTAILVALE_STANDINS_PLAIN_SERVICE_HPP

#include <http/http_server.hpp>
#include <standins/request_start_log.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace foxtailvale::standins
{

// A plain service, such as one that books swap visits. Counts the runs
// per request ID, so that duplicate execution is detectable.
class plain_service
{
public:
    plain_service(
        http::server_options const& options,
        std::string instance,
        std::chrono::milliseconds work);

private:
    using request = Poco::Net::HTTPServerRequest;
    using response = Poco::Net::HTTPServerResponse;

    void answer(request& incoming, response& reply);

    std::string instance;
    std::chrono::milliseconds work_time;
    std::mutex mutex;
    std::map<std::string, std::uint64_t> runs;
    // Milliseconds since the epoch when the latest call started.
    std::int64_t last_begin_ms = 0;
    request_start_log starts;
    http::server listener;
};

} // namespace foxtailvale::standins

#endif
