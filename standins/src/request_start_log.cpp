#include <standins/begun_log.hpp>

#include <chrono>

namespace foxtailvale::standins
{

namespace
{

constexpr std::size_t max_entries = 100'000;

} // namespace

void begun_log::add(std::string request)
{
    auto const now = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
    this->entries.push_back({now.count(), std::move(request)});
    if (this->entries.size() > max_entries)
    {
        this->entries.pop_front();
    }
}

nlohmann::json begun_log::to_json() const
{
    auto list = nlohmann::json::array();
    for (auto const& begun : this->entries)
    {
        list.push_back({begun.when_ms, begun.request});
    }
    return list;
}

} // namespace foxtailvale::standins
