#ifndef FOXTAILVALE_LOAD_REQUESTS_HPP
#define FOXTAILVALE_LOAD_REQUESTS_HPP

#include <load/run_load.hpp>

#include <chrono>
#include <cstdint>
#include <string>

namespace foxtailvale::load
{

// How one request ended, judged by the load tool alone.
enum class outcome
{
    // Whole, right and from one version.
    right,
    // The text is not what the named weights answer.
    wrong,
    // Some tokens come from other weights than the rest.
    mixed,
    // Ended without an answer or an error.
    lost,
    // A clear error with "ran: no".
    refused,
    // A clear error that is not "not run".
    failed,
};

struct request_record
{
    std::string id;
    bool booking = false;
    outcome ended = outcome::lost;
    // The connection was refused: nothing of the request left.
    bool unreachable = false;
    // Stable error name, when there was one.
    std::string error;
    std::string ran;
    std::chrono::microseconds first_token{0};
    std::chrono::microseconds whole{0};
    // From the start of the run.
    std::chrono::milliseconds begun{0};
    std::string entry;
    // From the answer's headers; 0 and empty when there were none.
    std::uint64_t generation = 0;
    std::string digest;
};

// One request to make.
struct planned_request
{
    std::string id;
    std::string entry;
    std::string workspace;
    std::string prompt;
    bool booking = false;
    bool slow_reader = false;
};

request_record
make_request(load_settings const& settings, planned_request const& planned);

} // namespace foxtailvale::load

#endif
