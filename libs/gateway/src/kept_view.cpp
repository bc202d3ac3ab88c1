#include <gateway/cached_view.hpp>

#include <algorithm>
#include <utility>

namespace foxtailvale::gateway
{

namespace
{

std::uint64_t number_of(kept_view const& state, std::string const& content)
{
    return state.number ? state.number(content) : 0;
}

// The store says when an object last changed. What it does not say counts as
// changed just now, so that nobody misses it.
std::uint64_t revision_of(
    platform::store_object const& object, platform::store_position const& mark)
{
    return object.revision == 0 ? mark.revision : object.revision;
}

void note_removed(
    kept_view& state,
    platform::store_object object,
    platform::store_position const& mark,
    base::boot_time now)
{
    object.removed = true;
    object.content.clear();
    auto const learned = now - object.age;
    auto const name = object.name;
    state.removed[name] = {std::move(object), mark.revision, learned};
    if (state.removed.size() <= most_removals)
    {
        return;
    }
    auto const oldest = std::ranges::min_element(
        state.removed, {},
        [](auto const& entry)
        {
            return entry.second.revision;
        });
    state.removals_after =
        std::max(state.removals_after, oldest->second.revision);
    state.removed.erase(oldest);
}

void note_gap(kept_view& state, platform::store_position const& mark)
{
    state.gaps.emplace_back(state.mark.revision, mark.revision);
    if (state.gaps.size() > most_gaps)
    {
        state.removals_after =
            std::max(state.removals_after, state.gaps.front().second);
        state.gaps.pop_front();
    }
}

bool is_in_gap(kept_view const& state, std::uint64_t revision)
{
    return std::ranges::any_of(
        state.gaps,
        [revision](auto const& gap)
        {
            return gap.first < revision && revision < gap.second;
        });
}

// Objects that the store, back from a copy, lacks or shows as they were.
void keep_ahead(
    kept_view& state,
    std::map<std::string, kept_object>& listed,
    platform::store_position const& mark)
{
    state.ahead.clear();
    for (auto& [name, kept] : state.objects)
    {
        auto const shown = listed.find(name);
        auto const number = number_of(state, kept.object.content);
        auto const shown_number =
            shown == listed.end()
                ? 0
                : number_of(state, shown->second.object.content);
        if (number > shown_number)
        {
            kept.revision = mark.revision;
            listed[name] = kept;
            state.ahead.insert(name);
        }
    }
}

// Whether the object is still older than what is kept ahead of the store.
bool is_behind(kept_view& state, platform::store_object const& object)
{
    if (!state.ahead.contains(object.name))
    {
        return false;
    }
    auto const& kept = state.objects.at(object.name).object;
    if (!object.removed &&
        number_of(state, object.content) < number_of(state, kept.content))
    {
        return true;
    }
    state.ahead.erase(object.name);
    return false;
}

} // namespace

void put_list(
    kept_view& state,
    std::vector<platform::store_object> const& objects,
    platform::store_position const& mark,
    base::boot_time now)
{
    std::map<std::string, kept_object> listed;
    auto const goes_on = state.mark.revision > 0 && state.mark.era == mark.era;
    for (auto const& object : objects)
    {
        if (goes_on && is_behind(state, object))
        {
            listed[object.name] = state.objects.at(object.name);
            continue;
        }
        auto const before = state.objects.find(object.name);
        // One that did not change was learned of when it came first.
        auto const same = before != state.objects.end() &&
                          before->second.object.content == object.content;
        auto const learned = same ? before->second.learned : now - object.age;
        listed[object.name] = {object, revision_of(object, mark), learned};
    }
    if (goes_on)
    {
        note_gap(state, mark);
    }
    else
    {
        keep_ahead(state, listed, mark);
        state.removed.clear();
        state.gaps.clear();
        state.removals_after = mark.revision;
    }
    for (auto const& [name, kept] : state.objects)
    {
        if (listed.contains(name))
        {
            continue;
        }
        if (state.ahead.contains(name))
        {
            listed[name] = kept;
        }
        else if (goes_on)
        {
            note_removed(state, kept.object, mark, now);
        }
    }
    for (auto const& [name, kept] : listed)
    {
        state.removed.erase(name);
    }
    state.objects = std::move(listed);
    state.mark = mark;
}

void put_change(
    kept_view& state,
    platform::store_object const& object,
    platform::store_position const& mark,
    base::boot_time now)
{
    state.mark = std::max(state.mark, mark);
    if (is_behind(state, object))
    {
        return;
    }
    if (object.removed)
    {
        state.objects.erase(object.name);
        note_removed(state, object, mark, now);
        return;
    }
    state.removed.erase(object.name);
    state.objects[object.name] = {
        object, revision_of(object, mark), now - object.age};
}

void hold_ahead(
    kept_view& state, platform::store_object const& object, base::boot_time now)
{
    state.objects[object.name] = {
        object, state.mark.revision, now - object.age};
    state.ahead.insert(object.name);
}

void note_ahead(kept_view& state, std::string const& name)
{
    if (state.objects.contains(name))
    {
        state.ahead.insert(name);
    }
}

void confirm(kept_view& state, base::boot_time until)
{
    state.confirmed = std::max(state.confirmed.value_or(until), until);
}

view_page
page_after(kept_view const& state, platform::store_position const& known)
{
    view_page page;
    page.whole = known.era != state.mark.era || known.revision == 0 ||
                 known.revision < state.removals_after ||
                 is_in_gap(state, known.revision);
    for (auto const& [name, kept] : state.objects)
    {
        if (page.whole || kept.revision > known.revision)
        {
            page.objects.push_back(&kept);
        }
    }
    if (page.whole)
    {
        return page;
    }
    for (auto const& [name, kept] : state.removed)
    {
        if (kept.revision > known.revision)
        {
            page.objects.push_back(&kept);
        }
    }
    return page;
}

} // namespace foxtailvale::gateway
