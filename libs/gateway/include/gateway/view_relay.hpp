#ifndef FOXTAILVALE_GATEWAY_VIEW_RELAY_HPP
#define FOXTAILVALE_GATEWAY_VIEW_RELAY_HPP

#include <direct/watch_duty.hpp>
#include <gateway/entry_context.hpp>
#include <gateway/view_feed.hpp>
#include <net/http_server.hpp>

#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace google::protobuf
{
template <typename Element>
class RepeatedPtrField;
} // namespace google::protobuf

namespace foxtailvale::wire
{
class Datagram;
class ViewAsk;
class ViewMark;
class ViewNotice;
} // namespace foxtailvale::wire

namespace foxtailvale::gateway
{

// Lets a few entries watch the platform while the others follow them: notices
// give each watcher's position, and an entry that is behind fetches what
// changed.
//
// A view is confirmed only by an answer to a request, and as of the time at
// which the request was sent: a datagram that lay unread while this process was
// paused, or that was delayed in transit, makes no view look fresher than it
// is.
class view_relay : public std::enable_shared_from_this<view_relay>
{
public:
    view_relay(
        std::shared_ptr<entry_context> shared,
        std::vector<std::shared_ptr<view_feed>> view_feeds);

    // Opens the page server and starts following or watching. Returns an error
    // text when the address for pages cannot be listened on.
    std::optional<std::string> start();

    // Tells the other entries that this one no longer counts as a watcher;
    // called at the start of shutdown.
    void retire();
    void stop();

    // Handle messages of other entries, given by their IP addresses.
    void handle_ask(std::string const& from, wire::ViewAsk const& ask);
    void handle_notice(std::string const& from, wire::ViewNotice const& notice);

    // Sends the bytes of a datagram to an entry. Set before start().
    std::function<void(std::string const& entry, std::string const& bytes)>
        send;

private:
    // What a page is requested for.
    enum class page_use
    {
        // All changes.
        follow,
        // Only objects that are newer than what the store shows.
        ahead,
    };

    void run_round();
    std::chrono::milliseconds time_to_next_round();
    void update_watch_duty();
    void apply_watch_duty();
    // Whether every kind of objects was listed or received once.
    bool has_all_views() const;
    // Sends a watcher's notice to all entries.
    void announce();
    void notify_all();
    // Sends a notice of a change to entries that receive it from no closer
    // watcher.
    void notify_change();
    void send_notice(std::set<std::string> const& entries);
    void ask_sources();
    // Sends one notice for all changes that the current event loop handler
    // makes.
    void schedule_notice();
    wire::Datagram notice(std::uint64_t token) const;
    // Adds the entries known in the requester's failure domain. An entry that
    // has just started knows no agents yet that would list them.
    void
    add_neighbours(wire::ViewNotice& answer, wire::ViewAsk const& ask) const;
    bool is_fresh() const;
    view_feed* feed_of(std::uint32_t kind) const;
    // Handles an answer of an entry that knows nothing yet, or that does not
    // watch and lists entries that do. Used for the requests sent at the start.
    void note_unusable_answer(wire::ViewNotice const& notice);
    void
    fetch_page(std::string const& from, view_feed const& feed, page_use use);
    // Fetches objects that another entry has active with a higher version
    // number, although the store lacks them since it was restored from a copy.
    void fetch_ahead(
        std::string const& from,
        google::protobuf::RepeatedPtrField<wire::ViewMark> const& marks);
    // Records that another entry confirmed a kind of objects. Unless every kind
    // is confirmed, this entry starts to watch for itself. Failure: notices
    // arrive, but pages do not.
    void note_views_confirmed(std::uint32_t kind, base::boot_time requested_at);
    // Returns the body of a page answer: for how many milliseconds the page was
    // cached, a line feed, and the page.
    std::string
    page_body(view_feed const& feed, platform::store_position const& after);
    void apply_page(
        std::uint32_t kind,
        page_use use,
        std::string_view text,
        base::boot_time requested_at);
    std::shared_ptr<net::http_server> make_page_server();

    // The page last built for a kind of objects.
    struct cached_page
    {
        platform::store_position after;
        platform::store_position position;
        base::boot_time made;
        std::string bytes;
    };

    std::shared_ptr<entry_context> context;
    std::vector<std::shared_ptr<view_feed>> feeds;
    std::shared_ptr<net::http_server> page_server;
    direct::watch_duty duty;
    boost::asio::steady_timer timer;
    bool stopped = false;
    bool retired = false;
    bool notice_scheduled = false;
    // Whether this entry has already switched from its first listing to
    // following another one.
    bool followed_at_start = false;
    std::uint64_t rounds = 0;
    // The first round after start was given a random length.
    bool is_staggered = false;
    // Requests that are not answered yet, by token, and when they were sent.
    std::map<std::uint64_t, base::boot_time> pending_asks;
    std::uint64_t last_token = 0;
    // Entries that sent requests to this one, by failure domain.
    std::map<std::string, std::set<std::string>> requesters;
    std::map<std::uint32_t, cached_page> pages;
    // Kinds of objects whose page is being fetched.
    std::map<std::uint32_t, bool> fetching;
    // When the request was sent whose answer last confirmed a kind.
    std::map<std::uint32_t, base::boot_time> confirmed_by_peer_at;
};

} // namespace foxtailvale::gateway

#endif
