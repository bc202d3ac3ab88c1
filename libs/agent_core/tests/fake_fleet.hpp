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

// A failure domain of the simulated fleet.
struct fake_domain
{
    std::string name;
    std::string region;
    int agents = 0;
};

// A version of a model, with its bytes.
struct fake_version
{
    std::string bytes;
    std::string manifest;
    std::string digest;
};

fake_version make_version(char filling, int chunks);

// State of the simulated engine behind an agent.
struct fake_engine
{
    std::map<std::string, std::string> loaded;
    std::uint64_t highest_fencing = 0;
    int orders = 0;
    int instance = 1;
};

// Runs the state machines of several agents and passes messages between them in
// virtual time; the network, the origin and the engines are simulated. The same
// seed gives the same sequence of events.
class fake_fleet
{
public:
    using condition = std::function<bool()>;

    fake_fleet(std::vector<fake_domain> domains, std::uint64_t seed);

    // Makes a version available at the origin.
    void offer(fake_version const& version);

    // Assigns these models to every agent of every domain.
    void assign(std::vector<control::assigned_model> const& models);

    // Passes an event to one agent at the current time and returns its actions
    // without performing them.
    std::vector<action> deliver(std::string const& name, event const& input);

    // Replaces the agent but not its engine; the first plan of the new agent
    // has this digest and version.
    void replace_agent(
        std::string const& name,
        std::string const& digest,
        std::uint64_t old_version);

    // Sends an agent the current plans of all domains.
    void push_plans(std::string const& name);

    // Runs until the condition holds; false when the time limit is reached
    // first.
    bool run(std::chrono::milliseconds time_limit, condition const& done = {});

    // Whether all live agents hold the complete version.
    bool all_hold(std::string const& digest) const;
    // Whether the engines of all live agents serve the version.
    bool all_serve(std::string const& digest) const;

    std::vector<std::string> names() const;
    // Name of the agent of the first domain at this place in the chunk's order;
    // place 0 fetches from the origin.
    std::string agent_at(
        std::string const& digest,
        std::uint32_t chunk,
        std::size_t place) const;

    // Stops an agent without notice; messages to it are lost.
    void kill(std::string const& name);
    // Restarts an agent with no stored state.
    void restart(std::string const& name);

    state& core(std::string const& name);
    std::chrono::milliseconds elapsed() const;

    // Injected faults.
    std::set<std::string> corrupting;
    std::set<std::string> claiming_all;
    std::set<std::string> dropping_chunks;
    std::map<std::string, std::chrono::milliseconds> slow;
    std::set<std::string> cut_from_origin;
    bool origin_down = false;
    int corrupt_fetches_left = 0;
    bool corrupt_manifests = false;
    // Minimum time between chunks that the origin serves; earlier fetches are
    // refused.
    std::chrono::milliseconds store_interval{0};
    bool lose_order_answers = false;
    bool engines_check_fencing = true;
    std::chrono::milliseconds origin_chunk_time{50};
    std::chrono::milliseconds load_time{200};

    // Delay of the plans of other domains after the plan of an agent's own
    // domain.
    std::chrono::milliseconds foreign_plan_delay{0};

    // Observed results.
    std::map<std::string, int> chunk_fetches;
    std::uint64_t origin_calls = 0;
    std::uint64_t origin_refusals = 0;
    std::uint64_t messages = 0;
    std::map<std::string, fake_engine> engines;
    std::vector<base::error> errors;
    // Engines per domain that are replacing a version, and the maximum number
    // at one time in any domain.
    std::map<std::string, int> loading;
    int max_loading = 0;

private:
    struct delivery
    {
        base::time_point due;
        std::uint64_t order = 0;
        std::string target;
        std::uint64_t incarnation = 0;
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
        std::uint64_t incarnation = 0;
    };

    void add(std::string const& name, fake_domain const& domain);
    void push_plan(
        std::string const& name,
        fake_domain const& domain,
        std::uint64_t version,
        std::vector<control::assigned_model> const& models);
    void handle(std::string const& name, event const& input);
    void schedule(
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
