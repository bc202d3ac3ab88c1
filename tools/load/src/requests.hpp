#ifndef FOXTAILVALE_LOAD_REQUESTS_HPP
#define FOXTAILVALE_LOAD_REQUESTS_HPP

#include <load/run_load.hpp>

#include <chrono>
#include <cstdint>
#include <string>

namespace foxtailvale::load
{

// How a request ended, as determined by the load tool alone.
enum class outcome
{
    // Complete, correct and from one version.
    right,
    // The text is not the answer of the weights that the response names.
    wrong,
    // Some tokens come from different weights than the others.
    mixed,
    // Ended without a complete answer and without an error.
    lost,
    // An explicit error with "ran: no".
    refused,
    // An explicit error that does not state that the request was not run.
    failed,
};

struct request_record
{
    std::string id;
    bool booking = false;
    outcome ended = outcome::lost;
    // The connection was refused: no part of the request was sent.
    bool unreachable = false;
    // Stable name of the error; empty if there was none.
    std::string error;
    std::string ran;
    std::chrono::microseconds first_token{0};
    std::chrono::microseconds whole{0};
    // Start time, relative to the start of the run.
    std::chrono::milliseconds begun{0};
    std::string entry;
    // From the headers of the answer; 0 and empty if absent.
    std::uint64_t generation = 0;
    std::string digest;
};

// A request to send.
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
