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

/// Options of the claim ledger. All processes must use the same.
struct ClaimLedgerOptions
{
    std::chrono::milliseconds deduplicationWindow = std::chrono::hours(24); ///< deduplication window, in log time; shorter than the log's retention
};

/// How the log decided one claim.
enum class ClaimVerdict {
    Won, ///< first of its key
    Lost, ///< another claim holds the key
    TooLate, ///< the log took it after its deadline, so that it never holds the key
};

/// Tells the process that appended a claim how the log decided it.
struct ClaimDecision
{
    ClaimKey key;
    std::string incarnation;
    std::string nonce;
    ClaimVerdict verdict = ClaimVerdict::Lost;
    bool operator==(const ClaimDecision &) const = default;
};

/// The claim that holds a key.
struct ClaimState
{
    std::string fingerprint;
    std::string incarnation;
    std::string nonce;
    WallTime deadline;
    Offset offset = 0;
    WallTime appendedAt; ///< log time
    std::shared_ptr<const Outcome> outcome; ///< none while the call may be running
};

/// Who holds which key: a deterministic fold of claims, outcomes and releases.
class ClaimLedger
{
public:
    explicit ClaimLedger(ClaimLedgerOptions options = {});

    /// Folds one claim in. The first of a key holds it until it is released or older than the window.
    ClaimDecision apply(Offset offset, WallTime at, const Claim &claim);

    /// Folds an outcome in. Returns false unless it settles the claim that holds the key and is its first.
    bool apply(const Outcome &outcome);

    /// Folds a release in. Returns false unless it gives up the open claim that holds the key.
    bool apply(const Release &release);

    /// The claim that holds a key; null when there is none.
    const ClaimState *find(const ClaimKey &key) const;

    /// Forgets claims that are older than the window at this log time.
    void expire(WallTime now);

    /// Open claims whose deadline is before this time: nobody will settle them unless a look-up or an operator does.
    std::vector<ClaimKey> inDoubtKeys(WallTime now) const;

    std::size_t size() const;
    std::chrono::milliseconds deduplicationWindow() const;

    void saveTo(SnapshotRecord &snapshot) const;
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
    std::deque<ExpiryEntry> m_expiryQueue; ///< oldest first; may name claims that were released
};

} // namespace auburndrum::decision
