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

// The platform's object API and VM list, with object versions, conditional
// updates and watches. Faults can be injected: outage, delay, answers that are
// lost after the write took effect, rate limits and compaction. Every call
// increments the call counter once, including a long-polling watch.
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

    // Faults that are currently injected.
    struct faults
    {
        bool outage = false;
        std::chrono::milliseconds delay{0};
        // Number of upcoming writes that take effect but are answered with 503.
        std::uint32_t lost_answers = 0;
        // Watches from a version older than this get 410, because the earlier
        // changes are compacted away.
        std::uint64_t compacted = 0;
    };

    using request = Poco::Net::HTTPServerRequest;
    using response = Poco::Net::HTTPServerResponse;

    void answer(request& incoming, response& reply);
    void answer_call(request& incoming, response& reply);
    void get(std::string const& path, response& reply);
    void put(std::string const& path, request& incoming, response& reply);
    void remove(std::string const& path, response& reply);
    void watch(std::string const& uri, response& reply);
    void list(std::string const& prefix, response& reply);
    void send_vms(request& incoming, response& reply);
    void control(request& incoming, response& reply);
    void send_counters(response& reply);
    void send_object(object const& found, response& reply);
    bool lose_answer();
    // Applies the read or write rate limit; returns false and counts the call
    // as throttled when the limit is exceeded.
    bool admit(request const& incoming);
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
    std::uint64_t vms_version = 1;
    http::server listener;
};

} // namespace foxtailvale::standins

#endif
