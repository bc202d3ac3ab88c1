#ifndef FOXTAILVALE_DIRECT_STORE_FALLBACK_HPP
#define FOXTAILVALE_DIRECT_STORE_FALLBACK_HPP

#include <base/ids.hpp>

#include <chrono>
#include <optional>

// Decides when an agent that gets no answer from any entry reads lists from the
// platform's store.
//
// Failure: agents started before the entries knew them, and each agent listed
// all endpoints from the store again and again. This filled the links between
// regions, the entries behind them lost the connection to the store, and so
// they contacted no agent.
namespace foxtailvale::direct
{

// Entries that start together know all agents within this time.
inline constexpr std::chrono::milliseconds entry_timeout{4000};

// The time between two reads doubles up to a maximum: data that a congested
// link did not deliver in time does not arrive sooner when it is requested
// again.
inline constexpr std::chrono::milliseconds initial_store_backoff{4000};
inline constexpr std::chrono::milliseconds max_store_backoff{16000};

// What an agent is missing.
enum class list_need
{
    // The model that its engine is to serve. Entries send it once they know it.
    model,
    // The other agents that hold the weights of an announced version.
    transfer,
};

struct store_fallback
{
    // When an entry last answered, or when the process started.
    base::time_point last_answer;
    // Time of the next read, with random jitter; set when an entry is missed.
    std::optional<base::time_point> next;
    bool has_read = false;
    std::chrono::milliseconds backoff = initial_store_backoff;
};

// Records that an entry answered.
void note_answered(store_fallback& state, base::time_point now);

// Whether to read the store now; a transfer does not wait for its first read.
// The jitter, from 0 to 1, spreads agents that lose their entries at the same
// time. Each true result counts as one read.
bool may_read_store(
    store_fallback& state, list_need need, base::time_point now, double jitter);

} // namespace foxtailvale::direct

#endif
