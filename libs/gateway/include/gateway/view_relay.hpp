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

// Lets few entries watch the platform and the others follow them: notices say
// how far a watcher has come, and whoever is behind fetches what changed.
//
// A confirmation is an answer to a question, counted from the question: a
// datagram that lay unread while this process stood still, or that was late on
// its way, makes no view look fresher than it is.
class view_relay : public std::enable_shared_from_this<view_relay>
{
public:
    view_relay(
        std::shared_ptr<entry_context> shared,
        std::vector<std::shared_ptr<view_feed>> kept);

    // An error text when the address for pages cannot be listened on.
    std::optional<std::string> start();

    // Leaves the watching to others; called when the process is to end.
    void retire();
    void stop();

    // Messages of other entries, by their IP addresses.
    void handle_ask(std::string const& from, wire::ViewAsk const& ask);
    void handle_notice(std::string const& from, wire::ViewNotice const& notice);

    // Sends a datagram's bytes to an entry. Set before start().
    std::function<void(std::string const& entry, std::string const& bytes)>
        send;

private:
    // What a page is asked for.
    enum class page_use
    {
        // All that changed.
        follow,
        // Only what is ahead of the store.
        ahead,
    };

    void run_round();
    std::chrono::milliseconds time_to_next_round();
    void follow_duty();
    void change_duty();
    // Every kind of objects was listed or handed over once.
    bool knows_all() const;
    // A watcher's word to all.
    void announce();
    void tell_all();
    // Tells of a change those who hear it from nobody nearer.
    void tell_change();
    void tell(std::set<std::string> const& entries);
    void ask_sources();
    void plan_push();
    wire::Datagram notice(std::uint64_t token) const;
    // Entries that start know no agents yet that would name the others.
    void add_neighbours(wire::ViewNotice& told, wire::ViewAsk const& ask) const;
    bool is_fresh() const;
    view_feed* feed_of(std::uint32_t kind) const;
    // One that was asked at the start knows nothing yet, or does not watch and
    // names those that do.
    void note_unfit_answer(wire::ViewNotice const& notice);
    void
    fetch_page(std::string const& from, view_feed const& feed, page_use use);
    // What another entry has in force, by the writer's own number, though the
    // store, back from a copy, lacks it.
    void fetch_ahead(
        std::string const& from,
        google::protobuf::RepeatedPtrField<wire::ViewMark> const& marks);
    // Failure: notices arrive and pages do not. Unless every kind is
    // confirmed, this entry watches for itself.
    void note_views_confirmed(std::uint32_t kind, base::boot_time asked_at);
    // A page as it is sent: for how many milliseconds it was kept, and itself.
    std::string
    page_text(view_feed const& feed, platform::store_position const& after);
    void take_page(
        std::uint32_t kind,
        page_use use,
        std::string_view text,
        base::boot_time asked_at);
    std::shared_ptr<net::http_server> make_page_door();

    // The last page made of a kind of objects.
    struct kept_page
    {
        platform::store_position after;
        platform::store_position mark;
        base::boot_time made;
        std::string bytes;
    };

    std::shared_ptr<entry_context> context;
    std::vector<std::shared_ptr<view_feed>> feeds;
    std::shared_ptr<net::http_server> page_door;
    direct::watch_duty duty;
    boost::asio::steady_timer timer;
    bool stopped = false;
    bool retired = false;
    bool push_planned = false;
    // It has followed another before it knew everything.
    bool followed_at_start = false;
    std::uint64_t rounds = 0;
    bool is_in_step = false;
    // Questions that are not answered yet, and when they were sent.
    std::map<std::uint64_t, base::boot_time> asked;
    std::uint64_t last_token = 0;
    // Entries that asked this one, by failure domain.
    std::map<std::string, std::set<std::string>> askers;
    std::map<std::uint32_t, kept_page> pages;
    // Kinds whose page is on its way.
    std::map<std::uint32_t, bool> fetching;
    // When the question was sent by whose answer a kind was last confirmed.
    std::map<std::uint32_t, base::boot_time> followed;
};

} // namespace foxtailvale::gateway

#endif
