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

/// A backend server that is leaving. Holds until the server restarts with a higher incarnation.
struct LeavingServer
{
    std::string server;
    std::uint64_t incarnation = 0;

    bool operator==(const LeavingServer &other) const = default;
};

/// How many bytes per second one entry VM wants to send over the link from one region to another.
struct LinkDemand
{
    std::string entryVm;
    std::string link; ///< "FROM>TO" by region name
    std::uint64_t sequence = 0; ///< increases with every change by the same entry VM
    std::uint64_t bytesPerSecond = 0;

    bool operator==(const LinkDemand &other) const = default;
};

/// State of one entry VM's circuit breaker for a backend server.
struct CircuitReport
{
    std::string server;
    std::string entryVm;
    std::uint64_t sequence = 0; ///< increases with every change by the same entry VM
    bool open = false;

    bool operator==(const CircuitReport &other) const = default;
};

using DeltaValue = std::variant<MemberRecord, LeavingServer, LinkDemand, CircuitReport>;

/// One value that gossip spreads between entry VMs.
struct Delta
{
    DeltaValue value;
    std::chrono::seconds age{}; ///< time since the value became true, as far as the sender knows
};

/// Which entry VMs a value spreads to.
enum class DeltaScope {
    Fleet,
    Region,
};

/// Returns the key of the record of member @p name.
std::string memberKey(const std::string &name);
/// Returns the key under which a newer version of @p value replaces an older one.
std::string deltaKey(const DeltaValue &value);
RecordVersion deltaVersion(const DeltaValue &value);
DeltaScope deltaScope(const DeltaValue &value);
/// Returns whether @p value has to be sent before the next ordinary round.
bool isUrgent(const DeltaValue &value);
/// Returns how long @p value is stored without a newer version. Member records never expire here; Membership expires them.
std::chrono::seconds deltaLifetime(const DeltaValue &value);
/// Returns the approximate size of @p value on the wire.
std::size_t deltaBytes(const DeltaValue &value);

/// A request or reply between two entry VMs.
struct GossipMessage
{
    MemberRecord sender;
    std::chrono::seconds senderAge{}; ///< time since the sender's record last changed
    std::uint64_t configOffset = 0; ///< log offset that the sender's configuration covers
    std::uint64_t digest = 0; ///< digest over the deltas that the sender stores in the scope shared with the receiver
    bool wantsFullState = false; ///< the sender has not received the full state since its start
    bool isFullState = false; ///< `deltas` holds all that the sender stores
    std::vector<std::uint32_t> bucketDigests; ///< low halves of the digests by bucket of the key space; empty unless they are to be compared
    std::vector<Delta> deltas;
};

} // namespace auburndrum::decision
