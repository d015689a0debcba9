#pragma once

#include "auburndrum/decision/logrecord.h"

#include <absl/container/flat_hash_map.h>

#include <chrono>
#include <cstddef>
#include <deque>
#include <memory>
#include <string>
#include <vector>

namespace auburndrum::decision {

/// Options of @ref ClaimLedger. All processes must use the same values, so that their folds agree.
struct ClaimLedgerOptions
{
    std::chrono::milliseconds deduplicationWindow = std::chrono::hours(24); ///< how long a claim holds its key, in log time; shorter than the log's retention
};

/// Result of a claim in the log's order.
enum class ClaimVerdict {
    Won, ///< the claim holds the key
    Lost, ///< an earlier claim holds the key
    TooLate, ///< appended after its deadline, so that it never holds the key
};

/// The verdict on one claim, for the process that appended it.
struct ClaimDecision
{
    ClaimKey key;
    std::string incarnation;
    std::string nonce;
    ClaimVerdict verdict = ClaimVerdict::Lost;
    bool operator==(const ClaimDecision &) const = default;
};

/// The claim that holds a key, and its outcome.
struct ClaimState
{
    std::string fingerprint;
    std::string incarnation;
    std::string nonce;
    WallTime deadline;
    Offset offset = 0;
    WallTime appendedAt; ///< log time of the claim's entry
    std::shared_ptr<const Outcome> outcome; ///< null while the call may still run or is in doubt
};

/// Deterministic fold of the log's claims, outcomes and releases: which claim holds each key.
class ClaimLedger
{
public:
    explicit ClaimLedger(ClaimLedgerOptions options = {});

    /// Applies a claim. The first claim of a key holds the key until it is released or older than the deduplication window.
    ClaimDecision apply(Offset offset, WallTime at, const Claim &claim);

    /// Applies an outcome. Returns true when it is the first outcome of the claim that holds the key; other outcomes are ignored.
    bool apply(const Outcome &outcome);

    /// Applies a release. Returns true when it withdraws the claim that holds the key; a claim with an outcome can't be withdrawn.
    bool apply(const Release &release);

    /// The claim that holds a key; null when there is none.
    const ClaimState *find(const ClaimKey &key) const;

    /// Removes claims that are older than the deduplication window at this log time.
    void expire(WallTime now);

    /// Keys of claims without an outcome whose deadline is before @p now, sorted. Such a claim may stay unsettled until a look-up or an operator
    /// finds its outcome.
    std::vector<ClaimKey> inDoubtKeys(WallTime now) const;

    std::size_t size() const;
    std::chrono::milliseconds deduplicationWindow() const;

    /// Writes the claims into a snapshot.
    void saveTo(SnapshotRecord &snapshot) const;

    /// Replaces all claims by those of a snapshot.
    void loadFrom(const SnapshotRecord &snapshot);

private:
    struct ExpiryEntry
    {
        WallTime at;
        Offset offset;
        ClaimKey key;
    };

    ClaimLedgerOptions m_options;
    absl::flat_hash_map<ClaimKey, ClaimState> m_claims;
    std::deque<ExpiryEntry> m_expiryQueue; ///< oldest first; may contain claims that were released
};

} // namespace auburndrum::decision
