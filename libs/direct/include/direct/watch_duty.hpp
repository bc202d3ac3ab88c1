#ifndef FOXTAILVALE_DIRECT_WATCH_DUTY_HPP
#define FOXTAILVALE_DIRECT_WATCH_DUTY_HPP

#include <base/boot_clock.hpp>

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

// Which entries watch the platform's store, and which follow those that do.
//
// Made for fleets in which each entry's own watches are the largest price: 34
// entries made 5,600 calls in a day of 45 s, an eighth of what the day was
// worth, while the store's rates grow more slowly than the fleet. One entry of
// each failure domain watches; the others ask it how fresh its views are.
// Nobody is appointed: whoever hears enough others that watch may stop, whoever
// hears too few begins, so that views which differ for a moment cost some calls
// and nothing else.
namespace foxtailvale::direct
{

// An entry that says that it watches and that the store has just answered it.
struct live_watcher
{
    std::string failure_domain;
    base::boot_time heard;
};

struct watch_duty
{
    std::string own;
    std::string own_domain;
    // At most so much is added to each patience, different for each entry, so
    // that not all begin to watch when one of them would do.
    std::chrono::milliseconds jitter{0};
    bool watching = true;
    // It has done the same since the process started.
    bool is_first = true;
    // Entries that are asked while no watcher is known.
    std::vector<std::string> seeds;
    // One of them has answered, though it may know nothing yet.
    bool seed_answered = false;
    // Since when it watches, or follows.
    base::boot_time since;
    // When another entry last confirmed the views of this one.
    base::boot_time followed;
    // Since when too few watch; nothing while there are enough.
    std::optional<base::boot_time> too_few_since;
    // The store did not answer this entry while it answered others: it leaves
    // the watching to them until then.
    std::optional<base::boot_time> unfit_until;
    // By name.
    std::map<std::string, live_watcher> watchers;
    // Those that watch and are not answered.
    std::map<std::string, live_watcher> lookers;
    // Other entries of the own failure domain, as far as known.
    std::size_t neighbours = 0;
};

// Watchers tell all entries that they watch this often; one that was not heard
// for three times that is not counted.
inline constexpr std::chrono::milliseconds announce_interval{500};
inline constexpr std::chrono::milliseconds watcher_silence{1500};

// A view that nobody confirmed for this long is confirmed by this entry itself.
// What leaves may get requests for two seconds; a listing takes a few
// milliseconds, and a quarter of a second when the store is slow.
inline constexpr std::chrono::milliseconds follow_patience{900};

// Fewer than two watchers, or none in the own failure domain, for this long:
// one more begins. Not urgent, since the views are still confirmed.
inline constexpr std::chrono::milliseconds few_patience{1000};
inline constexpr std::size_t fewest_watchers = 2;

// One that begins to watch does not stop sooner.
inline constexpr std::chrono::milliseconds shortest_duty{3000};

// A process that starts watches for itself for this long. Others that watch are
// heard twice a second, and a listing takes a quarter of a second when the
// store is slow. Failure: 40 entries that start together watched for three
// seconds while all endpoints register, and made half of a calm day's calls.
inline constexpr std::chrono::milliseconds first_duty{1200};

// How long an entry that the store turns away leaves it alone.
inline constexpr std::chrono::milliseconds unfit_time{10000};

// A process that starts asks its seeds and begins to watch when none of them
// answers for this long, or when those that do know nothing for that long.
// Failure: 148 entries that started together watched until each had heard of
// another, and made 27 calls each.
inline constexpr std::chrono::milliseconds seed_patience{700};
inline constexpr std::chrono::milliseconds answered_patience{3000};

// The process starts: one without seeds, or that is a seed itself, watches.
void begin(watch_duty& state, base::boot_time now);

// While the store answers nobody, so many entries of a failure domain look for
// it. Where there are more, one that was not answered for look_time and its
// jitter leaves it to another: the store may turn away just those that look.
// Failure: the store was away, and 148 entries asked it several times a second.
inline constexpr std::size_t most_lookers = 4;
inline constexpr std::chrono::milliseconds look_time{2500};

// What another entry says of its watching.
enum class watch_status
{
    // The store has just answered it.
    fresh,
    // It watches and is not answered.
    looking,
    not_watching,
};

void note_watcher(
    watch_duty& state,
    std::string const& name,
    std::string const& failure_domain,
    watch_status word,
    base::boot_time now);

// Another entry confirmed the views of this one.
void note_views_confirmed(watch_duty& state, base::boot_time now);

// Follows others from now on; for an entry that knows nothing yet.
void follow(watch_duty& state, base::boot_time now);

// Decides anew; `fresh` says that the store has just answered this entry.
// Returns whether it is to watch.
bool decide(watch_duty& state, bool fresh, base::boot_time now);

// Views that nobody of the own failure domain confirmed for this long are asked
// for, and taken, in other domains: the links between them are narrow, and each
// entry of the domain would draw the same over them.
inline constexpr std::chrono::milliseconds near_patience{500};

// Whether views are taken from a watcher of that failure domain now.
bool accepts_views_from(
    watch_duty const& state,
    std::string const& failure_domain,
    base::boot_time now);

// Whether entries of that failure domain are told of each change at once. Those
// of others hear it from their own watcher.
bool notifies_immediately(
    watch_duty const& state,
    std::string const& failure_domain,
    base::boot_time now);

// Whom to ask now: two watchers, of the own failure domain while one there
// confirms the views; all seeds while no watcher is known.
std::vector<std::string> asked(watch_duty const& state, base::boot_time now);

// Whom to ask, best first: watchers of the own failure domain, then others, in
// an order of this entry's own so that not all ask the same; seeds while no
// watcher is known.
std::vector<std::string> sources(watch_duty const& state, base::boot_time now);

} // namespace foxtailvale::direct

#endif
