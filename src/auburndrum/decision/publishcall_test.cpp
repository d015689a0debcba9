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

TEST_CASE("a publish is accepted only when the fold has accepted its record")
{
    ConfigFold fold;
    PublishCall call(record("r1"), T0 + 10s);
    CHECK_FALSE(call.start(fold, true).has_value());
    CHECK_FALSE(call.onFoldAdvanced(fold).has_value());
    fold.apply(1, At, record("r1"));
    CHECK(call.onFoldAdvanced(fold) == PublishAnswer{Kind::Accepted, 1});
    CHECK_FALSE(call.tick(T0 + 10s).has_value());
}

TEST_CASE("a publish whose base was replaced before its append reports a conflict with the version in force")
{
    ConfigFold fold;
    PublishCall call(record("r1"), T0 + 10s);
    call.start(fold, true);
    fold.apply(1, At, record("r2"));
    fold.apply(2, At, record("r1"));
    CHECK(call.onFoldAdvanced(fold) == PublishAnswer{Kind::Conflict, 1});
}

TEST_CASE("a publish on a base version that is known to be replaced reports a conflict without an append")
{
    ConfigFold fold;
    fold.apply(1, At, record("r2"));
    CHECK(PublishCall(record("r1"), T0 + 10s).start(fold, true) == PublishAnswer{Kind::Conflict, 1});
}

TEST_CASE("a publish that is not read back before the deadline is unknown, and a retry with its request id finds its outcome")
{
    ConfigFold fold;
    PublishCall call(record("r1"), T0 + 10s);
    call.start(fold, true);
    CHECK(call.tick(T0 + 10s) == PublishAnswer{Kind::Unknown, 0});
    fold.apply(1, At, record("r1"));
    CHECK_FALSE(call.onFoldAdvanced(fold).has_value());
    CHECK(PublishCall(record("r1"), T0 + 20s).start(fold, false) == PublishAnswer{Kind::Accepted, 1});
}

TEST_CASE("a publish is not appended when the log is unreachable")
{
    CHECK(PublishCall(record("r1"), T0 + 10s).start({}, false) == PublishAnswer{Kind::NotAppended, 0});
}
