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

// Stand-in for the platform's load balancer: uses entries in turn and skips
// those that were not ready or did not answer at the last health check.
class balancer
{
public:
    // The base URLs of the entries' readiness pages, in the same order as the
    // entries. If empty, all entries are always used.
    balancer(
        std::vector<std::string> entries,
        std::vector<std::string> const& readiness);
    ~balancer();
    balancer(balancer const&) = delete;
    balancer& operator=(balancer const&) = delete;

    // Returns the entry for the request with this number. If no entry is ready,
    // returns the one whose turn it is.
    std::string const& pick(std::size_t number) const;

private:
    void poll(std::size_t entry, std::string const& readiness_url);

    std::vector<std::string> entries;
    std::unique_ptr<std::atomic<bool>[]> ready;
    std::atomic<bool> stopping{false};
    std::vector<std::thread> pollers;
};

} // namespace foxtailvale::load

#endif
