#pragma once

#include "auburndrum/decision/logrecord.h"

#include <map>
#include <string>

namespace auburndrum::decision {

/// Lease records with a longer duration are ignored.
constexpr std::chrono::minutes MaxLeaseDuration{10};

/// The lease record in force of one resource.
struct LeaseState
{
    LeaseRecord lease;
    Offset offset = 0; ///< offset of the record's log entry, which is the fencing number
};

/// Deterministic fold of the log's lease records: which process holds the lease of each resource.
class LeaseTable
{
public:
    /// Applies one lease record. Returns true when it replaces the record in force; other records are ignored.
    bool apply(Offset offset, const LeaseRecord &record);

    /// The lease record in force; null when the resource never had one.
    const LeaseState *find(const std::string &resource) const;

    /// Writes the leases into a snapshot.
    void saveTo(SnapshotRecord &snapshot) const;

    /// Replaces all leases by those of a snapshot.
    void loadFrom(const SnapshotRecord &snapshot);

private:
    std::map<std::string, LeaseState> m_leases;
};

} // namespace auburndrum::decision
