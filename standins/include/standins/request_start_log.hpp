#ifndef FOXTAILVALE_STANDINS_BEGUN_LOG_HPP
#define FOXTAILVALE_STANDINS_BEGUN_LOG_HPP

#include <nlohmann/json.hpp>

#include <cstdint>
#include <deque>
#include <string>

namespace foxtailvale::standins
{

// When an endpoint began each request, for a checker that reads it after the
// run. Keeps the latest ones; not safe between threads.
class begun_log
{
public:
    void add(std::string request);

    // [[milliseconds since the epoch, request id], ...]
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
