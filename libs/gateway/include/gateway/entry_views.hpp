#ifndef FOXTAILVALE_GATEWAY_ENTRY_VIEWS_HPP
#define FOXTAILVALE_GATEWAY_ENTRY_VIEWS_HPP

#include <direct/platform_outage.hpp>
#include <gateway/entry_context.hpp>
#include <gateway/view_feed.hpp>

#include <optional>
#include <set>
#include <string>
#include <utility>

namespace foxtailvale::gateway
{

// Watches the platform's store for each kind of objects and updates the entry's
// context with what it reads.
class entry_views : public std::enable_shared_from_this<entry_views>
{
public:
    explicit entry_views(std::shared_ptr<entry_context> shared);

    void start();

    // Returns failure domains to service that were held out since the store was
    // restored and were not written again in time.
    void expire_domains();

    // Whether the list of endpoints was read at least once.
    bool knows_endpoints() const;

    // The feeds, one for each kind of objects; empty before start().
    std::vector<std::shared_ptr<view_feed>> const& feeds() const;

    // Called when caller limits, the list of endpoints or the announced
    // versions change. Set before start().
    std::function<void(routing::caller_limits const&)> on_limits;
    std::function<void()> on_endpoints;
    std::function<void()> on_versions;

private:
    void add_feed(
        platform::object_kind kind,
        std::chrono::milliseconds wait,
        watch_handlers handlers,
        content_version_readers numbers = {});
    void watch_configuration();
    void watch_endpoints();
    void watch_domains();
    void watch_versions();
    void adopt_configuration(platform::store_object const& object);
    // Reads an entry of the list of endpoints; nothing for one that is
    // unusable, which is noted.
    std::optional<direct::endpoint_record>
    read_listed(platform::store_object const& object);
    // Exports the number of unusable entries.
    void count_unusable() const;
    void apply_endpoint(platform::store_object const& object, bool was_lost);
    void apply_version(
        platform::store_object const& object, base::boot_time accepted);
    // Lower bound for the time at which the data read now arrived: it may have
    // been queued while this process was paused.
    base::boot_time earliest_received() const;
    void apply_domain(platform::store_object const& object);
    void note_store_restored(
        platform::object_kind kind,
        platform::store_position const& before,
        platform::store_position const& now);
    std::function<void(bool, std::string const&)>
    make_loss_logger(char const* what);

    std::shared_ptr<entry_context> context;
    std::vector<std::shared_ptr<view_feed>> view_feeds;
    // Names of unusable entries in the list now, and of those that were logged.
    std::set<std::string> unusable;
    std::set<std::string> logged_unusable;
    bool endpoints_known = false;
    bool versions_known = false;
    base::boot_time versions_confirmed;
    direct::platform_outage outage;
};

} // namespace foxtailvale::gateway

#endif
