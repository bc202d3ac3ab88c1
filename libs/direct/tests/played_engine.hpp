#ifndef FOXTAILVALE_DIRECT_PLAYED_ENGINE_HPP
#define FOXTAILVALE_DIRECT_PLAYED_ENGINE_HPP

#include <base/ids.hpp>
#include <routing/configuration.hpp>

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

// Engine that runs at its published costs, in virtual time.
namespace foxtailvale::direct
{

struct simulated_request
{
    std::uint64_t number = 0;
    // When the engine stops work on it.
    base::time_point deadline;
    // Version on which it must run.
    std::uint64_t version = 0;
    // Remaining tokens of the prompt and of the answer.
    double to_read = 0;
    double to_write = 0;
    bool begun = false;
};

enum class engine_event_kind
{
    // First token.
    began,
    // Further tokens.
    wrote,
    answered,
    // Not run: the queue is full, or the deadline passed in the queue.
    declined,
    // Not run: the engine holds another version.
    misdirected,
    // Stopped at the deadline while it had a slot.
    stopped,
};

// What the engine sends about a request, and the engine's version.
struct engine_event
{
    std::uint64_t number = 0;
    engine_event_kind kind = engine_event_kind::answered;
    std::uint64_t version = 0;
};

struct simulated_engine
{
    routing::engine_costs costs;
    std::size_t max_queue = 32;
    std::uint64_t version = 1;
    // Version of the order in progress.
    std::optional<std::uint64_t> ordered;
    std::optional<base::time_point> loaded;
    std::deque<simulated_request> queue;
    // Requests with a slot; the prompts of those that have not begun are being
    // processed.
    std::vector<simulated_request> running;
    std::optional<base::time_point> pass_ends;
    // Prompt tokens that the current pass processes.
    double pass_reads = 0;
    double pass_steps = 0;
    // Factor on the duration of every pass.
    double slowdown = 1;
    // Events that have not been collected yet.
    std::vector<engine_event> pending;
};

// Adds an arriving request to the queue or rejects it.
void arrive(simulated_engine& engine, simulated_request const& request);

// The caller of the request closed its connection.
void cancel(simulated_engine& engine, std::uint64_t number);

// Accepts the order to serve the version: no request starts on the old version
// from now on, and the new one is loaded once the running requests have ended.
void accept_order(simulated_engine& engine, std::uint64_t version);

// Runs until `now`; must be called at least every millisecond.
void work(simulated_engine& engine, base::time_point now);

// Requests per second that such an engine completes with all slots in use.
double full_rate(routing::engine_costs const& costs);

} // namespace foxtailvale::direct

#endif
