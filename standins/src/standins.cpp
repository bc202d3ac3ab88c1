#include <standins/object_api.hpp>
#include <standins/plain_service.hpp>
#include <standins/standins.hpp>

#include <csignal>
#include <cstdlib>
#include <iostream>

namespace foxtailvale::standins
{

namespace
{

// Owns all running stand-ins; destroying it stops them.
struct running_standins
{
    std::unique_ptr<object_api> platform;
    std::unique_ptr<origin> weights;
    std::vector<std::unique_ptr<engine>> engines;
    std::vector<std::unique_ptr<plain_service>> services;
    std::vector<std::unique_ptr<link>> links;
};

running_standins start(standin_settings const& settings)
{
    running_standins running;
    if (settings.platform)
    {
        running.platform = std::make_unique<object_api>(
            settings.platform->listen, settings.platform->vms);
    }
    if (settings.origin)
    {
        std::vector<synthetic_weights> versions;
        for (auto const& version : settings.origin->versions)
        {
            versions.push_back(
                make_weights(version.seed, version.bytes, version.chunk_bytes));
        }
        running.weights = std::make_unique<origin>(
            settings.origin->listen, settings.origin->behaviour,
            std::move(versions));
    }
    for (auto const& entry : settings.engines)
    {
        running.engines.push_back(
            std::make_unique<engine>(entry.listen, entry.behaviour));
    }
    for (auto const& entry : settings.services)
    {
        running.services.push_back(std::make_unique<plain_service>(
            entry.listen, entry.name, entry.work));
    }
    for (auto const& entry : settings.links)
    {
        running.links.push_back(
            std::make_unique<link>(entry.control, entry.link));
    }
    return running;
}

} // namespace

int run_standins(standin_settings const& settings)
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    auto const running = start(settings);
    std::cout << "ready" << std::endl;
    int received = 0;
    sigwait(&signals, &received);
    // Exit without destructors: connections that wait for a long answer would
    // delay an orderly shutdown, and a stand-in has no state to save.
    std::_Exit(EXIT_SUCCESS);
}

} // namespace foxtailvale::standins
