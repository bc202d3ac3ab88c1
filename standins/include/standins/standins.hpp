#ifndef FOXTAILVALE_STANDINS_STANDINS_HPP
#define FOXTAILVALE_STANDINS_STANDINS_HPP

#include <release/document.hpp>

#include <http/http_server.hpp>
#include <standins/engine.hpp>
#include <standins/link.hpp>
#include <standins/origin.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace foxtailvale::standins
{

struct platform_settings
{
    http::server_options listen;
    nlohmann::json vms;
};

struct version_settings
{
    std::uint64_t seed = 0;
    std::uint64_t bytes = 0;
    std::uint32_t chunk_bytes = 0;
};

struct origin_settings
{
    http::server_options listen;
    origin_options behaviour;
    std::vector<version_settings> versions;
};

struct engine_settings
{
    http::server_options listen;
    engine_options behaviour;
};

struct service_settings
{
    http::server_options listen;
    std::string name;
    std::chrono::milliseconds work{0};
};

struct link_settings
{
    http::server_options control;
    link_options link;
};

// The stand-ins that one process hosts.
struct standin_settings
{
    std::optional<platform_settings> platform;
    std::optional<origin_settings> origin;
    std::vector<engine_settings> engines;
    std::vector<service_settings> services;
    std::vector<link_settings> links;
};

// Parses the settings. Errors are appended to `source.faults`.
standin_settings read_standin_settings(release::document& source);

// Runs the stand-ins until SIGTERM or SIGINT, then ends the process without
// waiting for open connections.
int run_standins(standin_settings const& settings);

} // namespace foxtailvale::standins

#endif
