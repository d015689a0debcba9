#include "auburndrum/gateway/gatewaymetrics.h"

namespace auburndrum::gateway {

namespace {

// Seconds; from a response within the zone to the longest deadline in use.
const std::vector<double> LatencyBuckets = {0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.75, 1, 1.5, 2, 3, 5, 10, 15};

} // namespace

GatewayMetrics::GatewayMetrics(Metrics &metrics)
    : requests(metrics.counters({.name = "auburndrum_gateway_requests_total", .help = "Requests by final outcome.", .labels = {"route", "outcome"}}))
    , attempts(
          metrics.counters({.name = "auburndrum_gateway_attempts_total", .help = "Attempts at backend servers by outcome.", .labels = {"service", "outcome"}}))
    , firstByteSeconds(metrics.histograms({.name = "auburndrum_gateway_first_byte_seconds",
                                           .help = "From a request's first byte to its answer's first.",
                                           .labels = {"route"},
                                           .buckets = LatencyBuckets}))
    , totalSeconds(metrics.histograms({.name = "auburndrum_gateway_whole_seconds",
                                       .help = "From a request's first byte to its answer's last.",
                                       .labels = {"route"},
                                       .buckets = LatencyBuckets}))
    , loopLagSeconds(metrics.histograms(
          {.name = "auburndrum_gateway_loop_lag_seconds", .help = "By how much the event loop runs a timer late.", .labels = {}, .buckets = LatencyBuckets}))
    , unreadSeconds(metrics.histograms({.name = "auburndrum_gateway_unread_seconds",
                                        .help = "Time for which a request's first bytes waited to be read.",
                                        .labels = {},
                                        .buckets = LatencyBuckets}))
    , sentSeconds(metrics.histograms({.name = "auburndrum_gateway_sent_seconds",
                                      .help = "From a request's first byte until an attempt was sent.",
                                      .labels = {},
                                      .buckets = LatencyBuckets}))
    , foreignAnswers(metrics.counters({.name = "auburndrum_gateway_foreign_answers_total",
                                       .help = "Answers that were not those of the request that waited for one.",
                                       .labels = {"service"}}))
    , stateChanges(metrics.counters({.name = "auburndrum_gateway_belief_changes_total", .help = "Changes of what the process believes.", .labels = {"what"}}))
    , changeDelaySeconds(metrics.histograms({.name = "auburndrum_gateway_change_delay_seconds",
                                             .help = "Longest time for which a change may have been acknowledged when it was applied.",
                                             .labels = {"topic"},
                                             .buckets = LatencyBuckets}))
    , readsRepeated(
          metrics.counters({.name = "auburndrum_gateway_reads_repeated_total", .help = "Reads of the store whose answers were overdue.", .labels = {"topic"}}))
    , recordsSuperseded(metrics.counters({.name = "auburndrum_gateway_records_superseded_total",
                                          .help = "Store records that were read together with a newer one of their key.",
                                          .labels = {"topic"}}))
    , recordsSkipped(metrics.counters({.name = "auburndrum_gateway_records_skipped_total", .help = "Store records that can't be used.", .labels = {"topic"}}))
    , streamOrigins(metrics.counters({.name = "auburndrum_gateway_stream_origins_total",
                                      .help = "Streams that callers take up, by whether the software that began them is known.",
                                      .labels = {"result"}}))
    , unfinishedCloses(metrics.counters({.name = "auburndrum_gateway_unfinished_closes_total",
                                         .help = "Connections that were closed while a request, or a part of one, lay on them unanswered.",
                                         .labels = {"reason"}}))
    , closes(metrics.counters({.name = "auburndrum_gateway_closes_total",
                               .help = "Connections that were closed between two requests, by reason and whether their callers had been told.",
                               .labels = {"peers", "reason", "announced"}}))
    , orderRecordsMissed(
          metrics.counters({.name = "auburndrum_gateway_order_records_missed_total", .help = "Gaps in the topic of leases and announced loads.", .labels = {}}))
    , orderLeasesSuperseded(metrics.counters(
          {.name = "auburndrum_gateway_order_leases_superseded_total", .help = "Leases of this VM that another VM's replaced before their end.", .labels = {}}))
    , outdatedServers(metrics.gauges({.name = "auburndrum_gateway_outdated_servers", .help = "Backend servers without the newest named weights."}))
{
}

} // namespace auburndrum::gateway
