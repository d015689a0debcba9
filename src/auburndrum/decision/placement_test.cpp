#include "auburndrum/decision/placement.h"

#include <absl/random/random.h>
#include <doctest/doctest.h>

#include <random>
#include <set>

using namespace auburndrum;
using namespace auburndrum::decision;
using namespace std::chrono_literals;

namespace {

constexpr Instant Start{100s};
constexpr std::uint32_t PieceTokens = 2000;

struct Fixture
{
    explicit Fixture(int servers)
    {
        options.location = {"zone-a", "uusimaa"};
        for (int n = 0; n < servers; ++n) {
            const std::string address = "127.0.0." + std::to_string(n) + ":80";
            ids.push_back(*table.put({address, "zone-a", "uusimaa", "menu", 1}));
            reportQueue(n, 0);
        }
        for (std::uint64_t n = 1; n <= 5; ++n) {
            keys.push_back({0, 0, n, n * 0x9E3779B97F4A7C15U});
        }
    }

    void reportQueue(int server, std::uint64_t tokens, Instant at = Start, std::string version = "v1")
    {
        ServerLoadReport load;
        load.incarnation = 1;
        load.weightVersion = std::move(version);
        load.prefillTokensPerSecond = 10'000;
        load.queuedPrefillTokens = tokens;
        load.measuredAt = at;
        table.applyLoadReport("127.0.0." + std::to_string(server) + ":80", load);
    }

    RouteRequest request() const
    {
        RouteRequest it;
        it.service = "menu";
        it.weightVersion = "v1";
        it.pieceKeys = keys;
        it.promptTokens = 5 * PieceTokens + 100;
        return it;
    }

    RouteResult<Placement> choose(const RouteRequest &request, Instant now = Start)
    {
        return Router(options, table, cache, stores, hooks).choose(request, now, random);
    }

    RouterOptions options;
    ServerTable table;
    CacheIndex cache;
    StoreTable stores;
    RouterHooks hooks;
    std::vector<ServerId> ids;
    std::vector<PieceKey> keys;
    std::mt19937_64 random{1};
};

} // namespace

TEST_CASE("a cached prompt is routed to the server that holds it")
{
    Fixture it(10);
    it.cache.noteStored(it.ids[7], it.keys);
    const auto placement = it.choose(it.request());
    REQUIRE(placement.has_value());
    CHECK(placement.value().server == it.ids[7]);
    CHECK(placement.value().reason == PlacementReason::Cached);
    CHECK(placement.value().recomputeTokens == 100);
}

TEST_CASE("a server that holds the prompt is found when the service is too large for a full scan")
{
    Fixture it(200);
    it.cache.noteStored(it.ids[177], it.keys);
    CHECK(it.choose(it.request()).value().server == it.ids[177]);
}

TEST_CASE("another server prefills the prompt when the one that holds it has a long queue")
{
    Fixture it(10);
    it.cache.noteStored(it.ids[7], it.keys);
    it.reportQueue(7, 50'000, Start + 1ms);
    CHECK_FALSE(it.choose(it.request(), Start + 1ms).value().server == it.ids[7]);
}

TEST_CASE("a new prompt goes to its preferred server, the same one from every entry VM")
{
    Fixture it(100);
    Fixture other(100);
    other.random.seed(99);
    CHECK(it.choose(it.request()).value().server == other.choose(other.request()).value().server);
    CHECK(it.choose(it.request()).value().reason == PlacementReason::PreferredServer);
}

TEST_CASE("a leaving server gets no new requests, even when it holds the prompt")
{
    Fixture it(3);
    it.cache.noteStored(it.ids[1], it.keys);
    it.table.markLeaving("127.0.0.1:80", 1);
    for (int n = 0; n < 100; ++n) {
        CHECK_FALSE(it.choose(it.request()).value().server == it.ids[1]);
    }
}

TEST_CASE("a leaving server gets no new requests when the service is too large for a full scan")
{
    Fixture it(100);
    const Placement preferred = it.choose(it.request()).value();
    it.table.markLeaving(preferred.address, 1);
    it.cache.noteStored(preferred.server, it.keys);
    for (int n = 0; n < 100; ++n) {
        CHECK_FALSE(it.choose(it.request()).value().server == preferred.server);
    }
}

TEST_CASE("a server with another weight version gets no requests")
{
    Fixture it(2);
    it.cache.noteStored(it.ids[0], it.keys);
    it.reportQueue(0, 0, Start + 1ms, "v2");
    CHECK(it.choose(it.request()).value().server == it.ids[1]);
    it.table.observeVersion(it.ids[1], "v2");
    const auto refused = it.choose(it.request());
    REQUIRE(refused.has_error());
    CHECK(refused.error().reason == RouteError::NoEligibleServer);
}

TEST_CASE("servers that were tried or that the hook excludes are not chosen")
{
    Fixture it(3);
    const std::vector<ServerId> tried{it.ids[0]};
    RouteRequest request = it.request();
    request.triedServers = tried;
    it.hooks.isUsable = [&](const Server &server, Instant) {
        return !(server.id == it.ids[1]);
    };
    CHECK(it.choose(request).value().server == it.ids[2]);
}

TEST_CASE("requests sent since the load report count as load")
{
    Fixture it(2);
    RouteRequest request = it.request();
    request.pieceKeys = {};
    it.table.onSent(it.ids[0], 30'000, Start);
    CHECK(it.choose(request).value().server == it.ids[1]);
}

TEST_CASE("requests without keys are spread over equal servers")
{
    Fixture it(10);
    RouteRequest request = it.request();
    request.pieceKeys = {};
    std::set<std::string> used;
    for (int n = 0; n < 200; ++n) {
        used.insert(it.choose(request).value().address);
    }
    CHECK(used.size() == 10);
}

TEST_CASE("blocks are imported from a fast store and recomputed when the store is slow")
{
    Fixture it(2);
    const std::uint16_t store = it.stores.put("127.0.1.1:1", "zone-a", "uusimaa");
    for (const PieceKey &key : it.keys) {
        StoredBlock block;
        block.store = store;
        block.length = 8'000'000;
        it.stores.putBlock(key, block);
    }
    const Placement fast = it.choose(it.request()).value();
    CHECK(fast.imports.size() == 5);
    CHECK(fast.recomputeTokens == 100);
    for (int n = 0; n < 30; ++n) {
        it.stores.onReadStarted(store, 8'000'000);
        it.stores.onReadFinished(store, StoreTier::Memory, 8'000'000, 8s);
    }
    const Placement slow = it.choose(it.request()).value();
    CHECK(slow.imports.empty());
    CHECK(slow.recomputeTokens == 10'100);
}

TEST_CASE("the service's cost weights decide between link use and recomputing")
{
    Fixture it(1);
    const ServerId far = *it.table.put({"127.0.9.9:80", "zone-c", "pirkanmaa", "menu", 1});
    it.cache.noteStored(far, it.keys);
    RouteRequest request = it.request();
    request.costWeights = {1.0, 0.0, 0.0};
    CHECK(it.choose(request).value().server == far);
    request.costWeights = {1.0, 0.0, 1000.0};
    CHECK(it.choose(request).value().server == it.ids[0]);
}

TEST_CASE("a request is kept waiting when all eligible servers have long queues")
{
    Fixture it(2);
    it.reportQueue(0, 20'000, Start + 1ms);
    it.reportQueue(1, 20'000, Start + 1ms);
    CHECK(it.choose(it.request(), Start + 1ms).error().reason == RouteError::ServersBusy);
    CHECK(it.choose(it.request(), Start + 600ms).has_value());
}

TEST_CASE("a request predicted to exceed its deadline is refused with Retry-After from the queue")
{
    Fixture it(2);
    it.options.maxQueueTime = 1h;
    it.reportQueue(0, 100'000, Start + 1ms);
    it.reportQueue(1, 100'000, Start + 1ms);
    const auto refused = it.choose(it.request(), Start + 1ms);
    REQUIRE(refused.has_error());
    CHECK(refused.error().reason == RouteError::Overloaded);
    CHECK(refused.error().retryAfter > 5s);
    CHECK(refused.error().retryAfter < 7s);
}

TEST_CASE("an unknown service and one without eligible servers have different errors")
{
    Fixture it(1);
    RouteRequest request = it.request();
    request.service = "other";
    CHECK(it.choose(request).error().reason == RouteError::UnknownService);
    it.table.markLeaving("127.0.0.0:80", 1);
    CHECK(it.choose(it.request()).error().reason == RouteError::NoEligibleServer);
}
