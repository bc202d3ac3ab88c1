#ifndef FOXTAILVALE_STANDINS_ENGINE_HPP
#define FOXTAILVALE_STANDINS_ENGINE_HPP

#include <http/http_server.hpp>
#include <nlohmann/json.hpp>
#include <standins/begun_log.hpp>

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <list>
#include <map>
#include <mutex>
#include <string>

namespace foxtailvale::standins
{

// How a model engine behaves.
struct engine_options
{
    std::string name;
    // Requests that run at once in one batch when warm; others wait.
    std::uint32_t slots = 8;
    // Requests at once that a cold engine survives; one more and it falls
    // over.
    std::uint32_t cold_bears = 2;
    // Answers after which a cold engine is warm.
    std::uint32_t warm_after = 8;
    std::chrono::microseconds first_token{20'000};
    std::chrono::microseconds token_interval{5000};
    // Whether it refuses orders with an old fencing number.
    bool checks_fencing = true;
    // Prompts whose beginning it keeps; a hit halves the first token's time.
    std::uint32_t cached_prefixes = 32;
};

// A model engine: batches continuously, caches prefixes, streams, takes
// orders to load and unload, is cold after a start, falls over under a load it
// cannot bear or on a marked request. Each token is computed from the weights
// loaded at that moment, so that mixed weights show in the answer.
class engine
{
public:
    engine(http::server_options const& options, engine_options behaviour);

private:
    using request = Poco::Net::HTTPServerRequest;
    using response = Poco::Net::HTTPServerResponse;

    // A chat request as far as the engine needs it.
    struct chat
    {
        std::string id;
        std::string model;
        std::string prompt;
        std::uint32_t tokens = 16;
        std::uint32_t resume_from = 0;
        bool stream = false;
        // Life of the engine in which it began.
        std::uint64_t life = 0;
        // Its slot has been freed.
        bool ended = false;
    };

    void answer(request& ask, response& reply);
    void answer_chat(request& ask, response& reply);
    void run_chat(chat& ask, response& reply);
    bool begin(chat& ask);
    // Frees the slot; a second call changes nothing.
    void end(chat& ask, bool whole);
    bool wait_token(chat const& ask, std::uint32_t index, std::string& token);
    std::chrono::microseconds first_token_time(std::string const& prompt);
    void fall_over();
    void answer_order(request& ask, response& reply);
    int load(nlohmann::json const& order);
    void send_state(response& reply);
    void send_counters(response& reply);
    void control(request& ask, response& reply);

    engine_options behaviour;
    std::mutex mutex;
    std::condition_variable changed;
    std::uint64_t life = 1;
    std::uint32_t running = 0;
    std::uint32_t answers_since_start = 0;
    std::map<std::string, std::string> models;
    std::list<std::uint64_t> prefixes;
    std::uint64_t highest_fencing = 0;
    // Factor on all times, for a slow endpoint.
    double slowness = 1;
    std::map<std::string, std::uint64_t> counters;
    // Milliseconds since the epoch at which a request last began.
    std::int64_t last_begin_ms = 0;
    begun_log begun;
    http::server listener;
};

} // namespace foxtailvale::standins

#endif
