#include "domain_reports.hpp"

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

// An entry that has not asked for this long gets nothing more; two of its
// questions may be lost.
constexpr milliseconds asker_time{1500};

// So many reports fit into a datagram that no link splits.
constexpr int most_reports = 40;

std::uint32_t count_of(base::duration time)
{
    auto const passed = std::chrono::duration_cast<milliseconds>(time).count();
    return static_cast<std::uint32_t>(std::max<std::int64_t>(0, passed));
}

std::uint32_t model_place(wire::PassedReports& told, std::string const& model)
{
    auto const& known = told.models();
    auto const found = std::ranges::find(known, model);
    auto const place = std::distance(known.begin(), found);
    if (found == known.end())
    {
        told.add_models(model);
    }
    return static_cast<std::uint32_t>(place);
}

void add_report(
    wire::PassedReports& told,
    std::uint32_t agent,
    direct::endpoint_state const& state,
    base::time_point now)
{
    auto const& known = *state.report;
    auto const model = model_place(told, known.weights.model);
    auto& passed = *told.add_reports();
    passed.set_agent(agent);
    passed.set_age_ms(count_of(now - state.reported));
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
        passed.set_switches_in_ms(count_of(*known.switches_at - now));
    }
}

direct::load_report read_report(
    wire::PassedReports const& told,
    wire::PassedReport const& passed,
    base::time_point now)
{
    direct::load_report report;
    report.running = passed.running();
    report.waiting = passed.waiting();
    report.pace = passed.pace();
    if (std::cmp_less(passed.model(), told.models_size()))
    {
        report.weights.model = told.models(static_cast<int>(passed.model()));
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

std::string bytes_of(wire::PassedReports told)
{
    wire::Datagram message;
    *message.mutable_passed_reports() = std::move(told);
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
    this->pass_on();
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

std::set<std::string> domain_reports::asked_directly() const
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
    auto const wanted = agent_domains(*this->context);
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
    // Failure: all processes are killed, and for a second entries know nothing
    // of the engines of other domains.
    auto const is_new = !this->askers.contains(from);
    this->askers[from] = clock::now();
    if (!is_new)
    {
        return;
    }
    for (auto const& bytes : this->own_reports())
    {
        this->send(from, bytes);
    }
}

void domain_reports::note_named(std::string const& domain)
{
    if (this->named.insert(domain).second)
    {
        this->ask_sources();
    }
}

void domain_reports::pass_on()
{
    std::erase_if(
        this->askers,
        [now = clock::now()](auto const& entry)
        {
            return now - entry.second > asker_time;
        });
    if (this->askers.empty())
    {
        return;
    }
    for (auto const& bytes : this->own_reports())
    {
        for (auto const& [entry, asked] : this->askers)
        {
            this->send(entry, bytes);
        }
    }
}

std::vector<std::string> domain_reports::own_reports() const
{
    auto const now = clock::now();
    auto const& own = this->context->settings.failure_domain;
    std::vector<std::string> datagrams;
    wire::PassedReports told;
    told.set_failure_domain(own);
    for (auto const& [id, state] : this->context->book.endpoints)
    {
        auto const address = net::parse_endpoint(state.listed.address);
        if (state.listed.failure_domain != own ||
            !direct::is_fresh(state, now) || !address ||
            !address->address().is_v4())
        {
            continue;
        }
        add_report(told, address->address().to_v4().to_uint(), state, now);
        if (told.reports_size() == most_reports)
        {
            datagrams.push_back(bytes_of(told));
            told.clear_models();
            told.clear_reports();
        }
    }
    if (told.reports_size() > 0)
    {
        datagrams.push_back(bytes_of(std::move(told)));
    }
    return datagrams;
}

void domain_reports::take_reports(
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
