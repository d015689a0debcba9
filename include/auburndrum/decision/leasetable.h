#pragma once

#include "auburndrum/decision/logrecord.h"

#include <map>
#include <string>

namespace auburndrum::decision {

/// Leases longer than this are not taken from the log.
constexpr std::chrono::minutes MaxLeaseDuration{10};

/// The lease record in force of one resource.
struct LeaseState
{
    LeaseRecord lease;
    Offset offset = 0; ///< its fencing number
};

/// Who may give orders: a deterministic fold of the log's lease records.
class LeaseTable
{
public:
    /// Folds one lease record in. Returns true when it follows the one in force.
    bool apply(Offset offset, const LeaseRecord &record);

    /// The record in force; null when the resource never had one.
    const LeaseState *find(const std::string &resource) const;

    void saveTo(SnapshotRecord &snapshot) const;
    void loadFrom(const SnapshotRecord &snapshot);

private:
    std::map<std::string, LeaseState> m_leases;
};

} // namespace auburndrum::decision
