#include "flows.hpp"

#include <base/digest.hpp>
#include <control/topology.hpp>

namespace foxtailvale::entry_core
{

namespace
{

using std::chrono::milliseconds;

// Changes that placement depends on (what is served, which endpoints leave or
// are suspected) are sent within this time. They are collected so that one
// frame carries many.
constexpr milliseconds change_report_interval{200};

// Interval of load reports. With 215 endpoints in a failure domain of 60
// entries, each entry hears from 59 others about 4 endpoints each; once a
// second, that would exceed the entire budget of 4 KB/s. Load values that are
// some seconds old do little harm: an entry counts the requests it has sent
// itself, choosing between two random endpoints tolerates old values, and the
// gate before the endpoint refuses what exceeds its limit.
constexpr milliseconds load_report_interval{4000};

// Heartbeats show the old configuration for a moment after each change, while
// the push is on its way. After this time the push is considered lost.
constexpr milliseconds push_grace_period{1500};

constexpr milliseconds remote_silence_limit{17'500};

std::uint64_t detail_hash(endpoint_view const& view)
{
    std::string text = view.service + '\n' + std::to_string(view.generation);
    for (auto const& [model, digest] : view.serving)
    {
        text.append("\n").append(model).append("=").append(digest);
    }
    return base::stable_hash(text);
}

void to_wire(endpoint_view const& view, wire::EndpointDetail& into)
{
    into.set_service(view.service);
    into.set_generation(view.generation);
    for (auto const& [model, digest] : view.serving)
    {
        auto* const loaded = into.add_loaded();
        loaded->set_model(model);
        loaded->set_digest(digest);
    }
}

bool is_suspected(state const& state, std::string const& agent)
{
    auto const found = state.control.members.members.find(agent);
    return found != state.control.members.members.end() &&
           found->second.state == control::liveness::suspected;
}

reported_endpoint make_report(
    state const& state, std::string const& agent, endpoint_view const& view)
{
    return {view.limit,       view.running,
            view.leaving,     is_suspected(state, agent),
            view.chunks_held, detail_hash(view)};
}

bool has_urgent_change(
    reported_endpoint const& before, reported_endpoint const& now)
{
    return before.leaving != now.leaving || before.suspected != now.suspected ||
           before.detail_hash != now.detail_hash ||
           (before.limit == 0) != (now.limit == 0);
}

bool has_load_change(
    reported_endpoint const& before, reported_endpoint const& now)
{
    return before.limit != now.limit || before.running != now.running ||
           before.chunks_held != now.chunks_held;
}

void add_report(
    state const& state,
    std::string const& agent,
    endpoint_view const& view,
    bool with_detail,
    wire::EndpointGossip& gossip)
{
    auto* const endpoint_state = gossip.add_endpoints();
    endpoint_state->set_agent(base::stable_hash(agent));
    endpoint_state->set_limit(view.limit);
    endpoint_state->set_running(view.running);
    endpoint_state->set_leaving(view.leaving);
    endpoint_state->set_suspected(is_suspected(state, agent));
    endpoint_state->set_chunks_held(view.chunks_held);
    endpoint_state->set_chunks_wanted(view.chunks_wanted);
    if (with_detail)
    {
        to_wire(view, *endpoint_state->mutable_detail());
    }
}

// Collects the endpoints with changes that are sent now. Changes of load alone
// are included only if include_load is set.
wire::EndpointGossip collect_changes(state& state, bool include_load)
{
    wire::EndpointGossip gossip;
    auto& own = state.control.gossip;
    auto names = own.reported_agents;
    names.insert(own.disputed_agents.begin(), own.disputed_agents.end());
    for (auto const& agent : names)
    {
        auto const view = state.control.endpoints.find(agent);
        if (view == state.control.endpoints.end())
        {
            continue;
        }
        auto const report = make_report(state, agent, view->second);
        auto const [last_sent, is_new] = own.sent_reports.try_emplace(agent);
        auto const urgent = is_new ||
                            has_urgent_change(last_sent->second, report) ||
                            own.disputed_agents.contains(agent);
        if (!urgent &&
            !(include_load && has_load_change(last_sent->second, report)))
        {
            continue;
        }
        auto const with_detail =
            is_new || last_sent->second.detail_hash != report.detail_hash;
        add_report(state, agent, view->second, with_detail, gossip);
        last_sent->second = report;
    }
    own.disputed_agents.clear();
    return gossip;
}

void note_gossip(
    state& state,
    wire::EndpointState const& endpoint_state,
    base::time_point now)
{
    auto& control = state.control;
    auto const name =
        control.gossip.agents_by_hash.find(endpoint_state.agent());
    if (name == control.gossip.agents_by_hash.end())
    {
        return;
    }
    auto const found = control.members.members.find(name->second);
    if (found == control.members.members.end())
    {
        return;
    }
    auto& known = found->second;
    auto const hears_agent = known.heard_directly &&
                             known.state == control::liveness::alive &&
                             now - known.heard <= known.patience;
    if (hears_agent)
    {
        // Failure: the link between an agent and the entry that reports it is
        // cut in one or both directions. If its report were believed, the
        // entire failure domain would lose a healthy endpoint. So an entry that
        // still hears the agent contradicts it.
        if (endpoint_state.suspected())
        {
            control.gossip.disputed_agents.insert(name->second);
        }
        return;
    }
    auto const is_known = control.endpoints.contains(name->second);
    if (!is_known && !endpoint_state.has_detail())
    {
        return;
    }
    auto& view = control.endpoints[name->second];
    view.failure_domain = state.self.failure_domain;
    view.limit = endpoint_state.limit();
    view.running = endpoint_state.running();
    view.leaving = endpoint_state.leaving();
    view.chunks_held = endpoint_state.chunks_held();
    view.chunks_wanted = endpoint_state.chunks_wanted();
    if (endpoint_state.has_detail())
    {
        view.service = endpoint_state.detail().service();
        view.generation = endpoint_state.detail().generation();
        view.serving.clear();
        for (auto const& loaded : endpoint_state.detail().loaded())
        {
            view.serving[loaded.model()] = loaded.digest();
        }
    }
    auto const reported = endpoint_state.leaving() ? control::liveness::leaving
                          : endpoint_state.suspected()
                              ? control::liveness::suspected
                              : control::liveness::alive;
    control::note_report(control.members, name->second, reported, now);
}

void apply_detail(endpoint_view& view, wire::Heartbeat const& beat)
{
    view.service = beat.service();
    view.failure_domain = beat.failure_domain();
    view.serving.clear();
    for (auto const& loaded : beat.loaded())
    {
        view.serving[loaded.model()] = loaded.digest();
    }
}

// Failure: an agent has missed a push, or the entries of its own failure domain
// cannot reach it while those of another can. It would continue with a
// configuration that all others have replaced. So every entry that sees an
// older generation in its heartbeat pushes the configuration again.
void push_if_behind(
    state& state,
    std::string const& agent,
    wire::Heartbeat const& beat,
    base::time_point now,
    actions& out)
{
    auto const& control = state.control;
    if (beat.generation() < control.configuration.generation &&
        now - control.gossip.adopted_at > push_grace_period)
    {
        push_configuration(state, agent, out);
    }
}

} // namespace

void on_heartbeat(
    state& state,
    std::string const& peer,
    wire::Heartbeat const& beat,
    base::time_point now,
    actions& out)
{
    auto& control = state.control;
    if (!control::note_heartbeat(control.members, peer, beat.leaving(), now))
    {
        return;
    }
    auto const is_known = control.endpoints.contains(peer);
    if (!is_known && beat.brief())
    {
        // The complete heartbeat was lost; the next greeting causes another.
        return;
    }
    auto& view = control.endpoints[peer];
    if (beat.leaving() && !view.leaving)
    {
        out.push_back(
            core::write_log{kernel::event_id::peer_leaving, {{"peer", peer}}});
    }
    if (!beat.brief())
    {
        apply_detail(view, beat);
    }
    auto& known = control.members.members.at(peer);
    if (known.vm.failure_domain != state.self.failure_domain)
    {
        known.patience = remote_silence_limit;
    }
    view.limit = beat.limit();
    view.running = beat.running();
    view.leaving = beat.leaving();
    view.generation = beat.generation();
    view.chunks_held = beat.chunks_held();
    view.chunks_wanted = beat.chunks_wanted();
    push_if_behind(state, peer, beat, now, out);
}

void on_endpoint_gossip(
    state& state, wire::EndpointGossip const& gossip, base::time_point now)
{
    for (auto const& endpoint_state : gossip.endpoints())
    {
        note_gossip(state, endpoint_state, now);
    }
}

void report_endpoints(state& state, base::time_point now, actions& out)
{
    auto& own = state.control.gossip;
    if (now - own.last_report < change_report_interval)
    {
        return;
    }
    own.last_report = now;
    auto const include_load =
        now - own.last_load_report >= load_report_interval;
    if (include_load)
    {
        own.last_load_report = now;
    }
    auto const gossip = collect_changes(state, include_load);
    if (gossip.endpoints().empty())
    {
        return;
    }
    for (auto const& peer : own.order)
    {
        if (peer != state.self.name)
        {
            core::send_message message{peer, {}};
            *message.envelope.mutable_endpoint_gossip() = gossip;
            out.push_back(std::move(message));
        }
    }
}

void report_all_endpoints(state& state, std::string const& peer, actions& out)
{
    core::send_message message{peer, {}};
    auto* const gossip = message.envelope.mutable_endpoint_gossip();
    for (auto const& agent : state.control.gossip.reported_agents)
    {
        auto const view = state.control.endpoints.find(agent);
        if (view != state.control.endpoints.end())
        {
            add_report(state, agent, view->second, true, *gossip);
        }
    }
    if (!gossip->endpoints().empty())
    {
        out.push_back(std::move(message));
    }
}

} // namespace foxtailvale::entry_core
