#include "auburndrum/base/daemonmetrics.h"

#include <doctest/doctest.h>

using namespace auburndrum;

namespace {

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

TEST_CASE("metrics are written in the text format")
{
    Metrics metrics;
    metrics.counters({.name = "c_total", .help = "Count.", .labels = {"service"}}).with({"menu"}).Increment(2);
    metrics.histograms({.name = "h_seconds", .help = "Times.", .buckets = {1, 2}}).with().Observe(1.5);
    const std::string text = metrics.text();
    CHECK(contains(text, "# TYPE c_total counter"));
    CHECK(contains(text, "c_total{service=\"menu\"} 2"));
    CHECK(contains(text, "h_seconds_bucket{le=\"1\"} 0"));
    CHECK(contains(text, "h_seconds_bucket{le=\"2\"} 1"));
}

TEST_CASE("label sets above the limit share one series")
{
    Metrics metrics;
    Counters &counters = metrics.counters({.name = "c_total", .help = "Count.", .labels = {"service"}, .maxSeries = 2});
    for (int n = 0; n < 100; ++n) {
        counters.with({"s" + std::to_string(n)}).Increment();
    }
    counters.with({"s0"}).Increment();
    const std::string text = metrics.text();
    CHECK(contains(text, "c_total{service=\"s0\"} 2"));
    CHECK(contains(text, "c_total{service=\"s1\"} 1"));
    CHECK_FALSE(contains(text, "c_total{service=\"s2\"}"));
    CHECK(contains(text, "c_total{service=\"other\"} 98"));
}

TEST_CASE("a sample with a wrong number of label values is counted under other, not lost")
{
    Metrics metrics;
    metrics.counters({.name = "c_total", .help = "Count.", .labels = {"service", "reason"}}).with({"menu"}).Increment();
    CHECK(contains(metrics.text(), "c_total{reason=\"other\",service=\"other\"} 1"));
}

TEST_CASE("gauges are refreshed before each scrape")
{
    Metrics metrics;
    Gauges &gauges = metrics.gauges({.name = "g", .help = "Gauge."});
    int scrapes = 0;
    metrics.onScrape([&] {
        gauges.with().Set(++scrapes);
    });
    CHECK(contains(metrics.text(), "g 1"));
    CHECK(contains(metrics.text(), "g 2"));
}

TEST_CASE("the daemon's metrics register once and are all scraped")
{
    Metrics metrics;
    DaemonMetrics daemon(metrics);
    daemon.firstToken.with({"menu-assistant"}).Observe(0.5);
    daemon.ready.with().Set(1);
    const std::string text = metrics.text();
    CHECK(contains(text, "auburndrum_first_token_seconds_bucket{service=\"menu-assistant\",le=\"0.6\"} 1"));
    CHECK(contains(text, "auburndrum_ready 1"));
}
