#ifndef FOXTAILVALE_AGENT_CORE_TESTS_FAKE_FLEET_HPP
#define FOXTAILVALE_AGENT_CORE_TESTS_FAKE_FLEET_HPP

#include <agent_core/agent_core.hpp>

#include <chrono>
#include <functional>
#include <map>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace foxtailvale::agent_core
{

// One failure domain of a fake fleet.
struct fake_domain
{
    std::string name;
    std::string region;
    int agents = 0;
};

// One version of a model with its bytes.
struct fake_version
{
    std::string bytes;
    std::string manifest;
    std::string digest;
};

fake_version make_version(char filling, int chunks);

// A fake engine's state behind an agent.
struct fake_engine
{
    std::map<std::string, std::string> loaded;
    std::uint64_t highest_fencing = 0;
    int orders = 0;
    int instance = 1;
};

// Some agents' cores that exchange messages in virtual time; frames, the
// origin and the engines are faked. One seed gives one course of events.
class fake_fleet
{
public:
    using condition = std::function<bool()>;

    fake_fleet(std::vector<fake_domain> domains, std::uint64_t seed);

    // Offers a version at the origin.
    void offer(fake_version const& version);

    // Gives every agent of every domain these models, at once.
    void assign(std::vector<control::assigned_model> const& models);

    // Gives one agent an event now and returns what it did.
    std::vector<action> give(std::string const& name, event const& input);

    // Replaces the agent but not its engine; its first plan is this one.
    void replace_agent(
        std::string const& name,
        std::string const& digest,
        std::uint64_t old_version);

    // Tells an agent the plans as they are.
    void push_plans(std::string const& name);

    // Runs until the condition holds; false when the time is up first.
    bool run(std::chrono::milliseconds most, condition const& done = {});

    // Whether all living agents hold the whole version.
    bool all_hold(std::string const& digest) const;
    // Whether all living agents' engines serve it.
    bool all_serve(std::string const& digest) const;

    std::vector<std::string> names() const;
    // Who imports a chunk in the first domain, and its place's next.
    std::string agent_at(
        std::string const& digest,
        std::uint32_t chunk,
        std::size_t place) const;

    // Ends an agent without a word; what is sent to it is lost.
    void kill(std::string const& name);
    // Starts it again with nothing.
    void restart(std::string const& name);

    state& core(std::string const& name);
    std::chrono::milliseconds elapsed() const;

    // Faults.
    std::set<std::string> corrupting;
    std::set<std::string> lying;
    std::set<std::string> mute_chunks;
    std::map<std::string, std::chrono::milliseconds> slow;
    std::set<std::string> cut_from_origin;
    bool origin_down = false;
    int corrupt_draws = 0;
    bool corrupt_manifests = false;
    // Least time between chunks that the origin gives; sooner it refuses.
    std::chrono::milliseconds store_interval{0};
    bool lose_order_answers = false;
    bool engines_check_fencing = true;
    std::chrono::milliseconds origin_chunk_time{50};
    std::chrono::milliseconds load_time{200};

    // What was seen.
    std::map<std::string, int> draws;
    std::uint64_t origin_calls = 0;
    std::uint64_t origin_refusals = 0;
    std::uint64_t messages = 0;
    std::map<std::string, fake_engine> engines;
    std::vector<base::error> errors;
    // Most engines of one domain that loaded at once.
    std::map<std::string, int> loading;
    int most_loading = 0;

private:
    struct delivery
    {
        base::time_point due;
        std::uint64_t order = 0;
        std::string target;
        std::uint64_t life = 0;
        std::function<void()> run;

        bool operator<(delivery const& other) const
        {
            return std::tie(other.due, other.order) <
                   std::tie(this->due, this->order);
        }
    };
    struct vm
    {
        state core;
        bool alive = true;
        std::uint64_t life = 0;
    };

    void add(std::string const& name, fake_domain const& domain);
    void push_plan(
        std::string const& name,
        fake_domain const& domain,
        std::uint64_t version,
        std::vector<control::assigned_model> const& models);
    void handle(std::string const& name, event const& input);
    void later(
        std::string const& name,
        std::chrono::milliseconds delay,
        std::function<void()> work);
    void tick(std::string const& name);
    void poll(std::string const& name);
    void act(std::string const& name, core::send_message const& ordered);
    void act(std::string const& name, fetch_manifest const& ordered);
    void act(std::string const& name, fetch_chunk const& ordered);
    void act(std::string const& name, order_engine const& ordered);
    void act(std::string const& name, core::report_error const& ordered);
    template <class Action>
    void act(std::string const&, Action const&)
    {
    }
    void report(std::string const& name);
    bool origin_fails(std::string const& name) const;

    std::vector<fake_domain> layout;
    std::map<std::string, vm> machines;
    std::map<std::string, fake_version> versions;
    std::vector<control::assigned_model> assigned;
    std::uint64_t plan_version = 0;
    std::map<std::string, base::time_point> origin_free;
    base::time_point store_ready;
    std::priority_queue<delivery> queue;
    std::uint64_t sequence = 0;
    base::time_point now{std::chrono::hours(1)};
    base::random_state random;
};

} // namespace foxtailvale::agent_core

#endif
