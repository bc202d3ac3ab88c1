#ifndef FOXTAILVALE_DIRECT_STORE_FALLBACK_HPP
#define FOXTAILVALE_DIRECT_STORE_FALLBACK_HPP

#include <base/ids.hpp>

#include <chrono>
#include <optional>

// When an agent that no entry answers reads lists from the platform's store.
//
// Failure: agents started before their entries knew them, and each listed all
// endpoints from the store again and again. The links between regions were
// full, the entries behind them lost the store, and so asked no agent.
namespace foxtailvale::direct
{

// Entries that start together know all agents within this time.
inline constexpr std::chrono::milliseconds entry_patience{4000};

// The time between two reads doubles from the one to the other: what the link
// did not bring in time will not come sooner when it is asked for again.
inline constexpr std::chrono::milliseconds first_store_pause{4000};
inline constexpr std::chrono::milliseconds longest_store_pause{16000};

// What an agent lacks.
enum class list_need
{
    // What its engine is to serve, which entries tell it once they know it.
    model,
    // Who else has the weights of a version that is named.
    transfer,
};

struct store_fallback
{
    // When an entry last answered, or the process started.
    base::time_point heard;
    // Not before then; drawn when an entry is missed.
    std::optional<base::time_point> next;
    bool has_read = false;
    std::chrono::milliseconds pause = first_store_pause;
};

// An entry answered.
void note_answered(store_fallback& state, base::time_point now);

// Whether the store is read now; a transfer does not wait for the first read.
// The draw, from 0 to 1, spreads agents that miss their entries at the same
// moment; each true is one read.
bool may_read_store(
    store_fallback& state, list_need need, base::time_point now, double draw);

} // namespace foxtailvale::direct

#endif
