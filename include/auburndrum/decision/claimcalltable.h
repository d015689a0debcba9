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

/// What to do for one call.
struct CallActions
{
    std::string nonce; ///< of the call's claim
    ClaimActions actions;
};

/// @brief The keyed calls of one process, by the nonce of their claims.
///
/// Passes the log's decisions on to the calls and forgets calls that nothing can move any more.
class ClaimCallTable
{
public:
    /// Adds a call. Its claim's nonce must be new.
    ClaimCall &add(const ClaimCallOptions &options);

    /// The call with this nonce; null when it was forgotten.
    ClaimCall *find(const std::string &nonce);

    /// The fold decided a claim of any process.
    CallActions onClaimDecided(Instant now, const ClaimDecision &decision, const ClaimLedger &ledger);

    /// The fold took an outcome or a release of this claim.
    void onClaimSettled(Instant now, const std::string &nonce);

    /// Time passed, here and in the log.
    std::vector<CallActions> tick(Instant now, WallTime logTime);

    /// When @ref tick has something to do.
    std::optional<Instant> nextTick() const;

    std::size_t size() const;

private:
    std::map<std::string, ClaimCall> m_calls;
};

} // namespace auburndrum::decision
