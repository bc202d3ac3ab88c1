#include <scheduling/returns.hpp>

#include <algorithm>
#include <cmath>

namespace foxtailvale::scheduling
{

namespace
{

using std::chrono::microseconds;
using std::chrono::milliseconds;

// Places are at least this far apart, which is the resolution of the time that
// callers are told.
constexpr milliseconds least_spacing{1};

microseconds started_cost(load_summary const& summary, std::uint32_t rank)
{
    auto const found = summary.ranks.find(rank);
    return found != summary.ranks.end() ? found->second.started
                                        : microseconds(0);
}

microseconds started_returns(
    return_book const& book, place_group const& group, base::time_point now)
{
    microseconds sum{0};
    for (auto const& entry : book.started)
    {
        if (entry.group == group && now - entry.begun < load_window)
        {
            sum += entry.cost;
        }
    }
    return sum;
}

void erase(
    return_book& book,
    std::map<promise_key, promised_return>::iterator const& found)
{
    book.order.erase({found->second.due, found->first});
    book.promises.erase(found);
}

void insert(
    return_book& book, promise_key const& key, promised_return const& promise)
{
    book.promises[key] = promise;
    book.order.emplace(promise.due, key);
}

bool is_expired(base::time_point due, base::time_point now)
{
    return now - due > promise_retention;
}

// Calls the function with each open promise of the request.
template <typename Function>
void for_each_open(
    return_book& book,
    request_print request,
    base::time_point now,
    Function const& function)
{
    for (auto next = book.promises.lower_bound({request, 0});
         next != book.promises.end() && next->first.request == request; ++next)
    {
        if (!next->second.used && !is_expired(next->second.due, now))
        {
            function(*next);
        }
    }
}

bool has_open_promise(
    return_book& book, request_print request, base::time_point now)
{
    auto found = false;
    for_each_open(
        book, request, now,
        [&found](auto const&)
        {
            found = true;
        });
    return found;
}

} // namespace

char const* to_string(promise_fault fault)
{
    switch (fault)
    {
    case promise_fault::no_request:
        return "promise_request";
    case promise_fault::due_too_late:
        return "promise_due";
    case promise_fault::table_full:
        break;
    }
    return "promise_table";
}

std::optional<microseconds> place_spacing(
    return_book const& book,
    service_load const& load,
    place_group const& group,
    microseconds cost,
    base::time_point now)
{
    auto rate = started_cost(summarize(load, now), group.rank) -
                started_returns(book, group, now);
    if (rate <= microseconds(0))
    {
        auto const entries = static_cast<std::int64_t>(load.others.size()) + 1;
        rate = started_cost(totals(load, now), group.rank) / entries;
    }
    if (rate <= microseconds(0))
    {
        return std::nullopt;
    }
    auto const part = starts_per_place * static_cast<double>(cost.count()) /
                      static_cast<double>(rate.count());
    return std::chrono::round<microseconds>(
        part * std::chrono::duration<double, std::micro>(load_window));
}

std::optional<milliseconds> promise_return(
    return_book& book, place_query const& query, base::time_point now)
{
    expire(book, now);
    if (query.request == 0 || book.promises.size() >= max_promises ||
        has_open_promise(book, query.request, now))
    {
        return std::nullopt;
    }
    auto const spacing = std::max<microseconds>(query.spacing, least_spacing);
    auto const longest = std::min(query.longest, longest_return_delay);
    auto& next = book.next_place[query.group];
    auto const place = std::max(next, now + least_return_delay);
    auto const shift = std::chrono::round<microseconds>(
        book.phase * std::chrono::duration<double, std::micro>(spacing));
    auto const told = std::chrono::ceil<milliseconds>(place + shift - now);
    if (told > longest)
    {
        return std::nullopt;
    }
    next = place + spacing;
    promise_key const key{
        query.request,
        static_cast<std::uint32_t>(base::next_random(book.random))};
    insert(book, key, {query.group.rank, now + told, false});
    book.unsent.push_back(key);
    return told;
}

std::optional<promise_fault> note_promise(
    return_book& book, return_notice const& notice, base::time_point now)
{
    if (notice.request == 0)
    {
        return promise_fault::no_request;
    }
    if (notice.due_in > max_promise_delay || notice.due_in < milliseconds(0))
    {
        return promise_fault::due_too_late;
    }
    expire(book, now);
    promise_key const key{notice.request, notice.number};
    auto const found = book.promises.find(key);
    if (found != book.promises.end())
    {
        // A doubled notice does not change the due time.
        found->second.used |= notice.used;
        return std::nullopt;
    }
    if (book.promises.size() >= max_promises)
    {
        return promise_fault::table_full;
    }
    insert(book, key, {notice.rank, now + notice.due_in, notice.used});
    return std::nullopt;
}

return_claim
claim_return(return_book& book, request_print request, base::time_point now)
{
    auto claim = return_claim::none;
    std::pair<promise_key const, promised_return>* earliest = nullptr;
    for_each_open(
        book, request, now,
        [&](auto& open)
        {
            if (now < open.second.due - early_tolerance)
            {
                claim = return_claim::early;
            }
            else if (
                earliest == nullptr || open.second.due < earliest->second.due)
            {
                earliest = &open;
            }
        });
    if (earliest == nullptr)
    {
        return claim;
    }
    earliest->second.used = true;
    book.unsent.push_back(earliest->first);
    return return_claim::kept;
}

void note_return_started(
    return_book& book,
    place_group const& group,
    microseconds cost,
    base::time_point now)
{
    book.started.push_back({now, group, cost});
}

std::vector<return_notice> take_unsent(return_book& book, base::time_point now)
{
    std::vector<return_notice> notices;
    for (auto const& key : std::exchange(book.unsent, {}))
    {
        auto const found = book.promises.find(key);
        if (found == book.promises.end())
        {
            continue;
        }
        auto const due_in =
            std::chrono::ceil<milliseconds>(found->second.due - now);
        notices.push_back(
            {key.request, key.number, found->second.rank,
             std::max(due_in, milliseconds(0)), found->second.used});
    }
    return notices;
}

void expire(return_book& book, base::time_point now)
{
    while (!book.order.empty() && is_expired(book.order.begin()->first, now))
    {
        erase(book, book.promises.find(book.order.begin()->second));
    }
    while (!book.started.empty() &&
           now - book.started.front().begun >= load_window)
    {
        book.started.pop_front();
    }
    std::erase_if(
        book.next_place,
        [now](auto const& entry)
        {
            return entry.second < now;
        });
}

void note_suspended(return_book& book, milliseconds suspended)
{
    book.order.clear();
    for (auto& [key, promise] : book.promises)
    {
        promise.due -= suspended;
        book.order.emplace(promise.due, key);
    }
    for (auto& [group, place] : book.next_place)
    {
        place -= suspended;
    }
    for (auto& entry : book.started)
    {
        entry.begun -= suspended;
    }
}

} // namespace foxtailvale::scheduling
