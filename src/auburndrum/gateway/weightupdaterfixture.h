#pragma once

#include "auburndrum/gateway/weightupdater.h"

#include "fakestore.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace auburndrum::gateway {

struct ReceivedOrder
{
    Instant at;
    WeightOrder order;
};

/// Engines that load weights, immediately unless `loadTime` is set, and record every order that they receive.
class FakeEngines
{
public:
    EngineControl hooks()
    {
        EngineControl it;
        it.readReport = [this](const std::string &address, auto done) {
            QTimer::singleShot(reportTime, &m_context, [this, address, done] {
                done(isSilent ? std::nullopt : std::optional(EngineReport{{{"m", versions[address]}}, false, accepted[address]}));
            });
        };
        it.sendOrder = [this](const WeightOrder &order, auto done) {
            QTimer::singleShot(connectTime, &m_context, [this, order, done] {
                if (order.mayLeave && !order.mayLeave()) {
                    done(OrderAnswer::Refused);
                    return;
                }
                receivedOrders.push_back({suspendAwareNow(), order});
                if (order.expectedOrders != accepted[order.address]) {
                    done(OrderAnswer::Conflict);
                    return;
                }
                if (lostOrders.contains(order.address)) {
                    done(OrderAnswer::Unknown);
                    return;
                }
                ++accepted[order.address];
                if (loadTime == std::chrono::milliseconds(0)) {
                    versions[order.address] = order.version;
                } else {
                    QTimer::singleShot(loadTime, &m_context, [this, order] {
                        versions[order.address] = order.version;
                    });
                }
                done(losesAnswers ? OrderAnswer::Unknown : OrderAnswer::Accepted);
            });
        };
        return it;
    }

    std::map<std::string, std::uint64_t> versions; ///< by address
    std::map<std::string, std::uint64_t> accepted;
    std::vector<ReceivedOrder> receivedOrders;
    bool isSilent = false;
    bool losesAnswers = false;
    std::set<std::string> lostOrders; ///< addresses whose orders have neither an effect nor an answer
    std::chrono::milliseconds loadTime{0};
    std::chrono::milliseconds reportTime{1}; ///< until a report arrives
    std::chrono::milliseconds connectTime{1}; ///< until an order leaves

private:
    QObject m_context;
};

/// The list's entry of an engine with weights 1.
inline decision::BackendServer newEngine(int n)
{
    decision::BackendServer it;
    it.id = "e" + std::to_string(n);
    it.service = "llm";
    it.address = it.id + ":1";
    it.weightVersions["m"] = 1;
    return it;
}

/// The WeightUpdater of one entry VM, with its own view of five engines.
class UpdaterVm
{
public:
    UpdaterVm(const std::string &vm, FakeStore &fake, FakeEngines &engines)
        : UpdaterVm(options(vm), fake, engines)
    {
    }

    UpdaterVm(const WeightUpdaterOptions &options, FakeStore &fake, FakeEngines &engines)
        : state({.zone = "z"},
                {.vm = options.vm,
                 .write =
                     [](std::string_view) {
                     }},
                Wire{},
                {})
        , store(fake.hooks())
        , control(engines.hooks())
        , updater(std::make_unique<WeightUpdater>(options, state, store, control))
    {
        for (int n = 0; n < 5; ++n) {
            const decision::BackendServer it = newEngine(n);
            engines.versions[it.address] = 1;
            state.servers.put(it, monotonicNow());
        }
        updater->start();
    }

    static WeightUpdaterOptions options(const std::string &vm)
    {
        WeightUpdaterOptions it;
        it.vm = vm;
        it.orderInterval = std::chrono::milliseconds(400);
        it.maxOrderDelay = std::chrono::milliseconds(200);
        it.leaseDuration = std::chrono::milliseconds(300);
        it.leaseMargin = std::chrono::milliseconds(100);
        it.minStandbyDelay = std::chrono::milliseconds(20);
        it.standbySpread = std::chrono::milliseconds(30);
        it.appendTimeout = std::chrono::milliseconds(200);
        it.tickInterval = std::chrono::milliseconds(5);
        it.readInterval = std::chrono::milliseconds(5);
        it.announceLeadTime = std::chrono::milliseconds(5);
        it.loadPollInterval = std::chrono::milliseconds(10);
        return it;
    }

    /// The VM has known the store's first era for a long time.
    void setRunning()
    {
        state.storeEra.onResponse(suspendAwareNow() - std::chrono::minutes(1), 1);
    }

    void nameWeights(std::uint64_t version)
    {
        state.weights["m"].addVersion(version, monotonicNow(), false);
    }

    GatewayState state;
    RecordStore store;
    EngineControl control;
    std::unique_ptr<WeightUpdater> updater;
};

inline bool allHave(const FakeEngines &engines, std::uint64_t version)
{
    return std::all_of(engines.versions.begin(), engines.versions.end(), [version](const auto &it) {
        return it.second == version;
    });
}

/// No two VMs order one engine within the order interval, fencing numbers never fall at one engine, and no two VMs share one.
inline void checkOrderIntervals(const FakeEngines &engines, std::chrono::milliseconds orderInterval)
{
    for (std::size_t n = 0; n < engines.receivedOrders.size(); ++n) {
        for (std::size_t m = 0; m < n; ++m) {
            const ReceivedOrder &later = engines.receivedOrders[n];
            const ReceivedOrder &earlier = engines.receivedOrders[m];
            const bool isOtherVm = later.order.holder != earlier.order.holder;
            if (isOtherVm) {
                CHECK(later.order.fencing != earlier.order.fencing);
            }
            if (later.order.address != earlier.order.address) {
                continue;
            }
            CHECK(later.order.fencing >= earlier.order.fencing);
            if (isOtherVm) {
                CHECK(later.at - earlier.at >= orderInterval);
            }
        }
    }
}

} // namespace auburndrum::gateway
