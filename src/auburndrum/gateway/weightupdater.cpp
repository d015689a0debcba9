#include "auburndrum/gateway/weightupdater.h"

#include "auburndrum/base/randomid.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace auburndrum::gateway {

namespace {

using decision::Order;
using nlohmann::json;
using std::chrono::milliseconds;

constexpr milliseconds RepeatInterval{1500}; // between repeats of an order that had no effect; a load takes less than a second
constexpr milliseconds LoadTimeout{4000}; // after this time a load that has no effect frees its slot

decision::LeaseLogOptions leaseOptions(const WeightUpdaterOptions &options, const std::string &incarnation, absl::BitGenRef random)
{
    decision::LeaseLogOptions all;
    all.recoveryTime = std::max(options.maxOrderDelay + options.orderInterval, options.leaseDuration);
    decision::LeaseHolderOptions &it = all.holder;
    it.resource = WeightUpdater::LeaseResource;
    it.incarnation = incarnation;
    it.newNonce = randomId;
    it.duration = options.leaseDuration;
    it.safetyMargin = options.leaseMargin;
    it.orderTimeout = milliseconds(0); // the order interval is enforced per engine
    it.appendTimeout = options.appendTimeout;
    it.takeoverDelay = options.minStandbyDelay + milliseconds(absl::Uniform<std::int64_t>(random, 0, options.standbySpread.count()));
    return all;
}

/// A record that announces a load, or calls one off with version 0.
QByteArray announcementText(const std::string &server, std::uint64_t version, const std::string &holder)
{
    const json object = {{"loading", server}, {"version", version}, {"holder", holder}};
    return QByteArray::fromStdString(object.dump());
}

} // namespace

WeightUpdater::WeightUpdater(WeightUpdaterOptions options, GatewayState &state, const RecordStore &store, const EngineControl &engines, QObject *parent)
    : QObject(parent)
    , m_options(std::move(options))
    , m_state(state)
    , m_store(store)
    , m_engines(engines)
    , m_incarnation(m_options.vm + "/" + randomId())
    , m_leaseLog(leaseOptions(m_options, m_incarnation, state.random), suspendAwareNow())
{
    connect(&m_timer, &QTimer::timeout, this, &WeightUpdater::tick);
}

void WeightUpdater::start()
{
    m_timer.start(m_options.tickInterval);
}

std::size_t WeightUpdater::countOutdatedServers() const
{
    std::size_t count = 0;
    for (const auto &[model, named] : m_state.weights) {
        for (const auto &[id, entry] : m_state.servers.entries()) {
            const auto version = entry.server.weightVersions.find(model);
            if (version != entry.server.weightVersions.end() && !entry.server.isDraining && version->second < named.newestVersion()) {
                ++count;
            }
        }
    }
    return count;
}

std::vector<decision::ObservedServerState> WeightUpdater::observedStates(const std::string &model) const
{
    const std::uint64_t newest = m_state.weights.at(model).newestVersion();
    std::vector<decision::ObservedServerState> list;
    for (const auto &[id, entry] : m_state.servers.entries()) {
        const auto version = entry.server.weightVersions.find(model);
        if (version == entry.server.weightVersions.end()) {
            continue;
        }
        decision::ObservedServerState it;
        it.server = id;
        it.version = std::to_string(std::min(version->second, newest)); // newer weights were named too, in a record that the store lost
        it.isLeaving = entry.server.isDraining;
        list.push_back(std::move(it));
    }
    // The oldest weights first, since they reach their limit first; then the least busy server, since its load disturbs the fewest requests.
    const auto rank = [&](const decision::ObservedServerState &it) {
        return std::pair(std::stoull(it.version), m_state.chooser.ownRequests(it.server));
    };
    std::stable_sort(list.begin(), list.end(), [&](const auto &a, const auto &b) {
        return rank(a) < rank(b);
    });
    return list;
}

void WeightUpdater::tick()
{
    const LoopWork::Span span(m_state.work, LoopWork::Kind::WeightOrders);
    const std::size_t outdatedServers = countOutdatedServers();
    m_state.metrics.outdatedServers.with().Set(static_cast<double>(outdatedServers));
    const Instant now = suspendAwareNow();
    const bool isReadDue = !m_isReading && monotonicNow() - m_lastReadAt >= currentReadInterval();
    if (outdatedServers == 0) {
        m_leaseLog.onBehind();
        m_loads.clear();
        m_heldOrders.clear();
        m_callOffs.clear();
        if (m_finalReadAt && now >= *m_finalReadAt && isReadDue) {
            readTopic(); // so that the next roll-out needn't wait for orders of this one that it learns of only then
        }
        return;
    }
    m_finalReadAt = now + m_options.maxOrderDelay + m_options.orderInterval;
    if (isReadDue) {
        readTopic();
    }
    const bool isLeaseCandidate = !m_options.mayHoldLease || m_options.mayHoldLease() || m_leaseLog.fencingNumber(now);
    if (!m_leaseLog.isCurrent(now) || !isLeaseCandidate) {
        return;
    }
    if (!isWriting()) {
        writeDue(m_leaseLog.tick(now), planOrders());
    }
    pollLoads();
}

std::vector<WeightUpdater::PlannedOrder> WeightUpdater::planOrders()
{
    std::vector<PlannedOrder> due;
    const auto fencing = m_leaseLog.fencingNumber(suspendAwareNow());
    if (!fencing) {
        return due;
    }
    for (const auto &[model, named] : m_state.weights) {
        auto servers = observedStates(model);
        auto planner = m_planners.find(model);
        if (planner == m_planners.end()) {
            decision::OrderPlannerOptions options;
            options.repeatInterval = RepeatInterval;
            options.loadTimeout = LoadTimeout;
            planner = m_planners.emplace(model, decision::OrderPlanner(options)).first;
        }
        decision::DesiredServiceState desired;
        desired.version = std::to_string(named.newestVersion());
        for (decision::ObservedServerState &it : servers) {
            const bool isAllowed = isOrderAllowed(it.server);
            it.isOrderable = isAllowed && !m_ordersInProgress.contains(it.server);
            if (!isAllowed && !it.isLeaving && it.version != desired.version) {
                logHeldOrder(it.server, "ordered by another VM");
            }
        }
        const auto loads = std::lround(m_options.maxLoadingShare * static_cast<double>(servers.size()));
        planner->second.setMaxConcurrentLoads(std::max<std::size_t>(1, static_cast<std::size_t>(loads)));
        for (const Order &it : planner->second.plan(suspendAwareNow(), *fencing, desired, servers)) {
            due.push_back({model, it});
        }
        for (const auto &[server, reason] : planner->second.heldBack()) {
            logHeldOrder(server, reason);
        }
    }
    return due;
}

void WeightUpdater::writeDue(const std::optional<decision::LeaseRecord> &lease, const std::vector<PlannedOrder> &orders)
{
    const Instant now = suspendAwareNow();
    std::vector<QByteArray> records;
    if (lease) {
        records.push_back(leaseText(*lease));
    }
    std::vector<QByteArray> callOffs;
    if (m_leaseLog.fencingNumber(now)) { // else a successor may have announced a load of the same server meanwhile
        callOffs = std::exchange(m_callOffs, {});
        records.insert(records.end(), callOffs.begin(), callOffs.end());
    }
    for (const auto &[model, order] : orders) {
        m_ordersInProgress.insert(order.server);
        records.push_back(announcementText(order.server, std::stoull(order.value), m_incarnation));
    }
    if (records.empty()) {
        return;
    }
    // Other VMs may read the records before the store's response arrives here.
    append(records, [this, lease, callOffs, orders, now](std::optional<StoreError> error) {
        onDueWritten(lease, callOffs, orders, now, error);
    });
}

void WeightUpdater::onDueWritten(const std::optional<decision::LeaseRecord> &lease,
                                 const std::vector<QByteArray> &callOffs,
                                 const std::vector<PlannedOrder> &orders,
                                 Instant startedAt,
                                 std::optional<StoreError> error)
{
    if (error == StoreError::Conflict || error == StoreError::Refused) {
        m_callOffs.insert(m_callOffs.begin(), callOffs.begin(), callOffs.end());
    }
    if (error == StoreError::Conflict && lease) {
        m_leaseLog.onWriteRefused(*lease);
    }
    // After any other error the topic shows whether the lease is there.
    for (const auto &[model, order] : orders) {
        if (error) {
            skipOrder(order, model, "not announced"); // no other VM would know of it
            continue;
        }
        QTimer::singleShot(m_options.announceLeadTime, this, [this, model = model, order = order, startedAt] {
            prepareOrder(model, order, startedAt);
        });
    }
}

void WeightUpdater::prepareOrder(const std::string &model, const Order &order, Instant announcedAt)
{
    const auto *entry = m_state.servers.find(order.server);
    if (entry == nullptr) {
        skipOrder(order, model, "not listed");
        return;
    }
    m_engines.readReport(entry->server.address, guarded([this, model, order, announcedAt](const std::optional<EngineReport> &report) {
                             if (!report) {
                                 skipOrder(order, model, "no report");
                                 return;
                             }
                             sendOrder(model, order, *report, announcedAt);
                         }));
}

void WeightUpdater::sendOrder(const std::string &model, const Order &order, const EngineReport &report, Instant announcedAt)
{
    const auto *entry = m_state.servers.find(order.server);
    const std::uint64_t version = std::stoull(order.value);
    const auto has = report.weightVersions.find(model);
    if (has != report.weightVersions.end() && has->second >= version) {
        m_ordersInProgress.erase(order.server);
        recordLoaded(order.server, model, has->second);
        return;
    }
    const auto newest = m_state.weights.find(model);
    const bool isCurrent = newest != m_state.weights.end() && newest->second.newestVersion() == version;
    const auto fencing = m_leaseLog.fencingNumber(suspendAwareNow());
    const bool isLate = suspendAwareNow() - announcedAt > m_options.maxOrderDelay;
    if (report.isExecutingOrder) {
        m_ordersInProgress.erase(order.server);
        m_loads[order.server] = OrderedLoad{model, version, monotonicNow(), true};
        logHeldOrder(order.server, "another order in progress");
        return;
    }
    if (entry == nullptr || !fencing || !isCurrent || isLate) {
        const char *const reason = entry == nullptr ? "not listed" : !fencing ? "no lease" : !isCurrent ? "newer version named" : "late";
        skipOrder(order, model, reason);
        return;
    }
    m_heldOrders.erase(order.server);
    WeightOrder it;
    it.address = entry->server.address;
    it.serverId = order.server;
    it.model = model;
    it.version = version;
    it.holder = m_options.vm;
    it.fencing = static_cast<std::uint64_t>(*fencing);
    it.expectedOrders = report.ordersAccepted;
    // Checked again just before the order leaves: opening the connection takes time, and the process may be paused.
    it.mayLeave = [self = QPointer<WeightUpdater>(this), announcedAt] {
        const Instant now = suspendAwareNow();
        return self && self->m_leaseLog.fencingNumber(now) && now - announcedAt <= self->m_options.maxOrderDelay;
    };
    m_loads[order.server] = OrderedLoad{model, version, monotonicNow()};
    QTimer::singleShot(m_options.orderAnswerTimeout, this, [this, it] {
        checkEffect(it);
    });
    m_engines.sendOrder(it, guarded([this, it](OrderAnswer answer) {
                            m_ordersInProgress.erase(it.serverId);
                            const auto load = m_loads.find(it.serverId);
                            if (load != m_loads.end() && load->second.version == it.version) {
                                load->second.isInEffect
                                    = answer == OrderAnswer::Accepted || answer == OrderAnswer::AlreadyHolds || answer == OrderAnswer::Conflict;
                            }
                            if (answer == OrderAnswer::StaleFencing) {
                                m_planners.at(it.model).onStaleFencing(static_cast<decision::Offset>(it.fencing));
                            }
                            m_state.log.write(LinePriority::Notable,
                                              "weight_order",
                                              {{"server", it.serverId},
                                               {"model", it.model},
                                               {"version", it.version},
                                               {"fencing", it.fencing},
                                               {"expected_orders", it.expectedOrders},
                                               {"answer", toText(answer)}});
                        }));
}

void WeightUpdater::logHeldOrder(const std::string &server, const std::string &reason)
{
    if (std::exchange(m_heldOrders[server], reason) != reason) {
        m_state.log.write(LinePriority::Notable, "order_held", {{"server", server}, {"reason", reason}});
    }
}

void WeightUpdater::skipOrder(const Order &order, const std::string &model, const std::string &reason)
{
    m_ordersInProgress.erase(order.server);
    m_state.log.write(LinePriority::Notable, "order_skipped", {{"server", order.server}, {"reason", reason}});
    callOff(model, order.server);
}

void WeightUpdater::checkEffect(const WeightOrder &order)
{
    const auto isOpen = [this, order] {
        const auto load = m_loads.find(order.serverId);
        return load != m_loads.end() && load->second.version == order.version && !load->second.isInEffect;
    };
    if (!isOpen()) {
        return;
    }
    m_engines.readReport(order.address, guarded([this, order, isOpen](const std::optional<EngineReport> &report) {
                             if (!isOpen()) {
                                 return;
                             }
                             if (report && (report->isExecutingOrder || report->ordersAccepted != order.expectedOrders)) {
                                 m_loads[order.serverId].isInEffect = true;
                                 return;
                             }
                             m_state.log.write(LinePriority::Notable, "order_called_off", {{"server", order.serverId}, {"version", order.version}});
                             callOff(order.model, order.serverId);
                         }));
}

void WeightUpdater::callOff(const std::string &model, const std::string &server)
{
    m_planners.at(model).onNoEffect(server);
    if (m_leaseLog.fencingNumber(suspendAwareNow())) {
        m_callOffs.push_back(announcementText(server, 0, m_incarnation)); // without it the announcement times out
    }
}

bool WeightUpdater::isOrderAllowed(const std::string &server) const
{
    const auto allowedAt = m_orderAllowedAt.find(server);
    return allowedAt == m_orderAllowedAt.end() || suspendAwareNow() >= allowedAt->second;
}

void WeightUpdater::pollLoads()
{
    const Instant now = monotonicNow();
    for (auto &[server, load] : m_loads) {
        if (now - load.lastPolledAt < m_options.loadPollInterval || m_ordersInProgress.contains(server)) {
            continue;
        }
        load.lastPolledAt = now;
        const auto *entry = m_state.servers.find(server);
        if (entry == nullptr) {
            continue;
        }
        m_engines.readReport(entry->server.address, guarded([this, server = server, load = load](const std::optional<EngineReport> &report) {
                                 const auto has = report ? report->weightVersions.find(load.model) : decltype(report->weightVersions.end()){};
                                 if (report && has != report->weightVersions.end() && has->second >= load.version) {
                                     recordLoaded(server, load.model, has->second);
                                 }
                             }));
    }
}

void WeightUpdater::recordLoaded(const std::string &server, const std::string &model, std::uint64_t version)
{
    m_loads.erase(server);
    const auto *entry = m_state.servers.find(server);
    if (entry == nullptr) {
        return;
    }
    decision::BackendServer loaded = entry->server;
    loaded.weightVersions[model] = version;
    m_state.servers.put(loaded, monotonicNow());
    m_state.log.write(LinePriority::Notable, "weights_loaded", {{"server", server}, {"model", model}, {"version", version}});
}

} // namespace auburndrum::gateway
