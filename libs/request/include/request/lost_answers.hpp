#ifndef FOXTAILVALE_REQUEST_LOST_ANSWERS_HPP
#define FOXTAILVALE_REQUEST_LOST_ANSWERS_HPP

#include <request/suspects.hpp>

#include <map>
#include <string>
#include <vector>

// Answers that broke off, until it shows whether their endpoint ended with
// them.
namespace foxtailvale::request
{

struct lost_answer
{
    request_prints prints;
    // When the request was sent, and when its answer ended.
    base::time_point sent;
    base::time_point ended;
    // It ended with its connection, and may have been complete. Counts only if
    // the endpoint is found gone at once.
    bool may_be_whole = false;
};

// By endpoint.
using lost_answers = std::map<std::string, std::vector<lost_answer>>;

// Records that the connection broke before the answer ended, whatever of it had
// come, or that the answer ended with its connection, which may be the end of
// the endpoint. Either the request crashed the endpoint or only its answer was
// lost.
void note_lost_answer(
    lost_answers& state, std::string const& endpoint, lost_answer lost);

// Forgets an answer of which it shows that it was complete.
void forget_lost_answer(
    lost_answers& state,
    std::string const& endpoint,
    fingerprint request,
    base::time_point ended);

// Called when the endpoint has disappeared. Returns the requests whose answers
// were lost there shortly before, each of them once.
//
// Failure: lost answers were taken for crashes, and all callers with the same
// request were refused for minutes while the endpoints were alive.
std::vector<lost_answer> take_lost_answers(
    lost_answers& state, std::string const& endpoint, base::time_point now);

// Removes those that no end of an endpoint explains any more.
void expire(lost_answers& state, base::time_point now);

} // namespace foxtailvale::request

#endif
