#include "balancer.hpp"

#include <http/http_client.hpp>

#include <cassert>
#include <chrono>

namespace foxtailvale::load
{

namespace
{

// Common health checks look every second.
constexpr std::chrono::milliseconds look_interval{1000};
constexpr std::chrono::milliseconds nap{50};
constexpr std::string_view page_path = "/readyz";

} // namespace

balancer::balancer(
    std::vector<std::string> list, std::vector<std::string> const& readiness)
    : entries(std::move(list)),
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
            [this, entry, page = readiness[entry]]
            {
                this->poll(entry, page);
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

void balancer::poll(std::size_t entry, std::string const& page)
{
    http::request look;
    look.base = page;
    look.path = page_path;
    while (!this->stopping)
    {
        auto const answer = http::call(look);
        this->ready[entry] = answer && answer.value().status == 200;
        auto const next = std::chrono::steady_clock::now() + look_interval;
        while (!this->stopping && std::chrono::steady_clock::now() < next)
        {
            std::this_thread::sleep_for(nap);
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
