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
    std::chrono::milliseconds roundPeriod{1000}; ///< between ordinary rounds
    std::chrono::milliseconds urgentRoundPeriod{200}; ///< between rounds while an urgent fact is young
    std::chrono::milliseconds urgentDelay{20}; ///< from an urgent fact to the first round, so that several go together
    std::size_t originFanout = 8; ///< exchanges in the first round after an urgent fact of this process's own
    std::size_t urgentFanout = 3; ///< the same after an urgent fact heard from a peer
    std::chrono::milliseconds digestComparePeriod{3000}; ///< between comparisons of digests by bucket
    std::chrono::milliseconds fullStateInterval{2000}; ///< between answers with the full state
    std::size_t deltaBytesPerMessage = 1000;
    std::size_t compareBytesPerMessage = 2048;
    GossipBudgetOptions budget;
    GossipPeersOptions peers;
    GossipTableOptions table;
    /// How often a fact is sent in a fleet of this size.
    std::function<std::uint32_t(std::size_t)> sendsPerDelta;
};

/// A message for one peer.
struct OutgoingGossipMessage
{
    std::string peer;
    std::string address;
    GossipMessage message;
};

/// What an incoming message changed here.
struct GossipChanges
{
    std::vector<DeltaValue> newValues;
    std::optional<std::uint64_t> newerConfigOffset; ///< the sender's configuration offset, when it is above ours
};

/// Spreads small facts between entry VMs by push and pull, within a byte budget.
///
/// Pure: the caller sends what round() returns and passes in what arrives. Not thread-safe.
class Gossip
{
public:
    Gossip(GossipOptions options, MembershipOptions membership, Instant now);

    const Membership &membership() const;
    const GossipTable &table() const;

    void setListedVms(const std::vector<ListedVm> &list, Instant now);
    /// Notes a contact outside gossip, such as a forwarded claim.
    void recordContactSuccess(const std::string &peer, Instant now);
    void recordContactFailure(const std::string &peer, Instant now);
    /// Tells peers a new fact.
    void announce(const DeltaValue &value, Instant now);
    /// Tells peers that this process leaves.
    void leave(Instant now);
    void setConfigOffset(std::uint64_t offset, Instant now);

    /// Returns when round() has something to do.
    Instant nextRoundAt() const;
    /// Returns the messages due. Also ages what is known.
    std::vector<OutgoingGossipMessage> runRound(Instant now);
    /// Takes a request and returns the answer; @p outcome receives what changed.
    GossipMessage receiveRequest(const GossipMessage &request, GossipChanges &outcome, Instant now);
    /// Takes the answer to an own request.
    GossipChanges receiveReply(const GossipMessage &reply, Instant now);
    /// Counts bytes that went over the wire, in either direction.
    void chargeBytes(std::size_t bytes, Instant now);

private:
    GossipMessage makeMessage(const std::string &peer, Instant now);
    GossipChanges applyMessage(const GossipMessage &message, Instant now);
    void applyDelta(const Delta &delta, std::uint32_t sends, GossipChanges &outcome, Instant now);
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
    bool m_ignoreBudget = false; ///< the next round runs whatever the budget says
    std::size_t m_nextFanout = 1;
    std::uint32_t m_urgentRoundsLeft = 0;
    std::vector<std::string> m_retryPeers; ///< peers to call again in the next round
    bool m_joined = false;
    bool m_digestDiffered = false;
    std::size_t m_compareFirstBucket = 0;
    std::optional<Instant> m_lastCompare;
    std::optional<Instant> m_lastFullState;
};

/// Returns four more than twice the binary logarithm of @p members: a few spare sends for small fleets.
std::uint32_t sendsForFleetSize(std::size_t members);

} // namespace auburndrum::decision
