#include "auburndrum/gateway/relaymessages.h"

#include <doctest/doctest.h>

using namespace auburndrum;
using namespace auburndrum::gateway;
using namespace std::chrono_literals;

TEST_CASE("a request is parsed as it was sent")
{
    const RelayRequest sent{{"vm-1", "10.0.0.1:7580", "zone", 10}, {{"operator", 7}, {"servers", 90}}, "log-1", 12};
    const auto got = relayRequestFrom(toJson(sent));
    REQUIRE(got);
    CHECK(got.value().from == sent.from);
    CHECK(got.value().topics == sent.topics);
    CHECK(got.value().promptStoreLogName == "log-1");
    CHECK(got.value().promptStoreLogFrom == 12);
}

TEST_CASE("a response is parsed as it was sent, with bytes of any value and dropped keys")
{
    RelayResponse sent;
    sent.topics["operator"] = {.records = {{7, "a", QByteArray("\x00\xff\"", 3)}, {8, "b", std::nullopt}}, .nextOffset = 9, .age = 40ms};
    sent.followsStores = true;
    sent.promptStoreLog
        = {"log-1",
           3,
           {{"10.0.0.1:1", std::nullopt}, {"10.0.0.2:1", decision::PromptStoreUpdate{77, 5, true, false, {{true, "s", "p", 9}, {false, "t", "q", 0}}}}}};
    const auto got = relayResponseFrom(toJson(sent));
    REQUIRE(got);
    const RelayResponse &it = got.value();
    const RecordBatch &batch = it.topics.at("operator");
    CHECK(batch.nextOffset == 9);
    CHECK(batch.age == 40ms);
    CHECK(batch.records[0].value == QByteArray("\x00\xff\"", 3));
    CHECK_FALSE(batch.records[1].value);
    CHECK(it.followsStores);
    CHECK(it.promptStoreLog.logName == "log-1");
    CHECK(it.promptStoreLog.nextEntry == 3);
    CHECK_FALSE(it.promptStoreLog.entries[0].update);
    const decision::PromptStoreUpdate &report = *it.promptStoreLog.entries[1].update;
    CHECK(report.incarnation == 77);
    CHECK(report.nextChange == 5);
    CHECK(report.isSnapshot);
    CHECK(report.changes[0].isStored);
    CHECK(report.changes[0].tokens == 9);
    CHECK_FALSE(report.changes[1].isStored);
    CHECK(report.changes[1].scope == "t");
    CHECK(report.changes[1].part == "q");
}

TEST_CASE("malformed messages are refused with the reason")
{
    for (const char *it : {"", "[]", "{}", R"({"from":{"name":1}})", R"({"from":{"name":"a","address":"b","zone":"c","link_mbit":1},"topics":{"t":-1}})"}) {
        const auto got = relayRequestFrom(it);
        REQUIRE_FALSE(got);
        CHECK_FALSE(got.error().empty());
    }
    const std::string noScope
        = R"({"topics":{},"follows_stores":true,"kept_log":"l","kept_next":1,"kept":[{"store":"a","incarnation":1,"next":1,"whole":false,)"
          R"("scopes":[],"changes":[[1,0,"p",1]]}]})";
    REQUIRE_FALSE(relayResponseFrom(noScope));
    CHECK(relayResponseFrom(noScope).error() == "a change names no scope");
    CHECK_FALSE(entryVmFrom(R"({"name":"a"})"));
}
