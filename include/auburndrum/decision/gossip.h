#pragma once

#include "auburndrum/decision/gossipbudget.h"
#include "auburndrum/decision/gossippeers.h"
#include "auburndrum/decision/gossiptable.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace auburndrum::decision {

struct GossipOptions
{
    std::chrono::milliseconds roundPeriod{1000}; ///< interval between ordinary rounds
    std::chrono::milliseconds urgentRoundPeriod{200}; ///< interval between rounds for some time after an urgent delta
    std::chrono::milliseconds urgentDelay{20}; ///< wait before the first round after an urgent delta, so that one round sends several
    std::size_t originFanout = 8; ///< number of peers in the first round after an urgent delta that this process announced
    std::size_t urgentFanout = 3; ///< number of peers in the first round after an urgent delta received from a peer
    std::chrono::milliseconds digestComparePeriod{3000}; ///< least time between comparisons of bucket digests
    std::chrono::milliseconds fullStateInterval{2000}; ///< least time between replies that carry the full state
    std::size_t deltaBytesPerMessage = 1000;
    std::size_t compareBytesPerMessage = 2048;
    GossipBudgetOptions budget;
    GossipPeersOptions peers;
    GossipTableOptions table;
    /// Returns how many times each delta is sent, from the number of members. sendsForFleetSize() when empty.
    std::function<std::uint32_t(std::size_t)> sendsPerDelta;
};

/// A gossip message and the peer to send it to.
struct OutgoingGossipMessage
{
    std::string peer;
    std::string address;
    GossipMessage message;
};

/// What this process learned from a received message.
struct GossipChanges
{
    std::vector<DeltaValue> newValues;
    std::optional<std::uint64_t> newerConfigOffset; ///< the sender's configuration offset, if above this process's own
};

/// Push-pull gossip protocol that spreads deltas between entry VMs within a byte budget.
///
/// Does no input or output and reads no clock: the caller sends the messages that runRound() returns and passes in those received. Not thread-safe.
class Gossip
{
public:
    Gossip(GossipOptions options, MembershipOptions membership, Instant now);

    const Membership &membership() const;
    const GossipTable &table() const;

    void setListedVms(const std::vector<ListedVm> &list, Instant now);
    /// Records the result of a call to @p peer outside gossip, such as a forwarded claim.
    void recordContactSuccess(const std::string &peer, Instant now);
    void recordContactFailure(const std::string &peer, Instant now);
    /// Spreads a new value to peers.
    void announce(const DeltaValue &value, Instant now);
    /// Spreads to peers that this process is leaving.
    void leave(Instant now);
    void setConfigOffset(std::uint64_t offset, Instant now);

    /// Returns the time at which runRound() is due.
    Instant nextRoundAt() const;
    /// Returns the messages to send, or none before nextRoundAt(). Also advances the timers of members and deltas.
    std::vector<OutgoingGossipMessage> runRound(Instant now);
    /// Applies a peer's request and returns the reply; @p changes receives what this process learned.
    GossipMessage receiveRequest(const GossipMessage &request, GossipChanges &changes, Instant now);
    /// Applies the reply to a request of this process.
    GossipChanges receiveReply(const GossipMessage &reply, Instant now);
    /// Charges bytes sent or received to the byte budget.
    void chargeBytes(std::size_t bytes, Instant now);

private:
    GossipMessage makeMessage(const std::string &peer, Instant now);
    GossipChanges applyMessage(const GossipMessage &message, Instant now);
    void applyDelta(const Delta &delta, std::uint32_t sends, GossipChanges &changes, Instant now);
    std::vector<std::string> chooseRoundPeers();
    bool storeDelta(const Delta &delta, std::uint32_t sends, Instant now);
    void scheduleUrgentRounds(Instant now);
    void scheduleUrgentRoundsAsOrigin(Instant now);
    void addPeerRecord(const std::string &peer, GossipMessage &message) const;
    bool isCompareDue(Instant now) const;
    void advanceMembership(Instant now);
    DeltaScope scopeFor(const std::string &peer) const;
    std::uint32_t sendsPerDelta() const;
    std::uint32_t sendsFor(const Delta &delta) const;

    GossipOptions m_options;
    Membership m_membership;
    GossipTable m_table;
    GossipPeers m_peers;
    GossipBudget m_budget;
    std::uint64_t m_configOffset = 0;
    Instant m_nextRoundAt{};
    std::optional<Instant> m_lastAdvance;
    bool m_ignoreBudget = false; ///< the next round runs even when the byte budget is used up
    std::size_t m_nextFanout = 1;
    std::uint32_t m_urgentRoundsLeft = 0;
    std::vector<std::string> m_retryPeers; ///< peers whose last call failed, to be called again in the next round
    bool m_joined = false;
    bool m_digestDiffered = false;
    std::size_t m_compareFirstBucket = 0;
    std::optional<Instant> m_lastCompare;
    std::optional<Instant> m_lastFullState;
};

/// Returns how many times to send each delta: twice the bit width of @p members plus four spare sends, which matter in small fleets.
std::uint32_t sendsForFleetSize(std::size_t members);

} // namespace auburndrum::decision
