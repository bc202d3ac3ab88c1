#include "flows.hpp"

#include <base/digest.hpp>
#include <control/topology.hpp>

#include <algorithm>

namespace foxtailvale::entry_core
{

namespace
{

using std::chrono::milliseconds;

// Interval between rounds of greetings. A greeting is a ConfigurationDigest,
// which shows the versions that the sender has.
constexpr milliseconds round_interval{1000};

// Each entry of the failure domain is greeted by each other one within this
// many rounds.
constexpr std::size_t rounds_per_sweep = 5;

// Entries that are greeted in each round at least.
constexpr std::size_t min_greetings_per_round = 3;

// Rounds between two greetings of an agent that sends its heartbeats here, and
// of one in another failure domain. A restarted agent knows no entry until it
// is greeted. If that took longer, callers whose answers it has lost would wait
// for them until their deadlines.
constexpr std::uint64_t heartbeat_agent_rounds = 1;
constexpr std::uint64_t remote_agent_rounds = 5;

// Heartbeat interval of agents in other failure domains. Their load matters
// only when this failure domain has no room, and links between regions are
// narrow.
constexpr milliseconds remote_heartbeat_interval{5000};

// Minimum interval between complete digests. A process that is behind is
// greeted by many peers at once and needs each document from only one of them.
constexpr milliseconds complete_digest_interval{200};

// Silence after which a peer with this heartbeat interval is suspected.
milliseconds silence_limit_for(milliseconds interval)
{
    return interval * 7 / 2;
}

std::uint64_t plans_hash(state const& state)
{
    std::string text;
    for (auto const& [domain, plan] : state.control.plans)
    {
        text.append(domain).append("=");
        text.append(std::to_string(plan.version)).append(";");
    }
    return base::stable_hash(text);
}

core::send_message make_digest(state const& state, std::string const& peer)
{
    core::send_message message{peer, {}};
    auto* const digest = message.envelope.mutable_configuration_digest();
    digest->set_generation(state.control.configuration.generation);
    digest->set_plans_hash(plans_hash(state));
    digest->set_list_version(state.control.members.list_version);
    return message;
}

// Greets another entry and announces the time until the next greeting; zero
// announces none.
void greet(
    state const& state,
    std::string const& peer,
    milliseconds again,
    actions& out)
{
    auto message = make_digest(state, peer);
    message.envelope.mutable_configuration_digest()->set_heartbeat_ms(
        static_cast<std::uint32_t>(again.count()));
    out.push_back(std::move(message));
}

// Greets an agent and subscribes to its heartbeats at this interval.
void greet_agent(
    state const& state,
    std::string const& agent,
    milliseconds heartbeat,
    actions& out)
{
    auto message = make_digest(state, agent);
    message.envelope.mutable_configuration_digest()->set_heartbeat_ms(
        static_cast<std::uint32_t>(heartbeat.count()));
    out.push_back(std::move(message));
}

void send_complete_digest(
    state const& state, std::string const& peer, bool answer, actions& out)
{
    auto message = make_digest(state, peer);
    auto* const digest = message.envelope.mutable_configuration_digest();
    digest->set_whole(true);
    digest->set_answer(answer);
    for (auto const& [domain, plan] : state.control.plans)
    {
        (*digest->mutable_plan_versions())[domain] = plan.version;
    }
    out.push_back(std::move(message));
}

core::send_message make_plan_push(control::domain_plan const& plan)
{
    core::send_message message;
    auto* const push = message.envelope.mutable_plan_push();
    push->set_failure_domain(plan.failure_domain);
    push->set_version(plan.version);
    push->set_document(to_text(plan));
    return message;
}

// Failure: a stopping entry finishes requests for another half a minute, under
// the configuration in force when it left the order. A failure domain that is
// taken out in the meantime would continue to get this entry's retries. So
// watchers push changes to leaving entries, too.
void add_leaving_entries(state const& state, std::set<std::string>& targets)
{
    for (auto const& [name, known] : state.control.members.members)
    {
        if (known.vm.role == control::vm_role::entry &&
            known.vm.failure_domain == state.self.failure_domain &&
            known.state == control::liveness::leaving)
        {
            targets.insert(name);
        }
    }
}

// Pushes a change to this entry's children in the push tree of the failure
// domain and to the agents that it reports. A watcher, which may adopt a change
// before the root of the tree has it, sends it to the root as well.
void disseminate(
    state const& state,
    core::send_message message,
    std::uint64_t seed,
    actions& out)
{
    auto const& gossip = state.control.gossip;
    auto const& self = state.self.name;
    if (gossip.order.empty())
    {
        return;
    }
    std::set<std::string> targets = gossip.reported_agents;
    auto const children = control::push_children(gossip.order, self, seed);
    targets.insert(children.begin(), children.end());
    if (is_watcher(state))
    {
        targets.insert(control::push_root(gossip.order, seed));
        add_leaving_entries(state, targets);
        targets.erase(self);
    }
    for (auto const& target : targets)
    {
        message.peer = target;
        out.push_back(message);
    }
}

void keep_previous_digests(state& state, release::configuration const& next)
{
    for (auto const& [name, model] : next.models)
    {
        auto const old = state.control.configuration.models.find(name);
        if (old != state.control.configuration.models.end() &&
            old->second.digest != model.digest)
        {
            state.control.previous_digests[name] = old->second.digest;
        }
    }
    std::erase_if(
        state.control.previous_digests,
        [&next](auto const& item)
        {
            return !next.models.contains(item.first);
        });
}

// Pushes every plan that the sender of a complete digest lacks. Returns whether
// the sender has newer plans.
bool push_missing_plans(
    state const& state,
    std::string const& peer,
    wire::ConfigurationDigest const& digest,
    actions& out)
{
    auto const& versions = digest.plan_versions();
    for (auto const& [domain, plan] : state.control.plans)
    {
        auto const theirs = versions.find(domain);
        if (theirs == versions.end() || theirs->second < plan.version)
        {
            auto message = make_plan_push(plan);
            message.peer = peer;
            out.push_back(std::move(message));
        }
    }
    return std::ranges::any_of(
        versions,
        [&state](auto const& theirs)
        {
            auto const own = state.control.plans.find(theirs.first);
            return own == state.control.plans.end() ||
                   own->second.version < theirs.second;
        });
}

// Records that an entry was heard from. One that has restarted or come back
// gets the complete state of the endpoints that this entry reports.
void note_entry_digest(
    state& state,
    core::message_received const& message,
    base::time_point now,
    actions& out)
{
    auto& gossip = state.control.gossip;
    auto const& peer = message.peer;
    auto const& digest = message.envelope.configuration_digest();
    auto const incarnation = message.envelope.from_incarnation();
    auto const found = state.control.members.members.find(peer);
    if (found == state.control.members.members.end())
    {
        return;
    }
    auto& known = found->second;
    // Entries of other failure domains are greeted in turn, so their silence
    // shows nothing.
    if (known.vm.failure_domain != state.self.failure_domain)
    {
        return;
    }
    auto const is_back = known.state != control::liveness::alive;
    control::note_heartbeat(state.control.members, peer, false, now);
    // Failure: two entries see each other at different places in the order. One
    // expects every second the greetings that the other sends every five,
    // suspects it and takes its place as a watcher, and the same repeats
    // through the failure domain. So the interval that the sender announces
    // applies, whatever order the receiver sees.
    if (digest.heartbeat_ms() > 0)
    {
        known.patience = silence_limit_for(milliseconds(digest.heartbeat_ms()));
    }
    auto& known_incarnation = gossip.entry_incarnations[peer];
    if (known_incarnation != incarnation || is_back)
    {
        report_all_endpoints(state, peer, out);
    }
    known_incarnation = incarnation;
}

void reconcile(
    state& state,
    std::string const& peer,
    wire::ConfigurationDigest const& digest,
    base::time_point now,
    actions& out)
{
    auto& control = state.control;
    if (digest.generation() < control.configuration.generation)
    {
        push_configuration(state, peer, out);
    }
    if (digest.list_version() < control.members.list_version)
    {
        push_complete_list(state, peer, out);
    }
    if (digest.whole())
    {
        auto const behind = push_missing_plans(state, peer, digest, out);
        if (behind && !digest.answer())
        {
            send_complete_digest(state, peer, true, out);
        }
        return;
    }
    auto const differs =
        digest.generation() > control.configuration.generation ||
        digest.list_version() > control.members.list_version ||
        digest.plans_hash() != plans_hash(state);
    if (differs &&
        now - control.gossip.last_complete_digest >= complete_digest_interval)
    {
        control.gossip.last_complete_digest = now;
        send_complete_digest(state, peer, false, out);
    }
}

void greet_entries(state& state, actions& out)
{
    auto& gossip = state.control.gossip;
    auto const& self = state.self.name;
    auto const& order = gossip.order;
    auto const share = std::max(
        min_greetings_per_round,
        (order.size() + rounds_per_sweep - 1) / rounds_per_sweep);
    auto const rounds = (order.size() + share - 1) / share;
    std::map<std::string, milliseconds> greeted;
    for (std::size_t index = 0; index < std::min(share, order.size()); ++index)
    {
        auto const turn = gossip.round * share + index;
        greeted[order[static_cast<std::size_t>(turn % order.size())]] =
            round_interval * static_cast<int>(rounds);
    }
    auto const is_candidate =
        control::is_among_first(order, self, control::watcher_candidates);
    auto const candidates =
        is_candidate ? std::min(order.size(), control::watcher_candidates) : 0;
    for (std::size_t index = 0; index < candidates; ++index)
    {
        greeted[order[index]] = round_interval;
    }
    greeted.erase(self);
    for (auto const& [peer, again] : greeted)
    {
        greet(state, peer, again, out);
    }
}

// Greets one suspected or unheard entry each round. No other greeting would
// discover that it is back.
void greet_suspected(state& state, actions& out)
{
    std::vector<std::string> suspected;
    for (auto const& [name, known] : state.control.members.members)
    {
        auto const is_silent = known.state == control::liveness::suspected ||
                               known.state == control::liveness::unheard;
        if (is_silent && known.vm.role == control::vm_role::entry &&
            known.vm.failure_domain == state.self.failure_domain &&
            name != state.self.name)
        {
            suspected.push_back(name);
        }
    }
    if (!suspected.empty())
    {
        auto const turn = state.control.gossip.round % suspected.size();
        greet(state, suspected[turn], {}, out);
    }
}

// Greets one entry of each other failure domain each round, so that a domain
// that was cut off has the changes within two seconds after the cut ends, with
// or without the platform.
void greet_domains(state& state, actions& out)
{
    if (!is_watcher(state))
    {
        return;
    }
    std::map<std::string, std::vector<std::string>> contacts;
    for (auto const& name : state.control.connected)
    {
        auto const& vm = state.control.members.members.at(name).vm;
        if (vm.role == control::vm_role::entry &&
            vm.failure_domain != state.self.failure_domain)
        {
            contacts[vm.failure_domain].push_back(name);
        }
    }
    for (auto const& [domain, names] : contacts)
    {
        auto const turn = base::random_below(state.random, names.size());
        greet(state, names[turn], {}, out);
    }
}

void greet_agents(
    state& state,
    std::set<std::string> const& agents,
    std::uint64_t rounds,
    milliseconds heartbeat,
    actions& out)
{
    auto& gossip = state.control.gossip;
    for (auto const& name : agents)
    {
        auto const turn = base::stable_hash(name) % rounds;
        auto const is_new = !state.control.endpoints.contains(name);
        if (is_new || gossip.round % rounds == turn)
        {
            greet_agent(state, name, heartbeat, out);
        }
    }
}

} // namespace

void push_configuration(
    state const& state, std::string const& peer, actions& out)
{
    auto const& configuration = state.control.configuration;
    core::send_message message{peer, {}};
    auto* const push = message.envelope.mutable_configuration_push();
    push->set_generation(configuration.generation);
    push->set_document(to_text(configuration));
    out.push_back(std::move(message));
}

void adopt(
    state& state,
    release::configuration next,
    base::time_point now,
    actions& out)
{
    // Failure: after an outage the platform answers with an older version than
    // peers have sent, or a peer that was cut off pushes its older version. If
    // that were adopted, an accepted configuration would revert. The generation
    // only grows, so comparing it is correct for any order of arrival.
    if (next.generation <= state.control.configuration.generation)
    {
        return;
    }
    keep_previous_digests(state, next);
    state.control.configuration = std::move(next);
    state.control.gossip.adopted_at = now;
    auto const generation = state.control.configuration.generation;
    out.push_back(core::write_log{
        kernel::event_id::configuration_adopted, {{"generation", generation}}});
    core::send_message message;
    auto* const push = message.envelope.mutable_configuration_push();
    push->set_generation(generation);
    push->set_document(to_text(state.control.configuration));
    disseminate(state, std::move(message), generation, out);
}

void adopt_plan(state& state, control::domain_plan plan, actions& out)
{
    auto const known = state.control.plans.find(plan.failure_domain);
    if (known != state.control.plans.end() &&
        known->second.version >= plan.version)
    {
        return;
    }
    auto const version = plan.version;
    auto message = make_plan_push(plan);
    auto const domain = plan.failure_domain;
    state.control.plans[domain] = std::move(plan);
    if (domain != state.self.failure_domain)
    {
        // The plan determines which endpoints of that failure domain may get
        // requests.
        state.control.gossip.topology_stale = true;
    }
    disseminate(state, std::move(message), version, out);
}

void on_configuration_push(
    state& state,
    wire::ConfigurationPush const& push,
    base::time_point now,
    actions& out)
{
    if (push.generation() <= state.control.configuration.generation)
    {
        return;
    }
    auto parsed = release::parse_configuration(push.document());
    if (!parsed || parsed.value().generation != push.generation())
    {
        out.push_back(core::report_error{
            {base::error_kind::bad_frame, "configuration"}, {}});
        return;
    }
    adopt(state, std::move(parsed.value()), now, out);
}

void on_plan_push(state& state, wire::PlanPush const& push, actions& out)
{
    auto parsed = control::parse_plan(push.document());
    if (!parsed || parsed.value().version != push.version() ||
        parsed.value().failure_domain != push.failure_domain())
    {
        out.push_back(
            core::report_error{{base::error_kind::bad_frame, "plan"}, {}});
        return;
    }
    adopt_plan(state, std::move(parsed.value()), out);
}

void on_configuration_digest(
    state& state,
    core::message_received const& message,
    base::time_point now,
    actions& out)
{
    auto& control = state.control;
    auto const& digest = message.envelope.configuration_digest();
    auto const found = control.members.members.find(message.peer);
    // Without a list of VMs a process cannot tell who is a member. It then
    // takes updates from any peer, though only to higher versions.
    if (found == control.members.members.end() &&
        control.members.list_version > 0)
    {
        return;
    }
    auto const is_entry = found == control.members.members.end() ||
                          found->second.vm.role == control::vm_role::entry;
    if (is_entry)
    {
        note_entry_digest(state, message, now, out);
        reconcile(state, message.peer, digest, now, out);
        return;
    }
    if (digest.generation() < control.configuration.generation)
    {
        push_configuration(state, message.peer, out);
    }
    push_missing_plans(state, message.peer, digest, out);
}

void send_greetings(state& state, base::time_point now, actions& out)
{
    auto& gossip = state.control.gossip;
    if (now - gossip.last_round < round_interval)
    {
        return;
    }
    gossip.last_round = now;
    ++gossip.round;
    // A stopping entry has announced that it leaves; a greeting would revoke
    // that.
    if (!state.control.stopping)
    {
        greet_entries(state, out);
        greet_suspected(state, out);
        greet_domains(state, out);
    }
    greet_agents(
        state, gossip.heartbeat_agents, heartbeat_agent_rounds,
        control::heartbeat_interval, out);
    greet_agents(
        state, gossip.remote_agents, remote_agent_rounds,
        remote_heartbeat_interval, out);
}

} // namespace foxtailvale::entry_core
