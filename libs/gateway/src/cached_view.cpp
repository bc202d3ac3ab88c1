#include <gateway/cached_view.hpp>

#include <algorithm>
#include <utility>

namespace foxtailvale::gateway
{

namespace
{

std::uint64_t
content_version(cached_view const& state, std::string const& content)
{
    return state.read_version ? state.read_version(content) : 0;
}

// The store gives the revision of an object's last change. If it does not, the
// object counts as changed just now, so that no follower misses it.
std::uint64_t revision_of(
    platform::store_object const& object,
    platform::store_position const& position)
{
    return object.revision == 0 ? position.revision : object.revision;
}

void note_removed(
    cached_view& state,
    platform::store_object object,
    platform::store_position const& position,
    base::boot_time now)
{
    object.removed = true;
    object.content.clear();
    auto const learned = now - object.age;
    auto const name = object.name;
    state.removed[name] = {std::move(object), position.revision, learned};
    if (state.removed.size() <= max_removals)
    {
        return;
    }
    auto const oldest = std::ranges::min_element(
        state.removed, {},
        [](auto const& entry)
        {
            return entry.second.revision;
        });
    state.removals_known_after =
        std::max(state.removals_known_after, oldest->second.revision);
    state.removed.erase(oldest);
}

void note_gap(cached_view& state, platform::store_position const& position)
{
    state.gaps.emplace_back(state.position.revision, position.revision);
    if (state.gaps.size() > max_gaps)
    {
        state.removals_known_after =
            std::max(state.removals_known_after, state.gaps.front().second);
        state.gaps.pop_front();
    }
}

bool is_in_gap(cached_view const& state, std::uint64_t revision)
{
    return std::ranges::any_of(
        state.gaps,
        [revision](auto const& gap)
        {
            return gap.first < revision && revision < gap.second;
        });
}

// Keeps objects that the restored store lacks or shows with a lower version
// number.
void keep_ahead(
    cached_view& state,
    std::map<std::string, cached_object>& listed,
    platform::store_position const& position)
{
    state.ahead.clear();
    for (auto& [name, cached] : state.objects)
    {
        auto const shown = listed.find(name);
        auto const number = content_version(state, cached.object.content);
        auto const shown_number =
            shown == listed.end()
                ? 0
                : content_version(state, shown->second.object.content);
        if (number > shown_number)
        {
            cached.revision = position.revision;
            listed[name] = cached;
            state.ahead.insert(name);
        }
    }
}

// Whether the object is older than the content held ahead of the store. If it
// is not, the name is no longer marked as ahead.
bool is_behind(cached_view& state, platform::store_object const& object)
{
    if (!state.ahead.contains(object.name))
    {
        return false;
    }
    auto const& cached = state.objects.at(object.name).object;
    if (!object.removed && content_version(state, object.content) <
                               content_version(state, cached.content))
    {
        return true;
    }
    state.ahead.erase(object.name);
    return false;
}

} // namespace

void apply_listing(
    cached_view& state,
    std::vector<platform::store_object> const& objects,
    platform::store_position const& position,
    base::boot_time now)
{
    std::map<std::string, cached_object> listed;
    auto const era_continues =
        state.position.revision > 0 && state.position.era == position.era;
    for (auto const& object : objects)
    {
        if (era_continues && is_behind(state, object))
        {
            listed[object.name] = state.objects.at(object.name);
            continue;
        }
        auto const before = state.objects.find(object.name);
        // An unchanged object keeps the time at which it was first learned of.
        auto const same = before != state.objects.end() &&
                          before->second.object.content == object.content;
        auto const learned = same ? before->second.learned : now - object.age;
        listed[object.name] = {object, revision_of(object, position), learned};
    }
    if (era_continues)
    {
        note_gap(state, position);
    }
    else
    {
        keep_ahead(state, listed, position);
        state.removed.clear();
        state.gaps.clear();
        state.removals_known_after = position.revision;
    }
    for (auto const& [name, cached] : state.objects)
    {
        if (listed.contains(name))
        {
            continue;
        }
        if (state.ahead.contains(name))
        {
            listed[name] = cached;
        }
        else if (era_continues)
        {
            note_removed(state, cached.object, position, now);
        }
    }
    for (auto const& [name, cached] : listed)
    {
        state.removed.erase(name);
    }
    state.objects = std::move(listed);
    state.position = position;
}

void apply_change(
    cached_view& state,
    platform::store_object const& object,
    platform::store_position const& position,
    base::boot_time now)
{
    state.position = std::max(state.position, position);
    if (is_behind(state, object))
    {
        return;
    }
    if (object.removed)
    {
        state.objects.erase(object.name);
        note_removed(state, object, position, now);
        return;
    }
    state.removed.erase(object.name);
    state.objects[object.name] = {
        object, revision_of(object, position), now - object.age};
}

void hold_ahead(
    cached_view& state,
    platform::store_object const& object,
    base::boot_time now)
{
    state.objects[object.name] = {
        object, state.position.revision, now - object.age};
    state.ahead.insert(object.name);
}

void mark_ahead(cached_view& state, std::string const& name)
{
    if (state.objects.contains(name))
    {
        state.ahead.insert(name);
    }
}

void confirm(cached_view& state, base::boot_time until)
{
    state.confirmed = std::max(state.confirmed.value_or(until), until);
}

view_changes
changes_since(cached_view const& state, platform::store_position const& known)
{
    view_changes page;
    page.is_complete = known.era != state.position.era || known.revision == 0 ||
                       known.revision < state.removals_known_after ||
                       is_in_gap(state, known.revision);
    for (auto const& [name, cached] : state.objects)
    {
        if (page.is_complete || cached.revision > known.revision)
        {
            page.objects.push_back(&cached);
        }
    }
    if (page.is_complete)
    {
        return page;
    }
    for (auto const& [name, cached] : state.removed)
    {
        if (cached.revision > known.revision)
        {
            page.objects.push_back(&cached);
        }
    }
    return page;
}

} // namespace foxtailvale::gateway
