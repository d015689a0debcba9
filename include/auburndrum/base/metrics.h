#pragma once

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace auburndrum {

/// Name and labels of one family of metrics.
struct MetricOptions
{
    std::string name; ///< with its unit, such as auburndrum_first_token_seconds
    std::string help;
    std::vector<std::string> labels; ///< label names
    std::size_t maxSeries = 100; ///< further label sets share one series whose labels are all "other"
    std::vector<double> buckets; ///< upper bounds, for histograms
};

/// Metrics of one name that differ only in their label values. Thread safe.
template<class T>
class MetricFamily
{
public:
    MetricFamily(prometheus::Family<T> &family, MetricOptions options);

    /// The metric with these label values, one for each of MetricOptions::labels. The reference stays valid.
    T &with(const std::vector<std::string> &values = {});

private:
    T &add(const std::vector<std::string> &values);

    prometheus::Family<T> &m_family;
    const MetricOptions m_options;
    std::mutex m_mutex;
    std::map<std::vector<std::string>, T *> m_metrics;
};

using Counters = MetricFamily<prometheus::Counter>;
using Gauges = MetricFamily<prometheus::Gauge>;
using Histograms = MetricFamily<prometheus::Histogram>;

/// The metrics of this process, written in the text format of Prometheus.
class Metrics
{
public:
    Metrics();

    /// Each name may be registered only once. The references live as long as this object.
    Counters &counters(MetricOptions options);
    Gauges &gauges(MetricOptions options);
    Histograms &histograms(MetricOptions options);

    /// Calls `refresh` before each text(), to update gauges that are derived from other state.
    void onScrape(std::function<void()> refresh);

    /// All metrics, for GET /metrics.
    std::string text() const;

private:
    prometheus::Registry m_registry;
    std::vector<std::unique_ptr<Counters>> m_counters;
    std::vector<std::unique_ptr<Gauges>> m_gauges;
    std::vector<std::unique_ptr<Histograms>> m_histograms;
    std::vector<std::function<void()>> m_refreshes;
};

} // namespace auburndrum
