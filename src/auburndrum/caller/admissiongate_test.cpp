#include "auburndrum/caller/admissiongate.h"

#include <doctest/doctest.h>

#include <vector>

using namespace auburndrum;
using namespace auburndrum::caller;
using namespace std::chrono_literals;

namespace {

struct Bench
{
    AdmissionGate gate;
    decision::ServiceDocument service;
    std::vector<std::unique_ptr<AdmissionTicket>> admitted;
    std::vector<std::string> order;
    int refused = 0;
    bool hasRoom = true;
    Instant now = monotonicNow();

    ~Bench()
    {
        // Tickets go before the gate, and each lets the next request in.
        gate.close();
    }

    std::optional<std::uint64_t> enter(const std::string &organisation)
    {
        AdmissionHooks hooks;
        hooks.onAdmitted = [this, organisation](std::unique_ptr<AdmissionTicket> &ticket) {
            if (!hasRoom) {
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

TEST_CASE("an organisation's own limit holds, and its place comes back")
{
    Bench bench;
    bench.service.name = "menu";
    bench.service.organisations = {{"kattila", 1, 2, 5}};
    for (int n = 0; n < 3; ++n) {
        bench.enter("kattila");
    }
    CHECK(bench.admitted.size() == 2);
    bench.admitted[0]->onFirstOutput(bench.now);
    CHECK(bench.admitted.size() == 2);
    bench.admitted.erase(bench.admitted.begin());
    CHECK(bench.order.size() == 3);
    CHECK(bench.gate.waitingCount() == 0);
}

TEST_CASE("a small organisation doesn't wait behind a large one's queue")
{
    Bench bench;
    bench.service.name = "menu";
    bench.service.organisations = {{"large"}, {"small"}};
    while (bench.gate.waitingCount() < 50) {
        bench.enter("large");
    }
    const std::size_t before = bench.order.size();
    bench.enter("small");
    bench.admitted[0]->onFirstOutput(bench.now);
    bench.admitted[1]->onFirstOutput(bench.now);
    REQUIRE(bench.order.size() >= before + 2);
    CHECK((bench.order[before] == "small" || bench.order[before + 1] == "small"));
}

TEST_CASE("a request that no server has room for waits in front, and takes nobody's place")
{
    Bench bench;
    bench.service.name = "menu";
    bench.service.organisations = {{"kattila", 1, 1, 5}};
    bench.hasRoom = false;
    CHECK(bench.enter("kattila"));
    CHECK(bench.gate.waitingCount() == 1);
    bench.hasRoom = true;
    bench.gate.expire(bench.now);
    CHECK(bench.admitted.size() == 1);
    CHECK(bench.gate.waitingCount() == 0);
    CHECK(bench.refused == 0);
}

TEST_CASE("a request whose time is over is refused once, and a cancelled one never")
{
    Bench bench;
    bench.service.name = "menu";
    bench.service.organisations = {{"kattila", 1, 1, 5}};
    bench.enter("kattila");
    const auto late = bench.enter("kattila");
    const auto gone = bench.enter("kattila");
    REQUIRE(late);
    REQUIRE(gone);
    bench.gate.cancel("menu", "kattila", *gone);
    bench.gate.expire(bench.now + 11s);
    CHECK(bench.refused == 1);
    CHECK(bench.gate.waitingCount() == 0);
    CHECK(bench.admitted.size() == 1);
}
