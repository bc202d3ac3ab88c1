#ifndef FOXTAILVALE_STANDINS_OBJECT_API_HPP
#define FOXTAILVALE_STANDINS_OBJECT_API_HPP

#include <http/http_server.hpp>
#include <nlohmann/json.hpp>
#include <standins/token_bucket.hpp>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace foxtailvale::standins
{

// The platform's object API and list of VMs: versions, conditional updates,
// watches, and switches for outage, slowness, answers lost after the effect,
// rates and compaction. Each call counts once, a waiting watch too.
class object_api
{
public:
    object_api(http::server_options const& options, nlohmann::json vms);

private:
    struct object
    {
        std::uint64_t version = 0;
        std::string value;
    };

    // Faults that are switched on.
    struct faults
    {
        bool outage = false;
        std::chrono::milliseconds delay{0};
        // Answers to the next so many writes are lost after their effect.
        std::uint32_t lost_answers = 0;
        // Watches that ask for changes after an older version get 410: what
        // changed before it is compacted away.
        std::uint64_t compacted = 0;
    };

    using request = Poco::Net::HTTPServerRequest;
    using response = Poco::Net::HTTPServerResponse;

    void answer(request& ask, response& reply);
    void answer_call(request& ask, response& reply);
    void get(std::string const& path, response& reply);
    void put(std::string const& path, request& ask, response& reply);
    void remove(std::string const& path, response& reply);
    void watch(std::string const& uri, response& reply);
    void list(std::string const& prefix, response& reply);
    void send_vms(response& reply);
    void control(request& ask, response& reply);
    void send_counters(response& reply);
    void send_object(object const& found, response& reply);
    bool lose_answer();
    // Counts the call under its kind; false when its rate is exceeded.
    bool admit(request const& ask);
    void change_faults(nlohmann::json const& value);

    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, object> objects;
    std::map<std::string, std::uint64_t> counters;
    std::uint64_t last_version = 0;
    faults fault;
    token_bucket read_rate;
    token_bucket write_rate;
    nlohmann::json vms;
    http::server listener;
};

} // namespace foxtailvale::standins

#endif
