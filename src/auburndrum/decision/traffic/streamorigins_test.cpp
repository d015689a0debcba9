#include "auburndrum/decision/traffic/originsearch.h"
#include "auburndrum/decision/traffic/streamorigins.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace auburndrum;
using namespace auburndrum::decision;
using namespace std::chrono_literals;

namespace {

constexpr Instant Begin{1000s};
const StreamOrigin OldSoftware = {"service", "v1"};
const StreamOrigin NewSoftware = {"service", "v2"};

} // namespace

TEST_CASE("the first origin of an attempt holds, and is remembered as long as it is used")
{
    // Guards against a stream whose later part is taken for its beginning (ORDER).
    StreamOrigins it({.lifetime = 10s});
    it.record("first", OldSoftware, Begin);
    it.record("first", NewSoftware, Begin + 8s);
    CHECK(it.find("first", Begin + 17s) == OldSoftware);
    CHECK_FALSE(it.find("first", Begin + 18s));
    CHECK_FALSE(it.find("other", Begin));
    it.record("", OldSoftware, Begin + 20s);
    CHECK_FALSE(it.find("", Begin + 20s));
}

TEST_CASE("of more origins than fit the oldest are dropped")
{
    // Guards against memory that grows with the number of streams.
    StreamOrigins it({.maxOrigins = 100});
    for (int n = 0; n < 1000; ++n) {
        it.record(std::to_string(n), OldSoftware, Begin);
    }
    CHECK(it.size() <= 100);
    CHECK(it.find("999", Begin));
    CHECK_FALSE(it.find("1", Begin));
}

TEST_CASE("VMs that know different VMs agree on the order of those that both know")
{
    // Guards against an origin that is sought at other VMs than those which remember it (LOST).
    std::vector<std::string> known;
    known.reserve(90);
    for (int n = 0; n < 90; ++n) {
        known.push_back("vm-" + std::to_string(n));
    }
    const auto all = rankHolders("attempt", known);
    known.erase(known.begin() + 10, known.begin() + 20);
    const auto some = rankHolders("attempt", known);
    std::vector<std::string> common;
    std::copy_if(all.begin(), all.end(), std::back_inserter(common), [&](const std::string &it) {
        return std::find(some.begin(), some.end(), it) != some.end();
    });
    CHECK(some == common);
    CHECK(rankHolders("another", known) != some);
}

TEST_CASE("a search asks few VMs first, more when these know nothing, and the silent ones again")
{
    std::vector<std::string> vms = {"a", "b", "c", "d", "e"};
    OriginSearch it(vms, Begin);
    CHECK(it.vmsToAsk(Begin) == std::vector<std::string>{"a", "b", "c"});
    CHECK(it.vmsToAsk(Begin + 1ms).empty());
    it.onAnswer("a", {});
    it.onAnswer("b", {});
    CHECK(it.vmsToAsk(Begin + 10ms).empty());
    CHECK(it.vmsToAsk(Begin + 50ms) == std::vector<std::string>{"d", "e"});
    CHECK(it.vmsToAsk(Begin + 120ms) == std::vector<std::string>{"c"});
    CHECK_FALSE(it.isDone(Begin + 120ms));
    it.onAnswer("d", OldSoftware);
    CHECK(it.isDone(Begin + 121ms));
    CHECK(it.origin() == OldSoftware);
}

TEST_CASE("a search ends when all VMs know nothing, and says whether a silent one may tell later")
{
    // Guards against callers that wait for VMs that are gone, and against a time to return where nothing can come back.
    OriginSearch it({"a", "b"}, Begin);
    CHECK(it.vmsToAsk(Begin).size() == 2);
    it.onAnswer("a", {});
    CHECK_FALSE(it.isDone(Begin + 449ms));
    CHECK(it.isDone(Begin + 450ms));
    CHECK(it.isOpen());
    it.onAnswer("b", {});
    CHECK(it.isDone(Begin + 1ms));
    CHECK_FALSE(it.isOpen());
    CHECK(OriginSearch({}, Begin).isDone(Begin));
}
