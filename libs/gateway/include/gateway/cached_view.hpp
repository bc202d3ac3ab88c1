#ifndef FOXTAILVALE_GATEWAY_CACHED_VIEW_HPP
#define FOXTAILVALE_GATEWAY_CACHED_VIEW_HPP

#include <base/boot_clock.hpp>
#include <platform/objects.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

// An entry's copy of one kind of the platform's objects, held so that it can be
// passed on to other entries.
namespace foxtailvale::gateway
{

struct cached_object
{
    platform::store_object object;
    // The store's revision of the object's last change, or a later one.
    std::uint64_t revision = 0;
    // When the current content was learned of, less the age that it had then.
    base::boot_time learned;
};

// Reads from an object's content the version number that its writer gave it,
// which only grows; zero where there is none.
using content_version_reader =
    std::function<std::uint64_t(std::string const& content)>;

struct cached_view
{
    // Position (era and revision) of the last change; revision zero before the
    // first listing.
    platform::store_position position;
    // Everything that the store accepted before this time is included.
    std::optional<base::boot_time> confirmed;
    std::map<std::string, cached_object> objects;
    // Removed objects by name, and the revision from which on all removals are
    // known.
    std::map<std::string, cached_object> removed;
    std::uint64_t removals_known_after = 0;
    // Pairs of revisions strictly between which removals are not known: objects
    // that were created and removed between two listings were not seen here,
    // but other entries may know them.
    std::deque<std::pair<std::uint64_t, std::uint64_t>> gaps;
    // Orders contents of an object independently of the store's revisions. May
    // be empty.
    content_version_reader read_version;
    // Names of objects whose content has a higher version number than the store
    // showed after it was restored from a copy. They are kept until they are
    // written again.
    std::set<std::string> ahead;
};

// Above this number the oldest removals are dropped; an entry that would need
// them gets the full list.
inline constexpr std::size_t max_removals = 4096;

// The same for gaps; each loss of the connection to the platform adds one.
inline constexpr std::size_t max_gaps = 64;

// What changed since a position, or all objects if that cannot be told.
struct view_changes
{
    // `objects` holds all objects and not only the changed ones.
    bool is_complete = false;
    std::vector<cached_object const*> objects;
};

// Applies a complete listing. A listing of a higher era, which follows a
// restore of the store, replaces everything except objects whose content has a
// higher version number.
void apply_listing(
    cached_view& state,
    std::vector<platform::store_object> const& objects,
    platform::store_position const& position,
    base::boot_time now);

// Applies the change or removal of one object.
void apply_change(
    cached_view& state,
    platform::store_object const& object,
    platform::store_position const& position,
    base::boot_time now);

// Adds an object that another entry holds and whose content has a higher
// version number than the store shows since it was restored.
void hold_ahead(
    cached_view& state,
    platform::store_object const& object,
    base::boot_time now);

// Marks an object as newer than what the store shows, as reported by another
// entry.
void mark_ahead(cached_view& state, std::string const& name);

// Records that everything accepted before `until` is included. Never moves the
// time back.
void confirm(cached_view& state, base::boot_time until);

// Returns what an entry that knows the view up to the position needs to be
// current. Pointers refer into the view.
view_changes
changes_since(cached_view const& state, platform::store_position const& known);

} // namespace foxtailvale::gateway

#endif
