#ifndef FOXTAILVALE_GATEWAY_ENTRY_VIEWS_HPP
#define FOXTAILVALE_GATEWAY_ENTRY_VIEWS_HPP

#include <direct/platform_outage.hpp>
#include <gateway/entry_context.hpp>
#include <gateway/view_feed.hpp>

#include <utility>

namespace foxtailvale::gateway
{

// An entry's views of the platform's store, kept in its context.
class entry_views : public std::enable_shared_from_this<entry_views>
{
public:
    explicit entry_views(std::shared_ptr<entry_context> shared);

    void start();

    // Takes back failure domains that were held out since the store's return
    // and were not written again.
    void expire_domains();

    // The list of endpoints was read at least once.
    bool knows_endpoints() const;

    // The views, one for each kind of objects.
    std::vector<std::shared_ptr<view_feed>> const& feeds() const;

    // Set before start().
    std::function<void(routing::caller_limits const&)> on_limits;
    std::function<void()> on_endpoints;
    std::function<void()> on_versions;

private:
    void add_feed(
        platform::object_kind kind,
        std::chrono::milliseconds wait,
        watch_handlers handlers,
        own_numbers numbers = {});
    void watch_configuration();
    void watch_endpoints();
    void watch_domains();
    void watch_versions();
    void adopt(platform::store_object const& object);
    void take_endpoint(platform::store_object const& object, bool was_lost);
    void take_version(
        platform::store_object const& object, base::boot_time accepted);
    // The earliest moment at which what is read now may have come.
    base::boot_time arrived() const;
    void take_domain(platform::store_object const& object);
    void note_store_restored(
        platform::object_kind kind,
        platform::store_position const& before,
        platform::store_position const& now);
    std::function<void(bool, std::string const&)> report_loss(char const* what);

    std::shared_ptr<entry_context> context;
    std::vector<std::shared_ptr<view_feed>> kept;
    bool endpoints_known = false;
    bool versions_known = false;
    base::boot_time versions_confirmed;
    direct::platform_outage outage;
};

} // namespace foxtailvale::gateway

#endif
