#pragma once

#include "auburndrum/base/time.h"
#include "auburndrum/decision/membershiprecord.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace auburndrum::decision {

/// A backend server that leaves; stays true for its incarnation.
struct LeavingServer
{
    std::string server;
    std::uint64_t incarnation = 0;

    bool operator==(const LeavingServer &other) const = default;
};

/// How much of a region pair's link one entry VM wants.
struct LinkDemand
{
    std::string entryVm;
    std::string link; ///< "FROM>TO" by region name
    std::uint64_t sequence = 0; ///< grows with every change by the same entry VM
    std::uint64_t bytesPerSecond = 0;

    bool operator==(const LinkDemand &other) const = default;
};

/// What one entry VM found out about a backend server.
struct CircuitReport
{
    std::string server;
    std::string entryVm;
    std::uint64_t sequence = 0; ///< grows with every change by the same entry VM
    bool open = false;

    bool operator==(const CircuitReport &other) const = default;
};

using DeltaValue = std::variant<MemberRecord, LeavingServer, LinkDemand, CircuitReport>;

/// One fact that spreads between entry VMs.
struct Delta
{
    DeltaValue value;
    std::chrono::seconds age{}; ///< time since it became true, as far as the sender knows
};

/// How far a fact travels.
enum class DeltaScope {
    Fleet,
    Region,
};

/// Returns the key under which a newer version replaces an older one.
std::string memberKey(const std::string &name);
std::string deltaKey(const DeltaValue &value);
RecordVersion deltaVersion(const DeltaValue &value);
DeltaScope deltaScope(const DeltaValue &value);
/// Returns whether peers have to hear of it before the next ordinary round.
bool isUrgent(const DeltaValue &value);
/// Returns how long the fact is kept without news; member records age in Membership instead.
std::chrono::seconds deltaLifetime(const DeltaValue &value);
/// Returns about how many bytes it takes on the wire.
std::size_t deltaBytes(const DeltaValue &value);

/// One direction of an exchange between two entry VMs.
struct GossipMessage
{
    MemberRecord sender; ///< the sender
    std::chrono::seconds senderAge{}; ///< time since its record last changed
    std::uint64_t configOffset = 0; ///< log offset that the sender's configuration covers
    std::uint64_t digest = 0; ///< over everything that the sender knows
    bool wantsFullState = false; ///< the sender is new
    bool isFullState = false; ///< the deltas are everything that the sender knows
    std::vector<std::uint32_t> bucketDigests; ///< digests by part of the key space, when parts are to be compared
    std::vector<Delta> deltas;
};

} // namespace auburndrum::decision
