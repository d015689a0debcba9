#include "relaylinkfixture.h"

#include "rawserver.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace auburndrum;
using namespace auburndrum::gateway;
using namespace std::chrono_literals;

TEST_CASE("in a small fleet each VM reads the store directly")
{
    Fleet fleet(2);
    CHECK(runUntil([&] {
        return fleet.vms[0]->follows == true && fleet.vms[1]->follows == true;
    }));
    CHECK_FALSE(fleet.vms[1]->link.isRelayed());
}

TEST_CASE("in a large fleet one VM of the zone reads the store, and the others receive the same records from it")
{
    Fleet fleet(6);
    REQUIRE(fleet.isRelayed());
    CHECK(fleet.vms[0]->follows == true);
    CHECK(fleet.vms[1]->follows != true);
    runFor(300ms); // reads that began before the relay was known end
    const int before = fleet.store.calls();
    runFor(500ms);
    // The relay alone: one read per 100 ms, and some slack for one more.
    CHECK(fleet.store.calls() - before <= 7);
    fleet.store.put(Topic, "key-1", "one");
    fleet.store.put(Topic, "key-2", "two");
    for (auto &it : fleet.vms) {
        CHECK(it->receives("two"));
        CHECK(it->values.size() == 2);
    }
}

// Guards against entry VMs that don't find each other, and so give each server more than its limit (LIMIT).
TEST_CASE("a VM registers again when the store lost its registration before its first response that names an era")
{
    for (const auto registeredFor : {0ms, 200ms}) { // before the VM has read the directory, and after that
        CAPTURE(registeredFor.count());
        FakeStore fake;
        fake.makeCopy();
        Vm one(fake, "one", 100);
        REQUIRE(runUntil([&] {
            return !fake.records("entries").empty();
        }));
        runFor(registeredFor);
        fake.restoreCopy();
        REQUIRE(fake.records("entries").empty());
        one.readContinuously();
        CHECK(runUntil(
            [&] {
                return !fake.records("entries").empty();
            },
            2s));
    }
}

TEST_CASE("updates of prompt stores reach the VMs that don't follow the stores")
{
    Fleet fleet(6);
    REQUIRE(fleet.isRelayed());
    const decision::PromptStoreUpdate report{.incarnation = 1, .nextChange = 1, .changes = {{true, "scope", "part", 10}}};
    fleet.vms[0]->state.storedPrompts.applyUpdate(PromptStore, report);
    fleet.vms[0]->link.promptStoreLog().addUpdate(PromptStore, report);
    CHECK(runUntil([&] {
        return std::all_of(fleet.vms.begin() + 1, fleet.vms.end(), [](const auto &it) {
            return !it->promptStoreEntries.empty() && it->promptStoreEntries.back().update && it->promptStoreEntries.back().update->nextChange == 1;
        });
    }));
}

TEST_CASE("a VM whose configuration names a prompt store later than its relay's receives a snapshot of that store")
{
    Fleet fleet(6);
    REQUIRE(fleet.isRelayed());
    Vm &vm = *fleet.vms[1];
    const decision::PromptStoreUpdate report{.incarnation = 1, .nextChange = 1, .changes = {{true, "scope", "part", 10}}};
    fleet.vms[0]->state.storedPrompts.applyUpdate(PromptStore, report);
    fleet.vms[0]->link.promptStoreLog().addUpdate(PromptStore, report);
    const auto hasSnapshot = [&vm] {
        return !vm.promptStoreEntries.empty() && vm.promptStoreEntries.back().update && vm.promptStoreEntries.back().update->isSnapshot;
    };
    REQUIRE(runUntil([&] {
        return !vm.promptStoreEntries.empty() && vm.promptStoreEntries.back().update;
    }));
    runFor(50ms);
    CHECK_FALSE(hasSnapshot()); // the update arrived before the VM's configuration named the store
    vm.link.configure();
    CHECK(runUntil(hasSnapshot));
    vm.state.storedPrompts.applyUpdate(PromptStore, *vm.promptStoreEntries.back().update);
    const std::size_t n = vm.promptStoreEntries.size();
    vm.link.configure(); // once the store is known, another configuration requests no snapshot
    runFor(100ms);
    CHECK(vm.promptStoreEntries.size() == n);
}

TEST_CASE("a snapshot that is needed while the relay is polled is requested with the next poll")
{
    // Guards against a prompt store that a VM never learns of: a configuration that named it came into force while a poll was under way, and the response to
    // that poll took the request for a snapshot back.
    Fleet fleet(6);
    REQUIRE(fleet.isRelayed());
    Vm &vm = *fleet.vms[1];
    const decision::PromptStoreUpdate report{.incarnation = 1, .nextChange = 1, .changes = {{true, "scope", "part", 10}}};
    fleet.vms[0]->state.storedPrompts.applyUpdate(PromptStore, report);
    fleet.vms[0]->link.promptStoreLog().addUpdate(PromptStore, report);
    for (int n = 0; n < 50; ++n) {
        runFor(std::chrono::milliseconds(n % 13)); // at another phase of the polls each time
        vm.promptStoreEntries.clear();
        vm.link.configure();
        REQUIRE(runUntil(
            [&vm] {
                return std::any_of(vm.promptStoreEntries.begin(), vm.promptStoreEntries.end(), [](const PromptStoreLogEntry &it) {
                    return it.update && it.update->isSnapshot;
                });
            },
            2s));
    }
}

TEST_CASE("a read that begins while the relay is polled waits for the next response")
{
    Fleet fleet(6);
    REQUIRE(fleet.isRelayed());
    runFor(300ms); // reads that began before the relay was known end
    const int before = fleet.store.calls();
    Vm &vm = *fleet.vms[1];
    int reads = 0;
    // The reads begin at varying times relative to the polls.
    std::function<void()> readNext = [&] {
        vm.store.read({"servers"}, [&](const StoreResult<RecordBatch> &) {
            ++reads;
            QTimer::singleShot(std::chrono::milliseconds(9 + reads % 4), &vm.link, [&] {
                readNext();
            });
        });
    };
    fleet.vms[0]->store.read({"servers", 0, 100ms}, [](const StoreResult<RecordBatch> &) {
    });
    runFor(150ms);
    readNext();
    const auto readAtRelay = [&] {
        fleet.vms[0]->store.read({"servers"}, [](const StoreResult<RecordBatch> &) {
        });
    };
    int relayReads = 1;
    for (int n = 0; n < 10; ++n) {
        readAtRelay();
        ++relayReads;
        runFor(100ms);
    }
    CHECK(reads > 20);
    // The relay's reads here and of its own feed, one read per 100 ms, and some slack for one more.
    CHECK(fleet.store.calls() - before <= relayReads + 14);
}

TEST_CASE("when the relay stops its readers miss no record")
{
    Fleet fleet(6);
    REQUIRE(fleet.isRelayed());
    fleet.store.put(Topic, "key", "one");
    CHECK(fleet.vms[3]->receives("one"));
    fleet.vms[0]->link.stop();
    fleet.store.put(Topic, "key", "two");
    for (auto &it : fleet.vms) {
        CHECK(it->receives("two"));
        CHECK(it->values.size() == 2);
    }
    CHECK(runUntil([&] {
        return std::count_if(fleet.vms.begin(),
                             fleet.vms.end(),
                             [](const auto &it) {
                                 return it->link.isRelayed();
                             })
            == 4; // all but the large VM and the next relay
    }));
}

TEST_CASE("a VM that alone lost its relay is served by the next one, though that one's own relay still answers")
{
    // Guards against a fleet in which one late answer of a relay makes its readers go through all VMs of the zone, each of which has a relay and turns them
    // away: 20 of 24 thousand calls to the store of a day with 295 VMs.
    Fleet fleet(6);
    REQUIRE(fleet.isRelayed());
    RawServer silent([](QTcpSocket *, const QByteArray &) {
    });
    Vm &vm = *fleet.vms[1];
    vm.link.addVm({"large", silent.address().toStdString(), "zone", 200});
    REQUIRE(runUntil(
        [&vm] {
            return !vm.link.isRelayed();
        },
        3s));
    CHECK(runUntil(
        [&vm] {
            return vm.link.isRelayed();
        },
        2s));
    fleet.store.put(Topic, "key", "one");
    CHECK(vm.receives("one"));
}

TEST_CASE("one late answer of a relay doesn't end its use")
{
    Fleet fleet(6);
    REQUIRE(fleet.isRelayed());
    Vm &vm = *fleet.vms[1];
    int answers = 0;
    RawServer late([&](QTcpSocket *socket, const QByteArray &request) {
        if (++answers != 2) {
            const RelayResponse response{.followsStores = true};
            const nlohmann::json call = nlohmann::json::parse(request.mid(request.indexOf("\r\n\r\n") + 4).toStdString());
            const nlohmann::json object = {{"jsonrpc", "2.0"}, {"id", call.at("id")}, {"result", nlohmann::json::parse(toJson(response))}};
            const QByteArray body = QByteArray::fromStdString(object.dump());
            socket->write("HTTP/1.1 200 OK\r\nContent-Length: " + QByteArray::number(body.size()) + "\r\n\r\n" + body);
        }
    });
    vm.link.addVm({"late", late.address().toStdString(), "zone", 1000});
    CHECK(runUntil(
        [&] {
            return answers > 5;
        },
        3s));
}

TEST_CASE("readers don't trust a relay that lost the store")
{
    FakeStore lostStore;
    FakeStore workingStore;
    Vm relay(lostStore, "large", 200);
    std::vector<std::unique_ptr<Vm>> others;
    for (int k = 1; k < 6; ++k) {
        others.push_back(std::make_unique<Vm>(workingStore, "small-" + std::to_string(k), 10));
    }
    relay.readContinuously();
    // The other VMs find the relay in the directory of the working store.
    runFor(20ms);
    workingStore.put("entries", "large", lostStore.records("entries").at(0).value);
    for (auto &it : others) {
        it->readContinuously();
    }
    REQUIRE(runUntil([&] {
        return others[0]->link.isRelayed();
    }));
    lostStore.setError(StoreError::Unreachable);
    runFor(400ms); // longer than records through a relay may be old
    CHECK_FALSE(others[0]->link.isRelayed());
    workingStore.put(Topic, "key", "one");
    for (auto &it : others) {
        CHECK(it->receives("one"));
    }
}

namespace {

/// A fleet with the budget of 2.5 s, each VM with a feed.
struct FollowingFleet
{
    FollowingFleet()
    {
        vms.push_back(std::make_unique<Vm>(store, "large", 200, ReadBudget()));
        for (int k = 1; k < 6; ++k) {
            vms.push_back(std::make_unique<Vm>(store, "small-" + std::to_string(k), 10, ReadBudget()));
        }
        for (const auto &it : vms) {
            KeyedFeedOptions options;
            options.topic = Topic;
            options.longestRead = [link = &it->link] {
                return link->longestRead();
            };
            KeyedFeedHooks hooks;
            hooks.onChange = [this](const std::string & /*key*/, const std::optional<QByteArray> & /*value*/, bool /*duringOutage*/) {
                ++changes;
                return true;
            };
            feeds.push_back(std::make_unique<KeyedFeed>(options, it->store, std::move(hooks)));
            feeds.back()->start();
        }
    }

    /// Whether all VMs have a change that is made now when it must be in force, less a reserve for a late event loop.
    bool hasChangeInTime()
    {
        store.put(Topic, "key", "new");
        return runUntil(
            [this] {
                return changes == vms.size();
            },
            2250ms);
    }

    FakeStore store;
    std::vector<std::unique_ptr<Vm>> vms;
    std::vector<std::unique_ptr<KeyedFeed>> feeds;
    std::size_t changes = 0;
};

} // namespace

TEST_CASE("a change is in force in time at all VMs when the answers to two reads of their relay are lost")
{
    // Guards against VMs whose relay's delay, its own poll and a direct read add up to more than allowed (CONFIG, DRAIN).
    FollowingFleet it;
    it.store.setCallTimeout(1s);
    REQUIRE(runUntil([&] {
        return std::all_of(it.vms.begin() + 1, it.vms.end(), [](const auto &vm) {
            return vm->link.isRelayed();
        });
    }));
    runFor(1700ms); // reads that began before the relay was known end
    const int before = it.store.calls();
    runFor(3s);
    CHECK(it.store.calls() - before <= 4); // the relay's alone
    it.store.loseReads(1);
    CHECK(it.hasChangeInTime());
}

TEST_CASE("a change is in force in time at all VMs when their relay accepts polls and never answers")
{
    FollowingFleet it;
    RawServer silent([](QTcpSocket *, const QByteArray &) {
    });
    const decision::EntryVm relay{"silent", silent.address().toStdString(), "zone", 1000};
    for (const auto &vm : it.vms) {
        vm->link.addVm(relay);
    }
    runFor(1s);
    CHECK(it.hasChangeInTime());
    CHECK(silent.requests() > 0);
}
