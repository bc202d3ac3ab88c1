#ifndef FOXTAILVALE_WEIGHTS_UPLOAD_QUEUE_HPP
#define FOXTAILVALE_WEIGHTS_UPLOAD_QUEUE_HPP

#include <base/ids.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace foxtailvale::weights
{

// A chunk that another agent requested from this one.
struct upload
{
    std::string peer;
    std::string digest;
    std::uint32_t index = 0;

    auto operator<=>(upload const&) const = default;
};

// Uploads of one agent. During a burst every chunk is requested before it is
// there. Such a request waits here and the chunk is sent as soon as it arrives;
// if it were refused, the requester would repeat it every few milliseconds.
struct upload_queue
{
    // Requests for chunks that are not there yet: requesting agents by digest
    // and index.
    std::map<std::pair<std::string, std::uint32_t>, std::set<std::string>>
        waiting;
    std::size_t waiting_count = 0;
    // Requests that can be served, in order of arrival.
    std::deque<upload> ready;
    std::set<upload> ready_set;
    // Upload limit of the VM in bytes a second; zero for no limit. Responses to
    // live requests use the same link and must not queue behind a burst.
    double bytes_per_second = 0;
    double allowance = 0;
    base::time_point refilled;
};

// Adds a request that waits for its chunk; returns false when too many wait. A
// request that already waits is not counted twice.
bool wait_for_chunk(upload_queue& queue, upload const& request);

// Queues a request for a chunk that is there.
void make_ready(upload_queue& queue, upload const& request);

// Records that the chunk has arrived: requests that wait for it are queued for
// sending.
void on_chunk_held(
    upload_queue& queue, std::string const& digest, std::uint32_t index);

// Removes and returns the requests that wait for a chunk or, without an index,
// for any chunk of a version that will not arrive.
std::vector<upload> take_waiting(
    upload_queue& queue,
    std::string const& digest,
    std::optional<std::uint32_t> index);

// Agents that wait for chunks, by digest.
std::map<std::string, std::set<std::string>>
waiting_peers(upload_queue const& queue);

// The next request to serve, or nothing while the rate limit holds it back. The
// caller reports the bytes that it sent through note_sent.
std::optional<upload> next_upload(upload_queue& queue, base::time_point now);
void note_sent(upload_queue& queue, std::size_t bytes);

} // namespace foxtailvale::weights

#endif
