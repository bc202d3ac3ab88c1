#include "flows.hpp"

#include <base/digest.hpp>
#include <control/topology.hpp>

namespace foxtailvale::entry_core
{

namespace
{

using std::chrono::milliseconds;

// News that placing depends on (what serves, who leaves or is silent) goes out
// within this time; it is gathered so that one frame carries many.
constexpr milliseconds news_interval{200};

// Load goes out this often. Made for 215 endpoints in a domain of 60 entries:
// each entry hears 59 others about 4 endpoints each, which at once a second
// would be more than the whole budget of 4 KB/s. Load that is some seconds old
// does little harm: an entry counts what it has sent itself, two random
// choices forgive, and the gate before the endpoint refuses what is too much.
constexpr milliseconds load_interval{4000};

// A heartbeat shows an old configuration for a moment after each change; the
// push is under way. After this long it was lost.
constexpr milliseconds push_patience{1500};

constexpr milliseconds far_patience{17'500};

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

bool is_news(reported_endpoint const& before, reported_endpoint const& now)
{
    return before.leaving != now.leaving || before.suspected != now.suspected ||
           before.detail_hash != now.detail_hash ||
           (before.limit == 0) != (now.limit == 0);
}

bool is_other_load(
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
    auto* const entry = gossip.add_endpoints();
    entry->set_agent(base::stable_hash(agent));
    entry->set_limit(view.limit);
    entry->set_running(view.running);
    entry->set_leaving(view.leaving);
    entry->set_suspected(is_suspected(state, agent));
    entry->set_chunks_held(view.chunks_held);
    entry->set_chunks_wanted(view.chunks_wanted);
    if (with_detail)
    {
        to_wire(view, *entry->mutable_detail());
    }
}

// What changed since the last report, and is worth a frame now.
wire::EndpointGossip gather(state& state, bool load_too)
{
    wire::EndpointGossip gossip;
    auto& own = state.control.gossip;
    auto names = own.reported;
    names.insert(own.contradicted.begin(), own.contradicted.end());
    for (auto const& agent : names)
    {
        auto const view = state.control.endpoints.find(agent);
        if (view == state.control.endpoints.end())
        {
            continue;
        }
        auto const report = make_report(state, agent, view->second);
        auto const [told, is_new] = own.told.try_emplace(agent);
        auto const news = is_new || is_news(told->second, report) ||
                          own.contradicted.contains(agent);
        if (!news && !(load_too && is_other_load(told->second, report)))
        {
            continue;
        }
        auto const with_detail =
            is_new || told->second.detail_hash != report.detail_hash;
        add_report(state, agent, view->second, with_detail, gossip);
        told->second = report;
    }
    own.contradicted.clear();
    return gossip;
}

void note_gossip(
    state& state, wire::EndpointState const& entry, base::time_point now)
{
    auto& control = state.control;
    auto const name = control.gossip.names.find(entry.agent());
    if (name == control.gossip.names.end())
    {
        return;
    }
    auto const found = control.members.members.find(name->second);
    if (found == control.members.members.end())
    {
        return;
    }
    auto& known = found->second;
    auto const heard_here = known.heard_directly &&
                            known.state == control::liveness::alive &&
                            now - known.heard <= known.patience;
    if (heard_here)
    {
        // Failure: the line between an agent and the entry that reports it is
        // cut, one way or both. Believed, that report would take a healthy
        // endpoint away from the whole domain; whoever still hears the agent
        // says so.
        if (entry.suspected())
        {
            control.gossip.contradicted.insert(name->second);
        }
        return;
    }
    auto const is_known = control.endpoints.contains(name->second);
    if (!is_known && !entry.has_detail())
    {
        return;
    }
    auto& view = control.endpoints[name->second];
    view.failure_domain = state.self.failure_domain;
    view.limit = entry.limit();
    view.running = entry.running();
    view.leaving = entry.leaving();
    view.chunks_held = entry.chunks_held();
    view.chunks_wanted = entry.chunks_wanted();
    if (entry.has_detail())
    {
        view.service = entry.detail().service();
        view.generation = entry.detail().generation();
        view.serving.clear();
        for (auto const& loaded : entry.detail().loaded())
        {
            view.serving[loaded.model()] = loaded.digest();
        }
    }
    auto const reported = entry.leaving()     ? control::liveness::leaving
                          : entry.suspected() ? control::liveness::suspected
                                              : control::liveness::alive;
    control::note_report(control.members, name->second, reported, now);
}

void take_detail(endpoint_view& view, wire::Heartbeat const& beat)
{
    view.service = beat.service();
    view.failure_domain = beat.failure_domain();
    view.serving.clear();
    for (auto const& loaded : beat.loaded())
    {
        view.serving[loaded.model()] = loaded.digest();
    }
}

// Failure: an agent has missed a push, or its own domain's entries cannot
// reach it while another domain's can. It would go on under a configuration
// that all others have left. Whoever hears its heartbeat sees the older
// generation and pushes again.
void push_if_behind(
    state& state,
    std::string const& agent,
    wire::Heartbeat const& beat,
    base::time_point now,
    actions& out)
{
    auto const& control = state.control;
    if (beat.generation() < control.configuration.generation &&
        now - control.gossip.adopted > push_patience)
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
        // The whole one was lost; the next greeting brings another.
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
        take_detail(view, beat);
    }
    auto& known = control.members.members.at(peer);
    if (known.vm.failure_domain != state.self.failure_domain)
    {
        known.patience = far_patience;
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
    for (auto const& entry : gossip.endpoints())
    {
        note_gossip(state, entry, now);
    }
}

void report_endpoints(state& state, base::time_point now, actions& out)
{
    auto& own = state.control.gossip;
    if (now - own.last_report < news_interval)
    {
        return;
    }
    own.last_report = now;
    auto const load_too = now - own.last_load_report >= load_interval;
    if (load_too)
    {
        own.last_load_report = now;
    }
    auto const gossip = gather(state, load_too);
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

void report_whole(state& state, std::string const& peer, actions& out)
{
    core::send_message message{peer, {}};
    auto* const gossip = message.envelope.mutable_endpoint_gossip();
    for (auto const& agent : state.control.gossip.reported)
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
