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
    decision::MemberRecord self; ///< its incarnation must grow with every start, such as milliseconds since the Unix epoch
    std::string fleetSecret;
    std::vector<std::string> seeds; ///< "IP:PORT" of entry VMs to contact when the platform's list of VMs is not available
    std::size_t configReadersPerZone = 2;
    decision::GossipOptions gossip;
    decision::MembershipOptions membership; ///< its self is replaced by self above
    PeerClientOptions client; ///< its name and fleetSecret are replaced by those above
    ClaimForwarderOptions claims;
};

/// Functions that an EntryLink calls on updates and requests from peers. All run on the event loop's thread; empty ones are skipped.
struct EntryLinkHooks
{
    std::function<void(const decision::MemberRecord &)> onMemberChange;
    std::function<void(const decision::LeavingServer &)> onLeavingServer;
    std::function<void(const decision::LinkDemand &)> onLinkDemand;
    std::function<void(const decision::CircuitReport &)> onCircuitReport;
    std::function<void(bool isReader)> onConfigReaderChange; ///< runs when this process starts or stops being one that reads the log itself
    std::function<void()> onReplaced; ///< another process runs under this process's name; called once
    ConfigExchangeHooks config;
    TimelineCollector::ReportProvider timelineReport;
};

/// @brief This entry VM's end of all exchange between entry VMs: membership, gossip deltas, configuration, forwarded claims and timelines.
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
    /// Responds to @p exchange if it is a call by a peer. Returns whether it is one.
    bool handle(const std::shared_ptr<net::Exchange> &exchange);

    /// Replaces the list of entry VMs that the platform reports. Adds the configured seeds that are not known yet.
    void setListedVms(const std::vector<decision::ListedVm> &list);
    /// Sends peers a value by gossip: a leaving backend server, a link demand or a circuit breaker's state.
    void announce(const decision::DeltaValue &value);
    /// Announces to peers that this process is leaving.
    void leave();
    /// Records that this process's configuration covers the log up to @p offset, and announces it to peers.
    void setConfigOffset(std::uint64_t offset);
    /// Fetches the complete configuration from a peer, for a start while the log is down.
    void fetchFold(std::function<void(bool adopted)> done);
    /// Collects the timelines of this process and all known peers.
    void collectTimeline(const std::string &filterJson, std::function<void(const TimelineCollection &)> done);

    const decision::Membership &membership() const;
    bool isConfigReader() const;
    std::uint64_t configOffset() const;
    ClaimForwarder &claims();
    /// Bytes of all calls between entry VMs since the start of this process, in both directions.
    std::uint64_t controlBytes() const;

    /// Simulates a network partition, for tests. This class applies only the cuts of peers; PeerCuts::platform is for the daemon to apply.
    void setCuts(const PeerCuts &cuts);
    const PeerCuts &cuts() const;

private:
    void runRound();
    void scheduleNextRound();
    void send(const decision::OutgoingGossipMessage &outgoing);
    void handleReply(const decision::OutgoingGossipMessage &outgoing, const EntryResult<std::string> &result);
    RpcResult handleGossip(const std::string &paramsJson);
    void handleChanges(const std::string &peer, const decision::GossipChanges &changes);
    void callHook(const decision::DeltaValue &value);
    void updateConfigReader();
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
    std::vector<decision::ListedVm> m_listedVms;
    std::uint64_t m_controlBytes = 0;
    bool m_isConfigReader = false;
    bool m_isRunning = false;
    bool m_hasReportedReplacement = false;
};

} // namespace auburndrum::entry
