#ifndef FOXTAILVALE_KERNEL_METRICS_HPP
#define FOXTAILVALE_KERNEL_METRICS_HPP

#include <base/error.hpp>

#include <prometheus/registry.h>

#include <chrono>
#include <map>
#include <memory>
#include <string>

namespace foxtailvale::kernel
{

// The process's Prometheus metrics. Safe to use from several threads.
class metrics
{
public:
    metrics();

    // Adds to a counter, named in full ("foxtailvale_..._total").
    void count(
        std::string const& name,
        std::map<std::string, std::string> labels,
        double amount = 1);

    // Counts a refusal or failure by its stable reason; every kind has its
    // time series from the start, so that zero can be told from absent.
    void count_error(base::error_kind kind);

    // Counts a retry by the reason of the attempt that failed.
    void count_retry(base::error_kind kind);

    // Sets a gauge.
    void gauge(
        std::string const& name,
        std::map<std::string, std::string> labels,
        double value);

    // Adds a time to a histogram of milliseconds, with buckets from 5 ms to
    // four seconds.
    void observe(std::string const& name, std::chrono::milliseconds value);

    // Text in the Prometheus exposition format.
    std::string expose() const;

private:
    std::shared_ptr<prometheus::Registry> families;
};

} // namespace foxtailvale::kernel

#endif
