#include "auburndrum/decision/leasetable.h"

namespace auburndrum::decision {

bool LeaseTable::apply(Offset offset, const LeaseRecord &record)
{
    const LeaseState *current = find(record.resource);
    const Offset replaced = current == nullptr ? 0 : current->offset;
    const bool follows = record.replaces == replaced && replaced < offset;
    if (!follows || record.duration > MaxLeaseDuration) {
        return false;
    }
    m_leases[record.resource] = {record, offset};
    return true;
}

const LeaseState *LeaseTable::find(const std::string &resource) const
{
    const auto it = m_leases.find(resource);
    return it == m_leases.end() ? nullptr : &it->second;
}

void LeaseTable::saveTo(SnapshotRecord &snapshot) const
{
    for (const auto &[resource, state] : m_leases) {
        snapshot.leases.push_back({state.lease, state.offset});
    }
}

void LeaseTable::loadFrom(const SnapshotRecord &snapshot)
{
    m_leases.clear();
    for (const SnapshotLease &it : snapshot.leases) {
        m_leases[it.lease.resource] = {it.lease, it.offset};
    }
}

} // namespace auburndrum::decision
