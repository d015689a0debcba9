#pragma once

#include "auburndrum/base/time.h"
#include "auburndrum/decision/claimcall.h"
#include "auburndrum/decision/claimledger.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace auburndrum::decision {

/// The actions that follow for one call.
struct CallActions
{
    std::string nonce; ///< nonce of the call's claim
    ClaimActions actions;
};

/// @brief The calls with idempotency keys of one process, by the nonce of their claims.
///
/// Forwards the log's decisions to the calls, and removes calls that no event can change any more.
class ClaimCallTable
{
public:
    /// Adds a call. The nonce of its claim must not be in the table.
    ClaimCall &add(const ClaimCallOptions &options);

    /// The call with this nonce; null when it is not in the table.
    ClaimCall *find(const std::string &nonce);

    /// Handles the log's decision on a claim of any process. Returns no actions when the claim is not of a call in the table.
    CallActions onClaimDecided(Instant now, const ClaimDecision &decision, const ClaimLedger &ledger);

    /// Handles that the fold applied an outcome or a release of the claim with this nonce.
    void onClaimSettled(Instant now, const std::string &nonce);

    /// Runs the timeouts and retries that are due at @p now, and removes finished calls and abandoned calls whose claims are void at @p logTime.
    std::vector<CallActions> tick(Instant now, WallTime logTime);

    /// When @ref tick has a timeout or retry to run; none when no call waits for one.
    std::optional<Instant> nextTick() const;

    std::size_t size() const;

private:
    std::map<std::string, ClaimCall> m_calls;
};

} // namespace auburndrum::decision
