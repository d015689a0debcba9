#include "auburndrum/gateway/weightkeeper.h"

#include "auburndrum/base/randomid.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>

namespace auburndrum::gateway {

namespace {

using decision::LeaseRecord;
using decision::Order;
using nlohmann::json;
using std::chrono::milliseconds;

constexpr char Resource[] = "weights";
constexpr char AnyServer[] = ""; // in the table of turns: all servers, while it is not known which were ordered
constexpr milliseconds LongRead{2000}; // ends by itself, so that a silent connection shows
constexpr milliseconds RepeatInterval{1500}; // between orders that show no effect; a load takes under a second
constexpr milliseconds LoadTimeout{4000}; // then a load that shows no effect frees its place
constexpr milliseconds AppendTimeout{800}; // after which the topic tells whether an append came through

decision::LeaseHolderOptions holderOptions(const WeightKeeperOptions &options, const std::string &incarnation, absl::BitGenRef random)
{
    decision::LeaseHolderOptions it;
    it.resource = Resource;
    it.incarnation = incarnation;
    it.newNonce = randomId;
    it.duration = options.lease;
    it.margin = options.leaseMargin;
    it.orderTimeout = milliseconds(0); // turns are kept for each engine by itself
    it.appendTimeout = AppendTimeout;
    it.standbyDelay = options.standbyMin + milliseconds(absl::Uniform<std::int64_t>(random, 0, options.standbySpread.count()));
    return it;
}

QByteArray leaseText(const LeaseRecord &lease)
{
    const json object = {{"holder", lease.holder}, {"nonce", lease.nonce}, {"replaces", lease.replaces}, {"duration_ms", lease.duration.count()}};
    return QByteArray::fromStdString(object.dump());
}

bool isText(const json &object, const char *field)
{
    return object.contains(field) && object[field].is_string();
}

bool isCount(const json &object, const char *field)
{
    return object.contains(field) && object[field].is_number_unsigned();
}

/// Whether a record is one that entry VMs write here: an announced load or a lease.
bool isOrderRecord(const json &object)
{
    if (!object.is_object() || !isText(object, "holder")) {
        return false;
    }
    if (object.contains("loading")) {
        return isText(object, "loading") && isCount(object, "version");
    }
    return isText(object, "nonce") && isCount(object, "replaces") && isCount(object, "duration_ms");
}

/// Offsets begin at 0, which is "none" among fencing numbers.
decision::Offset fencingOf(std::uint64_t offset)
{
    return static_cast<decision::Offset>(offset) + 1;
}

} // namespace

WeightKeeper::WeightKeeper(WeightKeeperOptions options, GatewayState &state, const RecordStore &store, const EngineControl &engines, QObject *parent)
    : QObject(parent)
    , m_options(std::move(options))
    , m_state(state)
    , m_store(store)
    , m_engines(engines)
    , m_incarnation(m_options.vm + "/" + randomId())
    , m_holder(holderOptions(m_options, m_incarnation, state.random), suspendAwareNow())
{
    connect(&m_timer, &QTimer::timeout, this, &WeightKeeper::tick);
}

void WeightKeeper::start()
{
    m_timer.start(m_options.tick);
}

bool WeightKeeper::hasWork() const
{
    for (const auto &[model, named] : m_state.weights) {
        for (const decision::ServerCondition &it : conditions(model)) {
            if (!it.isLeaving && it.version != std::to_string(named.newestVersion())) {
                return true;
            }
        }
    }
    return false;
}

std::vector<decision::ServerCondition> WeightKeeper::conditions(const std::string &model) const
{
    std::vector<decision::ServerCondition> list;
    for (const std::string &id : m_state.servers.ids()) {
        const auto *entry = m_state.servers.find(id);
        const auto version = entry->server.weightVersions.find(model);
        if (version == entry->server.weightVersions.end()) {
            continue;
        }
        decision::ServerCondition it;
        it.server = id;
        it.version = std::to_string(version->second);
        it.isLeaving = entry->server.isDraining;
        list.push_back(std::move(it));
    }
    // The least busy first: its load disturbs the fewest.
    std::stable_sort(list.begin(), list.end(), [this](const auto &a, const auto &b) {
        return m_state.chooser.ownRequests(a.server) < m_state.chooser.ownRequests(b.server);
    });
    return list;
}

void WeightKeeper::tick()
{
    if (!hasWork()) {
        m_caughtUp = false;
        m_loads.clear();
        return;
    }
    if (!m_reading && monotonicNow() - m_readAt >= intervalNow()) {
        readTopic();
    }
    if (!m_caughtUp) {
        return;
    }
    const bool takesPart = !m_options.takesPart || m_options.takesPart() || m_holder.fencing(suspendAwareNow());
    if (!takesPart) {
        return;
    }
    if (const auto lease = m_holder.tick(suspendAwareNow())) {
        appendLease(*lease);
    }
    planOrders();
    askLoads();
}

milliseconds WeightKeeper::intervalNow() const
{
    if (m_holder.fencing(suspendAwareNow())) {
        return m_options.readInterval;
    }
    return std::max(m_options.readInterval, m_options.intervalPerServer * static_cast<std::int64_t>(m_state.servers.size()));
}

void WeightKeeper::readTopic()
{
    m_reading = true;
    m_readAt = monotonicNow();
    // The first read tells what is there, the next ones wait for news.
    m_store.read(m_options.topic, m_next, m_caughtUp ? LongRead : milliseconds(0), [this](const StoreResult<RecordBatch> &result) {
        takeBatch(result);
    });
}

void WeightKeeper::takeBatch(const StoreResult<RecordBatch> &result)
{
    m_reading = false;
    if (!result) {
        return; // the next tick reads again
    }
    if (result.value().hasGap && m_next == 0) {
        // The store forgot its history before this process read any. What is gone may tell of orders given just now, and of a lease in force.
        m_turns[AnyServer] = suspendAwareNow() + m_options.orderLag + m_options.orderTurn;
        m_state.log.write(LineWeight::Notable, "orders_forgotten", {{"topic", m_options.topic}, {"first", result.value().nextOffset}});
    }
    for (const StoreRecord &it : result.value().records) {
        takeRecord(it);
    }
    m_next = std::max(m_next, result.value().nextOffset);
    const bool isEnd = result.value().records.empty() && !result.value().hasGap;
    if (!m_caughtUp && !isEnd) {
        readTopic();
    }
    const auto turn = m_turns.find(AnyServer);
    const bool isWaiting = turn != m_turns.end() && suspendAwareNow() < turn->second;
    m_caughtUp = m_caughtUp || (isEnd && !isWaiting);
}

void WeightKeeper::takeRecord(const StoreRecord &record)
{
    const json object = record.value ? json::parse(record.value->constBegin(), record.value->constEnd(), nullptr, false) : json();
    if (!isOrderRecord(object)) {
        m_state.log.write(LineWeight::Notable, "record_skipped", {{"topic", m_options.topic}, {"offset", record.offset}, {"problem", "has another shape"}});
        m_state.metrics.recordsSkipped.with({m_options.topic}).Increment();
        return;
    }
    if (object.contains("loading")) {
        const auto server = object.value("loading", std::string());
        if (object.value("holder", std::string()) != m_incarnation) {
            m_turns[server] = suspendAwareNow() + m_options.orderLag + m_options.orderTurn;
        }
        m_state.chooser.setLoading(server, monotonicNow() + m_options.announceHold, object.value("version", std::uint64_t{0}));
        return;
    }
    LeaseRecord lease;
    lease.resource = Resource;
    lease.holder = object.value("holder", std::string());
    lease.nonce = object.value("nonce", std::string());
    lease.replaces = object.value("replaces", decision::Offset{0});
    lease.duration = milliseconds(object.value("duration_ms", std::int64_t{0}));
    const auto turn = m_turns.find(AnyServer);
    if (turn != m_turns.end() && suspendAwareNow() < turn->second) {
        // What it replaces may be forgotten. A holder renews its lease several times in this wait, so the last one seen is the one in force.
        decision::SnapshotRecord seen;
        seen.leases.push_back({lease, fencingOf(record.offset)});
        m_table.load(seen);
        m_holder.folded(suspendAwareNow(), m_table.find(Resource));
        return;
    }
    if (m_table.apply(fencingOf(record.offset), lease)) {
        m_holder.folded(suspendAwareNow(), m_table.find(Resource));
        m_state.log.write(LineWeight::Notable, "order_lease", {{"holder", lease.holder}, {"fencing", fencingOf(record.offset)}});
    }
}

void WeightKeeper::append(const QByteArray &record, std::function<void(bool)> done)
{
    m_store.append(m_options.topic, record, [this, done = std::move(done)](const StoreResult<std::uint64_t> &result) {
        if (!result) {
            m_state.log.write(LineWeight::Notable, "order_append_failed", {{"error", toText(result.error())}});
        }
        done(result.has_value());
    });
}

void WeightKeeper::appendLease(const LeaseRecord &lease)
{
    append(leaseText(lease), [](bool /*isWritten*/) {
        // The topic tells whether the record is there and in force.
    });
}

void WeightKeeper::planOrders()
{
    const auto fencing = m_holder.fencing(suspendAwareNow());
    if (!fencing) {
        return;
    }
    for (const auto &[model, named] : m_state.weights) {
        const auto servers = conditions(model);
        auto planner = m_planners.find(model);
        if (planner == m_planners.end()) {
            decision::OrderPlannerOptions options;
            options.repeatInterval = RepeatInterval;
            options.loadTimeout = LoadTimeout;
            options.maxLoads = std::max<std::size_t>(1, static_cast<std::size_t>(std::lround(m_options.loadShare * static_cast<double>(servers.size()))));
            planner = m_planners.emplace(model, decision::OrderPlanner(options)).first;
        }
        decision::WantedCondition wanted;
        wanted.version = std::to_string(named.newestVersion());
        const auto orders = planner->second.plan(suspendAwareNow(), *fencing, wanted, servers);
        if (!orders.empty()) {
            giveOrders(model, orders);
        }
    }
}

void WeightKeeper::giveOrders(const std::string &model, const std::vector<Order> &orders)
{
    for (const Order &order : orders) {
        const auto turn = m_turns.find(order.server);
        const bool isTurn = turn == m_turns.end() || suspendAwareNow() >= turn->second;
        if (m_ordering.contains(order.server) || !isTurn) {
            continue;
        }
        m_ordering.insert(order.server);
        const json announcement = {{"loading", order.server}, {"version", std::stoull(order.value)}, {"holder", m_incarnation}};
        append(QByteArray::fromStdString(announcement.dump()), [this, model, order](bool isWritten) {
            if (!isWritten) {
                m_ordering.erase(order.server); // nobody would know of the order; the planner repeats it
                return;
            }
            const Instant announcedAt = suspendAwareNow();
            QTimer::singleShot(m_options.announceLead, this, [this, model, order, announcedAt] {
                prepareOrder(model, order, announcedAt);
            });
        });
    }
}

void WeightKeeper::prepareOrder(const std::string &model, const Order &order, Instant announcedAt)
{
    const auto *entry = m_state.servers.find(order.server);
    if (entry == nullptr) {
        m_ordering.erase(order.server);
        return;
    }
    m_engines.readReport(entry->server.address, [this, model, order, announcedAt](const std::optional<EngineReport> &report) {
        if (!report) {
            m_ordering.erase(order.server);
            m_state.log.write(LineWeight::Notable, "order_skipped", {{"server", order.server}, {"reason", "no report"}});
            return;
        }
        sendOrder(model, order, *report, announcedAt);
    });
}

void WeightKeeper::sendOrder(const std::string &model, const Order &order, const EngineReport &report, Instant announcedAt)
{
    const auto *entry = m_state.servers.find(order.server);
    const std::uint64_t version = std::stoull(order.value);
    const auto has = report.weightVersions.find(model);
    if (has != report.weightVersions.end() && has->second == version) {
        m_ordering.erase(order.server);
        takeLoaded(order.server, model, version);
        return;
    }
    const auto newest = m_state.weights.find(model);
    const bool isCurrent = newest != m_state.weights.end() && newest->second.newestVersion() == version;
    // Read again just before it leaves: the process may have stood still since the order was planned.
    const auto fencing = m_holder.fencing(suspendAwareNow());
    const bool isLate = suspendAwareNow() - announcedAt > m_options.orderLag;
    if (entry == nullptr || !fencing || !isCurrent || report.isExecutingOrder || isLate) {
        m_ordering.erase(order.server);
        return;
    }
    WeightOrder it;
    it.address = entry->server.address;
    it.serverId = order.server;
    it.model = model;
    it.version = version;
    it.holder = m_options.vm;
    it.fencing = static_cast<std::uint64_t>(*fencing);
    it.expectedOrders = report.ordersAccepted;
    m_loads[order.server] = Load{model, version, monotonicNow()};
    m_engines.order(it, [this, it](OrderAnswer answer) {
        m_ordering.erase(it.serverId);
        if (answer == OrderAnswer::StaleFencing) {
            m_planners.at(it.model).staleFencing(static_cast<decision::Offset>(it.fencing));
        }
        m_state.log.write(LineWeight::Notable,
                          "weight_order",
                          {{"server", it.serverId},
                           {"model", it.model},
                           {"version", it.version},
                           {"fencing", it.fencing},
                           {"expected_orders", it.expectedOrders},
                           {"answer", toText(answer)}});
    });
}

void WeightKeeper::askLoads()
{
    const Instant now = monotonicNow();
    for (auto &[server, load] : m_loads) {
        if (now - load.lastReportAt < m_options.reportInterval || m_ordering.contains(server)) {
            continue;
        }
        load.lastReportAt = now;
        const auto *entry = m_state.servers.find(server);
        if (entry == nullptr) {
            continue;
        }
        m_engines.readReport(entry->server.address, [this, server = server, load = load](const std::optional<EngineReport> &report) {
            const auto has = report ? report->weightVersions.find(load.model) : decltype(report->weightVersions.end()){};
            if (report && has != report->weightVersions.end() && has->second == load.version) {
                takeLoaded(server, load.model, load.version);
            }
        });
    }
}

void WeightKeeper::takeLoaded(const std::string &server, const std::string &model, std::uint64_t version)
{
    m_loads.erase(server);
    const auto *entry = m_state.servers.find(server);
    if (entry == nullptr) {
        return;
    }
    decision::BackendServer loaded = entry->server;
    loaded.weightVersions[model] = version;
    m_state.servers.put(loaded, monotonicNow());
    m_state.log.write(LineWeight::Notable, "weights_loaded", {{"server", server}, {"model", model}, {"version", version}});
}

} // namespace auburndrum::gateway
