#pragma once

#include "auburndrum/decision/claimledger.h"
#include "auburndrum/decision/configfold.h"
#include "auburndrum/decision/leasetable.h"
#include "auburndrum/decision/logrecord.h"

#include <cstdint>
#include <string>
#include <vector>

namespace auburndrum::decision {

/// Result of applying one log entry to the fold.
enum class ApplyResult {
    Folded,
    AlreadyFolded, ///< the fold is already at or past this offset; the entry is ignored
    Gap, ///< entries before it are missing: continue reading from offset() + 1
    SearchingSnapshot, ///< the fold searches a snapshot and this entry has none that it can load: continue with the next entry
    SnapshotLoaded, ///< a snapshot was loaded: continue reading from offset() + 1
};

/// Changes that one log entry made to the fold.
struct EntryChanges
{
    ApplyResult result = ApplyResult::Folded;
    std::vector<std::string> changedDocuments; ///< names of documents with a new version
    std::vector<ClaimDecision> claimDecisions; ///< verdict on each claim of the entry
    std::vector<std::string> settledNonces; ///< nonces of claims with a new outcome or release
    std::vector<std::string> changedLeases; ///< resources whose lease changed
    bool hasSnapshot = false; ///< whether the entry contains a snapshot, which changes nothing in a fold that is up to date
};

/// Numbers of log entries and records that were skipped.
struct SkippedRecords
{
    std::uint64_t unreadable = 0; ///< malformed, or with a missing or invalid field
    std::uint64_t newer = 0; ///< with a newer format version or an unknown kind
};

/// @brief The state that follows from all log entries up to one offset.
///
/// Two folds at the same offset are equal, whether they applied each entry or loaded a snapshot.
class LogFold
{
public:
    explicit LogFold(ClaimLedgerOptions options = {});

    /// Applies the entry at this offset. The offset of a fold never decreases.
    EntryChanges applyEntry(Offset offset, WallTime at, const std::string &text);

    /// Starts to search the following entries for a snapshot, for when the entry after offset() was removed from the log. The state so far
    /// stays in force meanwhile.
    void startSnapshotSearch();

    /// Replaces this fold's state by a snapshot from a peer or the log. Returns false, and changes nothing, unless the snapshot is at a higher offset.
    bool loadSnapshot(const SnapshotRecord &snapshot);

    /// The state of this fold as a snapshot record.
    SnapshotRecord snapshot() const;

    /// Whether this fold may be written to the log as a snapshot. False when records of a newer build were skipped, since the snapshot would
    /// lose them, while a snapshot is searched, and before the first entry.
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
