#include "report_link.hpp"

#include <proto/foxtailvale.pb.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace foxtailvale::gateway
{

namespace
{

using std::chrono::milliseconds;
using clock = std::chrono::steady_clock;

// Subscriptions that were not renewed for this long expire.
constexpr milliseconds subscription_timeout{3500};

// Entries of other failure domains receive only one report in this many. One of
// them may be lost before the agent counts as unresponsive.
constexpr int remote_round_interval = 2;

} // namespace

report_link::report_link(std::shared_ptr<agent_context> shared)
    : context(std::move(shared))
{
}

std::optional<std::string> report_link::open()
{
    std::weak_ptr<report_link> const self = this->shared_from_this();
    this->socket = std::make_shared<net::datagram_socket>(
        this->context->loop,
        [self](net::udp_endpoint const& source, std::string_view bytes)
        {
            auto const held = self.lock();
            wire::Datagram message;
            auto const size = static_cast<int>(bytes.size());
            if (!held || !message.ParseFromArray(bytes.data(), size))
            {
                return;
            }
            if (message.has_subscribe())
            {
                held->on_subscribe(source, message.subscribe());
            }
            if (message.has_fleet_notice())
            {
                held->update_models(message.fleet_notice().models());
                held->on_fleet_notice(message.fleet_notice());
            }
        });
    auto const& settings = this->context->settings;
    boost::system::error_code error;
    auto const ip = boost::asio::ip::make_address(settings.ip, error);
    if (error)
    {
        return "ip: " + error.message();
    }
    return this->socket->open({ip, settings.peer_port});
}

void report_link::close()
{
    this->socket->close();
}

void report_link::on_subscribe(
    net::udp_endpoint const& source, wire::Subscribe const& asked)
{
    auto const now = clock::now();
    if (asked.names_only())
    {
        this->socket->send(source, this->entries_notice());
        return;
    }
    this->subscribers[source] = {
        now, asked.failure_domain(), !asked.presence_only()};
    this->update_models(asked.models());
    for (auto const& notice : asked.versions())
    {
        this->on_version(
            notice.model(), notice.version(),
            now - milliseconds(notice.age_ms()));
    }
}

void report_link::update_models(
    google::protobuf::RepeatedPtrField<wire::ServedModel> const& models)
{
    for (auto const& served : models)
    {
        if (served.service() == this->context->settings.engine_service)
        {
            note_served(
                *this->context,
                {served.model(),
                 served.origin(),
                 {served.origin_rate(), served.origin_connections()}});
        }
    }
}

bool report_link::request_fleet(std::uint64_t token, std::uint32_t tries)
{
    std::vector<net::udp_endpoint> known;
    for (auto const near : {true, false})
    {
        for (auto const& [address, entry] : this->subscribers)
        {
            if (this->is_same_domain(entry) == near)
            {
                known.push_back(address);
            }
        }
        if (!known.empty())
        {
            break;
        }
    }
    // Before any entry has subscribed, the entries named in the settings are
    // used.
    auto const& settings = this->context->settings;
    for (auto const& seed : settings.seeds)
    {
        boost::system::error_code error;
        auto const ip = boost::asio::ip::make_address(seed, error);
        if (!error && this->subscribers.empty())
        {
            known.emplace_back(ip, settings.peer_port);
        }
    }
    if (known.empty())
    {
        return false;
    }
    wire::Datagram message;
    auto& asked = *message.mutable_fleet_ask();
    asked.set_service(this->context->settings.engine_service);
    asked.set_token(token);
    asked.set_wants_models(this->context->model.empty());
    this->socket->send(
        known[(token + tries) % known.size()], message.SerializeAsString());
    return true;
}

void report_link::remove_expired_subscribers()
{
    std::erase_if(
        this->subscribers,
        [now = clock::now()](auto const& entry)
        {
            return now - entry.second.last_asked > subscription_timeout;
        });
}

bool report_link::has_entries() const
{
    return !this->subscribers.empty();
}

bool report_link::is_same_domain(subscriber const& entry) const
{
    return entry.failure_domain == this->context->settings.failure_domain;
}

std::string report_link::entries_notice() const
{
    wire::Datagram message;
    auto& content = *message.mutable_entries_notice();
    content.set_failure_domain(this->context->settings.failure_domain);
    std::map<std::string, wire::DomainEntries> by_domain;
    for (auto const& [address, entry] : this->subscribers)
    {
        if (address.address().is_v4())
        {
            by_domain[entry.failure_domain].add_entries(
                address.address().to_v4().to_uint());
        }
    }
    for (auto& [domain, entries] : by_domain)
    {
        entries.set_failure_domain(domain);
        *content.add_domains() = std::move(entries);
    }
    return message.SerializeAsString();
}

std::string report_link::report() const
{
    auto const& state = *this->context;
    wire::Datagram message;
    auto& content = *message.mutable_engine_state();
    content.set_unreachable(!state.engine.has_value());
    content.set_switching(
        state.switching || (state.engine && state.engine->busy));
    if (state.engine)
    {
        auto const& load = state.engine->load;
        content.set_running(load.running);
        content.set_waiting(load.waiting);
        content.set_pace(load.pace);
        content.set_model(load.weights.model);
        content.set_version(load.weights.version);
        content.set_whole(load.weights.whole);
        content.set_leaving(load.leaving);
    }
    auto const now = clock::now();
    if (auto const at = expected_switch(state, now))
    {
        auto const left =
            std::chrono::duration_cast<milliseconds>(*at - now).count();
        content.set_switches(true);
        content.set_switches_in_ms(
            static_cast<std::uint32_t>(std::max<std::int64_t>(0, left)));
    }
    return message.SerializeAsString();
}

void report_link::send_reports(bool at_once)
{
    if (this->subscribers.empty())
    {
        return;
    }
    auto const round = this->report_rounds++;
    auto const bytes = this->report();
    auto const to_all = at_once || round % remote_round_interval == 0;
    for (auto const& [address, entry] : this->subscribers)
    {
        if (entry.wants_reports && (to_all || this->is_same_domain(entry)))
        {
            this->socket->send(address, bytes);
        }
    }
}

} // namespace foxtailvale::gateway
