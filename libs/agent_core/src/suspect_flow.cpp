#include "flows.hpp"

#include <algorithm>

// What ran as the endpoint crashed.
namespace foxtailvale::agent_core
{

namespace
{

// A crash shows first as broken answers, and some hundred milliseconds later
// in the endpoint's report.
constexpr std::chrono::milliseconds crash_window{3000};

// A batch holds fewer; the bound is against an agent that loses its endpoint
// again and again.
constexpr std::size_t most_losses = 256;

void tell_listeners(
    state const& state,
    wire::SuspectNotice const& notice,
    std::string const& except,
    actions& out)
{
    for (auto const& [entry, heard] : state.control.listeners)
    {
        if (entry != except)
        {
            core::send_message message{entry, {}};
            *message.envelope.mutable_suspect_notice() = notice;
            out.push_back(std::move(message));
        }
    }
}

} // namespace

void note_loss(state& state, std::uint64_t fingerprint, base::time_point now)
{
    auto& losses = state.requests.losses;
    losses.push_back({fingerprint, now});
    if (losses.size() > most_losses)
    {
        losses.pop_front();
    }
}

void report_crash(state& state, base::time_point now, actions& out)
{
    // An engine's batch falls as a whole: the culprit and those beside it. The
    // entries find the culprit by its second crash elsewhere.
    std::set<std::uint64_t> fingerprints;
    for (auto const& loss : state.requests.losses)
    {
        if (now - loss.time < crash_window)
        {
            fingerprints.insert(loss.fingerprint);
        }
    }
    for (auto const& [attempt, running] : state.requests.running)
    {
        fingerprints.insert(running.fingerprint);
    }
    state.requests.losses.clear();
    for (auto const fingerprint : fingerprints)
    {
        wire::SuspectNotice notice;
        notice.set_fingerprint(fingerprint);
        notice.set_endpoint(state.self.name);
        tell_listeners(state, notice, "", out);
    }
}

void on_suspect_notice(
    state const& state,
    std::string const& peer,
    wire::SuspectNotice const& notice,
    actions& out)
{
    // Only an entry that an operator spoke to sends one, and each entry that
    // hears it from here acts without passing it on: no notice goes round.
    if (notice.released())
    {
        tell_listeners(state, notice, peer, out);
    }
}

} // namespace foxtailvale::agent_core
