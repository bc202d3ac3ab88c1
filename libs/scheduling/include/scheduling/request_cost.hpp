#ifndef FOXTAILVALE_SCHEDULING_REQUEST_COST_HPP
#define FOXTAILVALE_SCHEDULING_REQUEST_COST_HPP

#include <chrono>
#include <cstdint>

namespace foxtailvale::scheduling
{

// Published figures of a service's engines that determine a request's cost.
struct engine_speed
{
    // Requests that one engine runs concurrently.
    std::uint32_t slots = 1;
    // Duration of one token step, and its increase for each request that is
    // generating tokens.
    std::chrono::duration<double, std::milli> step{0};
    std::chrono::duration<double, std::milli> step_per_request{0};
    // Prompt tokens processed per second; zero if not specified.
    double read_per_second = 0;
    // Number of tokens of a typical prompt and of a typical answer.
    double usual_prompt = 0;
    double usual_answer = 0;
};

// Size of one request; zero stands for the usual number of tokens.
struct request_size
{
    std::uint64_t prompt_tokens = 0;
    std::uint64_t expected_tokens = 0;
};

// Mean number of tokens of the answers on a route, as observed.
struct usual_size
{
    // Zero until the first answer.
    double answer_tokens = 0;
};

// Updates the mean with an answer.
void note_answer(usual_size& usual, std::uint64_t tokens);

// Larger numbers of tokens count as this many. Failure: a caller that states a
// million tokens by mistake makes its workspace appear far over its share.
inline constexpr std::uint64_t max_counted_tokens = 65'536;

// Returns the engine time that the request takes from the other requests at the
// engine: reading its prompt, plus its part of the token steps of a full batch.
// A service without published figures counts every request as one millisecond,
// so that costs are numbers of requests.
std::chrono::microseconds
request_cost(engine_speed const& speed, request_size const& size);

// The same where the route's answers are known. They replace the published
// usual number of tokens.
std::chrono::microseconds request_cost(
    engine_speed speed, request_size const& size, usual_size const& usual);

} // namespace foxtailvale::scheduling

#endif
