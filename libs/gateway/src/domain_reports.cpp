#include "domain_reports.hpp"

#include <gateway/crash_records.hpp>
#include <proto/foxtailvale.pb.h>

#include <boost/asio/ip/address_v4.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace foxtailvale::gateway
{

namespace
{

using std::chrono::milliseconds;
using clock = std::chrono::steady_clock;

// An entry that has not asked for this long gets no more reports; two of its
// requests may be lost.
constexpr milliseconds requester_timeout{1500};

// This many reports fit into a datagram that no link fragments.
constexpr int max_reports_per_datagram = 40;

std::uint32_t to_ms_count(base::duration time)
{
    auto const passed = std::chrono::duration_cast<milliseconds>(time).count();
    return static_cast<std::uint32_t>(std::max<std::int64_t>(0, passed));
}

std::uint32_t model_index(wire::PassedReports& batch, std::string const& model)
{
    auto const& known = batch.models();
    auto const found = std::ranges::find(known, model);
    auto const index = std::distance(known.begin(), found);
    if (found == known.end())
    {
        batch.add_models(model);
    }
    return static_cast<std::uint32_t>(index);
}

void add_report(
    wire::PassedReports& batch,
    std::uint32_t agent,
    direct::endpoint_state const& state,
    base::time_point now)
{
    auto const& known = *state.report;
    auto const model = model_index(batch, known.weights.model);
    auto& passed = *batch.add_reports();
    passed.set_agent(agent);
    passed.set_age_ms(to_ms_count(now - state.reported));
    passed.set_running(known.running);
    passed.set_waiting(known.waiting);
    passed.set_pace(static_cast<float>(known.pace));
    passed.set_model(model);
    passed.set_version(known.weights.version);
    passed.set_whole(known.weights.whole);
    passed.set_switching(known.switching);
    passed.set_unreachable(known.unreachable);
    if (known.switches_at)
    {
        passed.set_switches(true);
        passed.set_switches_in_ms(to_ms_count(*known.switches_at - now));
    }
}

direct::load_report read_report(
    wire::PassedReports const& batch,
    wire::PassedReport const& passed,
    base::time_point now)
{
    direct::load_report report;
    report.running = passed.running();
    report.waiting = passed.waiting();
    report.pace = passed.pace();
    if (std::cmp_less(passed.model(), batch.models_size()))
    {
        report.weights.model = batch.models(static_cast<int>(passed.model()));
    }
    report.weights.version = passed.version();
    report.weights.whole = passed.whole();
    report.switching = passed.switching();
    report.unreachable = passed.unreachable();
    if (passed.switches())
    {
        report.switches_at = now + milliseconds(passed.switches_in_ms());
    }
    return report;
}

// Returns the failure domains with agents that this entry does not subscribe to
// one by one.
std::set<std::string> domains_to_relay(entry_context const& context)
{
    std::set<std::string> found;
    for (auto const& [id, state] : context.book.endpoints)
    {
        if (has_agents(context, state.listed.service) &&
            !is_divided(context, state.listed.service))
        {
            found.insert(state.listed.failure_domain);
        }
    }
    return found;
}

std::string to_datagram(wire::PassedReports batch)
{
    wire::Datagram message;
    *message.mutable_passed_reports() = std::move(batch);
    return message.SerializeAsString();
}

} // namespace

domain_reports::domain_reports(std::shared_ptr<entry_context> shared)
    : context(std::move(shared)), timer(this->context->loop)
{
    this->sources.own = this->context->settings.ip;
}

void domain_reports::start()
{
    this->run_round();
}

void domain_reports::run_round()
{
    this->ask_sources();
    this->relay_reports();
    this->timer.expires_after(direct::relay_interval);
    this->timer.async_wait(
        [self = this->shared_from_this()](boost::system::error_code error)
        {
            if (!error)
            {
                self->run_round();
            }
        });
}

std::string domain_reports::home_domain() const
{
    auto const& own = this->context->settings.failure_domain;
    auto const domains = agent_domains(*this->context);
    return domains.empty() || domains.contains(own) ? own : *domains.begin();
}

std::set<std::string> domain_reports::directly_polled_domains() const
{
    auto const now = clock::now();
    std::set<std::string> found{this->home_domain()};
    for (auto const& [domain, known] : this->sources.domains)
    {
        if (direct::must_poll_agents(this->sources, domain, now))
        {
            found.insert(domain);
        }
    }
    return found;
}

void domain_reports::ask_sources()
{
    wire::Datagram message;
    message.mutable_report_ask();
    auto const bytes = message.SerializeAsString();
    auto const now = clock::now();
    auto const home = this->home_domain();
    auto const wanted = domains_to_relay(*this->context);
    std::erase_if(
        this->sources.domains,
        [&](auto const& entry)
        {
            return entry.first == home || !wanted.contains(entry.first);
        });
    for (auto const& domain : wanted)
    {
        if (domain == home)
        {
            continue;
        }
        auto const& entries = this->context->book.domain_entries[domain];
        for (auto const& source :
             direct::choose_sources(this->sources, domain, entries, now))
        {
            this->send(source, bytes);
        }
    }
}

void domain_reports::handle_ask(std::string const& from)
{
    // A new requester is answered at once. Failure: after all processes were
    // killed, entries knew nothing of the engines of other domains for a
    // second.
    auto const is_new = !this->requesters.contains(from);
    this->requesters[from] = clock::now();
    if (!is_new)
    {
        return;
    }
    for (auto const& bytes : this->encode_own_reports())
    {
        this->send(from, bytes);
    }
}

void domain_reports::note_entries_listed(std::string const& domain)
{
    if (this->domains_with_entries.insert(domain).second)
    {
        this->ask_sources();
    }
}

void domain_reports::relay_reports()
{
    std::erase_if(
        this->requesters,
        [now = clock::now()](auto const& entry)
        {
            return now - entry.second > requester_timeout;
        });
    if (this->requesters.empty())
    {
        return;
    }
    for (auto const& bytes : this->encode_own_reports())
    {
        for (auto const& [entry, asked] : this->requesters)
        {
            this->send(entry, bytes);
        }
    }
}

std::vector<std::string> domain_reports::encode_own_reports() const
{
    auto const now = clock::now();
    auto const& own = this->context->settings.failure_domain;
    std::vector<std::string> datagrams;
    wire::PassedReports batch;
    batch.set_failure_domain(own);
    for (auto const& [id, state] : this->context->book.endpoints)
    {
        auto const address = net::parse_endpoint(state.listed.address);
        if (state.listed.failure_domain != own ||
            !direct::is_fresh(state, now) || !address ||
            !address->address().is_v4())
        {
            continue;
        }
        add_report(batch, address->address().to_v4().to_uint(), state, now);
        if (batch.reports_size() == max_reports_per_datagram)
        {
            datagrams.push_back(to_datagram(batch));
            batch.clear_models();
            batch.clear_reports();
        }
    }
    if (batch.reports_size() > 0)
    {
        datagrams.push_back(to_datagram(std::move(batch)));
    }
    return datagrams;
}

void domain_reports::handle_reports(
    std::string const& from, wire::PassedReports const& passed)
{
    auto const now = clock::now();
    auto& shared = *this->context;
    direct::note_relayed(this->sources, passed.failure_domain(), from, now);
    for (auto const& report : passed.reports())
    {
        auto const agent =
            boost::asio::ip::address_v4(report.agent()).to_string();
        direct::note_relayed_report(
            shared.book, agent, read_report(passed, report, now),
            now - milliseconds(report.age_ms()));
        if (report.unreachable())
        {
            note_gone_at(shared, agent);
        }
    }
}

} // namespace foxtailvale::gateway
