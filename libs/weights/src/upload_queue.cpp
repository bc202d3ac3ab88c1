#include <weights/upload_queue.hpp>

#include <algorithm>

namespace foxtailvale::weights
{

namespace
{

// Limit of waiting requests: two children for each of several thousand chunks.
// A request takes about a hundred bytes.
constexpr std::size_t max_waiting = 8192;

// Burst allowance in seconds of the rate limit, so that the interval between
// ticks does not reduce the achieved rate.
constexpr double burst_seconds = 0.05;

void refill(upload_queue& queue, base::time_point now)
{
    std::chrono::duration<double> const passed = now - queue.refilled;
    queue.refilled = now;
    auto const burst = queue.bytes_per_second * burst_seconds;
    queue.allowance = std::min(
        burst, queue.allowance + passed.count() * queue.bytes_per_second);
}

} // namespace

bool wait_for_chunk(upload_queue& queue, upload const& request)
{
    if (queue.waiting_count >= max_waiting)
    {
        return false;
    }
    auto& peers = queue.waiting[{request.digest, request.index}];
    queue.waiting_count += peers.insert(request.peer).second ? 1 : 0;
    return true;
}

void make_ready(upload_queue& queue, upload const& request)
{
    if (queue.ready_set.insert(request).second)
    {
        queue.ready.push_back(request);
    }
}

void on_chunk_held(
    upload_queue& queue, std::string const& digest, std::uint32_t index)
{
    for (auto const& request : take_waiting(queue, digest, index))
    {
        make_ready(queue, request);
    }
}

std::vector<upload> take_waiting(
    upload_queue& queue,
    std::string const& digest,
    std::optional<std::uint32_t> index)
{
    std::vector<upload> taken;
    auto entry = queue.waiting.lower_bound({digest, index.value_or(0)});
    while (entry != queue.waiting.end() && entry->first.first == digest &&
           (!index || entry->first.second == *index))
    {
        for (auto const& peer : entry->second)
        {
            taken.push_back({peer, digest, entry->first.second});
        }
        queue.waiting_count -= entry->second.size();
        entry = queue.waiting.erase(entry);
    }
    return taken;
}

std::map<std::string, std::set<std::string>>
waiting_peers(upload_queue const& queue)
{
    std::map<std::string, std::set<std::string>> peers;
    for (auto const& [chunk, waiting] : queue.waiting)
    {
        peers[chunk.first].insert(waiting.begin(), waiting.end());
    }
    return peers;
}

std::optional<upload> next_upload(upload_queue& queue, base::time_point now)
{
    if (queue.ready.empty())
    {
        return std::nullopt;
    }
    if (queue.bytes_per_second > 0)
    {
        refill(queue, now);
        if (queue.allowance <= 0)
        {
            return std::nullopt;
        }
    }
    auto request = queue.ready.front();
    queue.ready.pop_front();
    queue.ready_set.erase(request);
    return request;
}

void note_sent(upload_queue& queue, std::size_t bytes)
{
    queue.allowance -= static_cast<double>(bytes);
}

} // namespace foxtailvale::weights
