#pragma once

#include "auburndrum/decision/traffic/relaydirectory.h"
#include "auburndrum/entry/peerclient.h"
#include "auburndrum/entry/peerserver.h"
#include "auburndrum/gateway/gatewaystate.h"
#include "auburndrum/gateway/pausedetector.h"
#include "auburndrum/gateway/promptstorelog.h"
#include "auburndrum/gateway/readbudget.h"
#include "auburndrum/gateway/recordstore.h"
#include "auburndrum/gateway/relaymessages.h"
#include "auburndrum/gateway/topiccache.h"
#include "auburndrum/net/httpserver.h"

#include <QObject>
#include <QTimer>

#include <chrono>
#include <functional>
#include <map>
#include <set>
#include <string>

namespace auburndrum::gateway {

/// The one call between entry VMs; its parameters are a RelayRequest, its result a RelayResponse.
constexpr char RelayMethod[] = "relay.poll";

/// Options of a RelayLink.
struct RelayLinkOptions
{
    decision::EntryVm self; ///< its address is where it listens; port 0: any free one
    std::map<std::string, std::string, std::less<>> regionOfZone;
    std::string directoryTopic; ///< topic in which entry VMs register; empty: this VM reads everything directly
    /// Delay until VMs that start together have all registered, which takes about a second.
    std::chrono::milliseconds directoryDelay{0};
    ReadBudget budget; ///< of the time in which a change must be in force
    std::chrono::milliseconds connectTimeout{250}; ///< many times the round trip within a zone
    std::chrono::milliseconds answerTimeout{400}; ///< of calls between entry VMs: many times the round trip within a zone, and a scheduling pause
    /// Of polls: a relay of a crowded zone has queues. A change is in time all the same, as reads that become due go to the store meanwhile.
    std::chrono::milliseconds pollTimeout{1000};
    /// A VM that another one polls is a relay for this time. A VM that lost its relay polls the next one, whose own relay may still answer.
    std::chrono::milliseconds serveTime{5000};
    std::size_t defaultAllowedReaders = 12; ///< readers that each prompt store allows, when the configuration names no number
    /// As TopicCacheOptions::digestOf.
    std::function<std::optional<std::uint64_t>(const std::string &topic, const StoreRecord &record)> digestOf;
};

/// Hooks that a RelayLink calls.
struct RelayLinkHooks
{
    std::function<void(bool follows)> onFollowsStoresChanged; ///< this VM follows the prompt stores itself from now on, or no longer
    std::function<void(const PromptStoreLogEntry &)> onPromptStoreEntry; ///< an update of a prompt store, received from the relay
};

/// @brief Reads the store's topics and the prompt stores' updates through the zone's relay in a large fleet, and acts as relay for others.
///
/// Each call to the platform's store has a cost, and a prompt store allows few readers. In a small fleet, and when no relay responds, everything
/// is read directly. VMs find each other through a topic of the store. Lives on the event loop's thread.
class RelayLink : public QObject
{
    Q_OBJECT

public:
    RelayLink(RelayLinkOptions options, GatewayState &state, RecordStore store, RelayLinkHooks hooks, QObject *parent = nullptr);

    /// Listens and registers. The address in use, with port 0 when it can't be had.
    net::Address start();
    /// Refuses further polls, so that other VMs choose another relay before this process ends.
    void stop();
    /// The store, with reads that may go through the relay. A read that repeats a failed one of its topic doesn't wait for records.
    RecordStore relayedStore();
    /// How long a read may wait for records: shorter for a VM that others may poll, whose age adds to theirs.
    std::chrono::milliseconds longestRead() const;
    void setBudget(const ReadBudget &budget);
    /// Applies the number of readers that each prompt store of the configuration in force allows.
    void configure();
    /// Whether reads of records are sent to a relay first.
    bool hasRelay() const
    {
        return !m_relay.empty();
    }
    /// Whether records come from a relay that reads them from the store itself.
    bool isRelayed() const;
    /// @{ For other calls between entry VMs: the client, the methods that this VM serves, and the VMs known.
    entry::PeerClient &peers()
    {
        return m_peers;
    }
    /// Handles requests of callers that other VMs pass on; set before start().
    void setRequestHandler(std::function<void(const std::shared_ptr<net::Exchange> &)> handler)
    {
        m_requestHandler = std::move(handler);
    }
    /// Limits on these requests: those of the callers' own.
    void setRequestOptions(net::HttpServerOptions options);
    /// Whether the answers to all calls and requests of other VMs have left.
    bool isIdle() const
    {
        return m_server.isIdle();
    }
    /// As HttpServer::refuseUnreadRequests(), for those of other VMs.
    void refuseUnreadRequests()
    {
        m_server.refuseUnreadRequests();
    }
    /// As HttpServer::flush(), for those of other VMs.
    void flush()
    {
        m_server.flush();
    }
    void addMethod(const std::string &name, std::function<entry::RpcResult(const std::string &request)> handler);
    void addVm(const decision::EntryVm &vm);
    std::vector<decision::EntryVm> knownVms() const
    {
        return m_directory.vms();
    }
    std::optional<decision::EntryVm> findVm(std::string_view name) const
    {
        return m_directory.find(name);
    }
    const decision::EntryVm &self() const
    {
        return m_options.self;
    }
    /// Reads the directory again, for VMs that started meanwhile.
    void refreshDirectory();
    bool isDirectoryKnown() const
    {
        return m_isDirectoryKnown;
    }
    /// @}
    /// The updates that this VM receives from the prompt stores, for other VMs.
    PromptStoreLog &promptStoreLog()
    {
        return m_promptStoreLog;
    }

private:
    struct PendingRead
    {
        RecordQuery query;
        Instant deadline{}; ///< suspend-aware
        std::function<void(StoreResult<RecordBatch>)> done;
    };

    /// Pages of a snapshot that is being read.
    struct PendingSnapshot
    {
        NewestPage pages; ///< the end offset and the era are the first page's
        Instant answeredAt{}; ///< the earliest time at which the first page may have been given, suspend-aware
    };

    void registerSelf();
    void readDirectory(const std::string &afterKey);
    void handleDirectory(const StoreResult<NewestPage> &page);
    void readNewest(const std::string &topic, const std::string &afterKey, std::function<void(StoreResult<NewestPage>)> done);
    /// Collects the pages of a topic's snapshot for the VMs that poll this one.
    void addPage(const std::string &topic, const std::string &afterKey, const NewestPage &page, Instant answeredAt);
    void read(const RecordQuery &query, std::function<void(StoreResult<RecordBatch>)> done);
    void readDirectly(const RecordQuery &query, std::function<void(StoreResult<RecordBatch>)> done);
    /// As readDirectly(), for the rest of the time in which the read may wait.
    void readDirectly(const PendingRead &read);
    void readPendingDirectly();
    /// Greatest age of records read through a relay.
    std::chrono::milliseconds maxRelayedAge() const;
    void handleEra(std::uint64_t era);
    entry::RpcResult handlePoll(const std::string &request);
    bool needsRelay() const;
    void updateMode();
    void poll();
    void sendPoll(const decision::EntryVm &relay);
    void handleResponse(const decision::EntryVm &relay, const RelayRequest &request, const RelayResponse &response, Instant polledAt);
    void completePendingReads(const RelayRequest &request, const RelayResponse &response, Instant polledAt);
    void handleRelayFailure(const decision::EntryVm &relay, const std::string &reason);
    void setRelay(const std::string &name, const std::string &reason);
    void setFollowsStores(bool follows);

    RelayLinkOptions m_options;
    GatewayState &m_state;
    RecordStore m_store;
    RelayLinkHooks m_hooks;
    decision::RelayDirectory m_directory;
    TopicCache m_topicCache;
    PromptStoreLog m_promptStoreLog;
    entry::PeerCuts m_noCuts;
    entry::PeerClient m_peers;
    entry::PeerClient m_relayClient; ///< for polls
    entry::PeerServer m_peerServer;
    net::HttpServer m_server;
    std::function<void(const std::shared_ptr<net::Exchange> &)> m_requestHandler;
    QTimer m_pollTimer;
    PauseDetector m_pauses;
    std::map<std::string, PendingRead> m_pendingReads; ///< by topic
    std::map<std::string, PendingSnapshot> m_snapshots; ///< by topic
    std::set<std::string> m_failedTopics; ///< topics whose last direct read failed
    std::string m_relay; ///< name of the relay in use; empty while this VM reads directly
    std::uint64_t m_era = 0; ///< of the store, as the last response told it; 0 when unknown
    std::optional<Instant> m_askedAt; ///< when another VM polled this one last, suspend-aware
    int m_unansweredPolls = 0; ///< of the relay in use, in a row
    bool m_isPolling = false;
    bool m_isStopped = false;
    bool m_isDirectoryKnown = false;
    bool m_isReadingDirectory = false;
    bool m_followsStores = false;
    bool m_isFresh = false; ///< whether the relay's last response was recent
    Instant m_lastResponseAt{}; ///< time of the relay's last response, suspend-aware
    bool m_needsSnapshot = false; ///< the next poll requests the relay's whole log of the prompt stores
    std::string m_relayLogName; ///< name of the relay's log of prompt store updates
    std::uint64_t m_relayLogNext = 0;
};

} // namespace auburndrum::gateway
