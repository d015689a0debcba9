#pragma once

#include "auburndrum/decision/claimledger.h"
#include "auburndrum/decision/configfold.h"
#include "auburndrum/decision/leasetable.h"
#include "auburndrum/decision/logrecord.h"

#include <cstdint>
#include <string>
#include <vector>

namespace auburndrum::decision {

/// What became of an entry handed to the fold.
enum class ApplyResult {
    Folded,
    AlreadyFolded, ///< folded before; ignored
    Gap, ///< entries before it are missing: read from offset() + 1
    SearchingSnapshot, ///< holds no snapshot to start from; read on
    SnapshotLoaded, ///< a snapshot was loaded: read from offset() + 1
};

/// What one entry changed.
struct EntryChanges
{
    ApplyResult result = ApplyResult::Folded;
    std::vector<std::string> changedDocuments; ///< that changed
    std::vector<ClaimDecision> claimDecisions;
    std::vector<std::string> settledNonces; ///< nonces of claims with a new outcome or release
    std::vector<std::string> changedLeases; ///< resources whose lease changed
    bool hasSnapshot = false;
};

/// How many records could not be read.
struct SkippedRecords
{
    std::uint64_t unreadable = 0;
    std::uint64_t newer = 0; ///< of a newer format or an unknown kind
};

/// @brief The state of the whole log up to one offset.
///
/// Two folds at the same offset are equal, whether they came there by entries or through a snapshot.
class LogFold
{
public:
    explicit LogFold(ClaimLedgerOptions options = {});

    /// Takes the entry at this offset. The offset of a fold never falls.
    EntryChanges applyEntry(Offset offset, WallTime at, const std::string &text);

    /// The entry after offset() was cut from the log: looks for a snapshot. What is folded stays in force.
    void startSnapshotSearch();

    /// Takes over a peer's or the log's fold. False unless it covers more than this one.
    bool loadSnapshot(const SnapshotRecord &snapshot);

    /// This fold as a record.
    SnapshotRecord snapshot() const;

    /// False when records of a newer build were skipped: a snapshot from here would lose them.
    bool mayWriteSnapshot() const;

    Offset offset() const;
    WallTime logTime() const;
    bool isSearchingSnapshot() const;
    const ConfigFold &config() const;
    const ClaimLedger &claims() const;
    const LeaseTable &leases() const;
    SkippedRecords skipped() const;

private:
    EntryChanges searchEntry(const std::string &text);
    void apply(Offset offset, const PublishRecord &record, EntryChanges &result);
    void apply(Offset offset, const ClaimBatchRecord &record, EntryChanges &result);
    void apply(Offset offset, const OutcomeBatchRecord &record, EntryChanges &result);
    void apply(Offset offset, const ReleaseRecord &record, EntryChanges &result);
    void apply(Offset offset, const LeaseRecord &record, EntryChanges &result);
    void apply(Offset offset, const SnapshotRecord &record, EntryChanges &result);

    ConfigFold m_config;
    ClaimLedger m_claims;
    LeaseTable m_leases;
    Offset m_offset = 0;
    WallTime m_logTime;
    bool m_isSearchingSnapshot = false;
    SkippedRecords m_skipped;
};

} // namespace auburndrum::decision
