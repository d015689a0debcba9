#pragma once

#include <cstdint>
#include <string>

namespace auburndrum::decision {

/// Whether a member answers its peers.
enum class Liveness : std::uint8_t {
    Alive = 0,
    Suspect = 1, ///< a peer could not reach it; it may refute this
    Dead = 2, ///< suspect for the whole suspicion time without a refutation
};

/// What a member may be used for, from its liveness and its own notice to leave.
enum class MemberState {
    Alive,
    Suspect,
    Dead,
    Leaving,
};

/// What entry VMs tell each other about one entry VM.
struct MemberRecord
{
    std::string name; ///< key; unique in the fleet
    std::string address; ///< "IP:PORT" of its RPC endpoint
    std::string zone;
    std::string region;
    std::uint64_t incarnation = 0; ///< grows with every start of the process; 0: only seen in the platform's list
    std::uint32_t refutation = 0; ///< raised by the member itself to refute a suspicion
    Liveness liveness = Liveness::Alive;
    bool leaving = false; ///< set by the member itself; stays for the whole incarnation

    MemberState state() const;
    bool operator==(const MemberRecord &other) const = default;
};

/// A total order over the records of one member: newer facts win whatever the order of arrival.
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

/// Orders by incarnation, then leaving, then refutation, then liveness with dead last.
RecordVersion recordVersion(const MemberRecord &record);

/// Returns whether @p incoming replaces @p current.
bool recordSupersedes(const MemberRecord &incoming, const MemberRecord &current);

} // namespace auburndrum::decision
