#pragma once

#include "auburndrum/gateway/keyedfeed.h"
#include "auburndrum/gateway/relaylink.h"
#include "eventloop.h"
#include "fakestore.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace auburndrum::gateway {

inline const std::string Topic = "operator";
inline const std::string PromptStore = "10.0.0.1:1";
inline const ReadBudget QuickBudget = {.refreshInterval = std::chrono::milliseconds(250),
                                       .relayReadTime = std::chrono::milliseconds(100),
                                       .answerTime = std::chrono::milliseconds(50),
                                       .pollInterval = std::chrono::milliseconds(10)};

/// The RelayLink of one entry VM, and what it reports.
class Vm
{
public:
    Vm(FakeStore &fake, const std::string &name, double linkMegabits, const ReadBudget &budget = QuickBudget)
        : state({.zone = "zone"},
                {.vm = name,
                 .write =
                     [](std::string_view) {
                     }},
                Wire{},
                {})
        , link(options(name, linkMegabits, budget),
               state,
               fake.hooks(),
               {.onFollowsStoresChanged =
                    [this](bool it) {
                        follows = it;
                    },
                .onPromptStoreEntry =
                    [this](const PromptStoreLogEntry &it) {
                        promptStoreEntries.push_back(it);
                    }})
        , store(link.relayedStore())
    {
        state.storedPrompts.configure({{PromptStore, "zone", 1000, 8e9, {}, true}});
        link.start();
    }

    static RelayLinkOptions options(const std::string &name, double linkMegabits, const ReadBudget &budget)
    {
        RelayLinkOptions it;
        it.self = {name, "127.0.0.1:0", "zone", linkMegabits};
        it.directoryTopic = "entries";
        it.directoryDelay = std::chrono::milliseconds(50);
        it.budget = budget;
        it.pollTimeout = std::chrono::milliseconds(400);
        it.defaultAllowedReaders = 4;
        return it;
    }

    /// Reads records one after another from the topic's start, as a feed does.
    void readContinuously(std::uint64_t from = 0)
    {
        store.read({Topic, from, std::chrono::milliseconds(200)}, [this, from](const StoreResult<RecordBatch> &result) {
            const std::uint64_t next = result ? result.value().nextOffset : from;
            for (const StoreRecord &it : result ? result.value().records : std::vector<StoreRecord>{}) {
                values.push_back(*it.value);
            }
            QTimer::singleShot(std::chrono::milliseconds(1), &link, [this, next] {
                readContinuously(next);
            });
        });
    }

    bool receives(const QByteArray &value)
    {
        return runUntil([&] {
            return !values.empty() && values.back() == value;
        });
    }

    GatewayState state;
    RelayLink link;
    RecordStore store;
    std::optional<bool> follows;
    std::vector<PromptStoreLogEntry> promptStoreEntries;
    std::vector<QByteArray> values;
};

/// A large VM and some small ones, in one zone.
struct Fleet
{
    explicit Fleet(int n)
    {
        vms.push_back(std::make_unique<Vm>(store, "large", 200));
        for (int k = 1; k < n; ++k) {
            vms.push_back(std::make_unique<Vm>(store, "small-" + std::to_string(k), 10));
        }
        for (auto &it : vms) {
            it->readContinuously();
        }
    }

    bool isRelayed()
    {
        return runUntil([&] {
            return std::all_of(vms.begin() + 1, vms.end(), [](const auto &it) {
                return it->link.isRelayed();
            });
        });
    }

    FakeStore store;
    std::vector<std::unique_ptr<Vm>> vms;
};

} // namespace auburndrum::gateway
