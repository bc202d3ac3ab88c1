#ifndef FOXTAILVALE_STANDINS_ENGINE_HPP
#define FOXTAILVALE_STANDINS_ENGINE_HPP

#include <http/http_server.hpp>
#include <nlohmann/json.hpp>
#include <standins/request_start_log.hpp>

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <list>
#include <map>
#include <mutex>
#include <string>

namespace foxtailvale::standins
{

// Capacity, timing and fault behaviour of a model engine.
struct engine_options
{
    std::string name;
    // Requests that a warm engine runs concurrently in one batch; further
    // requests wait.
    std::uint32_t slots = 8;
    // Concurrent requests that a cold engine can handle; one more crashes it.
    std::uint32_t cold_capacity = 2;
    // Completed answers after which a cold engine counts as warm.
    std::uint32_t warm_after = 8;
    std::chrono::microseconds first_token{20'000};
    std::chrono::microseconds token_interval{5000};
    // Whether orders with an outdated fencing number are rejected.
    bool checks_fencing = true;
    // Capacity of the prompt prefix cache, in prompts; a hit halves the time to
    // the first token.
    std::uint32_t cached_prefixes = 32;
};

// Simulated model engine with continuous batching, a prefix cache, streamed
// answers, and orders to load and unload models. It is cold after a start and
// crashes when a cold engine gets more load than it can handle, or on a prompt
// with the crash marker. Each token is computed from the weights loaded at that
// moment, so that an answer computed from mixed weights is detectable.
class engine
{
public:
    engine(http::server_options const& options, engine_options behaviour);

private:
    using request = Poco::Net::HTTPServerRequest;
    using response = Poco::Net::HTTPServerResponse;

    // The fields of a chat request that the engine uses.
    struct chat
    {
        std::string id;
        std::string model;
        std::string prompt;
        std::uint32_t tokens = 16;
        std::uint32_t resume_from = 0;
        bool stream = false;
        // Incarnation of the engine in which the request started.
        std::uint64_t incarnation = 0;
        // Whether its batch slot has been freed.
        bool ended = false;
    };

    void answer(request& incoming, response& reply);
    void answer_chat(request& incoming, response& reply);
    void run_chat(chat& job, response& reply);
    bool begin(chat& job);
    // Frees the request's slot. Idempotent.
    void end(chat& job, bool complete);
    bool wait_token(chat const& job, std::uint32_t index, std::string& token);
    std::chrono::microseconds first_token_time(std::string const& prompt);
    void crash();
    void answer_order(request& incoming, response& reply);
    int load(nlohmann::json const& order);
    void send_state(response& reply);
    void send_counters(response& reply);
    void control(request& incoming, response& reply);

    engine_options behaviour;
    std::mutex mutex;
    std::condition_variable changed;
    std::uint64_t incarnation = 1;
    std::uint32_t running = 0;
    std::uint32_t answers_since_start = 0;
    std::map<std::string, std::string> models;
    std::list<std::uint64_t> prefixes;
    std::uint64_t highest_fencing = 0;
    // Factor on all token times, to simulate a slow endpoint.
    double slowness = 1;
    std::map<std::string, std::uint64_t> counters;
    // Milliseconds since the epoch when the latest request arrived.
    std::int64_t last_begin_ms = 0;
    request_start_log starts;
    http::server listener;
};

} // namespace foxtailvale::standins

#endif
