#include "auburndrum/operator/publishhistory.h"

#include <doctest/doctest.h>

using namespace auburndrum;
using namespace auburndrum::operators;

namespace {

void add(PublishHistory &history, decision::Offset offset, const std::string &document, const std::string &body)
{
    history.add(offset, WallTime{}, {.document = document, .body = body, .author = "menus"});
}

} // namespace

TEST_CASE("the history of a document is limited to its latest versions")
{
    PublishHistory history({.versionsPerDocument = 2});
    add(history, 1, "a", "1");
    add(history, 2, "b", "2");
    add(history, 3, "a", "3");
    add(history, 4, "a", "4");
    const auto versions = history.versions("a");
    REQUIRE(versions.size() == 2);
    CHECK(versions[0].version == 3);
    CHECK(versions[1].version == 4);
    CHECK(history.versions("b").size() == 1);
    CHECK(history.versions("c").empty());
}

TEST_CASE("the history is limited in bytes over all documents and drops the oldest versions first")
{
    PublishHistory history({.versionsPerDocument = 10, .maxBytes = 25});
    add(history, 1, "a", std::string(10, 'x'));
    add(history, 2, "b", std::string(10, 'x'));
    add(history, 3, "b", std::string(10, 'x'));
    CHECK(history.versions("a").empty());
    CHECK(history.versions("b").size() == 2);
    add(history, 4, "c", std::string(100, 'x'));
    CHECK(history.versions("b").empty());
    CHECK(history.versions("c").size() == 1);
}
