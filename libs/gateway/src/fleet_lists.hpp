#ifndef FOXTAILVALE_GATEWAY_FLEET_LISTS_HPP
#define FOXTAILVALE_GATEWAY_FLEET_LISTS_HPP

#include "agent_context.hpp"

#include <direct/store_fallback.hpp>
#include <platform/objects.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace foxtailvale::wire
{
class FleetNotice;
}

namespace foxtailvale::gateway
{

// An agent beside an engine of the same service.
struct fleet_member
{
    std::string ip;
    std::string failure_domain;
    // The version whose complete weights its engine serves; zero for none.
    std::uint64_t version = 0;
};

// Obtains what an agent needs for a transfer: the origin, the model of its
// engine, the other agents and the versions their engines serve. Entries know
// all of it and answer requests for it; the platform's store is read only when
// no entry answers for long. Failure: when a version was announced, 88 agents
// listed 88 engines from the store at once, and for half a second the links
// between regions carried nothing but these lists. The lists are therefore
// requested only while a transfer is under way.
class fleet_lists : public std::enable_shared_from_this<fleet_lists>
{
public:
    explicit fleet_lists(std::shared_ptr<agent_context> shared);

    // Requests the lists unless that was done a moment ago.
    void read();

    // Handles an entry's answer for one failure domain.
    void handle_notice(wire::FleetNotice const& notice);

    // Called when the lists are complete. Set before read().
    std::function<void()> on_read;

    // Asks an entry, a different one for each try; returns false when none is
    // known. Set before read().
    std::function<bool(std::uint64_t token, std::uint32_t tries)> ask_entry;

private:
    void ask_again();
    void read_store();
    void apply_members(std::vector<fleet_member> const& members);
    void read_configuration();
    void read_endpoints();
    void apply_configuration(platform::store_object const& object);
    void apply_endpoints(std::vector<platform::store_object> const& objects);

    std::shared_ptr<agent_context> context;
    bool reading = false;
    // The request to entries that is under way: its token (zero for none), how
    // often it was sent, until when the answer is awaited, and the failure
    // domains answered so far.
    std::uint64_t token = 0;
    std::uint32_t tries = 0;
    base::time_point answer_by;
    std::map<std::string, std::vector<fleet_member>> partial_answer;
    base::time_point last_read;
    direct::store_fallback fallback;
};

} // namespace foxtailvale::gateway

#endif
