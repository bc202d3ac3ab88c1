#ifndef FOXTAILVALE_GATEWAY_KEPT_VIEW_HPP
#define FOXTAILVALE_GATEWAY_KEPT_VIEW_HPP

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

// One kind of the platform's objects as an entry holds it, so that it can hand
// it on to others.
namespace foxtailvale::gateway
{

struct kept_object
{
    platform::store_object object;
    // The store's revision of its last change, or a later one.
    std::uint64_t revision = 0;
    base::boot_time learned;
};

// The number that a writer gives to what it writes and that only grows; zero
// where there is none.
using own_number = std::function<std::uint64_t(std::string const& content)>;

struct kept_view
{
    // Of the last change; zero before the first listing.
    platform::store_position mark;
    // Until which moment all that was accepted is in here.
    std::optional<base::boot_time> confirmed;
    std::map<std::string, kept_object> objects;
    // Objects that were removed, by name, and the revision from which on all
    // removals are known.
    std::map<std::string, kept_object> removed;
    std::uint64_t removals_after = 0;
    // Revisions strictly between which removals are not known: what came and
    // went between two listings was not seen here, but may be known elsewhere.
    std::deque<std::pair<std::uint64_t, std::uint64_t>> gaps;
    // Orders contents of one object without the store's revisions. May be
    // empty.
    own_number number;
    // Objects that are newer, by their own number, than what the store showed
    // when it came back from a copy. They stay until they are written again.
    std::set<std::string> ahead;
};

// Past this many the oldest removals go, and whoever needs them gets all.
inline constexpr std::size_t most_removals = 4096;

// The same for gaps, which each loss of the platform makes.
inline constexpr std::size_t most_gaps = 64;

// What changed since a mark, or all of it.
struct view_page
{
    bool whole = false;
    std::vector<kept_object const*> objects;
};

// Takes a whole listing. One of a higher era replaces what the store has lost,
// but for objects that are newer by their own number.
void put_list(
    kept_view& state,
    std::vector<platform::store_object> const& objects,
    platform::store_position const& mark,
    base::boot_time now);

void put_change(
    kept_view& state,
    platform::store_object const& object,
    platform::store_position const& mark,
    base::boot_time now);

// Takes an object that another entry holds and that is newer, by its own
// number, than what the store shows since its return.
void hold_ahead(
    kept_view& state,
    platform::store_object const& object,
    base::boot_time now);

// Another entry says that the object is newer than what the store shows.
void note_ahead(kept_view& state, std::string const& name);

// Never goes back.
void confirm(kept_view& state, base::boot_time until);

view_page
page_after(kept_view const& state, platform::store_position const& known);

} // namespace foxtailvale::gateway

#endif
