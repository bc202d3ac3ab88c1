#include "load_notices.hpp"

#include <gateway/ranked_admission.hpp>

#include <algorithm>
#include <limits>
#include <utility>

namespace foxtailvale::gateway
{

namespace
{

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr milliseconds load_notice_interval{100};

// With this many bytes of fields, a datagram and its headers fit into the
// smallest packet size of the links between VMs.
constexpr std::size_t max_notice_bytes = 1100;

// Bytes of a field's tag and length in front of its content.
constexpr std::size_t field_overhead = 3;

wire::ServiceLoad
to_wire(std::string const& service, scheduling::load_summary const& summary)
{
    wire::ServiceLoad load;
    load.set_service(service);
    load.set_waiting(summary.waiting);
    for (auto const& [rank, counts] : summary.ranks)
    {
        auto& added = *load.add_ranks();
        added.set_rank(rank);
        added.set_offered_us(
            static_cast<std::uint64_t>(counts.offered.count()));
        added.set_started_us(
            static_cast<std::uint64_t>(counts.started.count()));
        added.set_refused_us(
            static_cast<std::uint64_t>(counts.refused.count()));
    }
    for (auto const& [workspace, cost] : summary.workspaces)
    {
        auto& added = *load.add_workspaces();
        added.set_workspace(workspace);
        added.set_offered_us(static_cast<std::uint64_t>(cost.count()));
    }
    while (load.ByteSizeLong() > max_load_bytes && load.workspaces_size() > 0)
    {
        load.mutable_workspaces()->RemoveLast();
    }
    return load;
}

// A larger cost than the type can hold is as implausible as the largest.
microseconds to_cost(std::uint64_t us)
{
    constexpr auto most =
        static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
    return microseconds(static_cast<std::int64_t>(std::min(us, most)));
}

scheduling::load_summary from_wire(wire::ServiceLoad const& load)
{
    scheduling::load_summary summary;
    summary.waiting = load.waiting();
    for (auto const& rank : load.ranks())
    {
        summary.ranks[rank.rank()] = {
            to_cost(rank.offered_us()), to_cost(rank.started_us()),
            to_cost(rank.refused_us())};
    }
    for (auto const& workspace : load.workspaces())
    {
        summary.workspaces[workspace.workspace()] =
            to_cost(workspace.offered_us());
    }
    return summary;
}

bool is_under_pressure(scheduling::load_summary const& own)
{
    return own.waiting > 0 || std::ranges::any_of(
                                  own.ranks,
                                  [](auto const& rank)
                                  {
                                      return rank.second.refused.count() > 0;
                                  });
}

void count_dropped(entry_context& context, char const* reason)
{
    context.counters.count(
        "foxtailvale_load_summaries_dropped_total", {{"reason", reason}});
}

void note_load(
    entry_context& context,
    std::string const& entry,
    wire::ServiceLoad const& load,
    base::time_point now)
{
    if (!context.configuration ||
        !context.configuration->services.contains(load.service()))
    {
        count_dropped(context, "service");
        return;
    }
    if (!is_ranked(context, load.service()))
    {
        return;
    }
    auto const fault = scheduling::note_summary(
        context.loads[load.service()], entry, from_wire(load), now);
    if (fault)
    {
        count_dropped(context, scheduling::to_string(*fault));
    }
}

void note_promise(
    entry_context& context,
    wire::ReturnPromise const& promise,
    base::time_point now)
{
    auto const fault = scheduling::note_promise(
        context.returns,
        {promise.fingerprint(), promise.number(), promise.rank(),
         milliseconds(promise.due_in_ms()), promise.used()},
        now);
    if (fault)
    {
        count_dropped(context, scheduling::to_string(*fault));
    }
}

} // namespace

notice_packer::notice_packer(std::string name) : sender(std::move(name))
{
}

wire::RefusalNotice& notice_packer::notice_with_room(std::size_t bytes)
{
    if (this->datagrams.empty() || this->last_size + bytes > max_notice_bytes)
    {
        this->datagrams.emplace_back().set_from(this->sender);
        this->last_size = 0;
    }
    this->last_size += bytes;
    return *this->datagrams.back().mutable_refusal_notice();
}

void notice_packer::add(request::fingerprint refused)
{
    this->notice_with_room(sizeof(refused)).add_fingerprints(refused);
}

void notice_packer::add(wire::ServiceLoad const& load)
{
    *this->notice_with_room(load.ByteSizeLong() + field_overhead).add_loads() =
        load;
}

void notice_packer::add(wire::ReturnPromise const& promise)
{
    *this->notice_with_room(promise.ByteSizeLong() + field_overhead)
         .add_promises() = promise;
}

std::vector<std::string> notice_packer::take()
{
    std::vector<std::string> serialized;
    serialized.reserve(this->datagrams.size());
    for (auto const& datagram : std::exchange(this->datagrams, {}))
    {
        serialized.push_back(datagram.SerializeAsString());
    }
    return serialized;
}

void add_load_notices(
    entry_context& context, notice_packer& packer, base::time_point now)
{
    if (now - context.load_notice_sent < load_notice_interval)
    {
        return;
    }
    context.load_notice_sent = now;
    for (auto const& [service, load] : context.loads)
    {
        auto const own = scheduling::summarize(load, now);
        if (!is_under_pressure(own) || !is_ranked(context, service))
        {
            continue;
        }
        auto const message = to_wire(service, own);
        if (message.ByteSizeLong() <= max_load_bytes)
        {
            packer.add(message);
        }
    }
    for (auto const& notice : scheduling::take_unsent(context.returns, now))
    {
        wire::ReturnPromise promise;
        promise.set_fingerprint(notice.request);
        promise.set_number(notice.number);
        promise.set_rank(notice.rank);
        promise.set_due_in_ms(
            static_cast<std::uint32_t>(notice.due_in.count()));
        promise.set_used(notice.used);
        packer.add(promise);
    }
}

void note_load_notices(
    entry_context& context,
    std::string const& entry,
    wire::RefusalNotice const& notice,
    base::time_point now)
{
    if (notice.loads().empty() && notice.promises().empty())
    {
        return;
    }
    if (!context.neighbours.contains(entry))
    {
        count_dropped(context, "sender");
        return;
    }
    for (auto const& load : notice.loads())
    {
        if (load.ranks_size() > static_cast<int>(scheduling::max_summary_ranks))
        {
            count_dropped(
                context, to_string(scheduling::summary_fault::too_many_ranks));
            continue;
        }
        if (load.workspaces_size() >
            static_cast<int>(scheduling::max_summary_workspaces))
        {
            count_dropped(
                context,
                to_string(scheduling::summary_fault::too_many_workspaces));
            continue;
        }
        note_load(context, entry, load, now);
    }
    for (auto const& promise : notice.promises())
    {
        note_promise(context, promise, now);
    }
}

} // namespace foxtailvale::gateway
