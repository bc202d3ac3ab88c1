#include <kernel/metrics.hpp>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/text_serializer.h>

namespace foxtailvale::kernel
{

namespace
{

constexpr char const* errors_name = "foxtailvale_errors_total";
constexpr char const* retries_name = "foxtailvale_retries_total";

prometheus::Labels kind_labels(base::error_kind kind)
{
    return {{"reason", std::string(base::row_of(kind).name)}};
}

} // namespace

metrics::metrics() : families(std::make_shared<prometheus::Registry>())
{
    for (auto const& row : base::error_table())
    {
        this->count(errors_name, kind_labels(row.kind), 0);
        this->count(retries_name, kind_labels(row.kind), 0);
    }
}

void metrics::count(
    std::string const& name,
    std::map<std::string, std::string> labels,
    double amount)
{
    prometheus::BuildCounter()
        .Name(name)
        .Register(*this->families)
        .Add(labels)
        .Increment(amount);
}

void metrics::count_error(base::error_kind kind)
{
    this->count(errors_name, kind_labels(kind));
}

void metrics::count_retry(base::error_kind kind)
{
    this->count(retries_name, kind_labels(kind));
}

void metrics::gauge(
    std::string const& name,
    std::map<std::string, std::string> labels,
    double value)
{
    prometheus::BuildGauge()
        .Name(name)
        .Register(*this->families)
        .Add(labels)
        .Set(value);
}

void metrics::observe(std::string const& name, std::chrono::milliseconds value)
{
    static prometheus::Histogram::BucketBoundaries const bounds{
        5, 10, 20, 50, 100, 150, 200, 300, 400, 600, 1000, 2000, 4000};
    prometheus::BuildHistogram()
        .Name(name)
        .Register(*this->families)
        .Add({}, bounds)
        .Observe(static_cast<double>(value.count()));
}

std::string metrics::expose() const
{
    return prometheus::TextSerializer().Serialize(this->families->Collect());
}

} // namespace foxtailvale::kernel
