#include "auburndrum/base/daemonmetrics.h"

namespace auburndrum {

namespace {

const std::vector<double> FirstTokenSeconds{0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.45, 0.6, 0.87, 1.25, 2, 3, 5, 10, 30};
const std::vector<double> Shares{0, 0.05, 0.1, 0.2, 0.3, 0.4, 0.5, 0.6, 0.7, 0.8, 0.9, 0.95, 1};

} // namespace

DaemonMetrics::DaemonMetrics(Metrics &metrics)
    : requests(metrics.counters({.name = "auburndrum_requests_total", .help = "Answered requests.", .labels = {"service", "status"}, .maxSeries = 400}))
    , refusals(metrics.counters({.name = "auburndrum_refusals_total", .help = "Requests refused, not run.", .labels = {"service", "reason"}, .maxSeries = 400}))
    , retries(metrics.counters({.name = "auburndrum_retries_total", .help = "Attempts after the first.", .labels = {"service"}}))
    , mismatchedAnswers(metrics.counters(
          {.name = "auburndrum_mismatched_answers_total", .help = "Answers dropped because they belong to another attempt.", .labels = {"service"}}))
    , silentStreams(metrics.counters({.name = "auburndrum_silent_streams_total", .help = "Streams given up for silence.", .labels = {"service"}}))
    , firstToken(metrics.histograms(
          {.name = "auburndrum_first_token_seconds", .help = "Time from request to first output byte.", .labels = {"service"}, .buckets = FirstTokenSeconds}))
    , recomputedShare(metrics.histograms(
          {.name = "auburndrum_recomputed_share", .help = "Share of the prompt's tokens computed again.", .labels = {"service"}, .buckets = Shares}))
    , promptTokens(
          metrics.counters({.name = "auburndrum_prompt_tokens_total", .help = "Prompt tokens by source.", .labels = {"service", "source"}, .maxSeries = 200}))
    , linkBytes(metrics.counters({.name = "auburndrum_link_bytes_total", .help = "Bytes over the inter-region link.", .labels = {"direction"}}))
    , openStreams(metrics.gauges({.name = "auburndrum_open_streams", .help = "Answers being streamed now."}))
    , queuedRequests(metrics.gauges({.name = "auburndrum_queued_requests", .help = "Requests waiting for a backend server.", .labels = {"service"}}))
    , claimsInDoubt(metrics.gauges({.name = "auburndrum_claims_in_doubt", .help = "Claims whose outcome is unknown.", .labels = {"service"}}))
    , claims(metrics.counters({.name = "auburndrum_claims_total", .help = "Claims by result.", .labels = {"service", "result"}, .maxSeries = 400}))
    , configOffset(metrics.gauges({.name = "auburndrum_config_offset", .help = "Log offset up to which documents are in force."}))
    , configAge(metrics.gauges({.name = "auburndrum_config_age_seconds", .help = "Time since the log was last read to its end."}))
    , platformUp(metrics.gauges({.name = "auburndrum_platform_up", .help = "1 while the platform's log answers."}))
    , peersLive(metrics.gauges({.name = "auburndrum_peers_live", .help = "Other entry VMs that answer heartbeats."}))
    , backendsLive(metrics.gauges({.name = "auburndrum_backends_live", .help = "Backend servers that take new work.", .labels = {"service"}}))
    , ready(metrics.gauges({.name = "auburndrum_ready", .help = "1 while /readyz succeeds."}))
{
}

} // namespace auburndrum
