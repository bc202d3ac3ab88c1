#include "flows.hpp"

// The final write of a claim. No caller waits for it: the answer was already
// sent, and until it is stored the agent remembers the outcome. The write is
// tried a few times, and a planned stop waits for it.
namespace foxtailvale::entry_core
{

namespace
{

using std::chrono::milliseconds;

constexpr std::uint32_t max_tries = 5;
constexpr milliseconds retry_delay{500};

// Answers that may wait to be stored; bounds memory. Beyond this number answers
// are not stored, and only the agent remembers the outcome.
constexpr std::size_t max_closing_claims = 512;

void send_write(
    state& state,
    std::uint64_t number,
    closing_claim& closing,
    base::time_point now,
    actions& out)
{
    closing.next_try.reset();
    ++closing.tries;
    pending_call pending{call_purpose::claim_close, now, closing.version, {}};
    pending.request = number;
    call_platform(
        state,
        {.method = core::platform_method::put,
         .path = closing.path,
         .expected = closing.version,
         .value = closing.value},
        std::move(pending), out);
}

} // namespace

void close_claim(
    state& state,
    std::string path,
    std::uint64_t version,
    request::claim const& ended,
    base::time_point now,
    actions& out)
{
    auto& requests = state.requests;
    if (requests.closing.size() >= max_closing_claims)
    {
        out.push_back(
            core::count_metric{"foxtailvale_answers_not_stored_total"});
        return;
    }
    auto const number = ++requests.last_closing;
    auto& closing =
        requests.closing
            .emplace(
                number,
                closing_claim{std::move(path), to_text(ended), version, 0, {}})
            .first->second;
    send_write(state, number, closing, now, out);
}

void on_claim_closed(
    state& state,
    core::platform_answer const& answer,
    pending_call const& call,
    base::time_point now)
{
    auto const found = state.requests.closing.find(call.request);
    if (found == state.requests.closing.end())
    {
        return;
    }
    // A conflict means that an earlier try took effect, or that another entry
    // got the outcome from the agent and has stored it.
    auto const settled =
        answer.ok || answer.error == base::error_kind::platform_conflict;
    if (settled || found->second.tries >= max_tries)
    {
        state.requests.closing.erase(found);
        return;
    }
    found->second.next_try = now + retry_delay;
}

void on_closing_tick(state& state, base::time_point now, actions& out)
{
    for (auto& [number, closing] : state.requests.closing)
    {
        if (closing.next_try && now >= *closing.next_try)
        {
            send_write(state, number, closing, now, out);
        }
    }
}

} // namespace foxtailvale::entry_core
