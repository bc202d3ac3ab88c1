#include "load_notices.hpp"

#include <gateway/crash_records.hpp>
#include <gateway/peer_link.hpp>
#include <gateway/rate_limits.hpp>
#include <proto/foxtailvale.pb.h>

#include <algorithm>
#include <iterator>
#include <random>
#include <utility>

// What an entry tells other entries.
namespace foxtailvale::gateway
{

void peer_link::send_refusals()
{
    notice_packer packer(this->context->settings.name);
    for (auto const refused : std::exchange(this->context->unsent_refusals, {}))
    {
        packer.add(refused);
    }
    add_load_notices(*this->context, packer, std::chrono::steady_clock::now());
    for (auto const& bytes : packer.take())
    {
        this->send_to(this->context->neighbours, bytes);
    }
}

void peer_link::share_with_some_entries()
{
    wire::Datagram crashes;
    add_suspects(*this->context, *crashes.mutable_crash_records());
    if (!crashes.crash_records().records().empty())
    {
        this->send_to_some(std::move(crashes));
    }
    wire::Datagram limits;
    add_known_limits(*this->context, *limits.mutable_rate_limits());
    if (!limits.rate_limits().limits().empty())
    {
        this->send_to_some(std::move(limits));
    }
}

void peer_link::send_changed_limits()
{
    if (this->context->changed_limits.empty())
    {
        return;
    }
    wire::Datagram message;
    message.set_from(this->context->settings.name);
    add_changed_limits(*this->context, *message.mutable_rate_limits());
    this->send_to(this->context->entry_addresses, message.SerializeAsString());
}

void peer_link::send_to_some(wire::Datagram message)
{
    // With this many of the entries each second, one that missed the notices
    // has heard of them within two seconds, in a fleet of any size.
    constexpr std::size_t entries_per_round = 3;
    message.set_from(this->context->settings.name);
    auto others = this->context->entry_addresses;
    others.erase(this->context->settings.ip);
    std::vector<std::string> chosen;
    std::ranges::sample(
        others, std::back_inserter(chosen), entries_per_round,
        std::minstd_rand(
            static_cast<unsigned>(base::next_random(this->context->random))));
    auto const bytes = message.SerializeAsString();
    for (auto const& entry : chosen)
    {
        this->send(entry, bytes);
    }
}

void peer_link::send_to(
    std::set<std::string> const& entries, std::string const& bytes)
{
    for (auto const& entry : entries)
    {
        if (entry != this->context->settings.ip)
        {
            this->send(entry, bytes);
        }
    }
}

void peer_link::send(std::string const& entry, std::string const& bytes)
{
    boost::system::error_code error;
    auto const ip = boost::asio::ip::make_address(entry, error);
    if (!error)
    {
        this->socket->send({ip, this->context->settings.peer_port}, bytes);
    }
}

} // namespace foxtailvale::gateway
