#include "auburndrum/gateway/decisionlog.h"

#include <doctest/doctest.h>

#include <vector>

using namespace auburndrum;
using namespace auburndrum::gateway;
using namespace std::chrono_literals;

namespace {

const Instant Start{1000s};

/// A log that collects its lines in memory.
class Lines
{
public:
    DecisionLog log{{.vm = "vm", .routinePerSecond = 10, .notablePerSecond = 20, .write = [this](std::string_view line) {
                         lines.emplace_back(line);
                     }}};
    std::vector<std::string> lines;
};

} // namespace

TEST_CASE("a line is one JSON object with its event, time and VM")
{
    Lines it;
    CHECK(it.log.write(LinePriority::Notable, "start", {{"zone", "z"}}, Start));
    REQUIRE(it.lines.size() == 1);
    const auto line = nlohmann::json::parse(it.lines[0]);
    CHECK(line["event"] == "start");
    CHECK(line["vm"] == "vm");
    CHECK(line["zone"] == "z");
    CHECK(line["time_ms"].is_number_integer());
}

TEST_CASE("external text can't break a line")
{
    Lines it;
    it.log.write(LinePriority::Notable, "request", {{"request", std::string("a\nb\xff\"")}}, Start);
    CHECK(it.lines[0].find('\n') == std::string::npos);
    CHECK(nlohmann::json::parse(it.lines[0])["event"] == "request");
}

TEST_CASE("routine lines can't use up the allowance of notable ones, and drops are reported")
{
    // Guards against losing the line of a failed request in a burst of successful ones.
    Lines it;
    int written = 0;
    for (int n = 0; n < 1000; ++n) {
        written += it.log.write(LinePriority::Routine, "request", {}, Start) ? 1 : 0;
    }
    CHECK(written == 10);
    CHECK(it.log.dropped() == 990);
    CHECK(it.log.write(LinePriority::Notable, "request", {{"outcome", "failed"}}, Start));
    CHECK(nlohmann::json::parse(it.lines[10])["event"] == "log_lines_dropped");
    CHECK(nlohmann::json::parse(it.lines[10])["lines"] == 990);
    CHECK(nlohmann::json::parse(it.lines[11])["outcome"] == "failed");
}

TEST_CASE("the allowance refills over time")
{
    Lines it;
    for (int n = 0; n < 20; ++n) {
        it.log.write(LinePriority::Routine, "request", {}, Start);
    }
    CHECK_FALSE(it.log.write(LinePriority::Routine, "request", {}, Start + 50ms));
    CHECK(it.log.write(LinePriority::Routine, "request", {}, Start + 200ms));
}
