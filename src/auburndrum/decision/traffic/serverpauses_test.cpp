#include "auburndrum/decision/traffic/serverpauses.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>
#include <vector>

using namespace auburndrum;
using namespace auburndrum::decision;
using namespace std::chrono_literals;

// Pattern: half of the servers say in their answers that they leave, or turn requests away with a time for which they want none, while callers go on.

namespace {

constexpr Instant Begin{1000s};
constexpr WallTime First{1ms};
constexpr WallTime Second{2ms};

} // namespace

TEST_CASE("a server that says that it leaves is left out at once, and is a last resort for a while")
{
    // Guards against requests to a server after its drain time, and against an outage when all servers of a service leave together (DRAIN).
    ServerPauses it;
    CHECK_FALSE(it.isLeaving("a", First));
    CHECK(it.onLeaving("a", First, Begin));
    CHECK_FALSE(it.onLeaving("a", First, Begin + 1s));
    CHECK(it.isLeaving("a", First));
    CHECK(it.mayUseLeaving("a", First, Begin + 1900ms));
    CHECK_FALSE(it.mayUseLeaving("a", First, Begin + 2s));
    CHECK(it.isLeaving("a", First));
    CHECK_FALSE(it.isLeaving("a", Second));
}

TEST_CASE("a rest lasts as long as the server asked last, for its incarnation only")
{
    // Guards against requests to a server that wants none for a while (BUDGET), and against one that is left out for ever.
    ServerPauses it;
    CHECK(it.onRest("a", First, 6s, Begin));
    CHECK(it.restLeft("a", First, Begin) == 6s);
    CHECK_FALSE(it.onRest("a", First, 1s, Begin + 1s));
    CHECK(it.restLeft("a", First, Begin + 2s) == 4s);
    CHECK(it.restLeft("a", First, Begin + 6s) == 0s);
    CHECK(it.restLeft("a", Second, Begin) == 0s);
    CHECK_FALSE(it.onRest("a", First, 0ms, Begin));
    CHECK(it.onRest("b", First, 1000h, Begin));
    CHECK(it.restLeft("b", First, Begin) == 1h);
    CHECK(it.onLeaving("a", Second, Begin));
    CHECK_FALSE(it.onRest("a", First, 6s, Begin + 10s));
}

TEST_CASE("servers that leave or rest get nothing more, and the others all requests")
{
    // Guards against single requests that pass a server's word, summed over many VMs and seconds (DRAIN, BUDGET).
    constexpr std::size_t Vms = 7;
    constexpr std::size_t Servers = 24;
    std::mt19937_64 random(1);
    std::vector<ServerPauses> vms(Vms);
    std::vector<std::vector<Instant>> toldAt(Vms, std::vector<Instant>(Servers, Instant::max()));
    std::size_t late = 0;
    std::size_t refused = 0;
    for (Instant now = Begin; now < Begin + 20s; now += 5ms) {
        const std::size_t vm = random() % Vms;
        std::vector<std::size_t> free;
        for (std::size_t n = 0; n < Servers; ++n) {
            const std::string name = std::to_string(n);
            if (!vms[vm].isLeaving(name, First) && vms[vm].restLeft(name, First, now) == 0ms) {
                free.push_back(n);
            }
        }
        if (free.empty()) {
            ++refused;
            continue;
        }
        const std::size_t server = free[random() % free.size()];
        late += now - toldAt[vm][server] > 500ms && toldAt[vm][server] != Instant::max() ? 1 : 0;
        if (server < Servers / 2 && now >= Begin + 5s) {
            if (server % 2 == 0) {
                vms[vm].onLeaving(std::to_string(server), First, now);
            } else {
                vms[vm].onRest(std::to_string(server), First, 20s, now);
            }
            toldAt[vm][server] = std::min(toldAt[vm][server], now);
        }
    }
    CHECK(late == 0);
    CHECK(refused == 0);
}
