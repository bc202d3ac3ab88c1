#ifndef FOXTAILVALE_GATEWAY_VIEW_FEED_HPP
#define FOXTAILVALE_GATEWAY_VIEW_FEED_HPP

#include <gateway/cached_view.hpp>
#include <gateway/store_watch.hpp>

#include <functional>
#include <memory>
#include <string>
#include <utility>

namespace foxtailvale::wire
{
class ViewPage;
}

namespace foxtailvale::gateway
{

// Version numbers that writers put into objects, for kinds that have them.
struct content_version_readers
{
    // Reads the version number from an object's content.
    content_version_reader read;
    // Version number of the content that is active in this process. May be
    // empty.
    std::function<std::uint64_t()> in_force;
};

// The view of one kind of the platform's objects, filled either by its own
// watch of the store or by pages from another entry. Both sources call the same
// handlers.
class view_feed
{
public:
    view_feed(
        boost::asio::io_context& event_loop,
        watch_settings chosen,
        watch_handlers callbacks,
        content_version_readers given = {});
    ~view_feed();
    view_feed(view_feed const&) = delete;
    view_feed& operator=(view_feed const&) = delete;

    void start_watch();
    void stop_watch();

    platform::object_kind kind() const;

    // The store's position (era and revision) of the last change known here.
    platform::store_position const& position() const;

    // Whether it holds objects newer than the store has shown since it was
    // restored from a copy.
    bool is_ahead() const;

    // Version number of the active content; zero where there is none.
    std::uint64_t in_force() const;

    // Everything that the store accepted before this time is known here; empty
    // before the first confirmation.
    std::optional<base::boot_time> confirmed() const;

    // Another entry's view at `position` was confirmed until that time. Applies
    // only if all of that view is known here, and nothing of a later era.
    void confirm_by_peer(
        platform::store_position const& position, base::boot_time until);

    // Returns a serialized and compressed page with what changed since the
    // position, for apply_page() of another entry.
    std::string page_for(platform::store_position const& known) const;

    // Applies such a page. Ages in the page count from `requested_at`, when the
    // page was requested. Returns false when the bytes are not a valid page, or
    // when a page of a later era is not complete.
    bool apply_page(std::string const& bytes, base::boot_time requested_at);

    // Applies only those objects of a complete page whose version number is
    // higher than the active one, whatever the store shows. Ignores pages of
    // another era.
    void
    apply_ahead_page(std::string const& bytes, base::boot_time requested_at);

    // Called when an object changed through the own watch. Set before
    // start_watch().
    std::function<void()> on_change;

private:
    // Handlers for the own watch: they update the view, then call the handlers
    // given to the constructor.
    watch_handlers wrapped_handlers();
    // Updates the view from a page and passes its objects to the handlers.
    void deliver_page(wire::ViewPage const& page, base::boot_time requested_at);

    boost::asio::io_context& loop;
    watch_settings settings;
    watch_handlers handlers;
    std::shared_ptr<store_watch> watch;
    content_version_readers version_readers;
    cached_view view;
};

} // namespace foxtailvale::gateway

#endif
