#include "auburndrum/decision/logrecord.h"

#include <doctest/doctest.h>

using namespace auburndrum;
using namespace auburndrum::decision;

namespace {

const ClaimKey OrderKey{"orders", "lounas", "k1"};
constexpr WallTime At{std::chrono::milliseconds(1700000000000)};

std::vector<LogRecord> oneOfEach()
{
    const Claim claim{OrderKey, "f", "i", "n", At};
    const Outcome outcome{OrderKey, "n", 200, "text/plain", "soup \xc3\xa4", "", OutcomeSource::Lookup};
    const LeaseRecord lease{"orders/menu", "i", "n", 3, std::chrono::seconds(15)};
    const SnapshotRecord snapshot{9, At, {{"team/a", 2, "{}"}}, {{"r", 2, true, At}}, {{claim, 4, At, {outcome}}}, {{lease, 5}}};
    return {PublishRecord{"service/menu", 7, "{\"a\":1}", "r", "ana"},
            ClaimBatchRecord{{claim}},
            OutcomeBatchRecord{{outcome}},
            ReleaseRecord{{{OrderKey, "n"}}},
            lease,
            snapshot};
}

} // namespace

TEST_CASE("every kind of record is unchanged after encoding and decoding")
{
    const auto entry = decodeEntry(encodeEntry(oneOfEach()));
    REQUIRE(entry.has_value());
    CHECK(entry.value().records == oneOfEach());
    CHECK(entry.value().unreadableRecords + entry.value().newerRecords == 0);
}

TEST_CASE("an entry that is truncated at any byte is unreadable and never throws")
{
    const std::string text = encodeEntry(oneOfEach());
    for (std::size_t n = 0; n < text.size(); ++n) {
        REQUIRE(decodeEntry(text.substr(0, n)).error() == RecordError::Unreadable);
    }
}

TEST_CASE("an entry with a higher format version is reported as a newer format")
{
    CHECK(decodeEntry(R"({"format":2,"records":[]})").error() == RecordError::NewerFormat);
}

TEST_CASE("records of an unknown kind or with an invalid field are counted, the other records are decoded")
{
    const auto entry = decodeEntry(R"({"format":1,"records":[{"kind":"later","data":{}},{"kind":"releases","data":{"releases":7}},
        {"kind":"releases","data":{"releases":[]}}]})");
    REQUIRE(entry.has_value());
    CHECK(entry.value().newerRecords == 1);
    CHECK(entry.value().unreadableRecords == 1);
    CHECK(entry.value().records.size() == 1);
}

TEST_CASE("an entry with a fraction or a negative number is rejected")
{
    const std::string head = R"({"format":1,"records":[{"kind":"lease","data":{"resource":"r","holder":"h","nonce":"n","duration":5,"replaces":)";
    CHECK(decodeEntry(head + "1}}]}").has_value());
    CHECK_FALSE(decodeEntry(head + "1e300}}]}").has_value());
    CHECK_FALSE(decodeEntry(head + "-1}}]}").has_value());
}

TEST_CASE("encoding and decoding a body that is not UTF-8 does not throw")
{
    const auto entry = decodeEntry(encodeEntry({PublishRecord{"team/a", 0, "\xff\xfe", "r", "ana"}}));
    CHECK(entry.has_value());
}
