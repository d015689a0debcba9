#pragma once

#include "auburndrum/decision/leaselog.h"
#include "auburndrum/decision/orderplanner.h"
#include "auburndrum/gateway/enginecontrol.h"
#include "auburndrum/gateway/gatewaystate.h"
#include "auburndrum/gateway/recordstore.h"

#include <QObject>
#include <QPointer>
#include <QTimer>

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace auburndrum::gateway {

/// Options of a WeightUpdater.
struct WeightUpdaterOptions
{
    std::string vm;
    std::string topic = "auburndrum-orders"; ///< topic of the lease records and the announced loads
    std::chrono::milliseconds orderInterval{3000}; ///< least time between orders of two VMs to one engine
    /// Whether this VM may request the lease; empty: always. In a large fleet only a few VMs do, since each candidate reads the topic.
    std::function<bool()> mayHoldLease;
    std::chrono::milliseconds maxOrderDelay{1200}; ///< an order that would leave later than this after its announcement is dropped
    std::chrono::milliseconds leaseDuration{1500}; ///< several times the store's slowest response; the successor of a dead holder waits until it expires
    std::chrono::milliseconds leaseMargin{500}; ///< no order leaves in this last part of the lease, since it could arrive after the lease expired
    std::chrono::milliseconds minStandbyDelay{100}; ///< delay before other VMs request the lease, so that the last holder can renew it first
    std::chrono::milliseconds standbySpread{400}; ///< random extra delay, so that entry VMs don't all request the lease at once
    std::chrono::milliseconds appendTimeout{800}; ///< after this time the topic shows whether an append succeeded
    std::chrono::milliseconds stoppingDelay{1000}; ///< extra delay before a VM that stops requests the lease, so that one that stays gets it
    std::chrono::milliseconds tickInterval{100};
    std::chrono::milliseconds readInterval{200}; ///< between two reads of the topic, since each call has a cost for each entry VM
    /// Read interval per listed server of VMs that don't hold the lease: a larger fleet announces more loads to more entry VMs.
    std::chrono::milliseconds readIntervalPerServer{15};
    std::chrono::milliseconds announceLeadTime{30}; ///< between announcement and order, so that the other entry VMs learn of a load before it begins
    std::chrono::milliseconds announcedLoadTimeout{6000}; ///< an announced engine gets no new requests for this time, unless it reports the weights earlier
    std::chrono::milliseconds orderAnswerTimeout{500}; ///< an order unanswered for this time is called off unless the engine's report shows it
    std::chrono::milliseconds loadPollInterval{300}; ///< between polls whether a load is complete
    double maxLoadingShare = 0.2; ///< largest share of a service's engines that load at once; more slow each other down
};

/// @brief Orders engines to load the weights that the operator named, from one entry VM at a time.
///
/// The VM that holds the lease in the store sends the orders; the offset of its lease record is the fencing number. Each order is announced in
/// the same topic before it leaves: other VMs send no requests to that engine, and a successor knows which engines it must wait for. Leases and announcements
/// are written only where the topic ends as this VM knows it (LeaseLog), so that an order leaves only if no other VM had the lease when it was announced. The
/// topic is read only while some engine has outdated weights, and once more after that, so that the store has no load from it at other times.
class WeightUpdater : public QObject
{
    Q_OBJECT

public:
    static constexpr char LeaseResource[] = "weights";

    WeightUpdater(WeightUpdaterOptions options, GatewayState &state, const RecordStore &store, const EngineControl &engines, QObject *parent = nullptr);

    void start();
    /// From now on other VMs request a lease that ended first.
    void beginStop();
    /// Gives up the lease and sends no more orders. `done` is called when other VMs can know it, or after a short time.
    void finishStop(std::function<void()> done);

private:
    struct OrderedLoad
    {
        std::string model;
        std::uint64_t version = 0;
        Instant lastPolledAt{};
        bool isInEffect = false; ///< the engine's answer or report shows that it received the order
    };

    /// An order that is due, and the model whose weights it names.
    struct PlannedOrder
    {
        std::string model;
        decision::Order order;
    };

    /// A write to the topic that wasn't answered yet.
    struct PendingWrite
    {
        std::uint64_t at = 0; ///< the end of the topic that it names
        Instant startedAt;
    };

    /// A callback that does nothing once this updater was deleted.
    template<class Function>
    auto guarded(Function function)
    {
        return [self = QPointer<WeightUpdater>(this), function = std::move(function)](const auto &...results) {
            if (self) {
                function(results...);
            }
        };
    }

    void tick();
    std::size_t countOutdatedServers() const;
    void readTopic();
    std::chrono::milliseconds currentReadInterval() const;
    /// The answer to a read from this offset.
    void handleBatch(std::uint64_t from, const StoreResult<RecordBatch> &result);
    /// The answer to a read that is under way counts no longer.
    void dropRead();
    /// Notes the era of a response. Returns whether the response can be used; when a new era has begun, the topic is read anew.
    bool acceptEra(std::uint64_t era);
    /// Records before this offset can't be read any more.
    void recordGap(std::uint64_t offset);
    void applyRecord(const StoreRecord &record);
    void applyLoad(const std::string &server, std::uint64_t version, const std::string &holder);
    void applyLease(std::uint64_t offset, std::uint64_t era, const decision::LeaseRecord &lease);
    void addLeaseTime(std::chrono::milliseconds time);
    void resign(const std::function<void()> &done);
    QByteArray leaseText(const decision::LeaseRecord &lease) const;
    /// Writes records at the end of the topic, where it still is the one that this VM knows. `done` receives Conflict when it isn't.
    void append(const std::vector<QByteArray> &records, std::function<void(std::optional<StoreError>)> done);
    /// Applies records that this VM wrote at `at`, unless they were read meanwhile.
    void onAppended(std::uint64_t at, const std::vector<QByteArray> &records);
    /// Whether a write is under way that may still be made.
    bool isWriting() const;
    std::vector<PlannedOrder> planOrders();
    /// Writes the lease, call-offs and the announcements of orders in one append, so that a slow store doesn't make them wait for each other.
    void writeDue(const std::optional<decision::LeaseRecord> &lease, const std::vector<PlannedOrder> &orders);
    void onDueWritten(const std::optional<decision::LeaseRecord> &lease,
                      const std::vector<QByteArray> &callOffs,
                      const std::vector<PlannedOrder> &orders,
                      Instant startedAt,
                      std::optional<StoreError> error);
    void prepareOrder(const std::string &model, const decision::Order &order, Instant announcedAt);
    void sendOrder(const std::string &model, const decision::Order &order, const EngineReport &report, Instant announcedAt);
    void pollLoads();
    /// Writes why an order that is due isn't sent, once for each server and reason.
    void logHeldOrder(const std::string &server, const std::string &reason);
    /// Ends an order that didn't leave.
    void skipOrder(const decision::Order &order, const std::string &model, const std::string &reason);
    void checkEffect(const WeightOrder &order);
    /// Tells the other VMs that an announced load didn't begin.
    void callOff(const std::string &model, const std::string &server);
    bool isOrderAllowed(const std::string &server) const;
    void recordLoaded(const std::string &server, const std::string &model, std::uint64_t version);
    std::vector<decision::ObservedServerState> observedStates(const std::string &model) const;

    WeightUpdaterOptions m_options;
    GatewayState &m_state;
    const RecordStore &m_store;
    const EngineControl &m_engines;
    std::string m_incarnation;
    decision::LeaseLog m_leaseLog;
    std::map<std::string, decision::OrderPlanner> m_planners; ///< by model
    std::map<std::string, OrderedLoad> m_loads; ///< loads that this process ordered, by server
    /// Least time that passed between the first lease read and the last, as renewals of one holder follow each other at a known least distance.
    std::chrono::milliseconds m_leaseTime{0};
    std::map<std::string, std::chrono::milliseconds> m_announcedAtLeaseTime; ///< by server, for the entries of m_orderAllowedAt
    std::map<std::string, Instant> m_orderAllowedAt; ///< by server: earliest time of an order from this process after one from another process
    std::set<std::string> m_ordersInProgress; ///< servers whose order is being announced, prepared or sent
    std::map<std::string, std::string> m_heldOrders; ///< by server: the last logged reason for which its order isn't sent
    std::vector<QByteArray> m_callOffs; ///< records that call off announced loads, to be written with the next announcements
    std::optional<PendingWrite> m_pendingWrite;
    QTimer m_timer;
    bool m_isReading = false;
    /// Next offset to read, before LeaseLog::nextOffset() where this VM wrote since: VMs that read through this one get what it read, without a hole.
    std::uint64_t m_readOffset = 0;
    std::uint64_t m_readNumber = 0; ///< of the read whose answer counts; an older one may have been from another era, or from before a write
    Instant m_lastReadAt{}; ///< when the last read began
    std::optional<Instant> m_finalReadAt; ///< when the topic is read to its end after the last roll-out
};

} // namespace auburndrum::gateway
