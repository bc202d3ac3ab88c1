#ifndef FOXTAILVALE_GATEWAY_STORE_WATCH_HPP
#define FOXTAILVALE_GATEWAY_STORE_WATCH_HPP

#include <base/boot_clock.hpp>
#include <base/ids.hpp>
#include <base/random.hpp>
#include <gateway/listing.hpp>
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

// Callbacks of a watch; called from the event loop.
struct watch_handlers
{
    // A complete listing of the kind. `was_lost` tells that the platform was
    // unreachable shortly before, so that objects may be missing which will
    // reappear.
    std::function<void(
        std::vector<platform::store_object> const&, bool was_lost)>
        on_list;
    std::function<void(platform::store_object const&, bool was_lost)> on_change;
    // Everything that the store accepted before `began` has been delivered.
    std::function<void(base::boot_time began)> on_confirmed;
    // The platform stopped answering this watch, or answers again; `why` is a
    // readable reason.
    std::function<void(bool lost, std::string const& why)> on_lost;
    // A request to the store that began at that time was answered, or was not.
    std::function<void(bool answered, base::boot_time began)> on_request_end;
    // The store was restored from a copy, which a higher era shows; its current
    // content is delivered next. May be empty.
    std::function<void(
        platform::store_position const& before,
        platform::store_position const& now)>
        on_store_restored;
};

struct watch_settings
{
    net::tcp_endpoint store;
    platform::object_kind kind = platform::object_kind::configuration;
    // How long one watch request waits for a change. Its end confirms the view;
    // a stalled connection is noticed that much later.
    std::chrono::milliseconds wait{2000};
    // Delay between a change and the next watch request, in which further
    // changes may gather.
    std::chrono::milliseconds pause{0};
    std::uint64_t seed = 1;
};

// Follows one kind of objects: lists it, watches it from the revision of the
// listing, and lists it again when the store no longer has the history since
// then. When a higher era shows that the store was restored from a copy, it
// lists again and rejects answers of earlier eras. The object stays alive while
// one of its operations is pending.
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

    // Position of the answer that is being delivered, or of the last one.
    platform::store_position const& last_position() const;

    // Whether the platform was unreachable shortly before, so that objects may
    // be missing which will reappear.
    bool was_lost() const;

private:
    void list(std::string const& after);
    void watch();
    void send(net::request const& request, std::chrono::milliseconds limit);
    // Fails the request when no data has arrived on it for that long.
    void arm_timeout(std::chrono::milliseconds limit);
    void on_response();
    // Whether the answer belongs to the current era. A higher era becomes the
    // current one and, if the era was known before, starts a new listing.
    bool accept_era();
    void handle_list(platform::store_reply reply);
    void handle_changes(platform::store_reply const& reply);
    // A watch was answered, or a listing is complete. Single pages do not
    // count: a listing whose later page is refused would be repeated without a
    // pause.
    void note_recovery();
    // Handles a failed request; the store may have been unreachable since
    // `since`.
    void fail(std::string const& why, base::boot_time since);
    // Sends the next request after the delay.
    void schedule_next(std::chrono::milliseconds delay);

    boost::asio::io_context& loop;
    watch_settings settings;
    watch_handlers handlers;
    boost::asio::steady_timer timer;
    std::shared_ptr<net::client_connection> connection;
    base::random_state random;
    bool stopped = false;
    bool delay_pending = false;
    bool watching = false;
    platform::store_position position;
    unsigned status = 0;
    // Era of the answer being read; zero if it gives none.
    std::uint64_t answer_era = 0;
    // Of the last request.
    std::string target;
    std::string body;
    base::time_point last_data;
    listing pages;
    base::boot_time began;
    base::boot_time list_began;
    std::uint32_t failures = 0;
    std::optional<base::boot_time> lost_since;
    std::optional<base::boot_time> recovered_at;
};

} // namespace foxtailvale::gateway

#endif
