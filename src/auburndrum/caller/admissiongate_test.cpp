#include "auburndrum/caller/admissiongate.h"

#include <doctest/doctest.h>

#include <vector>

using namespace auburndrum;
using namespace auburndrum::caller;
using namespace std::chrono_literals;

namespace {

struct GateFixture
{
    AdmissionGate gate;
    decision::ServiceDocument service;
    std::vector<std::unique_ptr<AdmissionTicket>> admitted;
    std::vector<std::string> order;
    int refused = 0;
    bool hasFreeCapacity = true;
    Instant now = monotonicNow();

    ~GateFixture()
    {
        // Tickets are destroyed before the gate; without close(), each would admit the next request.
        gate.close();
    }

    std::optional<std::uint64_t> enter(const std::string &organisation)
    {
        AdmissionHooks hooks;
        hooks.onAdmitted = [this, organisation](std::unique_ptr<AdmissionTicket> &ticket) {
            if (!hasFreeCapacity) {
                return false;
            }
            admitted.push_back(std::move(ticket));
            order.push_back(organisation);
            return true;
        };
        hooks.onRefused = [this](std::chrono::milliseconds retryAfter) {
            CHECK(retryAfter > 0ms);
            ++refused;
        };
        return gate.enter(service, {organisation, 1, now + 10s, 1s}, std::move(hooks), now);
    }
};

} // namespace

TEST_CASE("an organisation's concurrency limit holds until a ticket is destroyed, not only until its first output")
{
    GateFixture fixture;
    fixture.service.name = "menu";
    fixture.service.organisations = {{"kattila", 1, 2, 5}};
    for (int n = 0; n < 3; ++n) {
        fixture.enter("kattila");
    }
    CHECK(fixture.admitted.size() == 2);
    fixture.admitted[0]->onFirstOutput(fixture.now);
    CHECK(fixture.admitted.size() == 2);
    fixture.admitted.erase(fixture.admitted.begin());
    CHECK(fixture.order.size() == 3);
    CHECK(fixture.gate.waitingCount() == 0);
}

TEST_CASE("a small organisation's request doesn't wait behind a large organisation's queue")
{
    GateFixture fixture;
    fixture.service.name = "menu";
    fixture.service.organisations = {{"large"}, {"small"}};
    while (fixture.gate.waitingCount() < 50) {
        fixture.enter("large");
    }
    const std::size_t before = fixture.order.size();
    fixture.enter("small");
    fixture.admitted[0]->onFirstOutput(fixture.now);
    fixture.admitted[1]->onFirstOutput(fixture.now);
    REQUIRE(fixture.order.size() >= before + 2);
    CHECK((fixture.order[before] == "small" || fixture.order[before + 1] == "small"));
}

TEST_CASE("a request that no server has capacity for waits without holding a concurrency slot and is admitted later")
{
    GateFixture fixture;
    fixture.service.name = "menu";
    fixture.service.organisations = {{"kattila", 1, 1, 5}};
    fixture.hasFreeCapacity = false;
    CHECK(fixture.enter("kattila"));
    CHECK(fixture.gate.waitingCount() == 1);
    fixture.hasFreeCapacity = true;
    fixture.gate.expire(fixture.now);
    CHECK(fixture.admitted.size() == 1);
    CHECK(fixture.gate.waitingCount() == 0);
    CHECK(fixture.refused == 0);
}

TEST_CASE("a request past its deadline is refused once, and a cancelled request is never refused")
{
    GateFixture fixture;
    fixture.service.name = "menu";
    fixture.service.organisations = {{"kattila", 1, 1, 5}};
    fixture.enter("kattila");
    const auto late = fixture.enter("kattila");
    const auto gone = fixture.enter("kattila");
    REQUIRE(late);
    REQUIRE(gone);
    fixture.gate.cancel("menu", "kattila", *gone);
    fixture.gate.expire(fixture.now + 11s);
    CHECK(fixture.refused == 1);
    CHECK(fixture.gate.waitingCount() == 0);
    CHECK(fixture.admitted.size() == 1);
}
