#include "auburndrum/entry/gossipcodec.h"

#include <doctest/doctest.h>

using namespace auburndrum::decision;
using namespace auburndrum::entry;

namespace {

GossipMessage example()
{
    GossipMessage message;
    message.sender = {"entry-1", "10.0.0.1:7070", "uusimaa-1", "uusimaa", 1764800000000, 3, Liveness::Alive, true};
    message.senderAge = std::chrono::seconds(5);
    message.configOffset = 77;
    message.digest = 0xfedcba9876543210;
    message.wantsFullState = true;
    message.bucketDigests = {0, 1, 0xffffffff};
    message.deltas.push_back({MemberRecord{"entry-2", "10.0.0.2:7070", "z", "r", 5, 0, Liveness::Dead, false}, {}});
    message.deltas.push_back({LeavingServer{"backend-1", 9}, std::chrono::seconds(12)});
    message.deltas.push_back({LinkDemand{"entry-1", "uusimaa>pirkanmaa", 4, 1000000}, {}});
    message.deltas.push_back({CircuitReport{"backend-2", "entry-1", 8, true}, {}});
    return message;
}

} // namespace

TEST_CASE("a gossip message is the same after encoding and decoding")
{
    const GossipMessage message = example();
    const auto read = decodeGossip(encodeGossip(message));
    REQUIRE(read);
    CHECK(read.value().sender == message.sender);
    CHECK(read.value().senderAge == message.senderAge);
    CHECK(read.value().configOffset == 77);
    CHECK(read.value().digest == message.digest);
    CHECK(read.value().wantsFullState);
    CHECK_FALSE(read.value().isFullState);
    CHECK(read.value().bucketDigests == message.bucketDigests);
    REQUIRE(read.value().deltas.size() == 4);
    for (std::size_t n = 0; n < 4; ++n) {
        CHECK(read.value().deltas[n].value == message.deltas[n].value);
        CHECK(read.value().deltas[n].age == message.deltas[n].age);
    }
}

TEST_CASE("decoding skips a delta of an unknown kind")
{
    std::string text = encodeGossip(example());
    text.replace(text.find("\"circuit\""), 9, "\"weather\"");
    const auto read = decodeGossip(text);
    REQUIRE(read);
    CHECK(read.value().deltas.size() == 3);
}

TEST_CASE("a truncated message or one with fields of wrong types is rejected")
{
    const std::string text = encodeGossip(example());
    for (std::size_t n = 0; n < text.size(); ++n) {
        CHECK_FALSE(decodeGossip(text.substr(0, n)));
    }
    CHECK_FALSE(decodeGossip(R"({"self":[1,2],"offset":0,"digest":0})"));
    CHECK_FALSE(decodeGossip(R"({"self":["a","b","c","d",-1,0,0],"offset":0,"digest":0})"));
    CHECK_FALSE(decodeGossip("[]"));
}
