#ifndef FOXTAILVALE_ENTRY_CORE_CONTROL_RIG_HPP
#define FOXTAILVALE_ENTRY_CORE_CONTROL_RIG_HPP

#include <agent_core/agent_core.hpp>
#include <entry_core/entry_core.hpp>

#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

// Entries and agents on virtual time. The platform and the links between
// processes are faked at the interface of the cores: messages and platform
// calls.
namespace foxtailvale::entry_core
{

// The platform as its callers see it.
struct fake_platform
{
    struct object
    {
        std::uint64_t version = 0;
        std::string value;
    };
    std::map<std::string, object> objects;
    // All values that each object has had, in order.
    std::map<std::string, std::vector<std::string>> history;
    // Stale objects that reads return instead of the current ones, by path.
    std::map<std::string, object> stale;
    std::vector<control::listed_vm> vms;
    std::uint64_t vms_version = 1;
    std::uint64_t last_version = 0;
    bool down = false;
    // Number of writes that still take effect but whose answer is lost.
    int lost_answers = 0;
    std::uint64_t calls = 0;

    void store(release::configuration const& configuration);
};

class control_rig
{
public:
    control_rig();

    void add_entry(std::string const& name, std::string const& domain);
    void add_agent(std::string const& name, std::string const& domain);
    // Restarts the process with a new incarnation and empty state.
    void restart_entry(std::string const& name);
    // Requests an orderly stop; the entry continues until it is drained.
    void stop_entry(std::string const& name);
    void remove_vm(std::string const& name);

    // Accepts a generation in which each failure domain gets this many replicas
    // of one model.
    void accept(std::uint64_t generation, std::uint32_t replicas = 4);

    void run_for(std::chrono::milliseconds length);
    // Runs until the condition holds; returns the time that took, or the limit.
    std::chrono::milliseconds run_until(
        std::function<bool()> const& condition,
        std::chrono::milliseconds limit);

    // Drops frames from the first process to the second; "" stands for the
    // platform.
    void cut(std::string const& from, std::string const& to);
    void cut_domains(std::string const& one, std::string const& other);
    void cut_platform(std::string const& domain);
    void heal();

    bool all_have_generation(std::uint64_t generation) const;
    std::vector<std::string> watchers(std::string const& domain) const;
    std::string planner(std::string const& domain) const;

    base::time_point now{std::chrono::hours(1)};
    fake_platform platform;
    std::map<std::string, state> entries;
    std::map<std::string, agent_core::state> agents;
    std::set<std::string> paused;
    // Processes whose generation in force went back to a lower one; must stay
    // empty.
    std::vector<std::string> reverts;

private:
    struct frame
    {
        std::string from;
        std::string to;
        wire::Envelope envelope;
    };
    struct waiting_call
    {
        std::string entry;
        core::platform_call call;
        base::time_point deadline;
    };

    void list_vm(
        std::string const& name,
        std::string const& domain,
        control::vm_role role);
    std::string domain_of(std::string const& name) const;
    bool is_cut(std::string const& from, std::string const& to) const;
    void send(std::string const& from, core::send_message const& message);
    void deliver();
    void step_entry(std::string const& entry, event const& input);
    void step_agent(std::string const& agent, agent_core::event const& input);
    void answer_calls();
    bool try_answer(waiting_call const& waiting);
    core::platform_answer carry_out(core::platform_call const& call);
    void note_reverts();

    std::deque<frame> frames;
    std::vector<waiting_call> calls;
    std::set<std::pair<std::string, std::string>> cuts;
    std::map<std::string, std::uint64_t> incarnations;
    std::map<std::string, std::uint64_t> highest;
};

} // namespace foxtailvale::entry_core

#endif
