#ifndef FOXTAILVALE_STANDINS_REQUEST_START_LOG_HPP
#define FOXTAILVALE_STANDINS_REQUEST_START_LOG_HPP

#include <nlohmann/json.hpp>

#include <cstdint>
#include <deque>
#include <string>

namespace foxtailvale::standins
{

// Records when an endpoint started each request, for a checker that reads the
// log after the run. Keeps a bounded number of the latest entries. Not
// thread-safe.
class request_start_log
{
public:
    void add(std::string request);

    // Returns [[milliseconds since the epoch, request ID], ...], oldest first.
    nlohmann::json to_json() const;

private:
    struct entry
    {
        std::int64_t when_ms = 0;
        std::string request;
    };

    std::deque<entry> entries;
};

} // namespace foxtailvale::standins

#endif
