#include <kernel/registry.hpp>

#include <algorithm>
#include <cassert>
#include <optional>
#include <ranges>

namespace foxtailvale::kernel
{

namespace
{

std::optional<std::size_t>
index_of(std::vector<service> const& services, std::string_view name)
{
    auto const found = std::ranges::find(services, name, &service::name);
    if (found == services.end())
    {
        return std::nullopt;
    }
    return static_cast<std::size_t>(found - services.begin());
}

enum class visit_state
{
    unvisited,
    in_progress,
    done,
};

// Finds the start order by a depth-first search: each service comes after its
// dependencies.
class start_planner
{
public:
    explicit start_planner(std::vector<service> const& all)
        : services(all), states(all.size(), visit_state::unvisited)
    {
    }

    base::result<std::vector<std::size_t>> plan()
    {
        for (std::size_t index = 0; index < this->services.size(); ++index)
        {
            BOOST_OUTCOME_TRYV(this->visit(index));
        }
        return this->order;
    }

private:
    base::result<void> visit(std::size_t index)
    {
        if (this->states[index] == visit_state::done)
        {
            return boost::outcome_v2::success();
        }
        auto const& entry = this->services[index];
        if (this->states[index] == visit_state::in_progress)
        {
            return base::fail(
                base::error_kind::internal,
                "cyclic dependency between services, at " + entry.name);
        }
        this->states[index] = visit_state::in_progress;
        for (auto const& dependency : entry.dependencies)
        {
            auto const dependency_index = index_of(this->services, dependency);
            if (!dependency_index)
            {
                return base::fail(
                    base::error_kind::internal,
                    entry.name +
                        " depends on a missing service: " + dependency);
            }
            BOOST_OUTCOME_TRYV(this->visit(*dependency_index));
        }
        this->states[index] = visit_state::done;
        this->order.push_back(index);
        return boost::outcome_v2::success();
    }

    std::vector<service> const& services;
    std::vector<visit_state> states;
    std::vector<std::size_t> order;
};

} // namespace

registry::~registry()
{
    this->stop_all();
}

void registry::add_entry(service entry)
{
    assert(!index_of(this->services, entry.name));
    this->services.push_back(std::move(entry));
}

std::shared_ptr<void>
registry::find(std::string_view name, std::type_index type) const
{
    auto const index = index_of(this->services, name);
    assert(index && this->services[*index].type == type);
    static_cast<void>(type);
    return this->services[*index].instance;
}

base::result<void> registry::start_all()
{
    BOOST_OUTCOME_TRY(order, start_planner(this->services).plan());
    for (auto const index : order)
    {
        this->start_order.push_back(index);
        if (this->services[index].start)
        {
            this->services[index].start();
        }
    }
    return boost::outcome_v2::success();
}

void registry::stop_all()
{
    while (!this->start_order.empty())
    {
        auto const index = this->start_order.back();
        this->start_order.pop_back();
        if (this->services[index].stop)
        {
            this->services[index].stop();
        }
    }
}

std::vector<std::string> registry::started() const
{
    std::vector<std::string> names;
    for (auto const index : this->start_order)
    {
        names.push_back(this->services[index].name);
    }
    return names;
}

} // namespace foxtailvale::kernel
