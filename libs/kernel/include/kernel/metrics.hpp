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

// The process's Prometheus metrics. Thread-safe.
class metrics
{
public:
    metrics();

    // Adds the amount to a counter. The name is the full metric name
    // ("foxtailvale_..._total").
    void count(
        std::string const& name,
        std::map<std::string, std::string> labels,
        double amount = 1);

    // Counts a refusal or failure by its stable reason. The time series of all
    // kinds exist from the start, so that zero can be told from absent.
    void count_error(base::error_kind kind);

    // Counts a retry by the reason of the attempt that failed.
    void count_retry(base::error_kind kind);

    // Sets a gauge.
    void gauge(
        std::string const& name,
        std::map<std::string, std::string> labels,
        double value);

    // Adds a duration to a histogram in milliseconds, with buckets from 5 ms to
    // 4000 ms (four seconds).
    void observe(std::string const& name, std::chrono::milliseconds value);

    // Returns all metrics in the Prometheus text exposition format.
    std::string expose() const;

private:
    std::shared_ptr<prometheus::Registry> families;
};

} // namespace foxtailvale::kernel

#endif
