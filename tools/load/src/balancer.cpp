#include "balancer.hpp"

#include <http/http_client.hpp>

#include <cassert>
#include <chrono>

namespace foxtailvale::load
{

namespace
{

// The usual interval of health checks is one second.
constexpr std::chrono::milliseconds health_check_interval{1000};
constexpr std::chrono::milliseconds stop_poll_interval{50};
constexpr std::string_view readiness_path = "/readyz";

} // namespace

balancer::balancer(
    std::vector<std::string> all_entries,
    std::vector<std::string> const& readiness)
    : entries(std::move(all_entries)),
      ready(std::make_unique<std::atomic<bool>[]>(this->entries.size()))
{
    assert(readiness.empty() || readiness.size() == this->entries.size());
    for (std::size_t entry = 0; entry < this->entries.size(); ++entry)
    {
        this->ready[entry] = true;
    }
    for (std::size_t entry = 0; entry < readiness.size(); ++entry)
    {
        this->pollers.emplace_back(
            [this, entry, readiness_url = readiness[entry]]
            {
                this->poll(entry, readiness_url);
            });
    }
}

balancer::~balancer()
{
    this->stopping = true;
    for (auto& poller : this->pollers)
    {
        poller.join();
    }
}

void balancer::poll(std::size_t entry, std::string const& readiness_url)
{
    http::request health_check;
    health_check.base = readiness_url;
    health_check.path = readiness_path;
    while (!this->stopping)
    {
        auto const answer = http::call(health_check);
        this->ready[entry] = answer && answer.value().status == 200;
        auto const next =
            std::chrono::steady_clock::now() + health_check_interval;
        while (!this->stopping && std::chrono::steady_clock::now() < next)
        {
            std::this_thread::sleep_for(stop_poll_interval);
        }
    }
}

std::string const& balancer::pick(std::size_t number) const
{
    auto const count = this->entries.size();
    for (std::size_t step = 0; step < count; ++step)
    {
        auto const entry = (number + step) % count;
        if (this->ready[entry])
        {
            return this->entries[entry];
        }
    }
    return this->entries[number % count];
}

} // namespace foxtailvale::load
