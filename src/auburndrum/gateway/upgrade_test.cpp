#include "auburndrum/decision/leasetable.h"
#include "auburndrum/entry/jsonrpc.h"
#include "auburndrum/gateway/exchangemessages.h"
#include "auburndrum/gateway/originmessages.h"
#include "auburndrum/gateway/relayedrequest.h"
#include "auburndrum/gateway/relaymessages.h"
#include "eventloop.h"
#include "weightupdaterfixture.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <fstream>
#include <sstream>

// Guards against fleets that fall apart while VMs are replaced one after the other: messages between VMs, and records in the store, are read by the version
// before and the other way round. The samples were written by that version.

using namespace auburndrum;
using namespace auburndrum::gateway;
using namespace std::chrono_literals;

namespace {

const Instant Now{1'000'000s};

std::string sample(const std::string &name)
{
    std::ifstream file(std::string(AUBURNDRUM_SAMPLES) + "/" + name);
    REQUIRE(file);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

std::vector<net::Header> sampleFields(const std::string &name)
{
    std::vector<net::Header> fields;
    std::istringstream lines(sample(name));
    for (std::string line; std::getline(lines, line);) {
        const auto colon = line.find(": ");
        if (colon != std::string::npos) {
            fields.push_back({QByteArray::fromStdString(line.substr(0, colon)), QByteArray::fromStdString(line.substr(colon + 2))});
        }
    }
    return fields;
}

/// Whether a reader of `before` finds all that it looks for in `after`: the same members and elements of the same types, with the same values.
bool holdsAllOf(const nlohmann::json &after, const nlohmann::json &before)
{
    if (before.is_object()) {
        return after.is_object() && std::all_of(before.items().begin(), before.items().end(), [&after](const auto &it) {
                   return after.contains(it.key()) && holdsAllOf(after.at(it.key()), it.value());
               });
    }
    if (before.is_array()) {
        return after.is_array() && after.size() >= before.size() && std::equal(before.begin(), before.end(), after.begin(), [](const auto &a, const auto &b) {
                   return holdsAllOf(b, a);
               });
    }
    return after == before;
}

bool isReadable(const std::string &written, const std::string &sampleName)
{
    return holdsAllOf(nlohmann::json::parse(written), nlohmann::json::parse(sample(sampleName)));
}

} // namespace

TEST_CASE("evidence that VMs exchange is read by both versions")
{
    const auto it = exchangeMessageFrom(sample("exchange.json"), Now);
    REQUIRE(it);
    const ExchangeMessage &message = it.value();
    CHECK(message.from == decision::EntryVm{"edge-a-1", "10.0.0.1:7580", "zone-a", 200.5});
    REQUIRE(message.evidence.crashes.size() == 1);
    CHECK(message.evidence.crashes[0].at == Now - 5s);
    CHECK(message.evidence.crashes[0].lostMarks.at("part") == Now - 7s);
    CHECK(message.evidence.successes.size() == 1);
    REQUIRE(message.evidence.verdicts.size() == 1);
    CHECK(message.evidence.verdicts[0].hold == 8s);
    REQUIRE(message.limits.size() == 1);
    CHECK(message.limits[0].perSecond == 2.5);
    CHECK(message.silences.size() == 1);
    CHECK(message.brittleServices.size() == 1);
    REQUIRE(message.rooms.size() == 1);
    CHECK(message.rooms[0].requests == 12);
    CHECK(isReadable(toJson(message, Now), "exchange.json"));
}

TEST_CASE("evidence of a version that knows fewer kinds is read")
{
    nlohmann::json object = nlohmann::json::parse(sample("exchange.json"));
    for (const char *it : {"limits", "silences", "brittle", "rooms"}) {
        object.erase(it);
    }
    object["kind of a later version"] = {1, 2};
    CHECK(exchangeMessageFrom(object.dump(), Now));
}

TEST_CASE("origins of streams are read by both versions")
{
    for (const std::string name : {"origin-record.json", "origin-question.json", "origin-answer.json"}) {
        CAPTURE(name);
        const auto it = originMessageFrom(sample(name));
        REQUIRE(it);
        CHECK(it.value().attempt == "a1");
        CHECK(isReadable(toJson(it.value()), name));
    }
    CHECK(originMessageFrom(sample("origin-answer.json")).value().origin->softwareVersion == "v1");
}

TEST_CASE("questions to relays and their answers are read by both versions")
{
    const auto question = relayRequestFrom(sample("relay-question.json"));
    REQUIRE(question);
    CHECK(question.value().topics.at("keyed.servers") == 4);
    CHECK(isReadable(toJson(question.value()), "relay-question.json"));
    const auto answer = relayResponseFrom(sample("relay-answer.json"));
    REQUIRE(answer);
    REQUIRE(answer.value().topics.at("keyed.op").records.size() == 2);
    CHECK(answer.value().topics.at("keyed.op").records[0].value == QByteArray("{}"));
    CHECK(answer.value().promptStoreLog.entries.size() == 2);
    CHECK(isReadable(toJson(answer.value()), "relay-answer.json"));
    CHECK(isReadable(entry::encodeRpcRequest("relay.poll", toJson(question.value())), "rpc-request.json"));
}

TEST_CASE("registrations of VMs in the store are read by both versions")
{
    const auto it = entryVmFrom(sample("entry-vm.json"));
    REQUIRE(it);
    CHECK(it.value().linkMegabits == 200.5);
    CHECK(isReadable(toJson(it.value()), "entry-vm.json"));
    CHECK(entryVmFrom(R"({"address":"10.0.0.1:7580","link_mbit":200.5,"name":"edge-a-1","zone":"zone-a","later":[1]})"));
}

TEST_CASE("fields of requests that are passed on and of their answers are read by both versions")
{
    const RelayedRequest request = readRelayedRequest(sampleFields("relayed-request.txt"));
    CHECK(request.by == "edge-a-1");
    CHECK(request.deliveries == 1);
    CHECK(readRelayedAnswer(sampleFields("relayed-no-path.txt")).hasNoPath);
    const RelayedAnswer answer = readRelayedAnswer(sampleFields("relayed-answer.txt"));
    CHECK(answer.server == "i-1");
    CHECK(answer.softwareVersion == "v1");
    CHECK_FALSE(answer.deliveries); // which versions before 7 December 2026 don't tell
    CHECK(readRelayedAnswer(sampleFields("relayed-failure.txt")).deliveries == 2);
    for (const auto &[name, written] : std::map<std::string, std::vector<net::Header>>{{"relayed-request.txt",
                                                                                        [&] {
                                                                                            std::vector<net::Header> fields;
                                                                                            addFields(fields, request);
                                                                                            return fields;
                                                                                        }()},
                                                                                       {"relayed-answer.txt", [&] {
                                                                                            std::vector<net::Header> fields;
                                                                                            addFields(fields, answer);
                                                                                            return fields;
                                                                                        }()}}) {
        for (const net::Header &it : sampleFields(name)) {
            CHECK(net::headerValue(written, it.name) == it.value);
        }
    }
}

TEST_CASE("leases and announced loads of the other version are followed")
{
    FakeStore fake;
    FakeEngines engines;
    const auto append = [&fake](const std::string &name) {
        bool isDone = false;
        fake.hooks().append({UpdaterVm::options("one").topic, {QByteArray::fromStdString(sample(name)).trimmed()}, {}}, [&](const auto &) {
            isDone = true;
        });
        CHECK(runUntil([&] {
            return isDone;
        }));
    };
    append("order-lease.json");
    append("order-announcement.json");
    UpdaterVm one("one", fake, engines);
    one.nameWeights(2);
    runFor(200ms); // less than the lease of the other VM lasts
    CHECK(engines.receivedOrders.empty());
    CHECK(runUntil([&] {
        return allHave(engines, 2);
    }));
    const auto records = fake.records(UpdaterVm::options("one").topic);
    const auto leaseBefore = nlohmann::json::parse(sample("order-lease.json"));
    const auto loadBefore = nlohmann::json::parse(sample("order-announcement.json"));
    int leases = 0;
    int loads = 0;
    for (const StoreRecord &record : records) {
        const auto written = nlohmann::json::parse(record.value->toStdString());
        const auto &before = written.contains("loading") ? loadBefore : leaseBefore;
        ++(written.contains("loading") ? loads : leases);
        for (const auto &it : before.items()) {
            const std::string &field = it.key();
            CAPTURE(field);
            CHECK(written.contains(field));
            CHECK(std::string_view(written[field].type_name()) == it.value().type_name());
        }
    }
    CHECK(leases > 1);
    CHECK(loads > 1);
}

TEST_CASE("builds before this one count every lease that a VM writes while it is the only one")
{
    // Guards against two holders in a fleet that is being replaced: earlier builds ignore a lease unless it replaces the one that they have in force.
    FakeStore fake;
    FakeEngines engines;
    engines.isSilent = true; // so that the roll-out goes on
    UpdaterVm one("one", fake, engines);
    one.nameWeights(2);
    runFor(1s);
    decision::LeaseTable table;
    int leases = 0;
    for (const StoreRecord &record : fake.records(UpdaterVm::options("one").topic)) {
        const auto written = nlohmann::json::parse(record.value->toStdString());
        if (written.contains("loading")) {
            continue;
        }
        ++leases;
        const auto fencing = (written["era"].get<std::uint64_t>() << 40U) + record.offset + 1;
        CHECK(table.apply(fencing, {"weights", written["holder"], written["nonce"], written["replaces"], std::chrono::milliseconds(written["duration_ms"])}));
    }
    CHECK(leases > 3);
}
