#pragma once

#include "auburndrum/base/metrics.h"

namespace auburndrum::gateway {

/// What a gateway counts. docs/METRICS.md describes each family.
struct GatewayMetrics
{
    explicit GatewayMetrics(Metrics &metrics);

    Counters &requests; ///< by route and outcome
    Counters &attempts; ///< by service and outcome
    Histograms &firstByteSeconds; ///< by route: from a request's first byte to its answer's first
    Histograms &totalSeconds; ///< by route: to the answer's last byte
    Counters &stateChanges; ///< by what changed
    Counters &recordsSkipped; ///< by topic: records that can't be used
};

} // namespace auburndrum::gateway
