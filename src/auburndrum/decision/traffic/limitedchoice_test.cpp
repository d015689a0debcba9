#include "auburndrum/decision/traffic/serverchooser.h"

#include <doctest/doctest.h>

using namespace auburndrum;
using namespace auburndrum::decision;
using namespace std::chrono_literals;

namespace {

const Instant Start{1000s};

/// Three engines of one zone, and a VM that shares limits with no other.
class Engines
{
public:
    Engines()
    {
        limits.setVms({"vm"});
        for (const char *id : {"e0", "e1", "e2"}) {
            servers.put({.id = id, .service = "llm", .address = std::string(id) + ":1", .zone = "a", .parallelRequests = 64}, Start);
        }
        prompt.model = "m";
        prompt.parts = {{"common", 500}, {"session", 8000}, {"own", 500}};
        prompt.inputTokens = 9000;
    }

    std::optional<ServerChoice> choose(Instant now = Start)
    {
        ServerQuery query;
        query.service = "llm";
        query.prompt = &prompt;
        return chooser.choose(query, now, reason);
    }

    BackendList servers;
    StoredPrompts storedPrompts{{.zone = "a"}};
    ServerLimits limits{{.vm = "vm"}};
    ServerPauses pauses;
    BrittleServers brittle{{.vm = "vm"}};
    ServerChooser chooser{{.zone = "a"}, servers, storedPrompts, limits, pauses, brittle};
    Prompt prompt;
    NoServerReason reason = NoServerReason::NoneListed;
};

} // namespace

TEST_CASE("a session whose preferred engine is at its limit goes to another one at once, and back once there is a permit")
{
    // Guards against prompts that wait for an engine in need because their parts lie there, or that overrun it (LIMIT).
    Engines it;
    const auto preferred = it.choose();
    REQUIRE(preferred);
    it.limits.onResponse(preferred->id, {}, 1.0, Start, Start);
    const auto other = it.choose(Start + 10ms);
    REQUIRE(other);
    CHECK(other->id != preferred->id);
    CHECK_FALSE(other->limitPerSecond);
    const auto again = it.choose(Start + 1001ms);
    REQUIRE(again);
    CHECK(again->id == preferred->id);
    CHECK(again->limitPerSecond == 1.0);
    it.limits.onSent(again->id, {}, Start + 1001ms);
    CHECK(it.choose(Start + 1002ms)->id != preferred->id);
}

TEST_CASE("when all engines are at their limits there is no choice, and the reason says so")
{
    Engines it;
    for (const char *id : {"e0", "e1", "e2"}) {
        it.limits.onResponse(id, {}, 1.0, Start, Start);
    }
    CHECK_FALSE(it.choose(Start + 10ms));
    CHECK(it.reason == NoServerReason::AllLimited);
    CHECK(it.choose(Start + 1001ms));
}

TEST_CASE("a limited engine of which nobody has heard for a while is asked, though another one would be sooner")
{
    // Guards against an engine that is never asked and so can't say that its need is over (LIMIT).
    Engines it;
    const auto preferred = it.choose();
    REQUIRE(preferred);
    const std::string limited = preferred->id == "e0" ? "e1" : "e0";
    it.limits.onResponse(limited, {}, 1.0, Start, Start);
    CHECK(it.choose(Start + 1500ms)->id == preferred->id);
    CHECK(it.choose(Start + 2500ms)->id == limited);
}
