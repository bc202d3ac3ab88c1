#include "demo_plots.hpp"

#include "child_process.hpp"

#include <fstream>
#include <sstream>
#include <system_error>

namespace foxtailvale::scenario
{

namespace
{

using nlohmann::json;

constexpr char const* data_name = "by_second.dat";

void write_data(std::string const& folder, json const& rows)
{
    std::ofstream data(folder + "/" + data_name);
    data << "# second right refused failed lost p50_ms p95_ms\n";
    for (auto const& row : rows)
    {
        auto const count = [&row](char const* outcome)
        {
            return row["outcomes"].value(outcome, std::uint64_t{0});
        };
        data << row["second"] << ' ' << count("right") << ' '
             << count("refused") << ' ' << count("failed") << ' '
             << count("lost") << ' ' << row["first_token"]["p50_ms"] << ' '
             << row["first_token"]["p95_ms"] << '\n';
    }
}

// Returns gnuplot commands that draw a labelled vertical line at each event.
std::string timeline_markers(std::vector<timeline_event> const& timeline)
{
    std::ostringstream marks;
    for (auto const& entry : timeline)
    {
        marks << "set arrow from " << entry.second << ", graph 0 to "
              << entry.second << ", graph 1 nohead dashtype 2\n"
              << "set label \"" << entry.what << "\" at " << entry.second
              << ", graph 0.98 rotate right font ',8'\n";
    }
    return marks.str();
}

std::string plot_script(
    std::string const& folder,
    std::string const& picture,
    std::string const& marks,
    std::string const& axis,
    std::string const& curves)
{
    return "set terminal pngcairo size 900,360\nset output '" + folder + "/" +
           picture + "'\nset xlabel 'seconds of live load'\nset ylabel '" +
           axis + "'\nset yrange [0:*]\nset key outside\n" + marks +
           "data = '" + folder + "/" + data_name + "'\nplot " + curves + "\n";
}

bool run_gnuplot(
    std::string const& folder,
    std::string const& name,
    std::string const& script)
{
    auto const path = folder + "/" + name + ".gnuplot";
    std::ofstream(path) << script;
    try
    {
        child_process gnuplot({"gnuplot", path}, folder + "/gnuplot.log");
        return gnuplot.wait() == 0;
    }
    catch (std::system_error const&)
    {
        return false;
    }
}

} // namespace

std::vector<std::string>
draw_plots(std::string const& folder, findings const& found)
{
    write_data(folder, found.load["by_second"]);
    auto const marks = timeline_markers(found.timeline);
    std::vector<std::string> pictures;
    auto const draw = [&](std::string const& name, std::string const& axis,
                          std::string const& curves)
    {
        auto const picture = name + ".png";
        if (run_gnuplot(
                folder, name,
                plot_script(folder, picture, marks, axis, curves)))
        {
            pictures.push_back(picture);
        }
    };
    draw(
        "answers", "answers a second",
        "data using 1:2 with lines lw 2 title 'right', "
        "data using 1:3 with lines lw 2 title 'refused, not run', "
        "data using 1:4 with lines lw 2 title 'failed', "
        "data using 1:5 with lines lw 2 title 'lost'");
    draw(
        "first_token", "milliseconds to the first token",
        "data using 1:6 with lines lw 2 title '50 in 100', "
        "data using 1:7 with lines lw 2 title '95 in 100'");
    return pictures;
}

} // namespace foxtailvale::scenario
