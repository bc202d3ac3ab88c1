#ifndef FOXTAILVALE_GATEWAY_AGENT_HPP
#define FOXTAILVALE_GATEWAY_AGENT_HPP

#include <base/ids.hpp>
#include <gateway/settings_file.hpp>
#include <kernel/metrics.hpp>
#include <platform/settings.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace foxtailvale::gateway
{

struct agent_context;
struct fetched;
class engine_switch;
class fleet_lists;
class report_link;
class store_watch;
class version_fetch;
class peer_weights_server;

// The agent of one engine. Polls the engine's state, reports it to the entries,
// learns which model versions were announced, fetches their weights and
// switches the engine to them.
class agent_process : public std::enable_shared_from_this<agent_process>
{
public:
    agent_process(
        boost::asio::io_context& event_loop,
        settings_file& file,
        platform::settings const& given);

    // Opens the listening addresses and begins the periodic work. Returns an
    // error text when an address cannot be bound or the settings name no
    // engine.
    std::optional<std::string> start();

    // Closes the listening sockets and cancels the timers; nothing new begins
    // afterwards.
    void stop();

    kernel::metrics const& counters() const;

private:
    void await_signal();
    void run_housekeeping();
    void poll_engine();
    void update_engine(std::optional<fetched> const& response);
    // Watches the announced versions in the platform's store while no entry
    // subscribes to this agent's reports.
    void watch_without_entries();
    void watch_versions();
    void end_watch();
    void on_version_announced(
        std::string const& model,
        std::uint64_t version,
        std::chrono::steady_clock::time_point at);
    void advance();
    void fetch_intermediate_versions(std::uint64_t target);
    bool is_half_complete(std::uint64_t version) const;
    void drop_old_versions();

    boost::asio::io_context& loop;
    settings_file& file;
    std::shared_ptr<agent_context> context;
    std::shared_ptr<peer_weights_server> weights_server;
    std::shared_ptr<version_fetch> fetcher;
    std::shared_ptr<engine_switch> switcher;
    std::shared_ptr<report_link> reports;
    std::shared_ptr<fleet_lists> lists;
    std::shared_ptr<store_watch> versions_watch;
    // Time since which no entry has subscribed to reports; empty while one
    // does.
    std::optional<base::time_point> without_entries_since;
    boost::asio::signal_set signals;
    boost::asio::steady_timer report_timer;
    boost::asio::steady_timer housekeeping_timer;
    bool stopped = false;
};

} // namespace foxtailvale::gateway

#endif
