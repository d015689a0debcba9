#include "auburndrum/gateway/weightupdater.h"

#include "auburndrum/base/jsonreader.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <memory>
#include <utility>

namespace auburndrum::gateway {

namespace {

using decision::LeaseRecord;
using nlohmann::json;
using std::chrono::milliseconds;

constexpr char AnyServer[] = ""; // in m_orderAllowedAt: all servers, while it is not known which were ordered
constexpr std::uint64_t LatestFirstEra = 2; // eras may begin at 0 or 1, which are 1 and 2 here; a later one shows that the store returned from a copy
constexpr milliseconds ResignCheckInterval{10};
constexpr milliseconds ResignTimeout{200}; // less than what a stopping process keeps in reserve
constexpr milliseconds MaxLeaseDuration{60000};
constexpr milliseconds LongPollTimeout{2000}; // limited so that a silent connection is noticed

/// @p era of the store as the writer knows it.
QByteArray leaseText(const LeaseRecord &lease, std::uint64_t era)
{
    const json object = {{"holder", lease.holder}, {"nonce", lease.nonce}, {"replaces", lease.replaces}, {"duration_ms", lease.duration.count()}, {"era", era}};
    return QByteArray::fromStdString(object.dump());
}

bool isText(const json &object, const char *field)
{
    return object.contains(field) && object[field].is_string();
}

/// Whether a field is a whole number that JSON carries exactly.
bool isCount(const json &object, const char *field)
{
    constexpr std::uint64_t Greatest = std::uint64_t{1} << 53U;
    return object.contains(field) && object[field].is_number_unsigned() && object[field].get<std::uint64_t>() <= Greatest;
}

/// Whether a field is the duration of a lease that an entry VM may have written; a longer one would keep all orders back.
bool isLeaseDuration(const json &object, const char *field)
{
    return isCount(object, field) && milliseconds(object[field].get<std::int64_t>()) <= MaxLeaseDuration;
}

/// Whether a record has one of the two forms that entry VMs write to the topic: an announced load or a lease.
bool isOrderRecord(const json &object)
{
    const bool hasEra = object.is_object() && object.contains("era"); // an announced load has none
    if (!object.is_object() || !isText(object, "holder") || (hasEra && !isCount(object, "era"))) {
        return false;
    }
    if (object.contains("loading")) {
        return isText(object, "loading") && isCount(object, "version");
    }
    return isText(object, "nonce") && isCount(object, "replaces") && isLeaseDuration(object, "duration_ms");
}

/// Fencing numbers are offsets plus 1, because offsets begin at 0 and the fencing number 0 means none. A new era gives offsets out again, so it counts first.
decision::Offset fencingOf(std::uint64_t offset, const json &record)
{
    constexpr unsigned OffsetBits = 40; // leaves 13 bits for the era in the integers that JSON carries exactly
    return static_cast<decision::Offset>((record.value("era", std::uint64_t{0}) << OffsetBits) + offset + 1);
}

} // namespace

milliseconds WeightUpdater::currentReadInterval() const
{
    if (m_leaseHolder.fencingNumber(suspendAwareNow()) || m_leaseHolder.hasPendingAppend()) {
        return m_options.readInterval;
    }
    // A lease must be read well before it expires, its own by a new holder too.
    const auto grown = m_options.readIntervalPerServer * static_cast<std::int64_t>(m_state.servers.size());
    return std::clamp<milliseconds>(grown, m_options.readInterval, m_options.leaseDuration / 2);
}

void WeightUpdater::readTopic()
{
    m_isReading = true;
    m_lastReadAt = monotonicNow();
    // The first read returns what is there, the next ones wait for new records.
    m_store.read({m_options.topic, m_nextOffset, m_isCaughtUp ? LongPollTimeout : milliseconds(0)}, guarded([this](const StoreResult<RecordBatch> &result) {
                     handleBatch(result);
                 }));
}

void WeightUpdater::handleBatch(const StoreResult<RecordBatch> &result)
{
    m_isReading = false;
    if (!result) {
        return; // the next tick reads again
    }
    if (!acceptEra(result.value().era)) {
        return;
    }
    if (result.value().hasGap && m_nextOffset == 0) {
        // The store dropped its history before this process read any. The dropped records may include recent orders and a lease in force.
        m_orderAllowedAt[AnyServer] = suspendAwareNow() + m_options.maxOrderDelay + m_options.orderInterval;
        m_state.log.write(LinePriority::Notable, "orders_forgotten", {{"topic", m_options.topic}, {"first", result.value().nextOffset}});
    } else if (result.value().hasGap) {
        m_state.log.write(LinePriority::Notable, "orders_missed", {{"topic", m_options.topic}, {"from", m_nextOffset}, {"first", result.value().nextOffset}});
    }
    for (const StoreRecord &it : result.value().records) {
        applyRecord(it);
    }
    m_nextOffset = std::max(m_nextOffset, result.value().nextOffset);
    const bool isEnd = result.value().records.empty() && !result.value().hasGap;
    if (!m_isCaughtUp && !isEnd) {
        readTopic();
    }
    const auto allowedAt = m_orderAllowedAt.find(AnyServer);
    const bool isWaiting = allowedAt != m_orderAllowedAt.end() && suspendAwareNow() < allowedAt->second;
    m_isCaughtUp = m_isCaughtUp || (isEnd && !isWaiting);
}

bool WeightUpdater::acceptEra(std::uint64_t era)
{
    if (era <= m_era) {
        return era == m_era; // an older response says nothing about the present records
    }
    const bool isFirstKnown = std::exchange(m_era, era) == 0;
    if (isFirstKnown && era <= LatestFirstEra) {
        return true;
    }
    if (isFirstKnown) {
        // The copy may lack orders that were sent just before this process started.
        m_orderAllowedAt[AnyServer] = suspendAwareNow() + m_options.maxOrderDelay + m_options.orderInterval;
        return true;
    }
    // Announced loads and leases since the copy are gone, maybe that of a holder whose orders are still under way.
    m_nextOffset = 0;
    m_isCaughtUp = false;
    m_leaseTable = {};
    m_leaseHolder.forget(suspendAwareNow());
    m_orderAllowedAt[AnyServer] = suspendAwareNow() + m_options.maxOrderDelay + m_options.orderInterval;
    m_state.log.write(LinePriority::Notable, "orders_forgotten", {{"topic", m_options.topic}, {"first", 0}, {"era", era}});
    return false;
}

void WeightUpdater::applyRecord(const StoreRecord &record)
{
    const json object = record.value ? parseJsonOrDiscard(toView(*record.value)) : json();
    if (!isOrderRecord(object)) {
        m_state.log.write(LinePriority::Notable,
                          "record_skipped",
                          {{"topic", m_options.topic}, {"offset", record.offset}, {"problem", "neither a lease nor an announced load"}});
        m_state.metrics.recordsSkipped.with({m_options.topic}).Increment();
        return;
    }
    if (object.contains("loading")) {
        const auto server = object.value("loading", std::string());
        const auto version = object.value("version", std::uint64_t{0});
        // Version 0 calls off an announced load. Its order may still be under way.
        if (version != 0 && object.value("holder", std::string()) != m_incarnation) {
            m_orderAllowedAt[server] = suspendAwareNow() + m_options.maxOrderDelay + m_options.orderInterval;
            m_announcedAtLeaseTime[server] = m_leaseTime;
        }
        m_state.chooser.setLoading(server, monotonicNow() + m_options.announcedLoadTimeout, version);
        return;
    }
    LeaseRecord lease;
    lease.resource = LeaseResource;
    lease.holder = object.value("holder", std::string());
    lease.nonce = object.value("nonce", std::string());
    lease.replaces = object.value("replaces", decision::Offset{0});
    lease.duration = milliseconds(object.value("duration_ms", std::int64_t{0}));
    const auto allowedAt = m_orderAllowedAt.find(AnyServer);
    if (allowedAt != m_orderAllowedAt.end() && suspendAwareNow() < allowedAt->second) {
        // The lease that it replaces may be among the dropped records. A holder renews its lease several times in this wait, so the last lease read is
        // in force.
        decision::SnapshotRecord snapshot;
        snapshot.leases.push_back({lease, fencingOf(record.offset, object)});
        m_leaseTable.loadFrom(snapshot);
        m_leaseHolder.onLeaseChanged(suspendAwareNow(), m_leaseTable.find(LeaseResource));
        return;
    }
    const auto *before = m_leaseTable.find(LeaseResource);
    const bool isRenewal = before != nullptr && before->lease.holder == lease.holder;
    if (m_leaseTable.apply(fencingOf(record.offset, object), lease)) {
        if (isRenewal) {
            addLeaseTime(lease.duration / 2 - m_options.leaseMargin);
        }
        m_leaseHolder.onLeaseChanged(suspendAwareNow(), m_leaseTable.find(LeaseResource));
        m_state.log.write(LinePriority::Notable, "order_lease", {{"holder", lease.holder}, {"fencing", fencingOf(record.offset, object)}});
        return;
    }
    m_state.log.write(LinePriority::Notable,
                      "order_lease_ignored",
                      {{"holder", lease.holder},
                       {"fencing", fencingOf(record.offset, object)},
                       {"replaces", lease.replaces},
                       {"in_force", before == nullptr ? decision::Offset{0} : before->offset}});
}

void WeightUpdater::addLeaseTime(milliseconds time)
{
    time = std::max(time, milliseconds(0));
    m_leaseTime += time;
    std::erase_if(m_announcedAtLeaseTime, [this, time](const auto &it) {
        // The first two renewals after an announcement may have been requested before it was in the topic.
        const bool isOver = m_leaseTime - it.second > m_options.maxOrderDelay + m_options.orderInterval + 2 * time;
        if (isOver) {
            m_orderAllowedAt.erase(it.first);
        }
        return isOver;
    });
}

void WeightUpdater::append(const QByteArray &record, std::function<void(bool)> done)
{
    m_store.append({m_options.topic, {record}, {}}, guarded([this, done = std::move(done)](const StoreResult<AppendedRecords> &result) {
                       if (!result) {
                           m_state.log.write(LinePriority::Notable, "order_append_failed", {{"error", toText(result.error())}});
                       }
                       done(result.has_value());
                   }));
}

void WeightUpdater::beginStop()
{
    m_leaseHolder.addTakeoverDelay(m_options.stoppingDelay);
}

void WeightUpdater::finishStop(std::function<void()> done)
{
    m_timer.stop();
    const auto shared = std::make_shared<std::function<void()>>(std::move(done));
    const auto finish = [shared] {
        if (const auto callback = std::exchange(*shared, nullptr)) {
            callback();
        }
    };
    QTimer::singleShot(ResignTimeout, this, finish);
    resign(finish);
}

void WeightUpdater::resign(const std::function<void()> &done)
{
    const bool mayHold = m_leaseHolder.fencingNumber(suspendAwareNow()).has_value();
    if (mayHold && m_leaseHolder.hasPendingAppend()) {
        // The resignation replaces the renewal that is under way, so its offset must be known first.
        if (!m_isReading) {
            readTopic();
        }
        QTimer::singleShot(ResignCheckInterval, this, [this, done] {
            resign(done);
        });
        return;
    }
    const auto lease = m_leaseHolder.resign();
    if (!lease) {
        done();
        return;
    }
    append(leaseText(*lease, m_era), [done](bool /*isWritten*/) {
        done();
    });
}

void WeightUpdater::appendLease(const LeaseRecord &lease)
{
    append(leaseText(lease, m_era), [](bool /*isWritten*/) {
        // The topic shows whether the record is there and in force.
    });
}

} // namespace auburndrum::gateway
