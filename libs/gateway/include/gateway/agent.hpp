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
class weights_door;

// The agent of one engine as a whole: it asks the engine how it is, tells the
// entries, learns of versions, and brings the engine to them.
class agent_process : public std::enable_shared_from_this<agent_process>
{
public:
    agent_process(
        boost::asio::io_context& event_loop,
        settings_file& file,
        platform::settings const& given);

    // An error text when an address cannot be listened on.
    std::optional<std::string> start();

    // Ends what it does: its doors are closed and nothing new begins.
    void stop();

    kernel::metrics const& counters() const;

private:
    void await_signal();
    void run_maintenance();
    void poll_engine();
    void take_report(std::optional<fetched> const& response);
    // Watches the named versions while no entry tells them.
    void watch_if_alone();
    void watch_versions();
    void end_watch();
    void announce_version(
        std::string const& model,
        std::uint64_t version,
        std::chrono::steady_clock::time_point at);
    void drive();
    void fetch_between(std::uint64_t target);
    bool is_half_there(std::uint64_t version) const;
    void drop_old_versions();

    boost::asio::io_context& loop;
    settings_file& file;
    std::shared_ptr<agent_context> context;
    std::shared_ptr<weights_door> door;
    std::shared_ptr<version_fetch> fetcher;
    std::shared_ptr<engine_switch> switcher;
    std::shared_ptr<report_link> reports;
    std::shared_ptr<fleet_lists> lists;
    std::shared_ptr<store_watch> versions_watch;
    // Since when no entry has asked for reports.
    std::optional<base::time_point> alone_since;
    boost::asio::signal_set signals;
    boost::asio::steady_timer report_timer;
    boost::asio::steady_timer maintenance_timer;
    bool stopped = false;
};

} // namespace foxtailvale::gateway

#endif
