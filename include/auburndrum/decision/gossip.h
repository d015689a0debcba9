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
    std::chrono::milliseconds period{1000}; ///< between ordinary rounds
    std::chrono::milliseconds urgentPeriod{200}; ///< between rounds while an urgent fact is young
    std::chrono::milliseconds urgentDelay{20}; ///< from an urgent fact to the first round, so that several go together
    std::size_t originPeers = 8; ///< exchanges in the first round after an urgent fact of this process's own
    std::size_t urgentPeers = 3; ///< the same after an urgent fact heard from a peer
    std::chrono::milliseconds comparePeriod{3000}; ///< between comparisons of digests by bucket
    std::chrono::milliseconds fullStatePeriod{2000}; ///< between answers with the full state
    std::size_t deltaBytesPerMessage = 1000;
    std::size_t compareBytesPerMessage = 2048;
    GossipBudgetOptions budget;
    GossipPeersOptions peers;
    GossipTableOptions table;
    /// How often a fact is sent in a fleet of this size.
    std::function<std::uint32_t(std::size_t)> sendsPerFact;
};

/// A message for one peer.
struct GossipSend
{
    std::string peer;
    std::string address;
    GossipMessage message;
};

/// What an incoming message changed here.
struct GossipOutcome
{
    std::vector<DeltaValue> learned;
    std::optional<std::uint64_t> offsetAhead; ///< the sender's configuration offset, when it is above ours
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

    void mergeList(const std::vector<ListedVm> &list, Instant now);
    /// Notes a contact outside gossip, such as a forwarded claim.
    void contactSucceeded(const std::string &peer, Instant now);
    void contactFailed(const std::string &peer, Instant now);
    /// Tells peers a new fact.
    void announce(const DeltaValue &value, Instant now);
    /// Tells peers that this process leaves.
    void leave(Instant now);
    void setConfigOffset(std::uint64_t offset, Instant now);

    /// Returns when round() has something to do.
    Instant nextRound() const;
    /// Returns the messages due. Also ages what is known.
    std::vector<GossipSend> round(Instant now);
    /// Takes a request and returns the answer; @p outcome receives what changed.
    GossipMessage receive(const GossipMessage &request, GossipOutcome &outcome, Instant now);
    /// Takes the answer to an own request.
    GossipOutcome receiveReply(const GossipMessage &reply, Instant now);
    /// Counts bytes that went over the wire, in either direction.
    void chargeBytes(std::size_t bytes, Instant now);

private:
    GossipMessage makeMessage(const std::string &peer, Instant now);
    GossipOutcome absorb(const GossipMessage &message, Instant now);
    void absorbDelta(const Delta &delta, std::uint32_t sends, GossipOutcome &outcome, Instant now);
    std::vector<std::string> peersOfRound();
    bool store(const Delta &delta, std::uint32_t sends, Instant now);
    void hurry(Instant now);
    void hurryAsOrigin(Instant now);
    void addPeerRecord(const std::string &peer, GossipMessage &message) const;
    bool mayCompare(Instant now) const;
    void age(Instant now);
    DeltaScope scopeWith(const std::string &peer) const;
    std::uint32_t sends() const;
    std::uint32_t sendsOf(const Delta &delta) const;

    GossipOptions m_options;
    Membership m_membership;
    GossipTable m_table;
    GossipPeers m_peers;
    GossipBudget m_budget;
    std::uint64_t m_configOffset = 0;
    Instant m_nextRound{};
    std::optional<Instant> m_lastAge;
    bool m_mayOverdraw = false; ///< the next round runs whatever the budget says
    std::size_t m_nextPeers = 1;
    std::uint32_t m_urgentRounds = 0;
    std::vector<std::string> m_doubtful; ///< peers to call again in the next round
    bool m_joined = false;
    bool m_digestDiffered = false;
    std::size_t m_compareFrom = 0;
    std::optional<Instant> m_lastCompare;
    std::optional<Instant> m_lastFullState;
};

/// Returns four more than twice the binary logarithm of @p members: a few spare sends for small fleets.
std::uint32_t sendsForFleet(std::size_t members);

} // namespace auburndrum::decision
