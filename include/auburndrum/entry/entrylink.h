#pragma once

#include "auburndrum/decision/gossip.h"
#include "auburndrum/entry/claimforwarder.h"
#include "auburndrum/entry/configexchange.h"
#include "auburndrum/entry/peercuts.h"
#include "auburndrum/entry/timelinecollector.h"

#include <QObject>
#include <QTimer>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace auburndrum::entry {

struct EntryLinkOptions
{
    decision::MemberRecord self; ///< its incarnation grows with every start: milliseconds since the Unix epoch will do
    std::string fleetSecret;
    std::vector<std::string> seeds; ///< "IP:PORT" of entry VMs to call when the platform's list is not there
    std::size_t configReadersPerZone = 2;
    decision::GossipOptions gossip;
    decision::MembershipOptions membership; ///< its self is taken from above
    PeerClientOptions client; ///< name and secret are taken from above
    ClaimForwarderOptions claims;
};

/// What the daemon hears and is asked. All run on the event loop's thread; empty ones are left out.
struct EntryLinkHooks
{
    std::function<void(const decision::MemberRecord &)> onMemberChange;
    std::function<void(const decision::LeavingServer &)> onLeavingServer;
    std::function<void(const decision::LinkDemand &)> onLinkDemand;
    std::function<void(const decision::CircuitReport &)> onCircuit;
    std::function<void(bool isReader)> onConfigReader; ///< whether this process has to read the log itself
    std::function<void()> onSupplanted; ///< another process runs under this one's name
    ConfigExchangeHooks config;
    TimelineCollector::Report timelineReport;
};

/// @brief This entry VM's side of everything that entry VMs share: membership, small facts, configuration, claims and time lines.
///
/// Lives on the event loop's thread.
class EntryLink : public QObject
{
public:
    /// @p http outlives this object.
    EntryLink(net::HttpClient &http, EntryLinkOptions options, EntryLinkHooks hooks, QObject *parent = nullptr);
    ~EntryLink() override;

    void start();
    void stop();
    /// Answers @p exchange when it is a call by a peer. Returns whether it was.
    bool handle(const std::shared_ptr<net::Exchange> &exchange);

    /// Takes the entry VMs of the platform's list.
    void mergeList(const std::vector<decision::ListedVm> &list);
    /// Tells peers a fact: a leaving backend server, a link demand, a circuit.
    void announce(const decision::DeltaValue &value);
    /// Tells peers that this process leaves.
    void leave();
    /// Notes that this process's configuration covers @p offset.
    void setConfigOffset(std::uint64_t offset);
    /// Takes the whole configuration of a peer, for a start while the log is down.
    void fetchFold(std::function<void(bool adopted)> done);
    /// Collects the time lines of all processes.
    void collectTimeline(const std::string &filterJson, std::function<void(const TimelineCollection &)> done);

    const decision::Membership &membership() const;
    bool isConfigReader() const;
    std::uint64_t configOffset() const;
    ClaimForwarder &claims();
    /// Control bytes of this process since its start, both directions.
    std::uint64_t bytes() const;

    /// Cuts peers or the platform off, for tests. The platform's part is for the daemon to heed.
    void setCuts(const PeerCuts &cuts);
    const PeerCuts &cuts() const;

private:
    void handleTimer();
    void arm();
    void send(const decision::OutgoingGossipMessage &send);
    void handleAnswer(const decision::OutgoingGossipMessage &send, const EntryResult<std::string> &result);
    RpcResult takeGossip(const std::string &paramsJson);
    void handleOutcome(const std::string &peer, const decision::GossipChanges &outcome);
    void tell(const decision::DeltaValue &value);
    void updateRole();
    void countBytes(std::size_t bytes);
    void addSeeds(std::vector<decision::ListedVm> &list) const;
    std::string addressOf(const std::string &peer) const;

    EntryLinkOptions m_options;
    EntryLinkHooks m_hooks;
    PeerCuts m_cuts;
    PeerClient m_client;
    PeerServer m_server;
    decision::Gossip m_gossip;
    ConfigExchange m_config;
    ClaimForwarder m_claims;
    TimelineCollector m_timeline;
    QTimer m_timer;
    std::vector<decision::ListedVm> m_list;
    std::uint64_t m_bytes = 0;
    bool m_isReader = false;
    bool m_isRunning = false;
    bool m_saidSupplanted = false;
};

} // namespace auburndrum::entry
