#include <weights/switch_time.hpp>

namespace foxtailvale::weights
{

namespace
{

constexpr std::size_t waves = 3;

// Share of the bound after which the first and the last wave begin. Chunks
// take about a third of the bound to arrive; the longest requests run for a
// quarter of it.
constexpr double first_wave = 0.3;
constexpr double last_wave = 0.7;

} // namespace

base::time_point switch_time(
    switch_place const& place,
    base::time_point named,
    std::chrono::milliseconds bound)
{
    if (!place.serves)
    {
        return named;
    }
    auto const wave = static_cast<double>(place.rank % waves);
    auto const share =
        first_wave + (last_wave - first_wave) * wave / (waves - 1);
    return named + std::chrono::duration_cast<base::duration>(bound * share);
}

} // namespace foxtailvale::weights
