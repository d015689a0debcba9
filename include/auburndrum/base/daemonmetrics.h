#pragma once

#include "auburndrum/base/metrics.h"

namespace auburndrum {

/// The metrics that operators' alarms are built on. docs/OPERATIONS.md says what to do about each.
/// Services are labels, organisations are not: there are thousands of them.
struct DaemonMetrics
{
    explicit DaemonMetrics(Metrics &metrics);

    Counters &requests; ///< service, status
    Counters &refusals; ///< service, reason
    Counters &retries; ///< service
    Counters &mismatchedAnswers; ///< service; responses dropped because they belong to another attempt
    Counters &silentStreams; ///< service; streams aborted because no data arrived in time
    Histograms &firstToken; ///< service; seconds from request to first output byte
    Histograms &recomputedShare; ///< service; share (0 to 1) of the prompt's tokens that was not cached and had to be prefilled
    Counters &promptTokens; ///< service, source: cached or computed
    Counters &linkBytes; ///< direction: in or out; over the inter-region link
    Gauges &openStreams;
    Gauges &queuedRequests; ///< service
    Gauges &claimsInDoubt; ///< service
    Counters &claims; ///< service, result: won, lost, released, refused
    Gauges &configOffset; ///< log offset up to which published documents are in force
    Gauges &configAge; ///< seconds since the log was last read to its end
    Gauges &platformUp; ///< 1 while the platform's log is reachable
    Gauges &peersLive;
    Gauges &backendsLive; ///< service
    Gauges &ready; ///< 1 while /readyz succeeds
};

} // namespace auburndrum
