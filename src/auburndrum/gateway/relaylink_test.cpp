#include "auburndrum/gateway/relaylink.h"

#include "eventloop.h"
#include "fakestore.h"

#include <doctest/doctest.h>

using namespace auburndrum;
using namespace auburndrum::gateway;
using namespace std::chrono_literals;

namespace {

const std::string Topic = "operator";
const std::string PromptStore = "10.0.0.1:1";

/// One entry VM's link, and what it tells.
class Vm
{
public:
    Vm(FakeStore &fake, const std::string &name, double linkMegabits)
        : state({.zone = "zone"},
                {.vm = name,
                 .write =
                     [](std::string_view) {
                     }},
                Wire{},
                {})
        , link(options(name, linkMegabits),
               state,
               fake.hooks(),
               {.onFollowsStoresChanged =
                    [this](bool it) {
                        follows = it;
                    },
                .onPromptStoreEntry =
                    [this](const PromptStoreLogEntry &it) {
                        kept.push_back(it);
                    }})
        , store(link.relayedStore())
    {
        state.storedPrompts.configure({{PromptStore, "zone", 1000, 8e9, {}, true}});
        link.start();
    }

    static RelayLinkOptions options(const std::string &name, double linkMegabits)
    {
        RelayLinkOptions it;
        it.self = {name, "127.0.0.1:0", "zone", linkMegabits};
        it.directoryTopic = "entries";
        it.directoryDelay = 50ms;
        it.pollInterval = 10ms;
        it.maxReadTime = 100ms;
        it.maxRelayedAge = 300ms;
        it.defaultAllowedReaders = 4;
        return it;
    }

    /// Reads records one after another from the topic's start, as a feed does.
    void readOn(std::uint64_t from = 0)
    {
        store.read(Topic, from, 200ms, [this, from](const StoreResult<RecordBatch> &result) {
            const std::uint64_t next = result ? result.value().nextOffset : from;
            for (const StoreRecord &it : result ? result.value().records : std::vector<StoreRecord>{}) {
                values.push_back(*it.value);
            }
            QTimer::singleShot(1ms, &link, [this, next] {
                readOn(next);
            });
        });
    }

    bool sees(const QByteArray &value)
    {
        return runUntil([&] {
            return !values.empty() && values.back() == value;
        });
    }

    GatewayState state;
    RelayLink link;
    RecordStore store;
    std::optional<bool> follows;
    std::vector<PromptStoreLogEntry> kept;
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
            it->readOn();
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

} // namespace

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
    // The relay alone: a read each 100 ms, and some slack for one more.
    CHECK(fleet.store.calls() - before <= 7);
    fleet.store.put(Topic, "key", "one");
    fleet.store.put(Topic, "key", "two");
    for (auto &it : fleet.vms) {
        CHECK(it->sees("two"));
        CHECK(it->values.size() == 2);
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
            return !it->kept.empty() && it->kept.back().update && it->kept.back().update->nextChange == 1;
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
    const auto hasWhole = [&vm] {
        return !vm.kept.empty() && vm.kept.back().update && vm.kept.back().update->isSnapshot;
    };
    REQUIRE(runUntil([&] {
        return !vm.kept.empty() && vm.kept.back().update;
    }));
    runFor(50ms);
    CHECK_FALSE(hasWhole()); // the news came, and nobody here followed that store yet
    vm.link.configure();
    CHECK(runUntil(hasWhole));
    vm.state.storedPrompts.applyUpdate(PromptStore, *vm.kept.back().update);
    const std::size_t n = vm.kept.size();
    vm.link.configure(); // now that the store is known, another version asks for nothing again
    runFor(100ms);
    CHECK(vm.kept.size() == n);
}

TEST_CASE("a read that begins while the relay is polled waits for the next response")
{
    Fleet fleet(6);
    REQUIRE(fleet.isRelayed());
    runFor(300ms); // reads that began before the relay was known end
    const int before = fleet.store.calls();
    Vm &vm = *fleet.vms[1];
    int reads = 0;
    // At all moments of a question's way, one after another.
    std::function<void()> readNext = [&] {
        vm.store.read("servers", 0, 0ms, [&](const StoreResult<RecordBatch> &) {
            ++reads;
            QTimer::singleShot(std::chrono::milliseconds(9 + reads % 4), &vm.link, [&] {
                readNext();
            });
        });
    };
    fleet.vms[0]->store.read("servers", 0, 100ms, [](const StoreResult<RecordBatch> &) {
    });
    runFor(150ms);
    readNext();
    const auto relayKeepsUp = [&] {
        fleet.vms[0]->store.read("servers", 0, 0ms, [](const StoreResult<RecordBatch> &) {
        });
    };
    int byRelay = 1;
    for (int n = 0; n < 10; ++n) {
        relayKeepsUp();
        ++byRelay;
        runFor(100ms);
    }
    CHECK(reads > 20);
    // The relay's reads here and of its own feed, a read each 100 ms, and some slack for one more.
    CHECK(fleet.store.calls() - before <= byRelay + 14);
}

TEST_CASE("when the relay stops its readers miss no record")
{
    Fleet fleet(6);
    REQUIRE(fleet.isRelayed());
    fleet.store.put(Topic, "key", "one");
    CHECK(fleet.vms[3]->sees("one"));
    fleet.vms[0]->link.stop();
    fleet.store.put(Topic, "key", "two");
    for (auto &it : fleet.vms) {
        CHECK(it->sees("two"));
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

TEST_CASE("readers don't trust a relay that lost the store")
{
    FakeStore cut;
    FakeStore whole;
    Vm relay(cut, "large", 200);
    std::vector<std::unique_ptr<Vm>> others;
    for (int k = 1; k < 6; ++k) {
        others.push_back(std::make_unique<Vm>(whole, "small-" + std::to_string(k), 10));
    }
    relay.readOn();
    // The others find it in the directory of the store that works.
    runFor(20ms);
    whole.put("entries", "large", cut.records("entries").at(0).value);
    for (auto &it : others) {
        it->readOn();
    }
    REQUIRE(runUntil([&] {
        return others[0]->link.isRelayed();
    }));
    cut.setError(StoreError::Unreachable);
    runFor(400ms); // past the greatest age of news
    CHECK_FALSE(others[0]->link.isRelayed());
    whole.put(Topic, "key", "one");
    for (auto &it : others) {
        CHECK(it->sees("one"));
    }
}
