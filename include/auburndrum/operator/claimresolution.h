#pragma once

#include "auburndrum/decision/claimledger.h"
#include "auburndrum/operator/adminapi.h"

#include <optional>

namespace auburndrum::operators {

/// Returns the claims in doubt at the log time @p now.
std::vector<InDoubtClaim> inDoubtClaims(const decision::ClaimLedger &ledger, WallTime now);

/// Returns the record to append for an operator's decision: an outcome when the call ran, a release when it didn't.
/// Returns nothing when no claim in doubt holds the key. The log has the last word: an outcome that was appended first stays.
std::optional<decision::LogRecord> resolutionRecord(const decision::ClaimLedger &ledger, const ClaimResolution &resolution, WallTime now);

} // namespace auburndrum::operators
