#pragma once

#include "auburndrum/decision/leaseholder.h"
#include "auburndrum/decision/leasetable.h"
#include "auburndrum/decision/orderplanner.h"
#include "auburndrum/gateway/enginecontrol.h"
#include "auburndrum/gateway/gatewaystate.h"
#include "auburndrum/gateway/recordstore.h"

#include <QObject>
#include <QTimer>

#include <functional>
#include <map>
#include <set>
#include <string>

namespace auburndrum::gateway {

/// Options of a WeightKeeper.
struct WeightKeeperOptions
{
    std::string vm;
    std::string topic = "auburndrum-orders"; ///< of leases and of announced loads
    std::chrono::milliseconds orderTurn{3000}; ///< two VMs' orders to one engine are at least so far apart
    /// Whether this VM may ask for the lease; empty: always. In a large fleet a few VMs do, as each that waits for it reads the topic.
    std::function<bool()> takesPart;
    std::chrono::milliseconds orderLag{1200}; ///< an order leaves so soon after its announcement, or not at all
    std::chrono::milliseconds lease{1500}; ///< several times the store's slowest answers; a dead holder's successor waits for it
    std::chrono::milliseconds leaseMargin{500}; ///< no order leaves in the lease's last part: it would arrive too late
    std::chrono::milliseconds standbyMin{100}; ///< the last holder goes first
    std::chrono::milliseconds standbySpread{400}; ///< entry VMs don't all ask at once
    std::chrono::milliseconds tick{100};
    std::chrono::milliseconds readInterval{200}; ///< between two reads of the topic, as each call has its price for each entry VM
    /// The same for each listed server, for those that don't hold the lease: in a larger fleet more loads are announced, to more entry VMs.
    std::chrono::milliseconds intervalPerServer{15};
    std::chrono::milliseconds announceLead{30}; ///< for the other entry VMs to hear of a load before it begins
    std::chrono::milliseconds announceHold{6000}; ///< an engine announced as loading gets nothing new for so long, unless it reports the weights before
    std::chrono::milliseconds reportInterval{300}; ///< between questions whether a load is done
    double loadShare = 0.2; ///< of a service's engines at once; more slow each other down
};

/// @brief Brings engines to the weights that the operator named, from one entry VM at a time.
///
/// Whoever holds the lease in the store gives the orders; the offset of its lease record is the fencing number. Each order is announced in the
/// same topic before it leaves: others send no requests there, and a successor knows which engines it must wait for. The topic is read only
/// while some engine has old weights, so that quiet days cost the store nothing.
class WeightKeeper : public QObject
{
    Q_OBJECT

public:
    WeightKeeper(WeightKeeperOptions options, GatewayState &state, const RecordStore &store, const EngineControl &engines, QObject *parent = nullptr);

    void start();

private:
    struct Load
    {
        std::string model;
        std::uint64_t version = 0;
        Instant lastReportAt{};
    };

    void tick();
    bool hasWork() const;
    void readTopic();
    std::chrono::milliseconds intervalNow() const;
    void takeBatch(const StoreResult<RecordBatch> &result);
    void takeRecord(const StoreRecord &record);
    void appendLease(const decision::LeaseRecord &lease);
    void append(const QByteArray &record, std::function<void(bool isWritten)> done);
    void planOrders();
    void giveOrders(const std::string &model, const std::vector<decision::Order> &orders);
    void prepareOrder(const std::string &model, const decision::Order &order, Instant announcedAt);
    void sendOrder(const std::string &model, const decision::Order &order, const EngineReport &report, Instant announcedAt);
    void askLoads();
    void takeLoaded(const std::string &server, const std::string &model, std::uint64_t version);
    std::vector<decision::ObservedServerState> conditions(const std::string &model) const;

    WeightKeeperOptions m_options;
    GatewayState &m_state;
    const RecordStore &m_store;
    const EngineControl &m_engines;
    std::string m_incarnation;
    decision::LeaseTable m_table;
    decision::LeaseHolder m_holder;
    std::map<std::string, decision::OrderPlanner> m_planners; ///< by model
    std::map<std::string, Load> m_loads; ///< by server, ordered by this process
    std::map<std::string, Instant> m_turns; ///< by server: when this process may order it after another one did
    std::set<std::string> m_ordering; ///< servers whose order is being prepared or sent
    QTimer m_timer;
    std::uint64_t m_next = 0; ///< offset to read from
    bool m_reading = false;
    Instant m_readAt{}; ///< when the last read began
    bool m_caughtUp = false;
};

} // namespace auburndrum::gateway
