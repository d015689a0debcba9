#include "auburndrum/gateway/peerexchange.h"

#include "eventloop.h"
#include "fakestore.h"

#include <doctest/doctest.h>

using namespace auburndrum;
using namespace auburndrum::gateway;
using namespace std::chrono_literals;

namespace {

decision::RequestMarks promptOf(const std::vector<std::string> &parts)
{
    decision::Prompt it{.model = "m"};
    for (const std::string &part : parts) {
        it.parts.push_back({part, 10});
    }
    return decision::marksOf(&it);
}

const decision::RequestMarks Bad = promptOf({"shared", "bad", "own"});
const decision::RequestMarks Sound = promptOf({"shared", "sound", "own"});

/// The PeerExchange of one entry VM.
class Vm
{
public:
    Vm(FakeStore &fake, const std::string &name)
        : state({.zone = "zone"},
                {.vm = name,
                 .write =
                     [this](std::string_view line) {
                         log += line;
                     }},
                Wire{},
                {})
        , relayLink(options(name),
                    state,
                    fake.hooks(),
                    {.onFollowsStoresChanged =
                         [](bool) {
                         },
                     .onPromptStoreEntry =
                         [](const PromptStoreLogEntry &) {
                         }})
        , link(state, relayLink)
    {
        relayLink.start();
        link.start();
    }

    static RelayLinkOptions options(const std::string &name)
    {
        RelayLinkOptions it;
        it.self = {name, "127.0.0.1:0", "zone", 10};
        it.directoryTopic = "entries";
        it.directoryDelay = 50ms;
        return it;
    }

    void lose(const std::string &server)
    {
        const Instant now = suspendAwareNow();
        state.quarantine.onLost(server, Bad, now - 10ms, now);
        state.onNewsForPeers();
    }

    bool keepsAway()
    {
        return state.quarantine.decide(Bad, suspendAwareNow()).admission == decision::CrashAdmission::Refused;
    }

    std::string log;
    GatewayState state;
    RelayLink relayLink;
    PeerExchange link;
};

} // namespace

TEST_CASE("VMs of which each sees one crash keep the part away together, and one that starts later learns it")
{
    // Guards against crashes that no VM sees often enough, and against a VM that starts after the others decided (BUDGET).
    FakeStore store;
    std::vector<std::unique_ptr<Vm>> vms;
    for (const char *name : {"a", "b", "c"}) {
        vms.push_back(std::make_unique<Vm>(store, name));
    }
    CHECK(runUntil([&] {
        return std::all_of(vms.begin(), vms.end(), [](const auto &it) {
            return it->relayLink.isDirectoryKnown();
        });
    }));
    for (std::size_t n = 0; n < vms.size(); ++n) {
        vms[n]->lose("server-" + std::to_string(n));
        runFor(200ms);
        vms[0]->state.quarantine.onWholeResponse("alive", Sound, true, suspendAwareNow());
    }
    CHECK(runUntil(
        [&] {
            return std::all_of(vms.begin(), vms.end(), [](const auto &it) {
                return it->keepsAway();
            });
        },
        3s));
    CHECK(vms[1]->log.find("prompt_part") != std::string::npos);
    Vm started(store, "d");
    CHECK(runUntil(
        [&] {
            return started.keepsAway();
        },
        3s));
}

TEST_CASE("a limit that one VM hears of is shared by all, and its end too")
{
    // Guards against VMs that learn of a limit only from answers of their own, and each take it for themselves (LIMIT).
    FakeStore store;
    std::vector<std::unique_ptr<Vm>> vms;
    for (const char *name : {"a", "b", "c"}) {
        vms.push_back(std::make_unique<Vm>(store, name));
        vms.back()->state.servers.put({.id = "s", .service = "service"}, monotonicNow());
    }
    const auto all = [&vms](std::optional<double> limit) {
        return std::all_of(vms.begin(), vms.end(), [&](const auto &it) {
            return it->relayLink.isDirectoryKnown() && it->state.limits.find("s", {}) == limit;
        });
    };
    CHECK(runUntil([&] {
        return all({});
    }));
    vms[0]->state.limits.onResponse("s", {}, 10, suspendAwareNow(), suspendAwareNow());
    vms[0]->state.onNewsForPeers();
    CHECK(runUntil(
        [&] {
            return all(10);
        },
        3s));
    int sent = 0;
    for (const Instant end = monotonicNow() + 2s; monotonicNow() < end; runFor(2ms)) {
        for (const auto &it : vms) {
            if (it->state.limits.allows("s", {}, suspendAwareNow())) {
                it->state.limits.onSent("s", {}, suspendAwareNow());
                ++sent;
            }
        }
    }
    CHECK(sent >= 12);
    CHECK(sent <= 30);
    vms[2]->state.limits.onResponse("s", {}, {}, suspendAwareNow(), suspendAwareNow());
    vms[2]->state.onNewsForPeers();
    CHECK(runUntil(
        [&] {
            return all({});
        },
        3s));
}

TEST_CASE("while a limit is in force, permits of a VM that is gone are used by the others, and VMs that registered meanwhile are found")
{
    // Guards against permits that lapse for good with a VM, and against VMs that don't know all that share a limit (LIMIT).
    FakeStore store;
    std::vector<std::unique_ptr<Vm>> vms;
    for (const char *name : {"a", "b", "c"}) {
        vms.push_back(std::make_unique<Vm>(store, name));
        vms.back()->state.servers.put({.id = "s", .service = "service"}, monotonicNow());
    }
    CHECK(runUntil([&] {
        return std::all_of(vms.begin(), vms.end(), [](const auto &it) {
            return it->relayLink.isDirectoryKnown() && it->relayLink.knownVms().size() == 3;
        });
    }));
    vms[0]->state.limits.onResponse("s", {}, 30, suspendAwareNow(), suspendAwareNow());
    vms[0]->state.onNewsForPeers();
    runFor(1500ms);
    vms.pop_back();
    runFor(5s);
    int sent = 0;
    for (const Instant end = monotonicNow() + 2s; monotonicNow() < end; runFor(2ms)) {
        for (const auto &it : vms) {
            if (it->state.limits.allows("s", {}, suspendAwareNow())) {
                it->state.limits.onSent("s", {}, suspendAwareNow());
                ++sent;
            }
        }
    }
    CHECK(sent >= 66); // 60 in this time and 30 from the second before; two thirds of that without the third VM's permits
    store.put("entries", "d", QByteArray::fromStdString(toJson(decision::EntryVm{"d", "127.0.0.1:9", "zone", 10})));
    CHECK(runUntil([&] {
        return vms[0]->relayLink.knownVms().size() == 4;
    }));
}

TEST_CASE("evidence arrives as it was sent, with its times on the receiver's clock")
{
    const Instant now{5000s};
    ExchangeMessage message;
    message.from = {"a", "10.0.0.1:1", "zone", 10};
    message.evidence.crashes.push_back({"server", now - 2s, false, true, {{"bad", now - 3s}}});
    message.evidence.successes.push_back({"shared", "b", 7, now - 1s});
    message.evidence.verdicts.push_back({"bad", "a:1:1", now - 500ms, 60s, true, {"server"}});
    message.limits.push_back({"server", WallTime(7ms), 1.5, 4, "b", now - 100ms, now - 9s});
    message.silences.push_back({"c", now - 1s, now - 4s});
    message.brittleServices.push_back({"service", {}, 3, 2, "c", now - 200ms, now - 5s});
    message.rooms.push_back({"server", WallTime(7ms), 12, now - 300ms, now - 4s});
    const Instant later{90000s};
    const auto read = exchangeMessageFrom(toJson(message, now), later);
    REQUIRE(read);
    const auto &evidence = read.value().evidence;
    CHECK(read.value().from == message.from);
    REQUIRE(evidence.crashes.size() == 1);
    CHECK(evidence.crashes[0].at == later - 2s);
    CHECK(evidence.crashes[0].isConfirmed);
    CHECK(evidence.crashes[0].lostMarks.at("bad") == later - 3s);
    REQUIRE(evidence.successes.size() == 1);
    CHECK(evidence.successes[0].number == 7);
    REQUIRE(evidence.verdicts.size() == 1);
    CHECK(evidence.verdicts[0].isLifted);
    CHECK(evidence.verdicts[0].hold == 60s);
    REQUIRE(read.value().limits.size() == 1);
    CHECK(read.value().limits[0].startedAt == WallTime(7ms));
    CHECK(read.value().limits[0].perSecond == 1.5);
    CHECK(read.value().limits[0].number == 4);
    CHECK(read.value().limits[0].at == later - 100ms);
    CHECK(read.value().limits[0].numberedFrom == later - 9s);
    REQUIRE(read.value().silences.size() == 1);
    CHECK(read.value().silences[0].heardAt == later - 4s);
    REQUIRE(read.value().brittleServices.size() == 1);
    CHECK(read.value().brittleServices[0].perSecond == 3);
    REQUIRE(read.value().rooms.size() == 1);
    CHECK(read.value().rooms[0].requests == 12);
    CHECK(read.value().rooms[0].seenAt == later - 300ms);
    CHECK(read.value().rooms[0].rejectedAt == later - 4s);
    CHECK_FALSE(exchangeMessageFrom("{}", now));
    CHECK_FALSE(exchangeMessageFrom("nonsense", now));
}
