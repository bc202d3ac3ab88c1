#include <direct/watch_duty.hpp>

#include <gtest/gtest.h>

#include <algorithm>
#include <set>

namespace foxtailvale::direct
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds step{50};

// Entries in virtual time that receive each other's announcements, each with a
// store that answers it or not.
class fleet
{
public:
    fleet(std::size_t domains, std::size_t entries_each)
        : neighbours(entries_each - 1)
    {
        for (std::size_t domain = 0; domain < domains; ++domain)
        {
            for (std::size_t number = 0; number < entries_each; ++number)
            {
                watch_duty duty;
                duty.own_domain = "d" + std::to_string(domain);
                duty.own = duty.own_domain + "-" + std::to_string(number);
                duty.jitter =
                    milliseconds(100 * ((domain * entries_each + number) % 15));
                duty.since = this->now;
                duty.views_confirmed_at = this->now;
                duty.neighbours = this->neighbours;
                this->duties.push_back(duty);
            }
        }
    }

    // Restarts all entries with these seeds.
    void start_with(std::vector<std::string> const& seeds)
    {
        for (auto& duty : this->duties)
        {
            duty.seeds = seeds;
            duty.neighbours = this->neighbours;
            begin(duty, this->now);
        }
    }

    void run(milliseconds time)
    {
        for (milliseconds passed{0}; passed < time; passed += step)
        {
            this->now.since_boot += step;
            this->run_step();
        }
    }

    std::set<std::string> watching() const
    {
        std::set<std::string> found;
        for (auto const& duty : this->duties)
        {
            if (duty.watching && !this->dead.contains(duty.own))
            {
                found.insert(duty.own);
            }
        }
        return found;
    }

    std::size_t watching_in(std::string const& domain) const
    {
        auto const all = this->watching();
        return static_cast<std::size_t>(std::ranges::count_if(
            all,
            [&domain](std::string const& name)
            {
                return name.starts_with(domain + "-");
            }));
    }

    // Longest time for which an entry's view was not confirmed.
    milliseconds max_unconfirmed{0};
    std::set<std::string> dead;
    // Entries that the store rejects.
    std::set<std::string> refused;
    // Failure domains that are cut off from all others.
    std::set<std::string> partitioned;
    // Time from the start of a watch to the store's answer.
    milliseconds listing_time{0};
    // All entries that have watched at some time.
    std::set<std::string> ever_watched;
    // Number of queries from followers to other failure domains.
    std::size_t remote_queries = 0;

private:
    bool can_reach(watch_duty const& one, watch_duty const& other) const
    {
        return one.own_domain == other.own_domain ||
               (!this->partitioned.contains(one.own_domain) &&
                !this->partitioned.contains(other.own_domain));
    }

    bool is_fresh(watch_duty const& duty) const
    {
        return !this->refused.contains(duty.own) &&
               this->now - duty.since >= this->listing_time;
    }

    void run_step()
    {
        for (auto& duty : this->duties)
        {
            if (this->dead.contains(duty.own))
            {
                continue;
            }
            this->receive_announcements(duty);
            decide(duty, this->is_fresh(duty), this->now);
            if (duty.watching)
            {
                this->ever_watched.insert(duty.own);
            }
            else
            {
                this->remote_queries += this->remote_asked(duty);
            }
            auto& latest =
                this->confirmed.try_emplace(duty.own, this->now).first->second;
            if (duty.watching && this->is_fresh(duty))
            {
                latest = this->now;
            }
            latest = std::max(latest, duty.views_confirmed_at);
            this->max_unconfirmed =
                std::max(this->max_unconfirmed, this->now - latest);
        }
    }

    std::size_t remote_asked(watch_duty const& duty) const
    {
        auto const all = entries_to_ask(duty, this->now);
        return static_cast<std::size_t>(std::ranges::count_if(
            all,
            [&duty](std::string const& name)
            {
                return !name.starts_with(duty.own_domain + "-");
            }));
    }

    void receive_announcements(watch_duty& duty)
    {
        for (auto const& other : this->duties)
        {
            if (other.own == duty.own || this->dead.contains(other.own) ||
                !this->can_reach(duty, other))
            {
                continue;
            }
            if (!other.watching)
            {
                // The entry announced this when it stopped.
                note_watcher(
                    duty, other.own, other.own_domain,
                    watch_status::not_watching, this->now);
                continue;
            }
            auto const fresh = this->is_fresh(other);
            note_watcher(
                duty, other.own, other.own_domain,
                fresh ? watch_status::fresh : watch_status::looking, this->now);
            if (fresh && !duty.watching)
            {
                note_views_confirmed(duty, this->now);
            }
        }
    }

    base::boot_time now{seconds(100)};
    std::size_t neighbours;
    std::vector<watch_duty> duties;
    std::map<std::string, base::boot_time> confirmed;
};

} // namespace

TEST(watch_duty, one_entry_of_each_failure_domain_watches)
{
    fleet entries(3, 11);
    entries.run(seconds(6));
    EXPECT_EQ(entries.watching().size(), 3U);
    for (auto const* domain : {"d0", "d1", "d2"})
    {
        EXPECT_EQ(entries.watching_in(domain), 1U) << domain;
    }
}

TEST(watch_duty, two_watch_where_there_is_one_failure_domain)
{
    fleet entries(1, 5);
    entries.run(seconds(6));
    EXPECT_EQ(entries.watching().size(), 2U);
}

TEST(watch_duty, a_lone_entry_watches)
{
    fleet entries(1, 1);
    entries.run(seconds(6));
    EXPECT_EQ(entries.watching().size(), 1U);
}

// A machine that watches loses power while endpoints leave. The other entries
// must learn of them within 2 s.
TEST(watch_duty, a_watcher_that_dies_is_replaced_in_time)
{
    fleet entries(3, 11);
    entries.run(seconds(6));
    entries.dead = entries.watching();
    entries.max_unconfirmed = milliseconds(0);
    entries.run(seconds(12));
    EXPECT_LE(entries.max_unconfirmed, milliseconds(1400));
    EXPECT_EQ(entries.watching().size(), 3U);
}

// The store rejects a third of the machines, including watchers, and serves the
// others. No entry may be left with an outdated view.
TEST(watch_duty, entries_that_the_store_turns_away_follow_others)
{
    fleet entries(3, 11);
    entries.run(seconds(6));
    entries.refused = entries.watching();
    entries.max_unconfirmed = milliseconds(0);
    entries.run(seconds(12));
    EXPECT_LE(entries.max_unconfirmed, milliseconds(1400));
    for (auto const& name : entries.watching())
    {
        EXPECT_FALSE(entries.refused.contains(name)) << name;
    }
}

// A failure domain is cut off for a while. It watches on its own and returns to
// one watcher afterwards.
TEST(watch_duty, a_failure_domain_that_is_cut_off_watches_for_itself)
{
    fleet entries(3, 11);
    entries.run(seconds(6));
    entries.partitioned = {"d1"};
    entries.max_unconfirmed = milliseconds(0);
    entries.run(seconds(6));
    EXPECT_GE(entries.watching_in("d1"), 1U);
    EXPECT_LE(entries.max_unconfirmed, milliseconds(1400));
    entries.partitioned.clear();
    entries.run(seconds(8));
    EXPECT_EQ(entries.watching().size(), 3U);
}

// The store is down for all entries. All of them probe it, so that the first
// one that reaches it notifies the others; afterwards few watch again.
TEST(watch_duty, all_look_for_a_store_that_is_away)
{
    fleet entries(2, 4);
    entries.run(seconds(6));
    for (std::size_t number = 0; number < 4; ++number)
    {
        entries.refused.insert("d0-" + std::to_string(number));
        entries.refused.insert("d1-" + std::to_string(number));
    }
    entries.run(seconds(5));
    EXPECT_EQ(entries.watching().size(), 8U);
    entries.refused.clear();
    entries.run(seconds(8));
    EXPECT_EQ(entries.watching().size(), 2U);
}

// Failure: the calls to a store that is down grow with the fleet.
TEST(watch_duty, few_of_many_look_for_a_store_that_is_away)
{
    for (std::size_t const each : {8UL, 30UL, 82UL})
    {
        fleet entries(5, each);
        entries.run(seconds(6));
        for (std::size_t domain = 0; domain < 5; ++domain)
        {
            for (std::size_t number = 0; number < each; ++number)
            {
                entries.refused.insert(
                    "d" + std::to_string(domain) + "-" +
                    std::to_string(number));
            }
        }
        for (auto passed = 0; passed < 12; ++passed)
        {
            entries.run(seconds(1));
            EXPECT_LE(entries.watching().size(), 5 * max_unanswered + 5);
            EXPECT_GE(entries.watching().size(), 5U);
        }
        entries.refused.clear();
        entries.run(seconds(8));
        EXPECT_EQ(entries.watching().size(), 5U);
    }
}

// Failure: views become outdated when the store rejects just those entries that
// probe it.
TEST(watch_duty, others_look_where_those_that_do_are_turned_away)
{
    fleet entries(5, 30);
    entries.run(seconds(6));
    for (std::size_t domain = 0; domain < 5; ++domain)
    {
        for (std::size_t number = 0; number < 30; ++number)
        {
            if (number % 3 != 0)
            {
                entries.refused.insert(
                    "d" + std::to_string(domain) + "-" +
                    std::to_string(number));
            }
        }
    }
    entries.max_unconfirmed = milliseconds(0);
    entries.run(seconds(12));
    EXPECT_LE(entries.max_unconfirmed, milliseconds(1400));
}

// Failure: every entry of a fleet that starts lists everything.
TEST(watch_duty, few_of_many_that_start_together_watch)
{
    for (std::size_t const each : {8UL, 30UL, 82UL})
    {
        fleet entries(5, each);
        entries.listing_time = milliseconds(300);
        entries.start_with({"d0-1", "d1-2", "d2-3"});
        entries.run(seconds(8));
        EXPECT_LE(entries.ever_watched.size(), 3 + 5 * max_unanswered) << each;
        EXPECT_EQ(entries.watching().size(), 5U) << each;
    }
}

// Failure: the traffic between domains grows with the number of entries. Once
// watchers are known, followers ask nobody in other domains, with a seed in
// each domain or with all seeds in one.
TEST(watch_duty, followers_ask_nothing_over_the_links_at_any_size)
{
    for (std::size_t const each : {4U, 10U, 34U, 66U})
    {
        for (auto const& seeds : std::vector<std::vector<std::string>>{
                 {"d0-1", "d1-2", "d2-3"}, {"d0-1", "d0-2", "d0-3"}})
        {
            fleet entries(3, each);
            entries.start_with(seeds);
            entries.run(seconds(6));
            entries.remote_queries = 0;
            entries.run(seconds(10));
            EXPECT_EQ(entries.remote_queries, 0U) << each << seeds.at(1);
        }
    }
}

// Failure: entries wait for seeds that are gone.
TEST(watch_duty, entries_whose_seeds_are_gone_watch_soon)
{
    fleet entries(3, 10);
    entries.dead = {"d0-1", "d1-2", "d2-3"};
    entries.start_with({"d0-1", "d1-2", "d2-3"});
    entries.max_unconfirmed = milliseconds(0);
    entries.run(seconds(4));
    EXPECT_LE(entries.max_unconfirmed, milliseconds(1200));
    EXPECT_GE(entries.watching().size(), 3U);
}

TEST(watch_duty, the_own_failure_domain_is_asked_first)
{
    watch_duty duty;
    duty.own = "me";
    duty.own_domain = "d0";
    base::boot_time const now{seconds(100)};
    note_watcher(duty, "far", "d1", watch_status::fresh, now);
    note_watcher(duty, "near", "d0", watch_status::fresh, now);
    note_watcher(duty, "gone", "d0", watch_status::fresh, now);
    note_watcher(duty, "gone", "d0", watch_status::looking, now);
    EXPECT_EQ(sources(duty, now), (std::vector<std::string>{"near", "far"}));
    EXPECT_TRUE(sources(duty, {seconds(102)}).empty());
}

// Failure: lists cross the links between domains once for each entry although a
// watcher of the same domain has them.
TEST(watch_duty, other_domains_are_asked_only_while_none_of_the_own_confirms)
{
    base::boot_time const start{seconds(100)};
    watch_duty duty;
    duty.own = "own-1";
    duty.own_domain = "own";
    duty.watching = false;
    duty.views_confirmed_at = start;
    note_watcher(duty, "far-1", "far", watch_status::fresh, start);
    EXPECT_TRUE(accepts_views_from(duty, "far", start));
    EXPECT_EQ(entries_to_ask(duty, start), std::vector<std::string>{"far-1"});
    note_watcher(duty, "own-2", "own", watch_status::fresh, start);
    EXPECT_FALSE(accepts_views_from(duty, "far", start));
    EXPECT_EQ(entries_to_ask(duty, start), std::vector<std::string>{"own-2"});
    EXPECT_FALSE(notifies_immediately(duty, "far", start));
    auto const late = start + own_domain_timeout + milliseconds(1);
    EXPECT_TRUE(accepts_views_from(duty, "far", late));
    EXPECT_EQ(
        entries_to_ask(duty, late),
        (std::vector<std::string>{"own-2", "far-1"}));
    auto const expired = start + watcher_timeout + milliseconds(1);
    note_views_confirmed(duty, expired);
    note_watcher(duty, "far-1", "far", watch_status::fresh, expired);
    EXPECT_TRUE(accepts_views_from(duty, "far", expired));
    EXPECT_TRUE(notifies_immediately(duty, "other", expired));
}

// Failure: the process crashes when all of its watchers have become
// unresponsive and one of them is a seed.
TEST(watch_duty, seeds_are_asked_anew_when_one_of_them_fell_silent)
{
    base::boot_time const start{seconds(100)};
    watch_duty duty;
    duty.own = "own-1";
    duty.own_domain = "own";
    duty.seeds = {"own-2", "far-1"};
    note_watcher(duty, "own-2", "own", watch_status::fresh, start);
    EXPECT_EQ(entries_to_ask(duty, start).size(), 1U);
    auto const expired = start + watcher_timeout + milliseconds(1);
    EXPECT_EQ(entries_to_ask(duty, expired).size(), 2U);
}

// Failure: an entry that starts asks only seeds of other domains.
TEST(watch_duty, whoever_knows_no_watcher_asks_all_seeds)
{
    watch_duty duty;
    duty.own = "own-1";
    duty.seeds = {"far-1", "far-2", "own-2"};
    EXPECT_EQ(entries_to_ask(duty, {}).size(), 3U);
}

} // namespace foxtailvale::direct
