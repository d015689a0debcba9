#include "auburndrum/decision/traffic/backendlist.h"

#include <doctest/doctest.h>

using namespace auburndrum;
using namespace auburndrum::decision;
using namespace std::chrono_literals;

namespace {

const Instant Start{1000s};

BackendServer server(std::string id)
{
    BackendServer it;
    it.id = std::move(id);
    it.service = "orders";
    it.address = "10.0.0.1:80";
    it.startedAt = WallTime(1000ms);
    return it;
}

} // namespace

TEST_CASE("a draining server stays listed and accepts no new requests")
{
    BackendList list;
    BackendServer it = server("a");
    CHECK(list.put(it, Start) == BackendChange::Added);
    CHECK(BackendList::acceptsRequests(*list.find("a")));
    it.isDraining = true;
    CHECK(list.put(it, Start) == BackendChange::Draining);
    CHECK_FALSE(BackendList::acceptsRequests(*list.find("a")));
    CHECK(list.findByService("orders").size() == 1);
}

TEST_CASE("a known id with another start time is a restart")
{
    BackendList list;
    BackendServer it = server("a");
    list.put(it, Start);
    CHECK(list.put(it, Start) == BackendChange::None);
    it.startedAt = WallTime(2000ms);
    CHECK(list.put(it, Start) == BackendChange::Restarted);
}

TEST_CASE("a removed server disappears immediately when the store had no outage")
{
    BackendList list;
    list.put(server("a"), Start);
    CHECK(list.remove("a", Start, false) == BackendChange::Removed);
    CHECK(list.find("a") == nullptr);
    CHECK(list.remove("a", Start, false) == BackendChange::None);
}

TEST_CASE("an entry that expired in an outage is removed after its grace period")
{
    BackendList list({.expiryGrace = 2000ms});
    list.put(server("a"), Start);
    CHECK(list.remove("a", Start, true) == BackendChange::None);
    CHECK(list.removeExpired(Start + 1999ms).empty());
    CHECK(list.find("a") != nullptr);
    CHECK(list.removeExpired(Start + 2000ms) == std::vector<std::string>{"a"});
    CHECK(list.find("a") == nullptr);
}

TEST_CASE("an expired entry that is registered again within its grace period is restored")
{
    BackendList list({.expiryGrace = 2000ms});
    list.put(server("a"), Start);
    list.remove("a", Start, true);
    CHECK(list.put(server("a"), Start + 1000ms) == BackendChange::Restored);
    CHECK(list.removeExpired(Start + 5000ms).empty());
    CHECK(list.find("a") != nullptr);
}

TEST_CASE("a draining server gets no grace period when its entry is removed in an outage")
{
    BackendList list;
    BackendServer it = server("a");
    it.isDraining = true;
    list.put(it, Start);
    CHECK(list.remove("a", Start, true) == BackendChange::Removed);
}

TEST_CASE("a server that drains is not taken back by an older registration of the same process, but by a new process")
{
    // Guards against requests to a leaving server after the store returned from a copy in which it doesn't drain yet (DRAIN).
    BackendList list;
    BackendServer it = server("a");
    it.isDraining = true;
    list.put(it, Start);
    it.isDraining = false;
    CHECK(list.put(it, Start) == BackendChange::None);
    CHECK_FALSE(BackendList::acceptsRequests(*list.find("a")));
    it.startedAt += 1ms;
    CHECK(list.put(it, Start) == BackendChange::Restarted);
    CHECK(BackendList::acceptsRequests(*list.find("a")));
}
