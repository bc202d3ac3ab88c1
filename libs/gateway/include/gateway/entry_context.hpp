#ifndef FOXTAILVALE_GATEWAY_ENTRY_CONTEXT_HPP
#define FOXTAILVALE_GATEWAY_ENTRY_CONTEXT_HPP

#include <base/boot_clock.hpp>
#include <base/random.hpp>
#include <direct/endpoint_table.hpp>
#include <direct/process_pause.hpp>
#include <direct/shares.hpp>
#include <gateway/connection_pool.hpp>
#include <gateway/traffic.hpp>
#include <kernel/metrics.hpp>
#include <platform/settings.hpp>
#include <request/admission.hpp>
#include <request/refusals.hpp>
#include <request/suspects.hpp>
#include <routing/configuration.hpp>
#include <routing/routes.hpp>

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace foxtailvale::gateway
{

class call;

// Order in which requests of one service wait for an endpoint: the more urgent
// first, then those that can still be answered within their goal, then those
// that have the least time left to wait.
struct waiting_place
{
    std::uint32_t priority = 0;
    bool returned = false;
    base::time_point until;
    std::uint64_t arrival = 0;

    auto operator<=>(waiting_place const&) const = default;
};

using waiting_line = std::map<waiting_place, std::shared_ptr<call>>;

// What all requests of one entry share. Used from the loop only.
struct entry_context
{
    boost::asio::io_context& loop;
    platform::settings settings;
    connection_pool pool;
    kernel::metrics counters;
    traffic_book traffic;

    // The configuration in force; null before the first.
    std::shared_ptr<routing::configuration const> configuration;
    // When the read began that last confirmed it.
    std::optional<base::boot_time> confirmed;
    direct::endpoint_table book;
    direct::process_pause pause;
    // How long the machine was suspended since its start, as last seen.
    std::chrono::milliseconds suspended{0};
    direct::entry_count entries;
    direct::share_cache parts;
    // IP addresses of all entries that were seen, this one among them.
    std::set<std::string> entry_addresses;
    // Entries of each failure domain that were last named alive together.
    std::map<std::string, std::size_t> entries_alive;
    // By service.
    std::map<std::string, direct::retry_window> repeats;
    std::map<std::string, waiting_line> waiting;
    // Requests that this entry and its neighbours refused, and those of them
    // that the neighbours are still to be told of.
    request::recent_refusals refusals;
    std::vector<request::fingerprint> untold_refusals;
    // IP addresses of the other entries of this failure domain, where callers
    // come back to.
    std::set<std::string> neighbours;
    // From a request's sending to its first event, by service.
    std::map<std::string, request::measured_time> first_answer;
    // How near beginnings on a version came to its bound, the least time that
    // was left, by model and version.
    std::map<std::pair<std::string, std::uint64_t>, std::chrono::milliseconds>
        nearest_beginnings;
    request::suspect_list suspects;
    // Tells the other entries of a crash or that it was none of this request.
    std::function<void(
        request::fingerprint, std::string const& endpoint, bool answered)>
        tell_crash;
    base::random_state random;
    std::uint64_t arrivals = 0;
    bool stopping = false;

    entry_context(
        boost::asio::io_context& event_loop, platform::settings given);
};

// How long this machine has been suspended since its start.
std::chrono::milliseconds suspended_time();

// Sets right what was counted on the steady clock if the machine was suspended
// since the last look.
void note_suspend(entry_context& context);

// The endpoint was found gone: what was cut there a moment before may have
// crashed it. The other entries are told.
void note_gone(entry_context& context, std::string const& endpoint);

// The agent at the IP address cannot reach its engine.
void note_gone_at(entry_context& context, std::string const& ip);

// Whether agents run beside the service's endpoints; they do beside engines.
bool has_agents(entry_context const& context, std::string const& service);

// Failure domains in which agents run.
std::set<std::string> agent_domains(entry_context const& context);

// Lets waiting requests of the service try again, in their order.
void serve_waiting(entry_context& context, std::string const& service);

// The same for all services.
void serve_all_waiting(entry_context& context);

} // namespace foxtailvale::gateway

#endif
