#include "auburndrum/gateway/relaylink.h"

#include "auburndrum/base/randomid.h"
#include "guarded.h"

#include <algorithm>

namespace auburndrum::gateway {

namespace {

using decision::EntryVm;
using std::chrono::milliseconds;

constexpr milliseconds RetryDelay{1000}; // between attempts to register and to read the directory; the fleet works without a relay, at a higher cost
constexpr int MaxUnansweredPolls = 2; // in a row, before another relay is chosen
constexpr qint64 MaxRequestBytes = 256 * 1024; // enough for all evidence on crashes that a VM keeps

milliseconds since(Instant moment)
{
    return std::chrono::ceil<milliseconds>(suspendAwareNow() - moment);
}

net::HttpServerOptions peerOptions()
{
    net::HttpServerOptions it;
    it.maxBodyBytes = MaxRequestBytes;
    return it;
}

} // namespace

RelayLink::RelayLink(RelayLinkOptions options, GatewayState &state, RecordStore store, RelayLinkHooks hooks, QObject *parent)
    : QObject(parent)
    , m_options(std::move(options))
    , m_state(state)
    , m_store(std::move(store))
    , m_hooks(std::move(hooks))
    , m_directory({.vm = m_options.self.name, .regionOfZone = m_options.regionOfZone})
    , m_topicCache({.digestOf = m_options.digestOf})
    , m_promptStoreLog(m_options.self.name + "/" + randomId(), state.storedPrompts)
    , m_peers(state.client,
              m_noCuts,
              {.name = m_options.self.name, .fleetSecret = {}, .connectTimeout = m_options.connectTimeout, .answerTimeout = m_options.answerTimeout})
    , m_relayClient(state.client,
                    m_noCuts,
                    {.name = m_options.self.name, .fleetSecret = {}, .connectTimeout = m_options.connectTimeout, .answerTimeout = m_options.pollTimeout})
    , m_peerServer({}, m_noCuts)
    , m_server(peerOptions(), [this](const std::shared_ptr<net::Exchange> &exchange) {
        if (m_peerServer.handle(exchange)) {
            return;
        }
        if (m_requestHandler) {
            m_requestHandler(exchange);
            return;
        }
        exchange->respond(404, {}, {});
    })
{
    m_pollTimer.setSingleShot(true);
    connect(&m_pollTimer, &QTimer::timeout, this, &RelayLink::poll);
    m_peerServer.addMethod(RelayMethod, [this](const std::string & /*peer*/, const std::string &request) {
        return handlePoll(request);
    });
}

net::Address RelayLink::start()
{
    if (m_options.directoryTopic.empty()) {
        m_isDirectoryKnown = true;
        updateMode();
        return {};
    }
    net::Address listening = m_server.listenOn(net::parseAddress(m_options.self.address).value_or(net::Address{}));
    m_options.self.address = net::toText(listening);
    m_directory.put(m_options.self);
    registerSelf();
    return listening;
}

void RelayLink::registerSelf()
{
    const QByteArray value = QByteArray::fromStdString(toJson(m_options.self));
    m_store.put(
        m_options.directoryTopic, m_options.self.name, value, guarded(this, [this](const StoreResult<std::uint64_t> &result) {
            if (!result) {
                m_state.log.write(LinePriority::Notable, "registration_failed", {{"topic", m_options.directoryTopic}, {"error", toText(result.error())}});
                QTimer::singleShot(RetryDelay, this, &RelayLink::registerSelf);
                return;
            }
            QTimer::singleShot(m_options.directoryDelay, this, [this] {
                readDirectory({});
            });
        }));
}

void RelayLink::refreshDirectory()
{
    if (m_isDirectoryKnown && !m_isReadingDirectory && !m_options.directoryTopic.empty()) {
        readDirectory({});
    }
}

void RelayLink::readDirectory(const std::string &afterKey)
{
    m_isReadingDirectory = true;
    m_store.readNewest(m_options.directoryTopic, afterKey, guarded(this, [this](const StoreResult<NewestPage> &page) {
                           handleDirectory(page);
                       }));
}

void RelayLink::handleDirectory(const StoreResult<NewestPage> &page)
{
    if (!page) {
        m_state.log.write(LinePriority::Notable, "directory_unread", {{"topic", m_options.directoryTopic}, {"error", toText(page.error())}});
        QTimer::singleShot(RetryDelay, this, [this] {
            readDirectory({});
        });
        return;
    }
    for (const StoreRecord &it : page.value().records) {
        const auto vm = entryVmFrom(it.value.value_or(QByteArray()).toStdString());
        if (!vm) {
            m_state.log.write(LinePriority::Notable, "record_skipped", {{"topic", m_options.directoryTopic}, {"key", it.key}, {"problem", vm.error()}});
            continue;
        }
        if (vm.value().name != m_options.self.name) {
            addVm(vm.value());
        }
    }
    if (page.value().hasMore && !page.value().records.empty()) {
        readDirectory(page.value().records.back().key);
        return;
    }
    m_isReadingDirectory = false;
    if (!std::exchange(m_isDirectoryKnown, true)) {
        m_state.log.write(LinePriority::Notable, "entry_vms", {{"known", m_directory.size()}, {"crowded", needsRelay()}});
    }
    updateMode();
}

void RelayLink::configure()
{
    const auto stores = m_state.storedPrompts.addresses();
    const bool hasUnknown = std::any_of(stores.begin(), stores.end(), [this](const std::string &it) {
        return !m_state.storedPrompts.snapshot(it);
    });
    if (hasUnknown) {
        m_needsSnapshot = true; // the relay may have reported a new prompt store before this VM's configuration named it
    }
    updateMode();
}

bool RelayLink::needsRelay() const
{
    std::size_t allowed = m_options.defaultAllowedReaders;
    if (m_state.configuration) {
        for (const decision::PromptStoreTraits &it : m_state.configuration->promptStores) {
            if (it.maxReaders > 0) {
                allowed = std::min<std::size_t>(allowed, it.maxReaders);
            }
        }
    }
    return m_directory.needsRelay(allowed);
}

bool RelayLink::isRelayed() const
{
    return !m_relay.empty() && m_isFresh && since(m_lastResponseAt) <= maxRelayedAge();
}

void RelayLink::updateMode()
{
    if (!m_isDirectoryKnown) {
        return; // whether the prompt stores allow this VM as a reader is not known yet
    }
    if (!needsRelay()) {
        setRelay({}, "few entry VMs");
        setFollowsStores(true);
        return;
    }
    if (!m_pollTimer.isActive() && !m_isPolling) {
        m_pollTimer.start(m_options.budget.pollInterval);
    }
}

void RelayLink::poll()
{
    if (m_isPolling) {
        return;
    }
    if (!needsRelay()) {
        updateMode();
        return;
    }
    const bool isRelay = m_askedAt && since(*m_askedAt) < m_options.serveTime;
    const auto relay = isRelay ? std::nullopt : m_directory.chooseRelay(suspendAwareNow());
    if (!relay) {
        setRelay({}, isRelay ? "polled by other entry VMs" : "no other entry VM to poll");
        setFollowsStores(true);
        m_pollTimer.start(m_options.budget.pollInterval);
        return;
    }
    sendPoll(*relay);
}

void RelayLink::sendPoll(const EntryVm &relay)
{
    RelayRequest request;
    request.from = m_options.self;
    for (const auto &[topic, it] : m_pendingReads) {
        request.topics[topic] = it.query.from;
    }
    if (std::exchange(m_needsSnapshot, false)) {
        m_relayLogName.clear();
    }
    request.promptStoreLogName = m_relayLogName;
    request.promptStoreLogFrom = m_relayLogNext;
    m_isPolling = true;
    const Instant polledAt = suspendAwareNow();
    m_relayClient.call({relay.name, relay.address, RelayMethod, toJson(request)},
                       [this, relay, request, polledAt](const entry::EntryResult<std::string> &result) {
                           const LoopWork::Span span(m_state.work, LoopWork::Kind::StoreReads);
                           m_isPolling = false;
                           const bool isUnanswered = !result && result.error() == entry::EntryError::Unanswered;
                           if (isUnanswered && m_relay == relay.name && ++m_unansweredPolls < MaxUnansweredPolls) {
                               // A busy relay may be late once; reads that become due meanwhile go to the store.
                           } else if (!result) {
                               handleRelayFailure(relay, entry::toText(result.error()));
                           } else if (const auto response = relayResponseFrom(result.value()); !response) {
                               handleRelayFailure(relay, response.error());
                           } else if (!response.value().followsStores) {
                               handleRelayFailure(relay, "does not follow the stores itself");
                           } else {
                               handleResponse(relay, request, response.value(), polledAt);
                           }
                           m_pollTimer.start(m_options.budget.pollInterval);
                       });
}

void RelayLink::handleResponse(const EntryVm &relay, const RelayRequest &request, const RelayResponse &response, Instant polledAt)
{
    m_directory.recordSuccess(relay.name);
    m_unansweredPolls = 0;
    m_lastResponseAt = suspendAwareNow();
    setRelay(relay.name, "answers");
    setFollowsStores(false);
    completePendingReads(request, response, polledAt);
    m_relayLogName = response.promptStoreLog.logName;
    m_relayLogNext = response.promptStoreLog.nextEntry;
    for (const PromptStoreLogEntry &it : response.promptStoreLog.entries) {
        m_hooks.onPromptStoreEntry(it);
    }
}

void RelayLink::completePendingReads(const RelayRequest &request, const RelayResponse &response, Instant polledAt)
{
    if (request.topics.empty()) {
        return; // all reads in progress were direct, which says nothing new about the relay
    }
    const auto pending = std::exchange(m_pendingReads, {});
    bool isFresh = true;
    for (const auto &[topic, it] : pending) {
        if (!request.topics.contains(topic)) {
            m_pendingReads.try_emplace(topic, it); // began after the poll was sent; the next response covers it
            continue;
        }
        const auto relayed = response.topics.find(topic);
        const bool isUsable = relayed != response.topics.end() && relayed->second.age + since(polledAt) <= maxRelayedAge();
        if (!isUsable) {
            // The relay has lost the store, or no longer caches records that old.
            isFresh = false;
            readDirectly(it);
            continue;
        }
        RecordBatch batch = relayed->second;
        batch.age += since(polledAt);
        batch.isCompacted = true;
        handleEra(batch.era);
        if (batch.records.empty() && suspendAwareNow() < it.deadline) {
            m_pendingReads.try_emplace(topic, it);
            continue;
        }
        it.done(batch);
    }
    m_isFresh = isFresh;
}

void RelayLink::handleRelayFailure(const EntryVm &relay, const std::string &reason)
{
    m_directory.recordFailure(relay.name, suspendAwareNow());
    m_state.log.write(
        LinePriority::Notable, "dependency_lost", {{"dependency", "relay"}, {"relay", relay.name}, {"address", relay.address}, {"error", reason}});
    setRelay({}, "relay lost");
}

void RelayLink::setRelay(const std::string &name, const std::string &reason)
{
    if (m_relay == name) {
        return;
    }
    m_state.log.write(LinePriority::Notable, "relay", {{"relay", name}, {"before", m_relay}, {"reason", reason}, {"known", m_directory.size()}});
    m_state.metrics.stateChanges.with({"relay"}).Increment();
    m_relay = name;
    m_unansweredPolls = 0;
    if (m_relay.empty()) {
        m_isFresh = false;
        readPendingDirectly();
    }
}

void RelayLink::setFollowsStores(bool follows)
{
    if (m_followsStores == follows) {
        return;
    }
    m_followsStores = follows;
    m_hooks.onFollowsStoresChanged(follows);
}

} // namespace auburndrum::gateway
