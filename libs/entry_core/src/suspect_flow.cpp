#include "flows.hpp"

#include <base/digest.hpp>

// Requests that crash endpoints: reported by agents, refused by this entry.
namespace foxtailvale::entry_core
{

namespace
{

nlohmann::json fields(request::fingerprint suspect)
{
    return {{"fingerprint", suspect}};
}

void refuse_waiting_suspect(
    state& state,
    request::fingerprint suspect,
    base::time_point now,
    actions& out)
{
    std::vector<caller_handle> waiting;
    for (auto const& [caller, open] : state.requests.open)
    {
        if (open.stage == request_stage::waiting && open.fingerprint == suspect)
        {
            waiting.push_back(caller);
        }
    }
    for (auto const caller : waiting)
    {
        end_with_error(
            state, state.requests.open.at(caller),
            {base::error_kind::suspect_request, {}}, now, out);
    }
}

// Returns whether the request became suspect.
bool note_noticed_crash(
    request::suspect_list& suspects,
    wire::SuspectNotice const& notice,
    base::time_point now)
{
    constexpr std::chrono::milliseconds whole{request::suspect_duration};
    auto const print = notice.fingerprint();
    std::chrono::milliseconds const valid{notice.valid_ms()};
    // Agents of an earlier version of the program set no time.
    if (valid.count() == 0 || valid >= whole)
    {
        return request::note_crash(suspects, print, notice.endpoint(), now);
    }
    auto const before = request::is_suspect(suspects, print);
    request::note_relayed_crash(
        suspects, print, notice.endpoint(), now - (whole - valid), now);
    return !before && request::is_suspect(suspects, print);
}

void release_locally(state& state, request::fingerprint suspect, actions& out)
{
    if (request::release(state.requests.suspects, suspect))
    {
        out.push_back(core::write_log{
            kernel::event_id::suspect_released, fields(suspect)});
    }
}

} // namespace

request::fingerprint fingerprint_of(caller_request const& request)
{
    return base::stable_hash(request.body, base::stable_hash(request.path));
}

void on_suspect_notice(
    state& state,
    wire::SuspectNotice const& notice,
    base::time_point now,
    actions& out)
{
    if (notice.released())
    {
        release_locally(state, notice.fingerprint(), out);
        return;
    }
    if (!note_noticed_crash(state.requests.suspects, notice, now))
    {
        return;
    }
    out.push_back(core::write_log{
        kernel::event_id::suspect_marked, fields(notice.fingerprint())});
    out.push_back(
        core::count_metric{"foxtailvale_suspect_requests_marked_total"});
    refuse_waiting_suspect(state, notice.fingerprint(), now, out);
}

void on_release_suspect(
    state& state, release_suspect const& order, actions& out)
{
    release_locally(state, order.fingerprint, out);
    // Agents forward the notice to every entry that receives their heartbeats.
    for (auto const& agent : state.control.connected)
    {
        core::send_message message{agent, {}};
        auto* const notice = message.envelope.mutable_suspect_notice();
        notice->set_fingerprint(order.fingerprint);
        notice->set_released(true);
        out.push_back(std::move(message));
    }
}

} // namespace foxtailvale::entry_core
