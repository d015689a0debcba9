#include "auburndrum/decision/cacheindex.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace auburndrum::decision;

namespace {

constexpr ServerId A{0, 1};
constexpr ServerId B{1, 1};

std::vector<PieceKey> keys(NameId organisation = 0, NameId version = 0)
{
    const PieceKey base{organisation, version, 0, 0};
    std::vector<PieceKey> made(4, base);
    std::uint64_t n = 0;
    for (PieceKey &it : made) {
        it.hashHigh = ++n;
        it.hashLow = n * 77;
    }
    return made;
}

std::vector<CacheEvent> stored(std::uint64_t from, const std::vector<PieceKey> &list)
{
    std::vector<CacheEvent> events(list.size());
    std::transform(list.begin(), list.end(), events.begin(), [&](const PieceKey &key) {
        return CacheEvent{from++, CacheEventKind::Stored, key};
    });
    return events;
}

std::uint32_t depth(CacheIndex &index, ServerId server, const std::vector<PieceKey> &list)
{
    for (const PrefixDepth &it : index.prefixDepths(list)) {
        if (it.server == server) {
            return it.pieces;
        }
    }
    return 0;
}

} // namespace

TEST_CASE("the index returns the number of leading pieces that a server holds")
{
    CacheIndex index;
    const auto list = keys();
    CHECK(index.apply(A, 1, stored(0, list), 4));
    CHECK(depth(index, A, list) == 4);
    const std::vector<CacheEvent> evicted{{4, CacheEventKind::Evicted, list[2]}};
    CHECK(index.apply(A, 1, evicted, 5));
    CHECK(depth(index, A, list) == 2);
}

TEST_CASE("after a gap in sequence numbers a view is out of sync until the resync")
{
    CacheIndex index;
    const auto list = keys();
    index.apply(A, 1, stored(0, list), 4);
    const std::vector<CacheEvent> late{{6, CacheEventKind::Stored, list[0]}};
    CHECK_FALSE(index.apply(A, 1, late, 7));
    CHECK_FALSE(index.isSynced(A));
    CHECK(depth(index, A, list) == 0);
    CHECK_FALSE(index.apply(A, 1, stored(7, list), 11));
    index.noteStored(A, list);
    CHECK(depth(index, A, list) == 0);
    index.resync(A, 1, std::vector<PieceKey>{list[0], list[1]}, 11);
    CHECK(index.isSynced(A));
    CHECK(depth(index, A, list) == 2);
}

TEST_CASE("an event missing at the end of a batch is detected as a gap")
{
    CacheIndex index;
    CHECK_FALSE(index.apply(A, 1, stored(0, keys()), 6));
    CHECK_FALSE(index.isSynced(A));
}

TEST_CASE("applying the same events again changes nothing")
{
    CacheIndex index;
    const auto list = keys();
    index.apply(A, 1, stored(0, list), 4);
    CHECK(index.apply(A, 1, stored(0, list), 4));
    CHECK(depth(index, A, list) == 4);
}

TEST_CASE("a new incarnation of a server starts with an empty view")
{
    CacheIndex index;
    const auto list = keys();
    index.apply(A, 1, stored(0, list), 4);
    CHECK(index.apply(A, 2, {}, 0));
    CHECK(depth(index, A, list) == 0);
}

TEST_CASE("a Cleared event removes all keys of that server only")
{
    CacheIndex index;
    const auto list = keys();
    index.apply(A, 1, stored(0, list), 4);
    index.apply(B, 1, stored(0, list), 4);
    const std::vector<CacheEvent> cleared{{4, CacheEventKind::Cleared, {}}};
    CHECK(index.apply(A, 1, cleared, 5));
    CHECK(depth(index, A, list) == 0);
    CHECK(depth(index, B, list) == 4);
}

TEST_CASE("several servers that hold the same key are indexed independently")
{
    CacheIndex index;
    const auto list = keys();
    index.apply(A, 1, stored(0, list), 4);
    index.apply(B, 1, stored(0, {list[0], list[1]}), 2);
    CHECK(depth(index, A, list) == 4);
    CHECK(depth(index, B, list) == 2);
    index.noteMissing(A, list, 1);
    CHECK(depth(index, A, list) == 1);
    CHECK(depth(index, B, list) == 2);
    index.remove(B);
    CHECK(depth(index, B, list) == 0);
}

TEST_CASE("keys with equal hashes do not match across organisations or weight versions")
{
    CacheIndex index;
    index.apply(A, 1, stored(0, keys(1, 1)), 4);
    CHECK(depth(index, A, keys(1, 1)) == 4);
    CHECK(depth(index, A, keys(2, 1)) == 0);
    CHECK(depth(index, A, keys(1, 2)) == 0);
}

TEST_CASE("the index stays within its bound and retains keys that are looked up")
{
    constexpr std::size_t MaxKeys = 1000;
    CacheIndex index(MaxKeys);
    const auto list = keys();
    index.noteStored(A, list);
    for (std::uint64_t n = 0; n < 20 * MaxKeys; ++n) {
        index.noteStored(B, std::vector<PieceKey>{{9, 9, n, n}});
        if (n % 100 == 0) {
            CHECK(depth(index, A, list) == 4);
        }
    }
    CHECK(index.size() <= MaxKeys + 2);
}
