#ifndef FOXTAILVALE_LOAD_BALANCER_HPP
#define FOXTAILVALE_LOAD_BALANCER_HPP

#include <atomic>
#include <cstddef>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace foxtailvale::load
{

// Stands in for the platform's balancer: takes entries in turn and leaves out
// those whose readiness page is off or silent at its last look.
class balancer
{
public:
    // Readiness pages by entry, in the same order; none means that all entries
    // are always taken.
    balancer(
        std::vector<std::string> entries,
        std::vector<std::string> const& readiness);
    ~balancer();
    balancer(balancer const&) = delete;
    balancer& operator=(balancer const&) = delete;

    // The entry for the request with this number. All entries off: the one
    // whose turn it is.
    std::string const& pick(std::size_t number) const;

private:
    void poll(std::size_t entry, std::string const& page);

    std::vector<std::string> entries;
    std::unique_ptr<std::atomic<bool>[]> ready;
    std::atomic<bool> stopping{false};
    std::vector<std::thread> pollers;
};

} // namespace foxtailvale::load

#endif
