#include "auburndrum/base/log.h"

#include "auburndrum/base/repeatlimiter.h"

#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

#include <vector>

using namespace auburndrum;
using namespace std::chrono_literals;

namespace {

/// Collects log lines and directs the log back to standard error when destroyed.
class CapturedLog
{
public:
    explicit CapturedLog(LogFormat format, LogLevel level = LogLevel::Info)
    {
        startLog({.level = level, .format = format, .write = [this](std::string_view line) {
                      lines.emplace_back(line);
                  }});
    }
    ~CapturedLog()
    {
        startLog({});
    }
    CapturedLog(const CapturedLog &) = delete;
    CapturedLog &operator=(const CapturedLog &) = delete;

    std::vector<std::string> lines;
};

} // namespace

TEST_CASE("a text line has time, level, part and request id")
{
    CapturedLog captured(LogFormat::Text);
    Log("caller").info("listening on {}", "127.0.0.1:1");
    Log("claim").forRequest("r7").warning("in doubt");
    REQUIRE(captured.lines.size() == 2);
    CHECK(captured.lines[0].ends_with("Z info caller: listening on 127.0.0.1:1"));
    CHECK(captured.lines[1].ends_with("Z warning claim: [r7] in doubt"));
}

TEST_CASE("a JSON line is valid JSON whatever the message contains")
{
    CapturedLog captured(LogFormat::Json);
    Log("caller").forRequest("r7").error("bad \"{}\" \xff\n", "%v{}");
    REQUIRE(captured.lines.size() == 1);
    const auto json = nlohmann::json::parse(captured.lines[0]);
    CHECK(json["level"] == "error");
    CHECK(json["part"] == "caller");
    CHECK(json["request"] == "r7");
    CHECK(json["message"].get<std::string>().starts_with("bad \"%v{}\""));
}

TEST_CASE("external text can't start a new log line")
{
    CapturedLog captured(LogFormat::Text);
    Log("caller").info("model {}", "x\n2026-01-01 error forged: line");
    REQUIRE(captured.lines.size() == 1);
    CHECK(captured.lines[0].find('\n') == std::string::npos);
}

TEST_CASE("the level can be changed at run time")
{
    CapturedLog captured(LogFormat::Text);
    const Log log("part");
    log.debug("hidden");
    setLogLevel(LogLevel::Debug);
    CHECK(logLevel() == LogLevel::Debug);
    log.debug("shown");
    setLogLevel(LogLevel::Error);
    log.warning("hidden");
    REQUIRE(captured.lines.size() == 1);
    CHECK(captured.lines[0].ends_with("part: shown"));
}

TEST_CASE("repeats above the limit are counted, and the count is reported with the next message let through")
{
    RepeatLimiter limiter({.messages = 2, .window = 10s});
    const Instant start{};
    CHECK(limiter.admit("k", start) == 0);
    CHECK(limiter.admit("k", start) == 0);
    CHECK_FALSE(limiter.admit("k", start + 1s).has_value());
    CHECK_FALSE(limiter.admit("k", start + 9s).has_value());
    CHECK(limiter.admit("other", start + 9s) == 0);
    CHECK(limiter.admit("k", start + 10s) == 2);
    CHECK(limiter.admit("k", start + 10s) == 0);
}

TEST_CASE("a repeat limiter tracks a bounded number of messages")
{
    RepeatLimiter limiter({.messages = 1, .maxKeys = 1});
    CHECK(limiter.admit("tracked", Instant{}) == 0);
    CHECK(limiter.admit("untracked", Instant{}) == 0);
    CHECK(limiter.admit("untracked", Instant{}) == 0);
    CHECK_FALSE(limiter.admit("tracked", Instant{}).has_value());
}

TEST_CASE("the log suppresses repeats of one format string")
{
    CapturedLog captured(LogFormat::Text);
    for (int n = 0; n < 1000; ++n) {
        Log("part").info("number {}", n);
    }
    Log("part").info("another message");
    CHECK(captured.lines.size() == RepeatLimit{}.messages + 1);
}
