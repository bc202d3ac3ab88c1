#ifndef FOXTAILVALE_KERNEL_REGISTRY_HPP
#define FOXTAILVALE_KERNEL_REGISTRY_HPP

#include <base/error.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <typeindex>
#include <vector>

namespace foxtailvale::kernel
{

// One service of a process: its name, the names of the services it depends on,
// and its start and stop functions. Lookups return `instance`.
struct service
{
    std::string name;
    std::vector<std::string> dependencies;
    std::function<void()> start;
    std::function<void()> stop;
    std::shared_ptr<void> instance;
    std::type_index type = typeid(void);
};

// Holds the services of a process. Services look each other up by name; each
// one starts after its dependencies and stops before them. Not thread-safe.
class registry
{
public:
    registry() = default;
    ~registry();
    registry(registry const&) = delete;
    registry& operator=(registry const&) = delete;

    // Adds a service object. Names must be unique.
    template <class Service>
    void
    add(std::string name,
        std::shared_ptr<Service> instance,
        std::vector<std::string> dependencies,
        std::function<void()> start = {},
        std::function<void()> stop = {})
    {
        this->add_entry(service{
            std::move(name), std::move(dependencies), std::move(start),
            std::move(stop), std::move(instance), typeid(Service)});
    }

    // Returns the service with this name. Asserts that it exists and has this
    // type, since anything else is a programming error.
    template <class Service>
    std::shared_ptr<Service> get(std::string_view name) const
    {
        return std::static_pointer_cast<Service>(
            this->find(name, typeid(Service)));
    }

    // Starts all services, each after its dependencies. If a dependency is
    // missing or there is a cycle, returns an error that names it, without
    // starting anything.
    base::result<void> start_all();

    // Stops the started services in reverse order of their start. May be called
    // repeatedly.
    void stop_all();

    // Names of the started services, in the order of their start.
    std::vector<std::string> started() const;

private:
    void add_entry(service entry);
    std::shared_ptr<void>
    find(std::string_view name, std::type_index type) const;

    std::vector<service> services;
    std::vector<std::size_t> start_order;
};

} // namespace foxtailvale::kernel

#endif
