#ifndef FOXTAILVALE_ENTRY_CORE_TESTS_REQUEST_WORLD_HPP
#define FOXTAILVALE_ENTRY_CORE_TESTS_REQUEST_WORLD_HPP

#include <agent_core/agent_core.hpp>
#include <entry_core/entry_core.hpp>

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

// Simulation of entry cores and agent cores with fakes between them: a network
// that delays frames, an object API that fails, and plain services that count
// their runs. It uses no sockets, runs on virtual time, and takes all
// randomness from one seed.
namespace foxtailvale::testing
{

using std::chrono::milliseconds;

// Faults of the object API at present.
struct store_faults
{
    bool down = false;
    milliseconds delay{2};
    // Every n-th write takes effect but its answer is lost; zero for none.
    std::uint32_t lose_write = 0;
};

// An answer as its caller got it.
struct caller_answer
{
    // HTTP status; zero for an error answer.
    std::uint32_t status = 0;
    std::string body;
    std::optional<base::error_kind> error;
};

// One request of a caller: the entry it was sent to, and its answers.
struct sent_call
{
    std::string entry;
    std::string key;
    std::string body;
    std::vector<caller_answer> answers;
};

// Size and timing of a simulation.
struct simulation_options
{
    std::uint64_t seed = 1;
    std::size_t entries = 2;
    std::size_t agents = 3;
    milliseconds longest_delay{1};
    milliseconds work{20};
    std::uint32_t limit = 4;
};

class request_simulation
{
public:
    explicit request_simulation(simulation_options const& options);

    // Sends a booking through an entry; returns its request id.
    std::string
    send_booking(std::string const& entry, std::string key, std::string body);
    void disconnect_caller(std::string const& request_id);

    void run_for(milliseconds length);
    // Runs until the condition holds; false if it does not within a minute.
    bool run_until(std::function<bool()> const& condition);

    // Ends the process; frames that it has sent may still arrive.
    void kill(std::string const& name);
    void restart(std::string const& name);

    std::vector<caller_answer> const&
    answers(std::string const& request_id) const;
    bool is_answered(std::string const& request_id) const;
    // Number of runs on services: of a request, of an idempotency key, and of
    // all.
    std::uint32_t runs_of(std::string const& request_id) const;
    std::uint32_t runs_of_key(std::string const& key) const;
    std::size_t runs() const;

    // Violations of the guarantees to callers and endpoints; empty if all hold.
    std::vector<std::string> violated_invariants() const;

    store_faults store;
    std::map<std::string, entry_core::state> entries;
    std::map<std::string, agent_core::state> agents;
    std::map<std::string, sent_call> calls;
    // Objects by path: version and value.
    std::map<std::string, std::pair<std::uint64_t, std::string>> objects;
    base::random_state random;
    base::time_point now{};
    // Called for each frame that is sent; returns false to drop it.
    std::function<bool(
        std::string const& from,
        std::string const& to,
        wire::Envelope const& envelope)>
        on_frame;

private:
    using task = std::function<void()>;

    void at(base::time_point time, task callback);
    milliseconds delay();
    void start_entry(std::string const& name);
    void start_agent(std::string const& name);
    void tick();
    void step_entry(std::string const& name, entry_core::event const& event);
    void step_agent(std::string const& name, agent_core::event const& event);
    void send(std::string const& from, core::send_message const& message);
    void deliver(
        std::string const& from,
        std::uint64_t incarnation,
        std::string const& to,
        wire::Envelope envelope);
    void call_store(std::string const& name, core::platform_call const& call);
    core::platform_answer apply(core::platform_call const& call);
    void
    run_work(std::string const& agent, agent_core::start_attempt const& start);
    void note_reply(entry_core::reply const& reply, std::string const& entry);
    void
    note_refusal(entry_core::refuse const& refusal, std::string const& entry);
    std::string vm_list() const;

    simulation_options options;
    std::map<std::string, std::uint64_t> incarnations;
    std::map<std::string, std::map<std::string, std::uint64_t>>
        known_incarnations;
    std::set<std::string> down;
    std::multimap<base::time_point, task> scheduled_tasks;
    std::map<std::pair<std::string, std::string>, base::time_point> last_frame;
    std::uint64_t last_version = 0;
    std::uint64_t last_incarnation = 0;
    std::uint64_t writes = 0;
    entry_core::caller_handle last_caller = 0;
    std::map<entry_core::caller_handle, std::string> callers;
    std::map<std::string, std::uint32_t> run_counts;
    std::map<std::string, std::size_t> running_now;
    std::size_t gate_limit_violations = 0;
};

} // namespace foxtailvale::testing

#endif
