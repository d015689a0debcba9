#include "standins/store/blockstore.h"

#include <doctest/doctest.h>

using namespace auburndrum::standins;

namespace {

BlockManifest manifestOf(const std::string &key, const std::string &bytes)
{
    BlockManifest out;
    out.key = key;
    out.organisation = "kattila";
    out.checksum = blockChecksum(bytes);
    return out;
}

} // namespace

TEST_CASE("a block is uncommitted until its own generation commits")
{
    BlockStore store({});
    const std::uint64_t first = store.begin(manifestOf("k", "old"), "old").value();
    const std::uint64_t second = store.begin(manifestOf("k", "new"), "new").value();
    CHECK(second > first);
    store.commit("k", first);
    CHECK_FALSE(store.manifest("k")->committed);
    store.commit("k", second);
    CHECK(store.manifest("k")->committed);
    CHECK(store.read("k") == "new");
}

TEST_CASE("the least recently used block goes to disk, and a full store refuses")
{
    BlockStore store({.memoryBytes = 8, .diskBytes = 4});
    REQUIRE(store.begin(manifestOf("a", "aaaa"), "aaaa"));
    REQUIRE(store.begin(manifestOf("b", "bbbb"), "bbbb"));
    store.read("a");
    REQUIRE(store.begin(manifestOf("c", "cccc"), "cccc"));
    CHECK(store.manifest("b")->tier == BlockTier::Disk);
    CHECK(store.manifest("a")->tier == BlockTier::Memory);
    CHECK(store.begin(manifestOf("d", "d"), "d").error() == StoreError::Full);
    CHECK(store.remove("b"));
    CHECK(store.begin(manifestOf("d", "d"), "d"));
}

TEST_CASE("bytes that differ from their checksum are refused")
{
    BlockStore store({});
    CHECK(store.begin(manifestOf("a", "right"), "wrong").error() == StoreError::WrongChecksum);
}

TEST_CASE("changes are listed by generation")
{
    BlockStore store({});
    REQUIRE(store.begin(manifestOf("a", "1"), "1"));
    const std::uint64_t from = store.nextGeneration();
    REQUIRE(store.begin(manifestOf("b", "2"), "2"));
    REQUIRE(store.changedSince(from).size() == 1);
    CHECK(store.changedSince(from)[0].key == "b");
}
