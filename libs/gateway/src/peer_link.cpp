#include "load_notices.hpp"

#include <base/digest.hpp>
#include <direct/endpoint_table.hpp>
#include <direct/leaving_endpoints.hpp>
#include <gateway/crash_records.hpp>
#include <gateway/peer_link.hpp>
#include <gateway/rate_limits.hpp>
#include <proto/foxtailvale.pb.h>

#include <boost/asio/ip/address_v4.hpp>

#include <algorithm>
#include <utility>

namespace foxtailvale::gateway
{

namespace
{

using clock = std::chrono::steady_clock;

direct::load_report
to_load_report(wire::EngineState const& state, base::time_point now)
{
    direct::load_report report;
    report.running = state.running();
    report.waiting = state.waiting();
    report.pace = state.pace();
    report.weights = {state.model(), state.version(), state.whole()};
    report.switching = state.switching();
    report.leaving = state.leaving();
    report.unreachable = state.unreachable();
    if (state.switches())
    {
        report.switches_at =
            now + std::chrono::milliseconds(state.switches_in_ms());
    }
    return report;
}

char const* message_kind(wire::Datagram const& message)
{
    switch (message.body_case())
    {
    case wire::Datagram::kEngineState:
        return "engine_state";
    case wire::Datagram::kCrashNotice:
        return "crash_notice";
    case wire::Datagram::kRefusalNotice:
        return "refusal_notice";
    case wire::Datagram::kViewAsk:
        return "view_ask";
    case wire::Datagram::kViewNotice:
        return "view_notice";
    case wire::Datagram::kFleetAsk:
        return "fleet_ask";
    case wire::Datagram::kEntriesNotice:
        return "entries_notice";
    case wire::Datagram::kReportAsk:
        return "report_ask";
    case wire::Datagram::kPassedReports:
        return "passed_reports";
    case wire::Datagram::kCrashRecords:
        return "crash_records";
    case wire::Datagram::kRateLimits:
        return "rate_limits";
    case wire::Datagram::kFleetNotice:
    case wire::Datagram::kSubscribe:
    case wire::Datagram::BODY_NOT_SET:
        break;
    }
    return "unknown";
}

} // namespace

peer_link::peer_link(std::shared_ptr<entry_context> shared)
    : context(std::move(shared))
{
}

std::optional<std::string> peer_link::open()
{
    auto const& settings = this->context->settings;
    boost::system::error_code error;
    auto const ip = boost::asio::ip::make_address(settings.ip, error);
    if (error)
    {
        return "ip: " + error.message();
    }
    std::weak_ptr<peer_link> const self = this->shared_from_this();
    this->socket = std::make_shared<net::datagram_socket>(
        this->context->loop,
        [self](net::udp_endpoint const& source, std::string_view bytes)
        {
            if (auto const held = self.lock())
            {
                held->receive(source, bytes);
            }
        });
    this->context->notify_crash = [self](wire::CrashNotice const& notice)
    {
        if (auto const held = self.lock())
        {
            wire::Datagram message;
            message.set_from(held->context->settings.name);
            *message.mutable_crash_notice() = notice;
            held->send_to(
                held->context->entry_addresses, message.SerializeAsString());
        }
    };
    return this->socket->open({ip, settings.peer_port});
}

void peer_link::subscribe()
{
    wire::Datagram message;
    message.set_from(this->context->settings.name);
    auto& asked = *message.mutable_subscribe();
    asked.set_failure_domain(this->context->settings.failure_domain);
    for (auto const& [model, named] : this->context->book.versions)
    {
        auto& notice = *asked.add_versions();
        notice.set_model(model);
        notice.set_version(named.back().version);
        auto const age = std::chrono::duration_cast<std::chrono::milliseconds>(
            clock::now() - named.back().learned);
        notice.set_age_ms(static_cast<std::uint64_t>(age.count()));
    }
    this->add_models(*asked.mutable_models());
    auto const bytes = message.SerializeAsString();
    auto const followed =
        followed_agents(*this->context, this->directly_polled_domains());
    for (auto const& agent : followed)
    {
        this->socket->send(agent, bytes);
    }
    auto const directories = find_directories(*this->context);
    if (!directories.empty())
    {
        // A failure domain without agents uses the directory of another one.
        auto const own = directories.find(asked.failure_domain());
        this->announce_presence(
            asked,
            own != directories.end() ? own->second
                                     : directories.begin()->second,
            followed);
    }
    this->request_entry_names(directories);
}

void peer_link::announce_presence(
    wire::Subscribe const& subscription,
    std::vector<net::udp_endpoint> const& agents,
    std::set<net::udp_endpoint> const& followed)
{
    wire::Datagram message;
    message.set_from(this->context->settings.name);
    *message.mutable_subscribe() = subscription;
    message.mutable_subscribe()->set_presence_only(true);
    auto const bytes = message.SerializeAsString();
    for (auto const& agent : agents)
    {
        if (!followed.contains(agent))
        {
            this->socket->send(agent, bytes);
        }
    }
}

void peer_link::request_entry_names(agent_directories const& directories)
{
    constexpr std::size_t agents_per_request = 2;
    wire::Datagram message;
    auto& asked = *message.mutable_subscribe();
    asked.set_failure_domain(this->context->settings.failure_domain);
    asked.set_names_only(true);
    auto const bytes = message.SerializeAsString();
    auto const start = base::stable_hash(this->context->settings.ip) +
                       agents_per_request * this->name_requests_sent;
    for (auto const& domain :
         domains_to_ask(*this->context, directories, this->name_requests_sent))
    {
        auto const& agents = directories.at(domain);
        auto const is_own = domain == asked.failure_domain();
        auto const count = is_own ? agents_per_request : std::size_t{1};
        for (std::size_t next = 0; next < std::min(count, agents.size());
             ++next)
        {
            this->socket->send(agents[(start + next) % agents.size()], bytes);
        }
    }
    ++this->name_requests_sent;
}

void peer_link::add_models(
    google::protobuf::RepeatedPtrField<wire::ServedModel>& served_models) const
{
    auto const& known = this->context->configuration;
    if (!known)
    {
        return;
    }
    auto const origin = std::ranges::find_if(
        known->services,
        [](auto const& entry)
        {
            return !entry.second.origin.empty();
        });
    if (origin == known->services.end())
    {
        return;
    }
    for (auto const& [name, service] : known->services)
    {
        if (service.engine && !service.engine->models.empty())
        {
            auto& served = *served_models.Add();
            served.set_service(name);
            served.set_model(service.engine->models.front());
            served.set_origin(origin->second.origin);
            served.set_origin_rate(origin->second.origin_rate);
            served.set_origin_connections(origin->second.most_connections);
        }
    }
}

void peer_link::receive(net::udp_endpoint const& source, std::string_view bytes)
{
    wire::Datagram message;
    if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
    {
        this->context->counters.count_error(base::error_kind::bad_frame);
        return;
    }
    auto const from = source.address().to_string();
    note_received(
        this->context->traffic, message_kind(message), from, bytes.size());
    switch (message.body_case())
    {
    case wire::Datagram::kEngineState:
        this->handle_engine_state(from, message.engine_state());
        break;
    case wire::Datagram::kCrashNotice:
        note_crash_notice(
            *this->context, message.crash_notice(), message.from());
        break;
    case wire::Datagram::kRefusalNotice:
        for (auto const print : message.refusal_notice().fingerprints())
        {
            request::note_refusal(this->context->refusals, print, clock::now());
        }
        note_load_notices(
            *this->context, from, message.refusal_notice(), clock::now());
        break;
    case wire::Datagram::kViewAsk:
        this->on_view_ask(from, message.view_ask());
        break;
    case wire::Datagram::kViewNotice:
        this->on_view_notice(from, message.view_notice());
        break;
    case wire::Datagram::kFleetAsk:
        this->send_fleet(source, message.fleet_ask());
        break;
    case wire::Datagram::kEntriesNotice:
        this->handle_entries_notice(message.entries_notice());
        break;
    case wire::Datagram::kReportAsk:
        this->on_report_ask(from);
        break;
    case wire::Datagram::kPassedReports:
        this->on_passed_reports(from, message.passed_reports());
        break;
    case wire::Datagram::kCrashRecords:
        this->handle_crash_records(
            from, message.from(), message.crash_records());
        break;
    case wire::Datagram::kRateLimits:
        note_rate_limits(*this->context, message.rate_limits(), message.from());
        break;
    case wire::Datagram::kFleetNotice:
    case wire::Datagram::kSubscribe:
    case wire::Datagram::BODY_NOT_SET:
        // Messages for agents, or kinds added by a later version of the
        // program.
        break;
    }
}

void peer_link::handle_engine_state(
    std::string const& agent, wire::EngineState const& state)
{
    auto const now = clock::now();
    auto& shared = *this->context;
    direct::note_report(shared.book, agent, to_load_report(state, now), now);
    if (state.unreachable())
    {
        note_gone_at(shared, agent);
    }
    serve_all_waiting(shared);
}

void peer_link::send_fleet(
    net::udp_endpoint const& agent, wire::FleetAsk const& asked)
{
    auto const now = clock::now();
    std::map<std::string, wire::FleetNotice> by_domain;
    for (auto const& [id, state] : this->context->book.endpoints)
    {
        auto const address = net::parse_endpoint(state.listed.address);
        if (!direct::participates_in_transfer(state.listed, asked.service()) ||
            direct::is_leaving(this->context->book, id) ||
            (state.report && state.report->leaving) || !address ||
            !address->address().is_v4())
        {
            continue;
        }
        auto const& weights = direct::weights_of(state, now);
        auto& notice = by_domain[state.listed.failure_domain];
        notice.add_agents(address->address().to_v4().to_uint());
        notice.add_versions(weights.whole ? weights.version : 0);
    }
    for (auto& [domain, notice] : by_domain)
    {
        notice.set_service(asked.service());
        notice.set_token(asked.token());
        notice.set_domains(static_cast<std::uint32_t>(by_domain.size()));
        notice.set_failure_domain(domain);
        if (asked.wants_models())
        {
            this->add_models(*notice.mutable_models());
        }
        wire::Datagram message;
        message.set_from(this->context->settings.name);
        *message.mutable_fleet_notice() = std::move(notice);
        this->socket->send(agent, message.SerializeAsString());
    }
}

void peer_link::handle_crash_records(
    std::string const& address,
    std::string const& reporter,
    wire::CrashRecords const& records)
{
    auto const reply = note_crash_records(*this->context, records, reporter);
    if (reply)
    {
        wire::Datagram message;
        message.set_from(this->context->settings.name);
        *message.mutable_crash_notice() = *reply;
        this->send(address, message.SerializeAsString());
    }
}

void peer_link::handle_entries_notice(wire::EntriesNotice const& notice)
{
    auto& shared = *this->context;
    auto const& own = shared.settings;
    for (auto const& listed : notice.domains())
    {
        std::set<std::string> named;
        for (auto const entry : listed.entries())
        {
            named.insert(boost::asio::ip::address_v4(entry).to_string());
        }
        auto const& domain = listed.failure_domain();
        shared.book.domain_entries[domain].insert(named.begin(), named.end());
        shared.entry_addresses.insert(named.begin(), named.end());
        this->on_entries_listed(domain);
        // An agent knows all entries of its own domain, but only a few of
        // others.
        auto const is_own = domain == notice.failure_domain();
        auto& alive = shared.live_entries[domain];
        alive = is_own ? named.size() : std::max(alive, named.size());
        if (domain != own.failure_domain)
        {
            continue;
        }
        if (is_own)
        {
            shared.neighbours.clear();
        }
        shared.neighbours.insert(named.begin(), named.end());
        shared.neighbours.erase(own.ip);
    }
    std::size_t alive = 0;
    for (auto const& [domain, count] : shared.live_entries)
    {
        alive += count;
    }
    if (alive > 0)
    {
        direct::note_entries(
            shared.entries, alive, shared.neighbours.size() + 1,
            own.regions.size(), clock::now());
    }
}

} // namespace foxtailvale::gateway
