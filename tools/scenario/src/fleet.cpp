#include "fleet.hpp"

#include <http/http_client.hpp>

#include <algorithm>
#include <cassert>
#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <thread>

namespace foxtailvale::scenario
{

namespace
{

using nlohmann::json;
using std::chrono::milliseconds;

constexpr char const* standins_name = "standins";
constexpr milliseconds start_poll{50};
constexpr int max_page_attempts = 5;
constexpr int max_start_polls = 400;

} // namespace

fleet::fleet(
    fleet_paths where,
    deployment layout,
    std::vector<origin_version> const& versions)
    : paths(std::move(where)), fleet_layout(std::move(layout)),
      machines(make_vms(this->fleet_layout))
{
    std::filesystem::remove_all(this->paths.work);
    std::filesystem::create_directories(this->paths.work);
    this->start(
        "foxtailvale-standins", standins_name,
        standin_settings(this->fleet_layout, this->machines, versions));
    for (int poll = 0; poll < max_start_polls; ++poll)
    {
        if (!this->page(
                     store_address(this->fleet_layout), origin_port,
                     "/counters")
                 .is_null())
        {
            break;
        }
        std::this_thread::sleep_for(start_poll);
    }
    for (auto const& machine : this->machines)
    {
        this->start(machine);
    }
}

deployment const& fleet::layout() const
{
    return this->fleet_layout;
}

std::vector<vm> const& fleet::vms() const
{
    return this->machines;
}

std::string fleet::write(std::string const& name, json const& value)
{
    auto path = this->paths.work + "/" + name + ".json";
    std::ofstream(path) << value.dump(2) << "\n";
    return path;
}

void fleet::start(
    std::string const& program, std::string const& name, json const& settings)
{
    auto const path = this->write(name, settings);
    this->processes.emplace(
        name, child_process(
                  {this->paths.programs + "/" + program, path},
                  this->log_path(name)));
}

int fleet::apply(json const& note)
{
    auto const path =
        this->write("note-" + std::to_string(++this->notes), note);
    return this->apply_file(path);
}

int fleet::apply_file(std::string const& path)
{
    auto const platform = "http://" + store_address(this->fleet_layout) + ":" +
                          std::to_string(platform_port);
    child_process ctl(
        {this->paths.programs + "/foxtailvalectl", "--platform", platform,
         "apply", path},
        this->paths.work + "/foxtailvalectl.log");
    return ctl.wait();
}

std::string fleet::text_page(
    std::string const& address, std::uint16_t port, std::string const& path)
{
    http::request http_request;
    http_request.base = "http://" + address + ":" + std::to_string(port);
    http_request.path = path;
    auto const answer = http::call(http_request);
    if (!answer || answer.value().status != 200)
    {
        return {};
    }
    return answer.value().body;
}

json fleet::page(
    std::string const& address, std::uint16_t port, std::string const& path)
{
    auto value =
        json::parse(this->text_page(address, port, path), nullptr, false);
    return value.is_discarded() ? json(nullptr) : value;
}

std::vector<json> fleet::link_counters()
{
    auto const regions = regions_of(this->fleet_layout).size();
    auto const links = regions * (regions - 1) / 2 + regions;
    std::vector<json> counters;
    for (std::size_t link = 0; link < links; ++link)
    {
        auto const port = static_cast<std::uint16_t>(link_control_port + link);
        counters.push_back(this->required_page(
            link_control_address(this->fleet_layout), port, "/counters"));
    }
    return counters;
}

bool fleet::answers(
    std::string const& address, std::uint16_t port, std::string const& path)
{
    http::request http_request;
    http_request.base = "http://" + address + ":" + std::to_string(port);
    http_request.path = path;
    auto const answer = http::call(http_request);
    return answer && answer.value().status == 200;
}

json fleet::required_page(
    std::string const& address, std::uint16_t port, std::string const& path)
{
    for (int tries = 0; tries < max_page_attempts; ++tries)
    {
        auto found = this->page(address, port, path);
        if (!found.is_null())
        {
            return found;
        }
    }
    throw std::runtime_error(
        "no answer from " + address + ":" + std::to_string(port) + path);
}

std::string fleet::log_path(std::string const& name) const
{
    return this->paths.work + "/" + name + ".log";
}

void fleet::control(
    std::string const& address, std::uint16_t port, json const& value)
{
    http::request http_request;
    http_request.base = "http://" + address + ":" + std::to_string(port);
    http_request.method = "POST";
    http_request.path = "/control";
    http_request.body = value.dump();
    static_cast<void>(http::call(http_request));
}

bool fleet::signal(std::string const& name, int number)
{
    auto const found = this->processes.find(name);
    if (found == this->processes.end())
    {
        return false;
    }
    found->second.send(number);
    return true;
}

int fleet::end(std::string const& name, int number)
{
    auto const found = this->processes.find(name);
    if (found == this->processes.end())
    {
        return -1;
    }
    found->second.send(number);
    auto const code = found->second.wait();
    this->processes.erase(found);
    return code;
}

void fleet::start_ended_process(std::string const& name)
{
    for (auto const& machine : this->machines)
    {
        if (machine.name == name && !this->processes.contains(name))
        {
            this->start(machine);
        }
    }
}

pid_t fleet::process_id(std::string const& name) const
{
    return this->processes.at(name).process_id();
}

bool fleet::restart(std::string const& name)
{
    auto const machine = std::ranges::find(this->machines, name, &vm::name);
    assert(machine != this->machines.end());
    auto process = this->processes.extract(name);
    process.mapped().send(SIGTERM);
    auto const orderly = process.mapped().wait() == 0;
    this->start(*machine);
    return orderly;
}

void fleet::start(vm const& machine)
{
    auto const program = machine.kind == vm_kind::entry ? "foxtailvale-entry"
                                                        : "foxtailvale-agent";
    this->start(
        program, machine.name, node_settings(this->fleet_layout, machine));
}

bool fleet::stop()
{
    for (auto const& [name, process] : this->processes)
    {
        if (name != standins_name)
        {
            process.send(SIGTERM);
        }
    }
    auto orderly = true;
    for (auto& [name, process] : this->processes)
    {
        if (name != standins_name)
        {
            orderly = process.wait() == 0 && orderly;
        }
    }
    auto const standins = this->processes.find(standins_name);
    standins->second.send(SIGTERM);
    standins->second.wait();
    this->processes.clear();
    return orderly;
}

} // namespace foxtailvale::scenario
