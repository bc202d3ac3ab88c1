#ifndef FOXTAILVALE_GATEWAY_STORE_WATCH_HPP
#define FOXTAILVALE_GATEWAY_STORE_WATCH_HPP

#include <base/boot_clock.hpp>
#include <base/ids.hpp>
#include <base/random.hpp>
#include <net/client_connection.hpp>
#include <platform/objects.hpp>

#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace foxtailvale::gateway
{

// What a watch finds; called from the loop.
struct watch_handlers
{
    // The whole kind. `was_lost` says that the platform could not be read
    // before, so that entries may be missing which come back.
    std::function<void(
        std::vector<platform::store_object> const&, bool was_lost)>
        on_list;
    std::function<void(platform::store_object const&, bool was_lost)> on_change;
    // All that was accepted before this moment has been handed on.
    std::function<void(base::boot_time began)> on_confirmed;
    // The platform stopped answering this watch, or answers again; why it
    // does not is said in words.
    std::function<void(bool lost, std::string const& why)> on_lost;
    // A call that began then was answered, or was not.
    std::function<void(bool answered, base::boot_time began)> on_call;
    // The store came back from a copy; what it holds now is handed on next.
    // May be empty.
    std::function<void(
        platform::store_position const& before,
        platform::store_position const& now)>
        on_return;
};

struct watch_settings
{
    net::tcp_endpoint store;
    platform::object_kind kind = platform::object_kind::configuration;
    // How long one watch waits for a change. Its end confirms the view, and a
    // connection that fell silent is noticed that much later.
    std::chrono::milliseconds wait{2000};
    // Time between a change and the next watch, in which more may gather.
    std::chrono::milliseconds pause{0};
    std::uint64_t seed = 1;
};

// Keeps a view of one kind of objects: lists it, then watches it from the
// revision that the listing spoke for, and lists anew when the store has
// dropped that history. When the store has come back from a copy, which a
// higher era shows, it lists anew and takes no answer of the era before. Alive
// while one of its operations is pending.
class store_watch : public std::enable_shared_from_this<store_watch>
{
public:
    store_watch(
        boost::asio::io_context& event_loop,
        watch_settings chosen,
        watch_handlers callbacks,
        // The era of what is known already, or zero.
        std::uint64_t known_era = 0);

    void start();
    void stop();

    // Mark of the answer that is being handed on or was last.
    platform::store_position const& mark_read() const;

    // The platform could not be read a moment ago: entries may be missing
    // that come back.
    bool was_lost() const;

private:
    void list(std::string const& after);
    void watch();
    void send(net::request const& request, std::chrono::milliseconds limit);
    // Ends the call when nothing has come on it for so long.
    void give_up_after(std::chrono::milliseconds limit);
    void on_response();
    // Whether the answer is of the era that this watch is in now.
    bool take_era();
    void take_list(platform::store_reply reply);
    void take_changes(platform::store_reply const& reply);
    void succeed();
    // The call did not succeed; the store may have been away since then.
    void fail(std::string const& why, base::boot_time since);
    void next(std::chrono::milliseconds delay);

    boost::asio::io_context& loop;
    watch_settings settings;
    watch_handlers handlers;
    boost::asio::steady_timer timer;
    std::shared_ptr<net::client_connection> connection;
    base::random_state random;
    bool stopped = false;
    bool waiting_to_retry = false;
    bool watching = false;
    platform::store_position mark;
    unsigned status = 0;
    // Of the answer at hand; zero if it names none.
    std::uint64_t answer_era = 0;
    std::string body;
    base::time_point last_data;
    std::vector<platform::store_object> listed;
    std::uint64_t listed_revision = 0;
    base::boot_time began;
    base::boot_time list_began;
    std::uint32_t failures = 0;
    std::optional<base::boot_time> lost_since;
    std::optional<base::boot_time> regained;
};

} // namespace foxtailvale::gateway

#endif
