#include "auburndrum/base/metrics.h"

#include <prometheus/text_serializer.h>

namespace auburndrum {

namespace {

constexpr const char *OtherLabel = "other";

prometheus::Labels labelsOf(const MetricOptions &options, const std::vector<std::string> &values)
{
    prometheus::Labels labels;
    for (std::size_t n = 0; n < options.labels.size(); ++n) {
        labels[options.labels[n]] = values[n];
    }
    return labels;
}

} // namespace

template<class T>
MetricFamily<T>::MetricFamily(prometheus::Family<T> &family, MetricOptions options)
    : m_family(family)
    , m_options(std::move(options))
{
}

template<class T>
T &MetricFamily<T>::with(const std::vector<std::string> &values)
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_metrics.find(values);
    if (it != m_metrics.end()) {
        return *it->second;
    }
    const std::vector<std::string> others(m_options.labels.size(), OtherLabel);
    const bool fits = values.size() == m_options.labels.size() && m_metrics.size() < m_options.maxSeries;
    return add(fits ? values : others);
}

template<class T>
T &MetricFamily<T>::add(const std::vector<std::string> &values)
{
    const auto it = m_metrics.find(values);
    if (it != m_metrics.end()) {
        return *it->second;
    }
    T *metric = nullptr;
    if constexpr (std::is_same_v<T, prometheus::Histogram>) {
        metric = &m_family.Add(labelsOf(m_options, values), m_options.buckets);
    } else {
        metric = &m_family.Add(labelsOf(m_options, values));
    }
    m_metrics[values] = metric;
    return *metric;
}

template class MetricFamily<prometheus::Counter>;
template class MetricFamily<prometheus::Gauge>;
template class MetricFamily<prometheus::Histogram>;

Metrics::Metrics()
    : m_registry(prometheus::Registry::InsertBehavior::Throw)
{
}

Counters &Metrics::counters(MetricOptions options)
{
    auto &family = prometheus::BuildCounter().Name(options.name).Help(options.help).Register(m_registry);
    return *m_counters.emplace_back(std::make_unique<Counters>(family, std::move(options)));
}

Gauges &Metrics::gauges(MetricOptions options)
{
    auto &family = prometheus::BuildGauge().Name(options.name).Help(options.help).Register(m_registry);
    return *m_gauges.emplace_back(std::make_unique<Gauges>(family, std::move(options)));
}

Histograms &Metrics::histograms(MetricOptions options)
{
    auto &family = prometheus::BuildHistogram().Name(options.name).Help(options.help).Register(m_registry);
    return *m_histograms.emplace_back(std::make_unique<Histograms>(family, std::move(options)));
}

void Metrics::onScrape(std::function<void()> refresh)
{
    m_refreshes.push_back(std::move(refresh));
}

std::string Metrics::text() const
{
    for (const auto &it : m_refreshes) {
        it();
    }
    return prometheus::TextSerializer().Serialize(m_registry.Collect());
}

} // namespace auburndrum
