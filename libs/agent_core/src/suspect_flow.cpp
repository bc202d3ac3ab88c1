#include "flows.hpp"

#include <algorithm>

// Tracks which requests ran when the endpoint crashed.
namespace foxtailvale::agent_core
{

namespace
{

// A crash shows first as broken-off answers and some hundred milliseconds later
// in the endpoint's report.
constexpr std::chrono::milliseconds crash_window{3000};

// A batch holds fewer requests than this. The bound limits memory when an
// endpoint crashes again and again.
constexpr std::size_t max_lost_attempts = 256;

void notify_listeners(
    state const& state,
    wire::SuspectNotice const& notice,
    std::string const& except,
    actions& out)
{
    for (auto const& [entry, subscription] : state.control.listeners)
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

void note_lost_attempt(
    state& state, std::uint64_t fingerprint, base::time_point now)
{
    auto& lost_attempts = state.requests.lost_attempts;
    lost_attempts.push_back({fingerprint, now});
    if (lost_attempts.size() > max_lost_attempts)
    {
        lost_attempts.pop_front();
    }
}

void report_crash(state& state, base::time_point now, actions& out)
{
    // All requests of an engine's batch fail together, the one that caused the
    // crash and those beside it. The entries identify the cause when it crashes
    // a second endpoint.
    std::set<std::uint64_t> fingerprints;
    for (auto const& loss : state.requests.lost_attempts)
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
    state.requests.lost_attempts.clear();
    for (auto const fingerprint : fingerprints)
    {
        wire::SuspectNotice notice;
        notice.set_fingerprint(fingerprint);
        notice.set_endpoint(state.self.name);
        notify_listeners(state, notice, "", out);
    }
}

void on_suspect_notice(
    state const& state,
    std::string const& peer,
    wire::SuspectNotice const& notice,
    actions& out)
{
    // Only the entry that got the operator's command sends this notice. Entries
    // that receive it from here act on it without forwarding it, so a notice
    // cannot circulate.
    if (notice.released())
    {
        notify_listeners(state, notice, peer, out);
    }
}

} // namespace foxtailvale::agent_core
