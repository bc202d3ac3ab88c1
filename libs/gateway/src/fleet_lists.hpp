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
    // The version that its engine serves whole; zero for none.
    std::uint64_t version = 0;
};

// What an agent needs for a transfer: the origin, the model of its engine, the
// other agents and what their engines serve. Entries know all of it and tell;
// the platform's store is read only when no entry answers for long. Failure:
// when a version was named, 88 agents listed 88 engines from the store at once,
// and the links between regions carried these lists for half a second before
// anything else. The lists are asked for while a transfer is under way only.
class fleet_lists : public std::enable_shared_from_this<fleet_lists>
{
public:
    explicit fleet_lists(std::shared_ptr<agent_context> shared);

    // Reads the lists if that was not done a moment ago.
    void read();

    // Takes what an entry said of one failure domain.
    void handle_notice(wire::FleetNotice const& notice);

    // Called when the lists were read. Set before read().
    std::function<void()> on_read;

    // Asks an entry, another one for another try; false when none is known.
    // Set before read().
    std::function<bool(std::uint64_t token, std::uint32_t tries)> ask_entry;

private:
    void ask_again();
    void read_store();
    void take_members(std::vector<fleet_member> const& members);
    void read_configuration();
    void read_endpoints();
    void take_configuration(platform::store_object const& object);
    void take_endpoints(std::vector<platform::store_object> const& objects);

    std::shared_ptr<agent_context> context;
    bool reading = false;
    // The question to entries that is under way: its number, zero for none,
    // how often it was asked, until when the answer is awaited, and what came.
    std::uint64_t token = 0;
    std::uint32_t tries = 0;
    base::time_point answer_by;
    std::map<std::string, std::vector<fleet_member>> answered;
    base::time_point last_read;
    direct::store_fallback fallback;
};

} // namespace foxtailvale::gateway

#endif
