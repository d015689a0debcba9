#include "auburndrum/decision/configfold.h"

#include <doctest/doctest.h>

using namespace auburndrum;
using namespace auburndrum::decision;
using Kind = PublishOutcome::Kind;

namespace {

constexpr WallTime At{std::chrono::hours(500000)};

PublishRecord publish(Offset base, const std::string &requestId, const std::string &body = "{}")
{
    return {"service/menu", base, body, requestId, "ana"};
}

} // namespace

TEST_CASE("of two publishes on one base version the first is accepted, and the second reports a conflict with the new version")
{
    ConfigFold fold;
    CHECK(fold.apply(3, At, publish(0, "a", "A")));
    CHECK_FALSE(fold.apply(4, At, publish(0, "b", "B")));
    CHECK(fold.body("service/menu") == "A");
    CHECK(fold.publishOutcome("a") == PublishOutcome{Kind::Accepted, 3});
    CHECK(fold.publishOutcome("b") == PublishOutcome{Kind::Conflict, 3});
    CHECK(fold.publishOutcome("c").kind == Kind::Unknown);
}

TEST_CASE("a second copy of a publish changes nothing")
{
    ConfigFold fold;
    fold.apply(3, At, publish(0, "a"));
    fold.apply(4, At, publish(0, "a"));
    CHECK(fold.publishOutcome("a") == PublishOutcome{Kind::Accepted, 3});
}

TEST_CASE("a publish whose base version is made by the same entry is not accepted")
{
    ConfigFold fold;
    fold.apply(3, At, publish(0, "a", "A"));
    CHECK_FALSE(fold.apply(3, At, publish(3, "b", "B")));
    CHECK(fold.body("service/menu") == "A");
}

TEST_CASE("a withdrawn document keeps its version")
{
    ConfigFold fold;
    fold.apply(3, At, publish(0, "a"));
    fold.apply(4, At, publish(3, "b", ""));
    CHECK_FALSE(fold.body("service/menu").has_value());
    CHECK(fold.version("service/menu") == 4);
    CHECK_FALSE(fold.apply(5, At, publish(0, "c")));
}

TEST_CASE("outcomes of publishes are removed after their retention time, documents are not")
{
    ConfigFold fold;
    fold.apply(3, At, publish(0, "a"));
    fold.expire(At + PublishOutcomeRetention);
    CHECK(fold.publishOutcome("a").kind == Kind::Unknown);
    CHECK(fold.version("service/menu") == 3);
}
