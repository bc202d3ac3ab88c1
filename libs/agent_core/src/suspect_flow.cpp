#include "flows.hpp"

#include <request/suspects.hpp>

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

// Of several crashes. The entries that listen know the rest, too.
constexpr std::size_t max_reported_crashes = 1024;

void expire_crashes(state& state, base::time_point now)
{
    std::erase_if(
        state.requests.reported_crashes,
        [now](auto const& crash)
        {
            return crash.second + request::suspect_duration <= now;
        });
}

wire::SuspectNotice crash_notice(
    state const& state, std::uint64_t fingerprint, base::duration valid)
{
    wire::SuspectNotice notice;
    notice.set_fingerprint(fingerprint);
    notice.set_endpoint(state.self.name);
    notice.set_valid_ms(static_cast<std::uint32_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(valid).count()));
    return notice;
}

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
    expire_crashes(state, now);
    for (auto const fingerprint : fingerprints)
    {
        if (state.requests.reported_crashes.size() < max_reported_crashes)
        {
            state.requests.reported_crashes[fingerprint] = now;
        }
        notify_listeners(
            state, crash_notice(state, fingerprint, request::suspect_duration),
            "", out);
    }
}

void report_former_crashes(
    state& state, std::string const& entry, base::time_point now, actions& out)
{
    expire_crashes(state, now);
    for (auto const& [fingerprint, at] : state.requests.reported_crashes)
    {
        core::send_message message{entry, {}};
        *message.envelope.mutable_suspect_notice() = crash_notice(
            state, fingerprint, at + request::suspect_duration - now);
        out.push_back(std::move(message));
    }
}

void on_suspect_notice(
    state& state,
    std::string const& peer,
    wire::SuspectNotice const& notice,
    actions& out)
{
    // Only the entry that got the operator's command sends this notice. Entries
    // that receive it from here act on it without forwarding it, so a notice
    // cannot circulate.
    if (notice.released())
    {
        state.requests.reported_crashes.erase(notice.fingerprint());
        notify_listeners(state, notice, peer, out);
    }
}

} // namespace foxtailvale::agent_core
