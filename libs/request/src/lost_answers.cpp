#include <request/lost_answers.hpp>

#include <utility>

namespace foxtailvale::request
{

namespace
{

// A crash of an endpoint is detected within this time: by the next connection,
// by its agent, or by the list after three missed heartbeats.
constexpr std::chrono::milliseconds lost_answer_memory{5000};

// The same for one that may be whole: by the next connection or by its agent.
constexpr std::chrono::milliseconds whole_answer_memory{1500};

void drop_old(std::vector<lost_answer>& lost, base::time_point now)
{
    std::erase_if(
        lost,
        [now](lost_answer const& entry)
        {
            auto const memory =
                entry.may_be_whole ? whole_answer_memory : lost_answer_memory;
            return entry.ended + memory < now;
        });
}

} // namespace

void note_lost_answer(
    lost_answers& state, std::string const& endpoint, lost_answer lost)
{
    state[endpoint].push_back(std::move(lost));
}

void forget_lost_answer(
    lost_answers& state,
    std::string const& endpoint,
    fingerprint request,
    base::time_point ended)
{
    auto const found = state.find(endpoint);
    if (found == state.end())
    {
        return;
    }
    std::erase_if(
        found->second,
        [request, ended](lost_answer const& entry)
        {
            return entry.prints.whole == request && entry.ended == ended;
        });
}

std::vector<lost_answer> take_lost_answers(
    lost_answers& state, std::string const& endpoint, base::time_point now)
{
    auto const found = state.find(endpoint);
    if (found == state.end())
    {
        return {};
    }
    auto taken = std::move(found->second);
    state.erase(found);
    drop_old(taken, now);
    return taken;
}

void expire(lost_answers& state, base::time_point now)
{
    for (auto& [endpoint, lost] : state)
    {
        drop_old(lost, now);
    }
    std::erase_if(
        state,
        [](auto const& entry)
        {
            return entry.second.empty();
        });
}

} // namespace foxtailvale::request
