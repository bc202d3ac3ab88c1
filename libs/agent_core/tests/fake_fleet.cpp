#include "fake_fleet.hpp"

#include <base/digest.hpp>

#include <algorithm>

namespace foxtailvale::agent_core
{

namespace
{

using std::chrono::milliseconds;

constexpr std::uint32_t chunk_bytes = 64;
constexpr milliseconds tick_interval{20};
constexpr milliseconds poll_interval{200};
constexpr milliseconds min_latency{1};
constexpr std::uint64_t jitter_ms = 3;

} // namespace

fake_version make_version(char filling, int chunks)
{
    fake_version version;
    for (int chunk = 0; chunk < chunks; ++chunk)
    {
        auto piece = std::to_string(chunk);
        piece.resize(chunk_bytes, filling);
        version.bytes += piece;
    }
    version.manifest =
        to_text(weights::describe_weights(version.bytes, chunk_bytes));
    version.digest = base::sha256_hex(version.manifest);
    return version;
}

fake_fleet::fake_fleet(std::vector<fake_domain> domains, std::uint64_t seed)
    : layout(std::move(domains)), random{seed}
{
    for (auto const& domain : this->layout)
    {
        for (int number = 0; number < domain.agents; ++number)
        {
            this->add(domain.name + std::to_string(100 + number), domain);
        }
    }
}

void fake_fleet::add(std::string const& name, fake_domain const& domain)
{
    auto& machine = this->machines[name];
    ++machine.incarnation;
    machine.alive = true;
    machine.core = {};
    machine.core.self = {name, domain.name, domain.region, ""};
    machine.core.random.value = base::next_random(this->random);
    machine.core.weights.store.capacity_bytes = 1U << 20U;
    machine.core.control.endpoint_reachable = true;
    this->tick(name);
    this->poll(name);
}

void fake_fleet::offer(fake_version const& version)
{
    this->versions[version.digest] = version;
}

void fake_fleet::assign(std::vector<control::assigned_model> const& models)
{
    this->assigned = models;
    ++this->plan_version;
    for (auto const& [name, machine] : this->machines)
    {
        // Plans reach the agents at slightly different times.
        this->schedule(
            name, milliseconds(base::random_below(this->random, 100)),
            [this, name = name]
            {
                this->push_plans(name);
            });
    }
}

void fake_fleet::push_plans(std::string const& name)
{
    auto const& own = this->machines[name].core.self.failure_domain;
    for (auto const& domain : this->layout)
    {
        auto const foreign = domain.name != own;
        this->schedule(
            name, foreign ? this->foreign_plan_delay : milliseconds(0),
            [this, name, domain, version = this->plan_version,
             models = this->assigned]
            {
                this->push_plan(name, domain, version, models);
            });
    }
}

void fake_fleet::push_plan(
    std::string const& name,
    fake_domain const& domain,
    std::uint64_t version,
    std::vector<control::assigned_model> const& models)
{
    control::domain_plan plan;
    plan.failure_domain = domain.name;
    plan.region = domain.region;
    plan.version = version;
    for (auto const& [other, place] : this->machines)
    {
        if (place.core.self.failure_domain == domain.name)
        {
            plan.endpoints.push_back({other, other, models});
        }
    }
    core::message_received message{"entry", {}};
    auto* const push = message.envelope.mutable_plan_push();
    push->set_failure_domain(domain.name);
    push->set_version(plan.version);
    push->set_document(to_text(plan));
    this->handle(name, message);
}

std::vector<action>
fake_fleet::deliver(std::string const& name, event const& input)
{
    return step(this->machines[name].core, input, this->now);
}

void fake_fleet::replace_agent(
    std::string const& name,
    std::string const& digest,
    std::uint64_t old_version)
{
    auto const domain = std::ranges::find(
        this->layout, this->machines[name].core.self.failure_domain,
        &fake_domain::name);
    this->add(name, *domain);
    this->report(name);
    this->push_plan(name, *domain, old_version, {{"m", digest}});
}

void fake_fleet::schedule(
    std::string const& name, milliseconds delay, std::function<void()> work)
{
    this->queue.push(
        {this->now + delay, ++this->sequence, name,
         this->machines[name].incarnation, std::move(work)});
}

void fake_fleet::tick(std::string const& name)
{
    this->schedule(
        name, tick_interval,
        [this, name]
        {
            this->handle(name, core::tick{});
            this->tick(name);
        });
}

// Polls the engine's state at a fixed interval.
void fake_fleet::poll(std::string const& name)
{
    this->schedule(
        name, poll_interval,
        [this, name]
        {
            this->report(name);
            this->poll(name);
        });
}

bool fake_fleet::run(milliseconds time_limit, condition const& done)
{
    auto const end = this->now + time_limit;
    while (!this->queue.empty() && this->queue.top().due <= end)
    {
        auto const next = this->queue.top();
        this->queue.pop();
        this->now = next.due;
        auto const& target = this->machines[next.target];
        if (target.alive && target.incarnation == next.incarnation)
        {
            next.run();
        }
        if (done && done())
        {
            return true;
        }
    }
    this->now = end;
    return !done;
}

bool fake_fleet::all_hold(std::string const& digest) const
{
    return std::ranges::all_of(
        this->machines,
        [&](auto const& entry)
        {
            return !entry.second.alive ||
                   weights::is_complete(
                       entry.second.core.weights.store, digest);
        });
}

bool fake_fleet::all_serve(std::string const& digest) const
{
    return std::ranges::all_of(
        this->machines,
        [&](auto const& entry)
        {
            if (!entry.second.alive)
            {
                return true;
            }
            auto const found = this->engines.find(entry.first);
            return found != this->engines.end() &&
                   found->second.loaded.contains("m") &&
                   found->second.loaded.at("m") == digest;
        });
}

std::vector<std::string> fake_fleet::names() const
{
    std::vector<std::string> names;
    for (auto const& [name, machine] : this->machines)
    {
        names.push_back(name);
    }
    return names;
}

std::string fake_fleet::agent_at(
    std::string const& digest, std::uint32_t chunk, std::size_t place) const
{
    for (auto const& [name, machine] : this->machines)
    {
        auto const& self = machine.core.self;
        auto const sources = weights::sources_of(
            machine.core.control.plans, self.failure_domain, name, digest,
            chunk);
        if (self.failure_domain == this->layout.front().name && sources &&
            sources->place == place)
        {
            return name;
        }
    }
    return {};
}

void fake_fleet::kill(std::string const& name)
{
    this->machines[name].alive = false;
}

void fake_fleet::restart(std::string const& name)
{
    auto const domain = std::ranges::find(
        this->layout, this->machines[name].core.self.failure_domain,
        &fake_domain::name);
    this->add(name, *domain);
    this->engines[name].loaded.clear();
    ++this->engines[name].instance;
    this->push_plans(name);
}

state& fake_fleet::core(std::string const& name)
{
    return this->machines[name].core;
}

milliseconds fake_fleet::elapsed() const
{
    return std::chrono::duration_cast<milliseconds>(
        this->now.time_since_epoch() - std::chrono::hours(1));
}

void fake_fleet::handle(std::string const& name, event const& input)
{
    for (auto const& next : step(this->machines[name].core, input, this->now))
    {
        std::visit(
            [&](auto const& ordered)
            {
                this->act(name, ordered);
            },
            next);
    }
}

void fake_fleet::act(std::string const& name, core::send_message const& ordered)
{
    if (!this->machines.contains(ordered.peer))
    {
        return;
    }
    ++this->messages;
    core::message_received message{name, ordered.envelope};
    if (message.envelope.has_chunk_reply() &&
        !message.envelope.chunk_reply().data().empty())
    {
        if (this->dropping_chunks.contains(name))
        {
            return;
        }
        if (this->corrupting.contains(name))
        {
            message.envelope.mutable_chunk_reply()->set_data("garbage");
        }
    }
    if (message.envelope.has_chunk_request() &&
        this->claiming_all.contains(ordered.peer))
    {
        // The peer claims to hold all chunks and never delivers one.
        core::message_received false_claim{ordered.peer, {}};
        auto* const have = false_claim.envelope.mutable_chunk_have();
        have->set_digest(message.envelope.chunk_request().digest());
        have->set_bitmap(std::string(64, '\xff'));
        this->schedule(
            name, min_latency,
            [this, name, false_claim]
            {
                this->handle(name, false_claim);
            });
        return;
    }
    auto delay =
        min_latency + milliseconds(base::random_below(this->random, jitter_ms));
    auto const slowed = this->slow.find(name);
    if (slowed != this->slow.end() && message.envelope.has_chunk_reply())
    {
        delay += slowed->second;
    }
    this->schedule(
        ordered.peer, delay,
        [this, target = ordered.peer, message]
        {
            this->handle(target, message);
        });
}

bool fake_fleet::origin_fails(std::string const& name) const
{
    return this->origin_down || this->cut_from_origin.contains(name);
}

void fake_fleet::act(std::string const& name, fetch_manifest const& ordered)
{
    ++this->origin_calls;
    origin_manifest reply;
    reply.digest = ordered.digest;
    reply.text = this->versions[ordered.digest].manifest;
    reply.text += this->corrupt_manifests ? "?" : "";
    if (this->origin_fails(name))
    {
        reply.failure = base::error{base::error_kind::origin_unavailable, ""};
    }
    this->schedule(
        name, milliseconds(5),
        [this, name, reply]
        {
            this->handle(name, reply);
        });
}

void fake_fleet::act(std::string const& name, fetch_chunk const& ordered)
{
    ++this->origin_calls;
    origin_chunk reply;
    reply.digest = ordered.digest;
    reply.index = ordered.index;
    milliseconds delay{5};
    if (this->origin_fails(name))
    {
        reply.failure = base::error{base::error_kind::origin_unavailable, ""};
    }
    else if (this->now < this->store_ready)
    {
        ++this->origin_refusals;
        reply.failure = base::error{base::error_kind::origin_refused, ""};
    }
    else
    {
        this->store_ready = this->now + this->store_interval;
        ++this->chunk_fetches[ordered.digest];
        reply.bytes = this->versions[ordered.digest].bytes.substr(
            std::size_t{ordered.index} * chunk_bytes, chunk_bytes);
        if (this->corrupt_fetches_left > 0)
        {
            --this->corrupt_fetches_left;
            reply.bytes[0] = '?';
        }
        auto& free = this->origin_free[this->machines[name].core.self.region];
        free = std::max(free, this->now) + this->origin_chunk_time;
        delay = std::chrono::duration_cast<milliseconds>(free - this->now);
    }
    this->schedule(
        name, delay,
        [this, name, reply]
        {
            this->handle(name, reply);
        });
}

void fake_fleet::act(std::string const& name, order_engine const& ordered)
{
    auto& engine = this->engines[name];
    ++engine.orders;
    order_answered answer{ordered.order, {}};
    if (this->engines_check_fencing && ordered.fencing < engine.highest_fencing)
    {
        answer.failure = base::error{base::error_kind::stale_fencing, ""};
        this->handle(name, answer);
        return;
    }
    engine.highest_fencing = std::max(engine.highest_fencing, ordered.fencing);
    auto const domain = this->machines[name].core.self.failure_domain;
    auto& busy = this->loading[domain];
    auto const replaces = engine.loaded.contains(ordered.model);
    busy += replaces ? 1 : 0;
    this->max_loading = std::max(this->max_loading, busy);
    this->schedule(
        name, this->load_time,
        [this, name, ordered, answer, domain, replaces]
        {
            auto& done = this->engines[name];
            this->loading[domain] -= replaces ? 1 : 0;
            if (ordered.kind == order_kind::load)
            {
                done.loaded[ordered.model] = ordered.digest;
            }
            else
            {
                done.loaded.erase(ordered.model);
            }
            this->report(name);
            if (!this->lose_order_answers)
            {
                this->handle(name, answer);
            }
        });
}

void fake_fleet::act(std::string const&, core::report_error const& ordered)
{
    this->errors.push_back(ordered.error);
}

void fake_fleet::report(std::string const& name)
{
    endpoint_report report;
    report.reachable = true;
    auto const& engine = this->engines[name];
    report.instance = name + "/" + std::to_string(engine.instance);
    for (auto const& [model, digest] : engine.loaded)
    {
        report.loaded.push_back({model, digest});
    }
    this->handle(name, report);
}

} // namespace foxtailvale::agent_core
