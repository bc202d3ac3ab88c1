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

// Numbers that writers give to objects of a kind, for kinds that have some.
struct own_numbers
{
    own_number of;
    // Of what is in force here.
    std::function<std::uint64_t()> in_force;
};

// One kind of the platform's objects: filled by a watch of its own or by pages
// from another entry, handed to the same handlers either way.
class view_feed
{
public:
    view_feed(
        boost::asio::io_context& event_loop,
        watch_settings chosen,
        watch_handlers callbacks,
        own_numbers given = {});
    ~view_feed();
    view_feed(view_feed const&) = delete;
    view_feed& operator=(view_feed const&) = delete;

    void start_watch();
    void stop_watch();

    platform::object_kind kind() const;

    // The store's mark of the last change that is known here.
    platform::store_position const& mark() const;

    // It holds more than the store has shown since its return from a copy.
    bool is_ahead() const;

    // The own number of what is in force here; zero where there is none.
    std::uint64_t in_force() const;

    // Until which moment all that was accepted is known here.
    std::optional<base::boot_time> confirmed() const;

    // Another entry's view of this mark was confirmed until then. Counts only
    // if all of it is known here and nothing of a later era is.
    void confirm_by_peer(
        platform::store_position const& mark, base::boot_time until);

    // What changed since the mark, as another entry takes it.
    std::string page_for(platform::store_position const& known) const;

    // Takes such a page, asked for at that moment; false when it is none.
    bool take_page(std::string const& bytes, base::boot_time asked);

    // Takes from a whole page only what is newer by its own number than what is
    // in force here, whatever the store holds.
    void take_ahead(std::string const& bytes, base::boot_time asked);

    // Called when something changed. Set before start_watch().
    std::function<void()> on_change;

private:
    watch_handlers own_handlers();
    void hand_on(wire::ViewPage const& page, base::boot_time asked);

    boost::asio::io_context& loop;
    watch_settings settings;
    watch_handlers handlers;
    std::shared_ptr<store_watch> watch;
    own_numbers numbers;
    kept_view view;
};

} // namespace foxtailvale::gateway

#endif
