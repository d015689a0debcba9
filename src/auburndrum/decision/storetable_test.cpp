#include "auburndrum/decision/storetable.h"

#include <doctest/doctest.h>

using namespace auburndrum;
using namespace auburndrum::decision;
using namespace std::chrono_literals;

namespace {

constexpr Instant Start{100s};
constexpr PieceKey Key{1, 1, 5, 6};

StoredBlock block(std::uint16_t store)
{
    StoredBlock it;
    it.store = store;
    it.length = 1'000'000;
    return it;
}

} // namespace

TEST_CASE("blocks of a removed store are not found, even when the store is put again")
{
    StoreTable table;
    table.putBlock(Key, block(table.put("127.0.0.9:1", "zone-a", "uusimaa")));
    CHECK(table.find(Key, Start) != nullptr);
    table.remove("127.0.0.9:1");
    CHECK(table.find(Key, Start) == nullptr);
    table.put("127.0.0.9:1", "zone-a", "uusimaa");
    CHECK(table.find(Key, Start) == nullptr);
}

TEST_CASE("a failed read pauses the store")
{
    StoreTable table;
    const std::uint16_t store = table.put("127.0.0.9:1", "zone-a", "uusimaa");
    table.putBlock(Key, block(store));
    table.onReadStarted(store, 1'000'000);
    table.onReadFailed(store, 1'000'000, Start);
    CHECK(table.find(Key, Start + 1s) == nullptr);
    CHECK(table.find(Key, Start + 6s) != nullptr);
    CHECK(table.at(store).pendingBytes == 0);
}

TEST_CASE("the predicted read time follows the measured reads")
{
    StoreTable table;
    const std::uint16_t store = table.put("127.0.0.9:1", "zone-a", "uusimaa");
    const auto before = table.predictedReadTime(block(store), 1'000'000);
    for (int n = 0; n < 20; ++n) {
        table.onReadStarted(store, 1'000'000);
        table.onReadFinished(store, StoreTier::Memory, 1'000'000, 100ms);
    }
    const auto after = table.predictedReadTime(block(store), 1'000'000);
    CHECK(before < 5ms);
    CHECK(after > 80ms);
    CHECK(after < 120ms);
}

TEST_CASE("pending reads increase the predicted time of the next one")
{
    StoreTable table;
    const std::uint16_t store = table.put("127.0.0.9:1", "zone-a", "uusimaa");
    const auto idle = table.predictedReadTime(block(store), 1'000'000);
    table.onReadStarted(store, 50'000'000);
    CHECK(table.predictedReadTime(block(store), 1'000'000) > idle + 90ms);
}
