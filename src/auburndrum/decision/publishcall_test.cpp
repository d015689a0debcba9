#include "auburndrum/decision/publishcall.h"

#include <doctest/doctest.h>

using namespace auburndrum;
using namespace auburndrum::decision;
using namespace std::chrono_literals;
using Kind = PublishAnswer::Kind;

namespace {

constexpr Instant T0{1h};
constexpr WallTime At{std::chrono::hours(500000)};

PublishRecord record(const std::string &requestId, Offset base = 0)
{
    return {"team/a", base, "{}", requestId, "ana"};
}

} // namespace

TEST_CASE("a publish is accepted only once the fold has its record as the winner")
{
    ConfigFold fold;
    PublishCall call(record("r1"), T0 + 10s);
    CHECK_FALSE(call.start(fold, true).has_value());
    CHECK_FALSE(call.onFoldAdvanced(fold).has_value());
    fold.apply(1, At, record("r1"));
    CHECK(call.onFoldAdvanced(fold) == PublishAnswer{Kind::Accepted, 1});
    CHECK_FALSE(call.tick(T0 + 10s).has_value());
}

TEST_CASE("the loser learns which version beat it")
{
    ConfigFold fold;
    PublishCall call(record("r1"), T0 + 10s);
    call.start(fold, true);
    fold.apply(1, At, record("r2"));
    fold.apply(2, At, record("r1"));
    CHECK(call.onFoldAdvanced(fold) == PublishAnswer{Kind::Conflict, 1});
}

TEST_CASE("a base that was replaced already is refused without an append")
{
    ConfigFold fold;
    fold.apply(1, At, record("r2"));
    CHECK(PublishCall(record("r1"), T0 + 10s).start(fold, true) == PublishAnswer{Kind::Conflict, 1});
}

TEST_CASE("a publish that is not read back in time is unknown, and a retry by its id finds it")
{
    ConfigFold fold;
    PublishCall call(record("r1"), T0 + 10s);
    call.start(fold, true);
    CHECK(call.tick(T0 + 10s) == PublishAnswer{Kind::Unknown, 0});
    fold.apply(1, At, record("r1"));
    CHECK_FALSE(call.onFoldAdvanced(fold).has_value());
    CHECK(PublishCall(record("r1"), T0 + 20s).start(fold, false) == PublishAnswer{Kind::Accepted, 1});
}

TEST_CASE("without the log nothing is sent")
{
    CHECK(PublishCall(record("r1"), T0 + 10s).start({}, false) == PublishAnswer{Kind::NotAppended, 0});
}
