#include "auburndrum/gateway/gateway.h"

#include "forwardedrequest.h"
#include "stoptimes.h"

namespace auburndrum::gateway {

namespace {

using std::chrono::milliseconds;

constexpr qint64 MaxBufferedBodyBytes = 256 * 1024; // larger bodies are forwarded as they arrive, and can't be sent again
constexpr milliseconds ExpiryInterval{250}; // between checks for expired entries; short against their grace period of 2 s
// Requests are sent only when they are expected to begin this long before the limit; those that wait longer are taken back shortly before it.
constexpr milliseconds WeightsMargin{1000};
constexpr milliseconds NotableLag{250}; // half of the time within which a server must hear that a caller left

decision::ServerChooserOptions chooserOptions(const GatewayOptions &options)
{
    decision::ServerChooserOptions it;
    it.zone = options.zone;
    it.regionOfZone = options.regionOfZone;
    it.outdatedWeightsGrace = options.outdatedWeightsLimit - WeightsMargin;
    return it;
}

decision::ResponseMemoryOptions responseMemoryOptions(std::uint64_t memoryBytes)
{
    // The rest is for the program, its connections and the callers' requests.
    return {.maxTotalBytes = memoryBytes / 8, .maxResponseBytes = memoryBytes / 32};
}

RelayLinkOptions relayOptions(const GatewayOptions &options, const RecordReaders &readers)
{
    RelayLinkOptions it;
    it.self = {options.vm, net::toText(options.peerAddress), options.zone, options.linkMegabits};
    it.regionOfZone = options.regionOfZone;
    it.directoryTopic = options.entryTopic;
    it.directoryDelay = options.directoryDelay;
    it.budget = ReadBudget::of(options.changeTime);
    it.digestOf = [topic = options.backendTopic, read = readers.readBackendServer](const std::string &name, const StoreRecord &record) {
        std::string problem; // told by the feed of the topic
        const auto server = name == topic && record.value ? read(record.key, toView(*record.value), problem) : std::nullopt;
        return server ? std::optional(decision::digestOf(*server)) : std::nullopt;
    };
    return it;
}

net::HttpServerOptions callerOptions(const decision::CallerLimits &limits, int maxConnections)
{
    net::HttpServerOptions it;
    it.maxHeaderBytes = limits.maxHeaderBytes;
    it.maxBodyBytes = limits.maxBodyBytes;
    it.maxConnections = maxConnections;
    it.requestTimeout = limits.headerTimeout;
    it.bodyTimeout = limits.idleTimeout;
    it.idleTimeout = limits.idleTimeout;
    it.bodyStreamingThreshold = MaxBufferedBodyBytes;
    return it;
}

} // namespace

Gateway::Gateway(GatewayOptions options, Wire wire, RecordReaders readers, RecordStore store, EngineControl engines, QObject *parent)
    : QObject(parent)
    , m_options(std::move(options))
    , m_readers(std::move(readers))
    , m_engines(std::move(engines))
    , m_state(chooserOptions(m_options),
              {.vm = m_options.vm, .write = m_options.writeLog},
              std::move(wire),
              m_options.retries,
              responseMemoryOptions(m_options.memoryBytes))
    , m_callerServer(serverOptions({}, "callers", m_options.maxConnections),
                     [this](const std::shared_ptr<net::Exchange> &exchange) {
                         const LoopWork::Span span(m_state.work, LoopWork::Kind::Requests);
                         std::make_shared<ForwardedRequest>(m_state, exchange, ForwardedRequest::Source::Caller)->start();
                     })
    , m_readinessServer({},
                        [this](const std::shared_ptr<net::Exchange> &exchange) {
                            handleReadiness(exchange);
                        })
    , m_relayLink(relayOptions(m_options, m_readers),
                  m_state,
                  std::move(store),
                  {.onFollowsStoresChanged =
                       [this](bool follows) {
                           m_promptStoreReader.setPolling(follows);
                       },
                   .onPromptStoreEntry =
                       [this](const PromptStoreLogEntry &entry) {
                           m_promptStoreReader.applyLogEntry(entry);
                       }})
    , m_peerExchange(m_state, m_relayLink)
    , m_streamOriginLink(m_state, m_relayLink)
    , m_pathProbe(m_state)
    , m_store(m_relayLink.relayedStore())
    , m_operatorFeed(feedOptions(m_options.operatorTopic),
                     m_store,
                     feedHooks(m_options.operatorTopic,
                               [this](const std::string &key, const std::optional<QByteArray> &value, bool /*duringOutage*/) {
                                   return applyOperatorRecord(key, value);
                               }))
    , m_backendFeed(feedOptions(m_options.backendTopic),
                    m_store,
                    feedHooks(m_options.backendTopic,
                              [this](const std::string &key, const std::optional<QByteArray> &value, bool duringOutage) {
                                  return applyBackendRecord(key, value, duringOutage);
                              }))
    , m_weightUpdater({.vm = m_options.vm,
                       .orderInterval = m_options.orderInterval,
                       .mayHoldLease =
                           [this] {
                               return !m_relayLink.isRelayed();
                           }},
                      m_state,
                      m_store,
                      m_engines)
    , m_promptStoreReader({},
                          m_state,
                          m_engines,
                          {.onUpdate =
                               [this](const std::string &address, const decision::PromptStoreUpdate &report) {
                                   m_relayLink.promptStoreLog().addUpdate(address, report);
                               },
                           .onUnreachable =
                               [this](const std::string &address) {
                                   m_relayLink.promptStoreLog().addUnreachable(address);
                               }})
{
    m_state.outdatedWeightsLimit = m_options.outdatedWeightsLimit;
    m_state.changeTime = m_options.changeTime;
    m_state.configurationCompleteAt = [this] {
        return m_operatorFeed.completeAt();
    };
    m_state.pauses.setLeavingTime(m_options.drainTime);
    m_state.brittle.setSettleTime(m_options.startSettleTime);
    m_state.maxHeldBodyBytes = static_cast<qint64>(m_options.memoryBytes / 16);
    m_relayLink.setRequestHandler([this](const std::shared_ptr<net::Exchange> &exchange) {
        handleRelayedRequest(exchange);
    });
    m_state.otherVms = [this] {
        std::vector<decision::EntryVm> vms = m_relayLink.knownVms();
        std::erase_if(vms, [this](const decision::EntryVm &it) {
            return it.name == m_options.vm;
        });
        return vms;
    };
    connect(&m_expiryTimer, &QTimer::timeout, this, &Gateway::expireServers);
    connect(&m_stopTimer, &QTimer::timeout, this, &Gateway::finishStop);
}

Gateway::~Gateway() = default;

KeyedFeedOptions Gateway::feedOptions(const std::string &topic)
{
    KeyedFeedOptions it;
    it.topic = topic;
    it.budget = ReadBudget::of(m_options.changeTime);
    it.linkMegabits = m_options.linkMegabits;
    it.hasRelay = [this] {
        return m_relayLink.hasRelay();
    };
    it.longestRead = [this] {
        return m_relayLink.longestRead();
    };
    return it;
}

KeyedFeedHooks Gateway::feedHooks(const std::string &topic, std::function<bool(const std::string &, const std::optional<QByteArray> &, bool)> onChange)
{
    KeyedFeedHooks hooks;
    hooks.onChange = std::move(onChange);
    hooks.onSynced = [this, topic] {
        m_state.log.write(LinePriority::Notable, "topic_synced", {{"topic", topic}, {"servers_known", m_state.servers.size()}});
    };
    hooks.onBatch = [this, topic](const BatchReport &report) {
        logBatch(topic, report);
    };
    hooks.onOverdue = [this, topic](int repeats, milliseconds waited, std::optional<milliseconds> sinceBytes) {
        logOverdue(topic, repeats, waited, sinceBytes);
    };
    hooks.onStoreLost = [this, topic](StoreError error) {
        m_state.log.write(LinePriority::Notable, "dependency_lost", {{"dependency", "store"}, {"topic", topic}, {"error", toText(error)}});
    };
    hooks.onEra = [this](std::uint64_t era) {
        m_state.storeEra.onResponse(suspendAwareNow(), era);
    };
    hooks.onNewEra = [this, topic](std::uint64_t era) {
        m_state.log.write(LinePriority::Notable, "store_era", {{"topic", topic}, {"era", era}});
    };
    hooks.onStoreRegained = [this, topic] {
        m_state.log.write(LinePriority::Notable, "dependency_regained", {{"dependency", "store"}, {"topic", topic}});
    };
    return hooks;
}

bool Gateway::start()
{
    const net::Address callers = m_callerServer.listenOn(m_options.callerAddress);
    const net::Address readiness = m_readinessServer.listenOn(m_options.readinessAddress);
    m_state.log.write(LinePriority::Notable, "start", {{"zone", m_options.zone}, {"callers", net::toText(callers)}, {"readiness", net::toText(readiness)}});
    if (callers.port == 0 || readiness.port == 0) {
        return false;
    }
    const bool hasPeers = !m_options.entryTopic.empty();
    if (m_relayLink.start().port == 0 && hasPeers) {
        return false;
    }
    if (hasPeers && !m_streamOriginLink.start()) {
        return false;
    }
    m_peerExchange.start();
    m_operatorFeed.start();
    m_backendFeed.start();
    m_weightUpdater.start();
    m_lastExpiryAt = monotonicNow();
    m_expiryTimer.setTimerType(Qt::PreciseTimer);
    m_expiryTimer.start(ExpiryInterval);
    return true;
}

bool Gateway::isReady() const
{
    return !m_isStopping && m_state.configuration && m_backendFeed.isSynced();
}

void Gateway::handleReadiness(const std::shared_ptr<net::Exchange> &exchange)
{
    if (exchange->path() == "/metrics") {
        exchange->respond(200, {{"Content-Type", "text/plain; version=0.0.4"}}, QByteArray::fromStdString(m_state.registry.text()));
        return;
    }
    exchange->respond(isReady() ? 200 : 503, {}, {});
}

void Gateway::handleRelayedRequest(const std::shared_ptr<net::Exchange> &exchange)
{
    const LoopWork::Span span(m_state.work, LoopWork::Kind::Requests);
    if (m_isStopping) {
        std::vector<net::Header> headers;
        addFields(headers, RelayedAnswer{.vm = m_options.vm, .hasNoPath = true});
        exchange->respond(503, headers, {});
        return;
    }
    std::make_shared<ForwardedRequest>(m_state, exchange, ForwardedRequest::Source::EntryVm)->start();
}

void Gateway::applyConfiguration(decision::Configuration configuration)
{
    const std::uint64_t before = m_state.configuration ? m_state.configuration->version : 0;
    if (configuration.version <= before) {
        return;
    }
    m_state.configuration = std::make_shared<const decision::Configuration>(std::move(configuration));
    m_state.configurationAppliedAt = monotonicNow();
    m_state.chooser.configure(*m_state.configuration);
    m_state.storedPrompts.configure(m_state.configuration->promptStores);
    m_promptStoreReader.configure();
    m_relayLink.configure();
    m_callerServer.setOptions(serverOptions(m_state.configuration->limits, "callers", m_options.maxConnections));
    m_relayLink.setRequestOptions(serverOptions(m_state.configuration->limits, "entry_vms", m_options.maxConnections / 2));
    m_state.metrics.stateChanges.with({"configuration"}).Increment();
    const auto delay = observeChange(m_options.operatorTopic, m_operatorFeed);
    m_state.log.write(LinePriority::Notable,
                      "configuration",
                      {{"version", m_state.configuration->version},
                       {"before", before},
                       {"routes", m_state.configuration->routes.size()},
                       {"delay_ms", delay ? delay->count() : -1},
                       {"through", m_relayLink.isRelayed() ? "relay" : "store"}});
}

net::HttpServerOptions Gateway::serverOptions(const decision::CallerLimits &limits, const char *peers, int maxConnections)
{
    net::HttpServerOptions it = callerOptions(limits, maxConnections);
    it.maxAnnouncedIdle = MaxAnnouncedIdle;
    it.onUnfinishedClose = [this, peers](const net::UnfinishedClose &close) {
        m_state.metrics.unfinishedCloses.with({close.reason}).Increment();
        m_state.log.write(LinePriority::Notable,
                          "connection_closed",
                          {{"reason", close.reason},
                           {"peers", peers},
                           {"unread_bytes", close.unreadBytes},
                           {"partial_bytes", close.partialBytes},
                           {"unsent_bytes", close.unsentBytes},
                           {"received_ms", close.sinceLastReceived ? close.sinceLastReceived->count() : -1}});
    };
    it.onClose = [this, peers](const net::ConnectionClose &close) {
        m_state.metrics.closes.with({peers, close.reason, close.isAnnounced ? "yes" : "no"}).Increment();
        if (close.isAnnounced) {
            return;
        }
        m_state.log.write(LinePriority::Routine,
                          "connection_end",
                          {{"reason", close.reason},
                           {"peers", peers},
                           {"peer", net::toText(close.peer)},
                           {"announced_ms", std::chrono::milliseconds(close.announcedIdle).count()},
                           {"idle_ms", close.idle.count()},
                           {"requests", close.requests}});
    };
    return it;
}

void Gateway::measureLag()
{
    const Instant now = monotonicNow();
    const auto lag = std::max(milliseconds(0), std::chrono::floor<milliseconds>(now - m_lastExpiryAt) - ExpiryInterval);
    m_lastExpiryAt = now;
    m_state.metrics.loopLagSeconds.with().Observe(std::chrono::duration<double>(lag).count());
    m_lag.add(lag, now);
    const nlohmann::ordered_json work = m_state.work.take();
    if (lag < NotableLag) {
        return;
    }
    m_state.log.write(
        LinePriority::Notable,
        "loop_lag",
        {{"lag_ms", lag.count()}, {"open_requests", m_callerServer.openExchanges()}, {"connections", m_callerServer.connectionCount()}, {"work_ms", work}});
}

Instant Gateway::lastOnTime() const
{
    return std::min(monotonicNow(), m_lastExpiryAt + ExpiryInterval);
}

void Gateway::expireServers()
{
    measureLag();
    for (const std::string &it : m_state.servers.removeExpired(monotonicNow())) {
        m_state.chooser.forget(it);
        m_state.limits.forget(it);
        m_state.log.write(LinePriority::Notable, "backend_server", {{"server", it}, {"change", "lapsed"}});
    }
}

void Gateway::reload(const GatewayOptions &options)
{
    m_options.retries = options.retries;
    m_options.outdatedWeightsLimit = options.outdatedWeightsLimit;
    m_options.stopGrace = options.stopGrace;
    m_options.changeTime = options.changeTime;
    m_state.changeTime = options.changeTime;
    const ReadBudget budget = ReadBudget::of(options.changeTime);
    m_relayLink.setBudget(budget);
    m_operatorFeed.setBudget(budget);
    m_backendFeed.setBudget(budget);
    m_state.retryOptions = options.retries;
    m_state.retryAllowances.clear();
    m_state.outdatedWeightsLimit = m_options.outdatedWeightsLimit;
    m_state.chooser.setOutdatedWeightsGrace(chooserOptions(m_options).outdatedWeightsGrace);
    m_state.log.write(LinePriority::Notable,
                      "reload",
                      {{"retry_ratio", options.retries.ratio},
                       {"weights_ms", options.outdatedWeightsLimit.count()},
                       {"stop_grace_ms", options.stopGrace.count()},
                       {"moved", options.callerAddress != m_options.callerAddress}});
}

void Gateway::logRejectedSettings(const std::string &problem)
{
    m_state.log.write(LinePriority::Notable, "reload_failed", {{"problem", problem}});
}

} // namespace auburndrum::gateway
