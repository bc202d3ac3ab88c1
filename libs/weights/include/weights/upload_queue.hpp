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

// One chunk that an agent asked this one for.
struct upload
{
    std::string peer;
    std::string digest;
    std::uint32_t index = 0;

    auto operator<=>(upload const&) const = default;
};

// Uploads of one agent. Made for a burst in which every chunk is asked for
// before it is there: a request waits here and the chunk goes out as it
// arrives, where a refusal would be repeated every few milliseconds.
struct upload_queue
{
    // Requests for chunks that are not there yet, by digest and index.
    std::map<std::pair<std::string, std::uint32_t>, std::set<std::string>>
        waiting;
    std::size_t waiting_count = 0;
    // Requests that can be answered, first come first served.
    std::deque<upload> ready;
    std::set<upload> ready_set;
    // The VM's cap in bytes a second; zero is none. Live answers leave by the
    // same link and must not queue behind a burst.
    double bytes_per_second = 0;
    double allowance = 0;
    base::time_point refilled;
};

// Lets a request wait for its chunk; false when the list is full. A request
// that waits already is not counted twice.
bool wait_for_chunk(upload_queue& queue, upload const& request);

// Lets a request for a chunk that is there take its turn.
void make_ready(upload_queue& queue, upload const& request);

// The chunk has arrived: those who wait for it take their turn.
void on_chunk_held(
    upload_queue& queue, std::string const& digest, std::uint32_t index);

// Takes out the requests that wait for a chunk or, without an index, for any
// chunk of a version that will not come.
std::vector<upload> take_waiting(
    upload_queue& queue,
    std::string const& digest,
    std::optional<std::uint32_t> index);

// Agents that wait for chunks, by digest.
std::map<std::string, std::set<std::string>>
waiting_peers(upload_queue const& queue);

// The next request whose turn it is, or nothing while the cap holds it back.
// The caller tells the bytes that it sent.
std::optional<upload> next_upload(upload_queue& queue, base::time_point now);
void note_sent(upload_queue& queue, std::size_t bytes);

} // namespace foxtailvale::weights

#endif
