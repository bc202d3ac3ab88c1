#include "samples.hpp"

#include <malloc.h>
#include <time.h>

#include <cmath>
#include <limits>
#include <sstream>

namespace foxtailvale::capacity
{

slope slope_of(samples const& all, std::string const& name)
{
    double count = 0;
    double sum_x = 0;
    double sum_y = 0;
    double sum_xx = 0;
    double sum_xy = 0;
    for (auto const& next : all)
    {
        if (next.name != name)
        {
            continue;
        }
        auto const x = static_cast<double>(next.size);
        ++count;
        sum_x += x;
        sum_y += next.value;
        sum_xx += x * x;
        sum_xy += x * next.value;
    }
    slope line;
    line.points = static_cast<std::size_t>(count);
    auto const spread = count * sum_xx - sum_x * sum_x;
    if (spread > 0)
    {
        line.gradient = (count * sum_xy - sum_x * sum_y) / spread;
    }
    if (count > 0)
    {
        line.intercept = (sum_y - line.gradient * sum_x) / count;
    }
    return line;
}

double value_at(slope const& line, double size)
{
    return line.intercept + line.gradient * size;
}

double
sample_value(samples const& all, std::string const& name, std::uint64_t size)
{
    for (auto const& next : all)
    {
        if (next.name == name && next.size == size)
        {
            return next.value;
        }
    }
    return std::numeric_limits<double>::quiet_NaN();
}

std::string to_csv(samples const& all)
{
    std::ostringstream text;
    text << "name,at,value,unit\n";
    for (auto const& next : all)
    {
        text << next.name << ',' << next.size << ',' << next.value << ','
             << next.unit << '\n';
    }
    return text.str();
}

samples from_csv(std::string const& text)
{
    samples all;
    std::istringstream lines(text);
    std::string line;
    std::getline(lines, line);
    while (std::getline(lines, line))
    {
        std::istringstream fields(line);
        std::string at;
        std::string value;
        sample next;
        if (std::getline(fields, next.name, ',') &&
            std::getline(fields, at, ',') && std::getline(fields, value, ',') &&
            std::getline(fields, next.unit))
        {
            next.size = std::strtoull(at.c_str(), nullptr, 10);
            next.value = std::strtod(value.c_str(), nullptr);
            all.push_back(std::move(next));
        }
    }
    return all;
}

std::chrono::nanoseconds thread_processor_time()
{
    timespec used{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
    return std::chrono::seconds(used.tv_sec) +
           std::chrono::nanoseconds(used.tv_nsec);
}

std::uint64_t heap_bytes()
{
    auto const info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

double mean_us(cost const& of)
{
    if (of.count == 0)
    {
        return 0;
    }
    return std::chrono::duration<double, std::micro>(of.time).count() /
           static_cast<double>(of.count);
}

} // namespace foxtailvale::capacity
