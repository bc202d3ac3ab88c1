#include <standins/request_start_log.hpp>

#include <chrono>

namespace foxtailvale::standins
{

namespace
{

constexpr std::size_t max_entries = 100'000;

} // namespace

void request_start_log::add(std::string request)
{
    auto const now = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
    this->entries.push_back({now.count(), std::move(request)});
    if (this->entries.size() > max_entries)
    {
        this->entries.pop_front();
    }
}

nlohmann::json request_start_log::to_json() const
{
    auto starts = nlohmann::json::array();
    for (auto const& start : this->entries)
    {
        starts.push_back({start.when_ms, start.request});
    }
    return starts;
}

} // namespace foxtailvale::standins
