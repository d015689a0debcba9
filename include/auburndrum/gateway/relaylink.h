#pragma once

#include "auburndrum/decision/traffic/relaydirectory.h"
#include "auburndrum/entry/peerclient.h"
#include "auburndrum/entry/peerserver.h"
#include "auburndrum/gateway/gatewaystate.h"
#include "auburndrum/gateway/keptlog.h"
#include "auburndrum/gateway/recordstore.h"
#include "auburndrum/gateway/relaymessages.h"
#include "auburndrum/gateway/topicrelay.h"
#include "auburndrum/net/httpserver.h"

#include <QObject>
#include <QTimer>

#include <chrono>
#include <functional>
#include <map>
#include <string>

namespace auburndrum::gateway {

/// The one call between entry VMs; its parameters are a RelayQuestion, its result a RelayAnswer.
constexpr char RelayMethod[] = "relay.poll";

/// Options of a RelayLink.
struct RelayLinkOptions
{
    decision::EntryVm self; ///< its address is where it listens; port 0: any free one
    std::map<std::string, std::string, std::less<>> regionOfZone;
    std::string topic; ///< in which entry VMs register; empty: this VM reads everything for itself
    /// The registration of VMs that start together takes about a second, as measured on the platform.
    std::chrono::milliseconds directoryDelay{0};
    std::chrono::milliseconds pollInterval{200}; ///< a few of these are short against the bounds on news from the store, 2.5 s and more
    std::chrono::milliseconds connectTimeout{250}; ///< many times the way within a zone
    std::chrono::milliseconds answerTimeout{400}; ///< the same, and a pause of a busy relay's processor
    std::chrono::milliseconds maxAge{1800}; ///< of news from the store by way of a relay: its longest read, and one more question
    std::chrono::milliseconds longestRead{1000}; ///< by a VM that others may ask, so that it knows soon when the store is silent
    std::size_t allowedReaders = 12; ///< of each prompt store, when the configuration says nothing
};

/// What a RelayLink tells.
struct RelayLinkHooks
{
    std::function<void(bool follows)> onFollowStores; ///< this VM follows the prompt stores itself from now on, or no longer
    std::function<void(const KeptNews &)> onKept; ///< news of a prompt store by way of the relay
};

/// @brief Reads the store's topics and the prompt stores' news by way of the zone's relay in a large fleet, and is the relay for others.
///
/// Each call to the platform's store has its price, and a prompt store has few places for readers. In a small fleet, and when no relay
/// answers, everything is read directly. VMs find each other through a topic of the store. Lives on the event loop's thread.
class RelayLink : public QObject
{
    Q_OBJECT

public:
    RelayLink(RelayLinkOptions options, GatewayState &state, RecordStore store, RelayLinkHooks hooks, QObject *parent = nullptr);

    /// Listens and registers. The address in use, with port 0 when it can't be had.
    net::Address start();
    /// Answers no further questions, so that others look for another relay before this process ends.
    void stop();
    /// The store, whose reads may go by way of the relay.
    RecordStore hooks();
    /// Takes how many readers each prompt store of the configuration in force allows.
    void configure();
    /// Whether news from the store come by way of a relay that has them from the store itself.
    bool isRelayed() const;
    /// What this VM hears of the prompt stores, to be told to others.
    KeptLog &keptLog()
    {
        return m_keptLog;
    }

private:
    struct WaitingRead
    {
        std::uint64_t from = 0;
        Instant until{}; ///< suspend-aware
        std::function<void(StoreResult<RecordBatch>)> done;
    };

    void registerSelf();
    void readDirectory(const std::string &afterKey);
    void takeDirectory(const StoreResult<NewestPage> &page);
    void read(const std::string &topic, std::uint64_t from, std::chrono::milliseconds wait, std::function<void(StoreResult<RecordBatch>)> done);
    void readDirectly(const std::string &topic, std::uint64_t from, std::chrono::milliseconds wait, std::function<void(StoreResult<RecordBatch>)> done);
    void readWaitingDirectly();
    entry::RpcResult answer(const std::string &question);
    bool isCrowded() const;
    void update();
    void poll();
    void ask(const decision::EntryVm &relay);
    void takeAnswer(const decision::EntryVm &relay, const RelayQuestion &question, const RelayAnswer &answer, Instant askedAt);
    void takeTopics(const RelayQuestion &question, const RelayAnswer &answer, Instant askedAt);
    void relayFailed(const decision::EntryVm &relay, const std::string &reason);
    void setRelay(const std::string &name, const std::string &reason);
    void setFollowsStores(bool follows);

    RelayLinkOptions m_options;
    GatewayState &m_state;
    RecordStore m_store;
    RelayLinkHooks m_hooks;
    decision::RelayDirectory m_directory;
    TopicRelay m_topics;
    KeptLog m_keptLog;
    entry::PeerCuts m_noCuts;
    entry::PeerClient m_peers;
    entry::PeerServer m_peerServer;
    net::HttpServer m_server;
    QTimer m_poll;
    std::map<std::string, WaitingRead> m_waiting; ///< by topic
    std::string m_relay; ///< name of the relay in use; empty while this VM reads for itself
    bool m_asking = false;
    bool m_stopped = false;
    bool m_knowsDirectory = false;
    bool m_followsStores = false;
    bool m_isFresh = false; ///< the relay's last answer was recent news from the store
    Instant m_answeredAt{}; ///< the relay's last answer, suspend-aware
    std::string m_otherLog; ///< the relay's log of prompt stores' news
    std::uint64_t m_otherNext = 0;
};

} // namespace auburndrum::gateway
