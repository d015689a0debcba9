#include "auburndrum/gateway/promptstorelog.h"

#include <doctest/doctest.h>

using namespace auburndrum;
using namespace auburndrum::gateway;

namespace {

const std::string Store = "10.0.0.1:1";

decision::StoredPrompts configuredPrompts()
{
    decision::StoredPrompts it({.zone = "a1"});
    it.configure({{Store, "a1", 1000, 8e9, {}, true}});
    return it;
}

decision::PromptStoreUpdate updateAddingPart(const std::string &part, std::uint64_t next)
{
    return {.incarnation = 1, .nextChange = next, .changes = {{true, "scope", part, 10}}};
}

} // namespace

TEST_CASE("a reader gets the entries since its last poll, once")
{
    const decision::StoredPrompts storedPrompts = configuredPrompts();
    PromptStoreLog log("log-1", storedPrompts);
    log.addUpdate(Store, updateAddingPart("p1", 1));
    const PromptStoreLogSlice first = log.readFrom("log-1", 0);
    REQUIRE(first.entries.size() == 1);
    CHECK(first.entries[0].update->changes[0].part == "p1");
    log.addUpdate(Store, updateAddingPart("p2", 2));
    log.addUnreachable(Store);
    const PromptStoreLogSlice second = log.readFrom("log-1", first.nextEntry);
    REQUIRE(second.entries.size() == 2);
    CHECK(second.entries[0].update->nextChange == 2);
    CHECK_FALSE(second.entries[1].update);
    CHECK(log.readFrom("log-1", second.nextEntry).entries.empty());
}

TEST_CASE("a reader of another log, or one that is far behind, gets a snapshot")
{
    decision::StoredPrompts storedPrompts = configuredPrompts();
    PromptStoreLog log("log-1", storedPrompts);
    for (std::uint64_t n = 1; n <= 5000; ++n) {
        const auto update = updateAddingPart("p" + std::to_string(n % 3), n);
        storedPrompts.applyUpdate(Store, update);
        log.addUpdate(Store, update);
    }
    const std::vector<std::pair<std::string, std::uint64_t>> positions = {{"log-0", 4999}, {"log-1", 10}, {"log-1", 6000}, {"", 0}};
    for (const auto &[name, from] : positions) {
        const PromptStoreLogSlice slice = log.readFrom(name, from);
        REQUIRE(slice.entries.size() == 1);
        CHECK(slice.logName == "log-1");
        CHECK(slice.nextEntry == 5000);
        CHECK(slice.entries[0].update->isSnapshot);
        CHECK(slice.entries[0].update->nextChange == 5000);
        CHECK(slice.entries[0].update->changes.size() == 3);
    }
    CHECK(log.readFrom("log-1", 4990).entries.size() == 10);
}

TEST_CASE("a reader that is behind gets the entries in parts of a bounded size, each once")
{
    // Guards against answers of a relay that grow with each poll that they miss: nothing of them was used, and the relay was given up (CONFIG).
    const decision::StoredPrompts storedPrompts = configuredPrompts();
    PromptStoreLog log("log-1", storedPrompts);
    for (std::uint64_t n = 0; n < 1200; ++n) {
        log.addUpdate(Store, updateAddingPart("p", n));
    }
    std::uint64_t next = 0;
    for (const std::size_t expected : {500, 500, 200, 0}) {
        const PromptStoreLogSlice slice = log.readFrom("log-1", next);
        CHECK(slice.entries.size() == expected);
        CHECK((slice.entries.empty() || slice.entries.front().update->nextChange == next));
        next = slice.nextEntry;
    }
    CHECK(next == 1200);
    decision::PromptStoreUpdate large = updateAddingPart("p", 1200);
    large.changes.resize(600);
    log.addUpdate(Store, large);
    CHECK(log.readFrom("log-1", next).entries.size() == 1);
}

TEST_CASE("a store whose changes don't arrive is reported as unreachable")
{
    const decision::StoredPrompts storedPrompts = configuredPrompts();
    const PromptStoreLog log("log-1", storedPrompts);
    const PromptStoreLogSlice slice = log.readFrom("", 0);
    REQUIRE(slice.entries.size() == 1);
    CHECK_FALSE(slice.entries[0].update);
}
