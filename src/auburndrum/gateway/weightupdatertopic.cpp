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

constexpr milliseconds ResignCheckInterval{10};
constexpr milliseconds ResignTimeout{200}; // less than what a stopping process keeps in reserve
constexpr milliseconds MaxLeaseDuration{60000};
constexpr milliseconds LongPollTimeout{2000}; // limited so that a silent connection is noticed

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
    // Earlier builds tell neither.
    for (const char *field : {"renews", "era_settled"}) {
        if (object.contains(field) && !object[field].is_boolean()) {
            return false;
        }
    }
    return isText(object, "nonce") && isCount(object, "replaces") && isLeaseDuration(object, "duration_ms");
}

/// Fencing numbers are offsets plus 1, because offsets begin at 0 and the fencing number 0 means none. A new era gives offsets out again, so it counts first.
decision::Offset fencingOf(std::uint64_t offset, std::uint64_t era)
{
    constexpr unsigned OffsetBits = 40; // leaves 13 bits for the era in the integers that JSON carries exactly
    return static_cast<decision::Offset>((era << OffsetBits) + offset + 1);
}

} // namespace

milliseconds WeightUpdater::currentReadInterval() const
{
    if (m_leaseLog.fencingNumber(suspendAwareNow()) || m_leaseLog.hasPendingAppend()) {
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
    const milliseconds wait = m_leaseLog.isCurrent(suspendAwareNow()) ? LongPollTimeout : milliseconds(0);
    const std::uint64_t from = m_readOffset;
    m_store.read({m_options.topic, from, wait}, guarded([this, from, number = ++m_readNumber](const StoreResult<RecordBatch> &result) {
                     if (number == m_readNumber) {
                         handleBatch(from, result);
                     }
                 }));
}

void WeightUpdater::dropRead()
{
    ++m_readNumber;
    m_isReading = false;
}

void WeightUpdater::handleBatch(std::uint64_t from, const StoreResult<RecordBatch> &result)
{
    m_isReading = false;
    if (!result || !acceptEra(result.value().era)) {
        return; // the next tick reads again
    }
    const RecordBatch &batch = result.value();
    if (batch.hasGap && batch.nextOffset <= from) {
        m_leaseLog.restart(suspendAwareNow());
        m_readOffset = 0;
        m_state.log.write(LinePriority::Notable, "orders_forgotten", {{"topic", m_options.topic}, {"from", from}, {"first", batch.nextOffset}});
        return;
    }
    if (batch.hasGap || !batch.records.empty()) {
        m_readOffset = batch.nextOffset;
    }
    if (batch.hasGap) {
        recordGap(batch.nextOffset);
    }
    for (const StoreRecord &it : batch.records) {
        recordGap(it.offset);
        if (m_leaseLog.acceptRecord(suspendAwareNow(), it.offset)) {
            applyRecord(it);
        }
    }
    if (batch.records.empty() && !batch.hasGap) {
        m_leaseLog.onEndRead();
        if (m_finalReadAt && suspendAwareNow() >= *m_finalReadAt) {
            m_finalReadAt.reset();
        }
    } else if (!m_leaseLog.isCurrent(suspendAwareNow())) {
        readTopic();
    }
}

bool WeightUpdater::acceptEra(std::uint64_t era)
{
    const std::uint64_t before = m_leaseLog.era();
    const bool isFirst = !m_leaseLog.hasResponse();
    const bool isUsable = m_leaseLog.acceptEra(suspendAwareNow(), era, m_state.storeEra.since(era));
    if (isFirst) {
        const Instant now = suspendAwareNow();
        const auto known = std::chrono::floor<milliseconds>(now - m_state.storeEra.since(era).value_or(now));
        const auto wait = std::chrono::ceil<milliseconds>(std::max(m_leaseLog.settledAt(), now) - now);
        m_state.log.write(
            LinePriority::Notable, "orders_first_read", {{"topic", m_options.topic}, {"era", era}, {"era_known_ms", known.count()}, {"wait_ms", wait.count()}});
    }
    if (!isUsable && m_leaseLog.era() != before) {
        // Announced loads and leases since the copy are gone, maybe that of a holder whose orders are still under way.
        dropRead();
        m_readOffset = 0;
        m_state.log.write(LinePriority::Notable, "orders_forgotten", {{"topic", m_options.topic}, {"first", 0}, {"era", era}});
    }
    return isUsable;
}

void WeightUpdater::recordGap(std::uint64_t offset)
{
    const std::uint64_t from = m_leaseLog.nextOffset();
    if (m_leaseLog.onGap(suspendAwareNow(), offset)) {
        // The missed records may include recent orders and a lease in force.
        m_state.log.write(LinePriority::Notable, "orders_forgotten", {{"topic", m_options.topic}, {"from", from}, {"first", offset}});
        m_state.metrics.orderRecordsMissed.with().Increment();
    }
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
        applyLoad(object.value("loading", std::string()), object.value("version", std::uint64_t{0}), object.value("holder", std::string()));
        return;
    }
    LeaseRecord lease;
    lease.resource = LeaseResource;
    lease.holder = object.value("holder", std::string());
    lease.nonce = object.value("nonce", std::string());
    lease.replaces = object.value("replaces", decision::Offset{0});
    lease.duration = milliseconds(object.value("duration_ms", std::int64_t{0}));
    const auto *before = m_leaseLog.leaseInForce();
    if (before != nullptr && before->lease.holder == lease.holder && object.value("renews", true)) {
        addLeaseTime(lease.duration / 2 - m_options.leaseMargin);
    }
    const std::uint64_t era = object.value("era", std::uint64_t{0});
    if (object.value("era_settled", false)) {
        m_leaseLog.onEraSettled(era);
    }
    applyLease(record.offset, era, lease);
}

void WeightUpdater::applyLoad(const std::string &server, std::uint64_t version, const std::string &holder)
{
    // Version 0 calls off an announced load. Its order may still be under way.
    if (version != 0 && holder != m_incarnation) {
        m_orderAllowedAt[server] = suspendAwareNow() + m_options.maxOrderDelay + m_options.orderInterval;
        m_announcedAtLeaseTime[server] = m_leaseTime;
    }
    m_state.chooser.setLoading(server, monotonicNow() + m_options.announcedLoadTimeout, version);
}

void WeightUpdater::applyLease(std::uint64_t offset, std::uint64_t era, const LeaseRecord &lease)
{
    const auto *before = m_leaseLog.leaseInForce();
    const decision::Offset replaced = before == nullptr ? decision::Offset{0} : before->offset;
    const decision::Offset fencing = fencingOf(offset, era);
    if (lease.holder != m_incarnation) {
        m_callOffs.clear(); // the other holder may have announced loads of the same servers
    }
    if (m_leaseLog.onLease(suspendAwareNow(), fencing, lease)) {
        m_state.log.write(
            LinePriority::Notable, "order_lease_superseded", {{"holder", lease.holder}, {"fencing", fencing}, {"replaces", lease.replaces}, {"own", replaced}});
        m_state.metrics.orderLeasesSuperseded.with().Increment();
    }
    m_state.log.write(LinePriority::Notable, "order_lease", {{"holder", lease.holder}, {"fencing", fencing}});
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

bool WeightUpdater::isWriting() const
{
    return m_pendingWrite && m_pendingWrite->at == m_leaseLog.nextOffset() && suspendAwareNow() < m_pendingWrite->startedAt + m_options.appendTimeout;
}

void WeightUpdater::append(const std::vector<QByteArray> &records, std::function<void(std::optional<StoreError>)> done)
{
    const std::uint64_t at = m_leaseLog.nextOffset();
    const std::uint64_t era = m_leaseLog.era();
    const Instant startedAt = suspendAwareNow();
    m_pendingWrite = PendingWrite{at, startedAt};
    m_store.append({m_options.topic, records, at},
                   guarded([this, at, era, startedAt, records, done = std::move(done)](const StoreResult<AppendedRecords> &result) {
                       if (m_pendingWrite && m_pendingWrite->startedAt == startedAt) {
                           m_pendingWrite.reset();
                       }
                       const bool isOfThisEra = result && acceptEra(result.value().era) && m_leaseLog.era() == era;
                       const bool isInPlace = isOfThisEra && result.value().offset == at;
                       if (isInPlace) {
                           onAppended(at, records);
                           done(std::nullopt);
                           return;
                       }
                       const StoreError error = result ? StoreError::Conflict : result.error();
                       m_state.log.write(LinePriority::Notable, "order_append_failed", {{"error", toText(error)}, {"at", at}});
                       done(error);
                       if (error == StoreError::Conflict) {
                           m_leaseLog.onBehind();
                           readTopic(); // the answer to one that is under way may be older than the refusal
                       }
                   }));
}

void WeightUpdater::onAppended(std::uint64_t at, const std::vector<QByteArray> &records)
{
    std::uint64_t offset = at;
    for (const QByteArray &it : records) {
        if (offset == m_leaseLog.nextOffset() && m_leaseLog.acceptRecord(suspendAwareNow(), offset)) {
            applyRecord({offset, {}, it});
        }
        ++offset;
    }
}

void WeightUpdater::beginStop()
{
    m_leaseLog.addTakeoverDelay(m_options.stoppingDelay);
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
    const bool mayHold = m_leaseLog.fencingNumber(suspendAwareNow()).has_value();
    if (mayHold && (m_leaseLog.hasPendingAppend() || isWriting())) {
        // The resignation follows the write that is under way, so its offset must be known first.
        if (!m_isReading) {
            readTopic();
        }
        QTimer::singleShot(ResignCheckInterval, this, [this, done] {
            resign(done);
        });
        return;
    }
    const auto lease = mayHold ? m_leaseLog.resign() : std::nullopt; // a lease that has ended needs no record
    if (!lease) {
        done();
        return;
    }
    append({leaseText(*lease)}, [done](std::optional<StoreError> /*error*/) {
        done();
    });
}

QByteArray WeightUpdater::leaseText(const LeaseRecord &lease) const
{
    const json object = {
        {"holder", lease.holder},
        {"nonce", lease.nonce},
        {"replaces", lease.replaces}, // for earlier builds, which ignore a lease that doesn't replace the one that they have in force
        {"duration_ms", lease.duration.count()},
        {"renews", m_leaseLog.isRenewal(lease)},
        {"era", m_leaseLog.era()},
        {"era_settled", true}, // leases are written only after the wait of the era
    };
    return QByteArray::fromStdString(object.dump());
}

} // namespace auburndrum::gateway
