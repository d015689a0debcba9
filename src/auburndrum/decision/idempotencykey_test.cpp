#include "auburndrum/decision/idempotencykey.h"

#include <doctest/doctest.h>

using namespace auburndrum;
using namespace auburndrum::decision;
using namespace std::chrono_literals;

namespace {

constexpr WallTime MadeAt{std::chrono::milliseconds(0x018bcfe56800)};
const std::string Uuid7 = "018bcfe5-6800-7abc-8def-0123456789ab";

} // namespace

TEST_CASE("only a UUIDv7 key has a timestamp")
{
    CHECK(uuidV7Timestamp(Uuid7) == MadeAt);
    CHECK_FALSE(uuidV7Timestamp("018bcfe5-6800-4abc-8def-0123456789ab").has_value());
    CHECK_FALSE(uuidV7Timestamp("018bcfe5-6800-7abc-8def-0123456789ag").has_value());
    CHECK_FALSE(uuidV7Timestamp("order 17").has_value());
}

TEST_CASE("a UUIDv7 key expires before its claim can be removed, even if the caller's clock is ahead")
{
    CHECK_FALSE(isKeyExpired(Uuid7, 24h, MadeAt + 24h - MaxCallerClockSkew - 1ms));
    CHECK(isKeyExpired(Uuid7, 24h, MadeAt + 24h - MaxCallerClockSkew));
    CHECK_FALSE(isKeyExpired("order 17", 24h, MadeAt + 48h));
}

TEST_CASE("bodies that are too large or not UTF-8 are recorded by their digest")
{
    CHECK(makeOutcome({}, 200, "text/plain", "soup").body == "soup");
    const Outcome large = makeOutcome({}, 200, "text/plain", std::string(MaxRecordedBodyBytes + 1, 'x'));
    CHECK(large.body.empty());
    CHECK(large.digest.size() == 64);
    CHECK(makeOutcome({}, 200, "", "\xff").body.empty());
    CHECK(bodyDigest("abc") == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}
