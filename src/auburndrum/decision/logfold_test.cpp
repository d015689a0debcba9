#include "auburndrum/decision/logfold.h"

#include <doctest/doctest.h>

using namespace auburndrum;
using namespace auburndrum::decision;
using namespace std::chrono_literals;

namespace {

constexpr WallTime At{std::chrono::hours(500000)};

std::string publish(const std::string &name, Offset base, const std::string &requestId)
{
    return encodeEntry({PublishRecord{name, base, "body of " + requestId, requestId, "ana"}});
}

Claim claimOf(const std::string &key)
{
    return {{"orders", "lounas", key}, "print", "vm1", "nonce-" + key, At + 1h};
}

/// Entries 1 to 5: two versions of a document, a settled claim and one without an outcome, a lease.
std::vector<std::string> entries()
{
    const Claim settled = claimOf("k1");
    return {publish("team/a", 0, "r1"),
            encodeEntry({ClaimBatchRecord{{settled, claimOf("k2")}}}),
            encodeEntry({OutcomeBatchRecord{{Outcome{settled.key, settled.nonce, 200, "", "soup", "", OutcomeSource::Answer}}}}),
            publish("team/a", 1, "r2"),
            encodeEntry({LeaseRecord{"orders/menu", "vm1", "n", 0, 15s}})};
}

LogFold foldOf(const std::vector<std::string> &texts)
{
    LogFold fold;
    for (const std::string &it : texts) {
        fold.applyEntry(fold.offset() + 1, At, it);
    }
    return fold;
}

} // namespace

TEST_CASE("applying an entry returns the changes that it made")
{
    LogFold fold;
    CHECK(fold.applyEntry(1, At, entries()[0]).changedDocuments == std::vector<std::string>{"team/a"});
    CHECK(fold.applyEntry(2, At, entries()[1]).claimDecisions.size() == 2);
    CHECK(fold.applyEntry(3, At, entries()[2]).settledNonces == std::vector<std::string>{"nonce-k1"});
    CHECK(fold.applyEntry(4, At, entries()[3]).changedDocuments.size() == 1);
    CHECK(fold.applyEntry(5, At, entries()[4]).changedLeases == std::vector<std::string>{"orders/menu"});
}

TEST_CASE("entries that were applied already are ignored and gaps are reported")
{
    LogFold fold = foldOf(entries());
    CHECK(fold.applyEntry(5, At, "x").result == ApplyResult::AlreadyFolded);
    CHECK(fold.applyEntry(7, At, "x").result == ApplyResult::Gap);
    CHECK(fold.offset() == 5);
}

TEST_CASE("a fold from a snapshot equals one from entries, also after further entries")
{
    LogFold byEntries = foldOf(entries());
    LogFold bySnapshot;
    REQUIRE(bySnapshot.loadSnapshot(byEntries.snapshot()));
    CHECK(bySnapshot.snapshot() == byEntries.snapshot());
    for (LogFold *it : {&byEntries, &bySnapshot}) {
        it->applyEntry(6, At + 1min, encodeEntry({ClaimBatchRecord{{claimOf("k1"), claimOf("k3")}}}));
        it->applyEntry(7, At + 24h, publish("team/b", 0, "r3"));
    }
    CHECK(bySnapshot.snapshot() == byEntries.snapshot());
    CHECK(byEntries.claims().size() == 1);
}

TEST_CASE("a snapshot of a lower or equal offset is not loaded")
{
    LogFold fold = foldOf(entries());
    SnapshotRecord old;
    old.covers = 5;
    CHECK_FALSE(fold.loadSnapshot(old));
    CHECK(fold.config().version("team/a") == 4);
}

TEST_CASE("a fold that starts after the log's first entries were removed searches a snapshot and continues after it")
{
    const LogFold original = foldOf(entries());
    LogFold fold;
    CHECK(fold.applyEntry(4, At, entries()[3]).result == ApplyResult::Gap);
    fold.startSnapshotSearch();
    CHECK(fold.applyEntry(6, At, publish("team/b", 0, "r3")).result == ApplyResult::SearchingSnapshot);
    CHECK(fold.applyEntry(7, At, encodeEntry({original.snapshot()})).result == ApplyResult::SnapshotLoaded);
    CHECK(fold.offset() == 5);
    CHECK(fold.applyEntry(6, At, publish("team/b", 0, "r3")).result == ApplyResult::Folded);
    CHECK(fold.config().version("team/b") == 6);
}

TEST_CASE("the state of a fold stays in force while it searches a snapshot")
{
    LogFold fold = foldOf(entries());
    fold.startSnapshotSearch();
    fold.applyEntry(9, At, publish("team/a", 4, "r9"));
    CHECK(fold.config().version("team/a") == 4);
    CHECK_FALSE(fold.mayWriteSnapshot());
}

TEST_CASE("a snapshot in the log does not change a fold that is up to date")
{
    LogFold fold = foldOf(entries());
    const SnapshotRecord before = fold.snapshot();
    const EntryChanges first = fold.applyEntry(6, At, encodeEntry({before}));
    fold.applyEntry(7, At, encodeEntry({before}));
    CHECK(first.hasSnapshot);
    CHECK(fold.snapshot().documents == before.documents);
    CHECK(fold.snapshot().claims == before.claims);
}

TEST_CASE("entries that can't be decoded are counted and skipped")
{
    LogFold fold;
    fold.applyEntry(1, At, "{\"format\":1,\"rec");
    fold.applyEntry(2, At, "{\"format\":1,\"records\":[{\"kind\":\"publish\",\"data\":{}}]}");
    CHECK(fold.skipped().unreadable == 2);
    CHECK(fold.mayWriteSnapshot());
    CHECK(fold.offset() == 2);
}

TEST_CASE("a fold that skipped records of a newer build writes no snapshot, since it would lose them")
{
    LogFold fold;
    fold.applyEntry(1, At, "{\"format\":99}");
    CHECK(fold.skipped().newer == 1);
    CHECK_FALSE(fold.mayWriteSnapshot());
}

TEST_CASE("claims expire on time when the log's clock steps back")
{
    LogFold fold = foldOf(entries());
    fold.applyEntry(6, At + 24h, "{}");
    fold.applyEntry(7, At, "{}");
    CHECK(fold.logTime() == At + 24h);
    CHECK(fold.claims().size() == 0);
}
