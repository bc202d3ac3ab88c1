#ifndef FOXTAILVALE_GATEWAY_ENTRY_HPP
#define FOXTAILVALE_GATEWAY_ENTRY_HPP

#include <gateway/entry_context.hpp>
#include <gateway/entry_views.hpp>
#include <gateway/peer_link.hpp>
#include <gateway/settings_file.hpp>
#include <gateway/view_relay.hpp>
#include <net/http_server.hpp>

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

namespace foxtailvale::gateway
{

class domain_reports;

// An entry as a whole: its doors, its views of the platform, its peers.
class entry_process : public std::enable_shared_from_this<entry_process>
{
public:
    entry_process(
        boost::asio::io_context& event_loop,
        settings_file& file,
        platform::settings const& given);

    // An error text when an address cannot be listened on.
    std::optional<std::string> start();

    kernel::metrics const& counters() const;

    // Begins a planned stop: new work goes elsewhere, what runs ends.
    void stop();

private:
    std::shared_ptr<net::http_server> make_caller_door();
    std::shared_ptr<net::http_server> make_ready_door();
    // Lets the views and the other entries talk with each other.
    void join_peers();
    void await_signal();
    void run_tick();
    void run_maintenance();
    // Asks agents that became known, all of the next moment together.
    void subscribe_soon();
    void await_end();
    bool is_ready() const;

    boost::asio::io_context& loop;
    settings_file& file;
    std::shared_ptr<entry_context> context;
    std::shared_ptr<net::http_server> caller_door;
    std::shared_ptr<net::http_server> ready_door;
    std::shared_ptr<peer_link> peers;
    std::shared_ptr<domain_reports> reports;
    std::shared_ptr<entry_views> views;
    std::shared_ptr<view_relay> relay;
    boost::asio::signal_set signals;
    boost::asio::steady_timer tick_timer;
    boost::asio::steady_timer maintenance_timer;
    boost::asio::steady_timer subscribe_timer;
    bool subscribe_planned = false;
    boost::asio::steady_timer stop_timer;
    base::time_point stop_began;
};

} // namespace foxtailvale::gateway

#endif
