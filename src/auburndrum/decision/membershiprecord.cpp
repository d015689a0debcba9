#include "auburndrum/decision/membershiprecord.h"

namespace auburndrum::decision {

namespace {

constexpr unsigned LeavingBit = 62;
constexpr unsigned RefutationShift = 2;

} // namespace

MemberState MemberRecord::state() const
{
    if (liveness == Liveness::Dead) {
        return MemberState::Dead;
    }
    if (leaving) {
        return MemberState::Leaving;
    }
    return liveness == Liveness::Suspect ? MemberState::Suspect : MemberState::Alive;
}

RecordVersion recordVersion(const MemberRecord &record)
{
    const std::uint64_t leaving = record.leaving ? std::uint64_t{1} << LeavingBit : 0;
    const std::uint64_t refutation = static_cast<std::uint64_t>(record.refutation) << RefutationShift;
    return {record.incarnation, leaving | refutation | static_cast<std::uint64_t>(record.liveness)};
}

bool recordSupersedes(const MemberRecord &incoming, const MemberRecord &current)
{
    return recordVersion(current) < recordVersion(incoming);
}

} // namespace auburndrum::decision
