#pragma once

#include <cstdint>
#include <string>

namespace auburndrum::decision {

/// Whether a member answers its peers.
enum class Liveness : std::uint8_t {
    Alive = 0,
    Suspect = 1, ///< a peer could not reach the member, which may refute this
    Dead = 2, ///< was suspect for the suspicion time without a refutation
};

/// State of a member that combines its liveness with whether it is leaving.
enum class MemberState {
    Alive,
    Suspect,
    Dead,
    Leaving,
};

/// What entry VMs report to each other about one entry VM.
struct MemberRecord
{
    std::string name; ///< key; unique in the fleet
    std::string address; ///< "IP:PORT" of its RPC endpoint
    std::string zone;
    std::string region;
    std::uint64_t incarnation = 0; ///< increases with every start of the process; 0 if known only from the platform's list
    std::uint32_t refutation = 0; ///< increased by the member itself to refute a suspicion
    Liveness liveness = Liveness::Alive;
    bool leaving = false; ///< set by the member itself; holds for the rest of its incarnation

    MemberState state() const;
    bool operator==(const MemberRecord &other) const = default;
};

/// Orders all versions of one value: the newest wins whatever the order of arrival.
struct RecordVersion
{
    std::uint64_t major = 0;
    std::uint64_t minor = 0;

    bool operator==(const RecordVersion &other) const = default;
    bool operator<(const RecordVersion &other) const
    {
        return major != other.major ? major < other.major : minor < other.minor;
    }
};

/// Orders records of one member by incarnation, then leaving, then refutation, then liveness, of which dead is the highest.
RecordVersion recordVersion(const MemberRecord &record);

/// Returns whether @p incoming replaces @p current.
bool recordSupersedes(const MemberRecord &incoming, const MemberRecord &current);

} // namespace auburndrum::decision
