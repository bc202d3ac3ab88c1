#ifndef FOXTAILVALE_DIRECT_PLAYED_ENGINE_HPP
#define FOXTAILVALE_DIRECT_PLAYED_ENGINE_HPP

#include <base/ids.hpp>
#include <routing/configuration.hpp>

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

// An engine that works by its published costs, in virtual time.
namespace foxtailvale::direct
{

// A request at the engine.
struct played_request
{
    std::uint64_t number = 0;
    // Moment at which the engine stops work on it.
    base::time_point deadline;
    // Version that it must run on.
    std::uint64_t version = 0;
    // Tokens of the prompt that are still to be read, and of the answer.
    double to_read = 0;
    double to_write = 0;
    bool begun = false;
};

enum class engine_word
{
    // Its first token.
    began,
    // More tokens.
    wrote,
    answered,
    // Not run: no room, or its deadline passed in the line.
    declined,
    // Not run: the engine holds another version.
    misdirected,
    // Stopped at the deadline; it had a slot.
    stopped,
};

// What the engine says of a request, and on which version it is.
struct engine_event
{
    std::uint64_t number = 0;
    engine_word word = engine_word::answered;
    std::uint64_t version = 0;
};

struct played_engine
{
    routing::engine_costs costs;
    std::size_t longest_line = 32;
    std::uint64_t version = 1;
    // Version of the order that is being carried out.
    std::optional<std::uint64_t> ordered;
    std::optional<base::time_point> loaded;
    std::deque<played_request> line;
    // Has slots; those that have not begun are being read.
    std::vector<played_request> running;
    std::optional<base::time_point> pass_ends;
    // Tokens that the pass under way reads.
    double pass_reads = 0;
    double pass_steps = 0;
    // Every pass takes that many times longer.
    double slowness = 1;
    // What it has said since this was last taken.
    std::vector<engine_event> said;
};

// Puts an arriving request into the line, or turns it away.
void arrive(played_engine& engine, played_request const& request);

// The request's caller closed its connection.
void drop(played_engine& engine, std::uint64_t number);

// Accepts the order to serve the version: nothing begins on the old one from
// now on, and the new one is loaded once what writes has ended.
void accept_order(played_engine& engine, std::uint64_t version);

// Works until now; called at least every millisecond.
void work(played_engine& engine, base::time_point now);

// Requests that such an engine ends in a second when all slots are in use.
double full_rate(routing::engine_costs const& costs);

} // namespace foxtailvale::direct

#endif
