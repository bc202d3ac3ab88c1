#include "common_actions.hpp"

namespace foxtailvale::node
{

namespace
{

constexpr std::chrono::minutes fault_log_interval{1};

// Bounds the memory: peer names come from frames, and a stranger could invent
// many.
constexpr std::size_t max_logged_peers = 1024;

constexpr char const* sent_name = "foxtailvale_peer_sent_bytes_total";
constexpr char const* received_name = "foxtailvale_peer_received_bytes_total";

} // namespace

common_actions::common_actions(
    event_loop& owner,
    std::shared_ptr<peer_bus> peers,
    std::shared_ptr<kernel::metrics> counters,
    failure_handler failed)
    : loop(owner), bus(std::move(peers)), metrics(std::move(counters)),
      on_failure(std::move(failed))
{
}

void common_actions::operator()(core::send_message& action)
{
    auto const sent = this->bus->send(action.peer, action.envelope);
    if (sent)
    {
        return;
    }
    // Posted rather than called, since the core is still in the middle of a
    // step.
    this->loop.post(
        [this,
         failed = core::send_failed{action.peer, std::move(action.envelope)}]()
        {
            this->on_failure(failed);
        });
}

void common_actions::operator()(core::connect_peer const& action)
{
    this->bus->connect(action.peer, action.address);
}

void common_actions::operator()(core::disconnect_peer const& action)
{
    this->bus->disconnect(action.peer);
}

void common_actions::operator()(core::write_log const& action)
{
    kernel::log_event(action.id, action.fields);
}

void common_actions::operator()(core::report_error const& action)
{
    this->metrics->count_error(action.error.kind);
    kernel::log_error(action.error, action.fields);
}

void common_actions::operator()(core::count_retry const& action)
{
    this->metrics->count_retry(action.reason);
}

void common_actions::operator()(core::count_metric const& action)
{
    this->metrics->count(action.name, {}, action.amount);
}

void common_actions::publish_traffic()
{
    auto const counted = this->bus->take_traffic();
    for (std::size_t index = 0; index < traffic_kinds; ++index)
    {
        std::string const kind(name_of(static_cast<traffic_kind>(index)));
        this->metrics->count(
            sent_name, {{"kind", kind}},
            static_cast<double>(counted.sent[index]));
        this->metrics->count(
            received_name, {{"kind", kind}},
            static_cast<double>(counted.received[index]));
    }
}

void common_actions::report_fault(
    base::error const& error, std::string const& peer)
{
    this->metrics->count_error(error.kind);
    auto const now = std::chrono::steady_clock::now();
    auto const last = this->logged.find(peer);
    if (last != this->logged.end() && now - last->second < fault_log_interval)
    {
        return;
    }
    if (this->logged.size() >= max_logged_peers)
    {
        this->logged.clear();
    }
    this->logged[peer] = now;
    kernel::log_error(error, {{"peer", peer}});
}

} // namespace foxtailvale::node
