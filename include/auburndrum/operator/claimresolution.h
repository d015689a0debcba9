#pragma once

#include "auburndrum/decision/claimledger.h"
#include "auburndrum/operator/adminapi.h"

#include <optional>

namespace auburndrum::operators {

/// Claims in doubt at this log time, for AdminHooks::doubts.
std::vector<ClaimDoubt> doubtsOf(const decision::ClaimLedger &ledger, WallTime now);

/// The record to append for an operator's finding: an outcome when the call ran, a release when it didn't.
/// Nothing when no claim without an outcome holds the key. The log still decides: an outcome that was appended first stays.
std::optional<decision::LogRecord> resolutionRecord(const decision::ClaimLedger &ledger, const ClaimFinding &finding, WallTime now);

} // namespace auburndrum::operators
