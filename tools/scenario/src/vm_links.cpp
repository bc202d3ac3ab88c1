#include "vm_links.hpp"

#include <algorithm>

namespace foxtailvale::scenario
{

namespace
{

using nlohmann::json;

// Finds the names of agents' VMs by their own addresses and by the link
// addresses on which they, or their routes to the origin, listen.
class vm_names
{
public:
    explicit vm_names(fleet const& running)
    {
        auto const& layout = running.layout();
        auto const regions = regions_of(layout).size();
        for (auto const& machine : running.vms())
        {
            if (machine.kind == vm_kind::entry)
            {
                continue;
            }
            this->by_address[machine.address] = machine.name;
            for (std::size_t region = 0; region < regions; ++region)
            {
                auto const listen =
                    through_link(layout, region, machine.address);
                this->by_address[listen] = machine.name;
            }
        }
    }

    // Returns an empty name if the address does not belong to an agent.
    std::string find(std::string const& address) const
    {
        auto const found =
            this->by_address.find(address.substr(0, address.find(':')));
        return found == this->by_address.end() ? "" : found->second;
    }

private:
    std::map<std::string, std::string> by_address;
};

} // namespace

std::map<std::string, std::uint64_t> agent_link_bytes(fleet& running)
{
    vm_names const names(running);
    std::map<std::string, std::uint64_t> bytes;
    auto const origin_end = ":" + std::to_string(origin_port);
    for (auto const& counters : running.link_counters())
    {
        for (auto const& pair : counters["pairs"])
        {
            auto const listen = pair["listen"].get<std::string>();
            auto const sum = pair["there_bytes"].get<std::uint64_t>() +
                             pair["back_bytes"].get<std::uint64_t>();
            auto const target = names.find(listen);
            if (listen.ends_with(origin_end))
            {
                bytes[target] += sum;
                continue;
            }
            auto const source = names.find(pair["source"].get<std::string>());
            if (!source.empty() && !target.empty())
            {
                bytes[source] += sum;
                bytes[target] += sum;
            }
        }
    }
    return bytes;
}

double max_copies(
    std::map<std::string, std::uint64_t> const& before,
    std::map<std::string, std::uint64_t> const& after,
    std::uint64_t model_bytes)
{
    std::uint64_t max_bytes = 0;
    for (auto const& [name, bytes] : after)
    {
        auto const earlier = before.find(name);
        auto const previous = earlier == before.end() ? 0 : earlier->second;
        max_bytes = std::max(max_bytes, bytes - previous);
    }
    return static_cast<double>(max_bytes) / static_cast<double>(model_bytes);
}

} // namespace foxtailvale::scenario
