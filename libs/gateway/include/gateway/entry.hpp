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
class graceful_stop;

// The entry process: its HTTP servers, its views of the platform's store and
// its links to other entries and agents.
class entry_process : public std::enable_shared_from_this<entry_process>
{
public:
    entry_process(
        boost::asio::io_context& event_loop,
        settings_file& file,
        platform::settings const& given);

    // Starts listening and joins the other processes. Returns an error text
    // when the settings lack an address or an address cannot be listened on.
    std::optional<std::string> start();

    kernel::metrics const& counters() const;

    // Begins a graceful shutdown: readiness fails so that new requests go to
    // other entries, and running requests are completed.
    void stop();

private:
    std::shared_ptr<net::http_server> make_caller_server();
    std::shared_ptr<net::http_server> make_readiness_server();
    // Connects the view relay and the domain reports with the peer link, in
    // both directions.
    void connect_peers();
    void await_signal();
    void run_tick();
    void run_maintenance();
    // Subscribes to newly listed agents after a short delay, so that agents
    // listed at about the same time are subscribed to together.
    void schedule_subscribe();
    bool is_ready() const;
    // Logs and counts a caller's connection that is closed.
    void
    note_closed(net::server_session const& session, net::close_reason reason);
    // Exports what callers make this process hold.
    void note_load();

    boost::asio::io_context& loop;
    settings_file& file;
    std::shared_ptr<entry_context> context;
    std::shared_ptr<net::http_server> caller_server;
    std::shared_ptr<net::http_server> readiness_server;
    std::shared_ptr<peer_link> peers;
    std::shared_ptr<domain_reports> reports;
    std::shared_ptr<entry_views> views;
    std::shared_ptr<view_relay> relay;
    boost::asio::signal_set signals;
    boost::asio::steady_timer tick_timer;
    boost::asio::steady_timer maintenance_timer;
    boost::asio::steady_timer subscribe_timer;
    bool subscribe_scheduled = false;
    std::shared_ptr<graceful_stop> stopping;
};

} // namespace foxtailvale::gateway

#endif
