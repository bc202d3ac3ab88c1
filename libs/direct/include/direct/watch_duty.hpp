#ifndef FOXTAILVALE_DIRECT_WATCH_DUTY_HPP
#define FOXTAILVALE_DIRECT_WATCH_DUTY_HPP

#include <base/boot_clock.hpp>

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

// Decides which entries watch the platform's store and which follow the
// watching entries.
//
// If every entry watched, the calls would grow with the entries, while the
// store's allowed rates grow more slowly than the fleet. So one entry of each
// failure domain watches, and the others ask it how fresh its views are.
//
// There is no leader election: an entry that hears from enough other watchers
// may stop, and an entry that hears from too few starts. Entries whose
// information differs for a moment cost some extra calls and nothing else.
namespace foxtailvale::direct
{

// An entry that announced that it watches and whose last call the store has
// just answered.
struct live_watcher
{
    std::string failure_domain;
    base::boot_time heard;
};

struct watch_duty
{
    std::string own;
    std::string own_domain;
    // Maximum addition to each time-out, different for each entry, so that not
    // all entries start to watch when one would suffice.
    std::chrono::milliseconds jitter{0};
    bool watching = true;
    // The entry has been watching, or following, since the process started.
    bool is_first = true;
    // Entries to ask while no watcher is known.
    std::vector<std::string> seeds;
    // A seed has answered, possibly without any information.
    bool seed_answered = false;
    // Since when the entry has been watching or following.
    base::boot_time since;
    // When another entry last confirmed this entry's views.
    base::boot_time views_confirmed_at;
    // Since when there are too few watchers; nothing while there are enough.
    std::optional<base::boot_time> too_few_since;
    // The store did not answer this entry while it answered others; the entry
    // does not watch before this time.
    std::optional<base::boot_time> store_backoff_until;
    // By name.
    std::map<std::string, live_watcher> watchers;
    // Entries that watch but get no answers from the store, by name.
    std::map<std::string, live_watcher> unanswered;
    // Number of other known entries of the same failure domain.
    std::size_t neighbours = 0;
};

// Interval at which watchers announce themselves to all entries. A watcher that
// is not heard for three intervals no longer counts.
inline constexpr std::chrono::milliseconds announce_interval{500};
inline constexpr std::chrono::milliseconds watcher_timeout{1500};

// If nobody confirmed a view for this long, the entry confirms it itself. An
// endpoint that leaves may get requests for 2 s; a listing takes a few
// milliseconds, or 250 ms when the store is slow.
inline constexpr std::chrono::milliseconds follow_timeout{900};

// If there are fewer than two watchers, or none in the entry's own failure
// domain, for this long, one more starts. This is not urgent, since the views
// are still confirmed.
inline constexpr std::chrono::milliseconds too_few_timeout{1000};
inline constexpr std::size_t min_watchers = 2;

// Minimum time for which an entry watches once it has started.
inline constexpr std::chrono::milliseconds min_watch{3000};

// A process that starts watches for at least this long. It hears from other
// watchers twice a second, and a listing takes 250 ms when the store is slow.
// Failure: all entries of a fleet that started watched for 3 s while all
// endpoints registered, and each called the store for every change.
inline constexpr std::chrono::milliseconds min_first_watch{1200};

// How long an entry that the store rejects does not call it.
inline constexpr std::chrono::milliseconds store_backoff{10000};

// A process that starts asks its seeds. It begins to watch if no seed answers
// within seed_timeout, or if the seeds that answer have no information within
// seed_answered_timeout. Failure: entries that started together all
// watched until each had heard from another.
inline constexpr std::chrono::milliseconds seed_timeout{700};
inline constexpr std::chrono::milliseconds seed_answered_timeout{3000};

// Called at process start. An entry without seeds, or that is a seed itself,
// watches.
void begin(watch_duty& state, base::boot_time now);

// Maximum number of entries of a failure domain that probe a store which
// answers nobody. In a larger domain, an entry that got no answer for
// unanswered_time plus its jitter leaves the probing to another one, since the
// store may reject just those entries that probe. Failure: the store was down,
// and 148 entries called it several times a second.
inline constexpr std::size_t max_unanswered = 4;
inline constexpr std::chrono::milliseconds unanswered_time{2500};

// Watch state that another entry announced.
enum class watch_status
{
    // The store has just answered the entry.
    fresh,
    // The entry watches but gets no answers.
    looking,
    not_watching,
};

void note_watcher(
    watch_duty& state,
    std::string const& name,
    std::string const& failure_domain,
    watch_status status,
    base::boot_time now);

// Records that another entry confirmed this entry's views.
void note_views_confirmed(watch_duty& state, base::boot_time now);

// Makes this entry follow others; for an entry that has no information yet.
void follow(watch_duty& state, base::boot_time now);

// Updates the decision and returns whether this entry is to watch. `fresh` says
// that the store has just answered it.
bool decide(watch_duty& state, bool fresh, base::boot_time now);

// Views that no entry of the same failure domain confirmed for this long are
// requested and accepted from other domains. The links between domains have low
// bandwidth, and each entry of the domain would fetch the same data over them.
inline constexpr std::chrono::milliseconds own_domain_timeout{500};

// Whether views are accepted from a watcher of this failure domain now.
bool accepts_views_from(
    watch_duty const& state,
    std::string const& failure_domain,
    base::boot_time now);

// Whether entries of this failure domain are notified of each change at once.
// Entries of a domain with a watcher of its own are notified by that one.
bool notifies_immediately(
    watch_duty const& state,
    std::string const& failure_domain,
    base::boot_time now);

// Returns the entries to ask now: two watchers, of this entry's own failure
// domain while a watcher there confirms the views; all seeds while no watcher
// is known.
std::vector<std::string>
entries_to_ask(watch_duty const& state, base::boot_time now);

// Returns the entries to ask, best first: watchers of this entry's own failure
// domain, then others, in an order that differs between entries so that they do
// not all ask the same one; seeds while no watcher is known.
std::vector<std::string> sources(watch_duty const& state, base::boot_time now);

} // namespace foxtailvale::direct

#endif
