#pragma once

#include "auburndrum/base/metrics.h"

namespace auburndrum::gateway {

/// Metrics of a gateway. docs/METRICS.md describes each family.
struct GatewayMetrics
{
    explicit GatewayMetrics(Metrics &metrics);

    Counters &requests; ///< by route and outcome
    Counters &attempts; ///< by service and outcome
    Histograms &firstByteSeconds; ///< by route: from a request's first byte to its response's first
    Histograms &totalSeconds; ///< by route: from a request's first byte to its response's last
    Histograms &loopLagSeconds; ///< by how much the event loop runs a timer late
    Histograms &unreadSeconds; ///< time for which a request's first bytes had waited to be read
    Histograms &sentSeconds; ///< from a request's first byte until an attempt was sent
    Counters &foreignAnswers; ///< by service: answers that were not those of the request that waited for one
    Counters &stateChanges; ///< changes of configuration, weights, servers and relay, by what changed
    Histograms &changeDelaySeconds; ///< by topic: the longest time for which a change may have been acknowledged when it was applied
    Counters &readsRepeated; ///< by topic: reads whose answers were overdue
    Counters &recordsSuperseded; ///< by topic: records that were read together with a newer one of their key
    Counters &recordsSkipped; ///< by topic: records that can't be used
    Counters &streamOrigins; ///< streams that callers take up, by whether it is known who began them
    Counters &unfinishedCloses; ///< by reason: connections that this VM closed while a request, or a part of one, lay on them unanswered
    Counters &closes; ///< by reason and whether it was announced: connections that this VM closed between two requests
    Counters &orderRecordsMissed; ///< gaps in the topic of leases and announced loads, as this VM read it
    Counters &orderLeasesSuperseded; ///< leases of this VM that another VM's replaced before their end
    Gauges &outdatedServers; ///< listed backend servers that don't have the newest named weights
};

} // namespace auburndrum::gateway
