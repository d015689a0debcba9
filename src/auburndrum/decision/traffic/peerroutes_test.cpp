#include "auburndrum/decision/traffic/peerroutes.h"

#include <absl/random/random.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <random>
#include <set>

using namespace auburndrum;
using namespace auburndrum::decision;
using namespace std::chrono_literals;

// Pattern: some VMs of a zone, a whole zone, or all VMs lose their paths to the servers for seconds, while their callers go on as before.

namespace {

constexpr Instant Begin{1000s};
const PeerRoutesOptions InZoneA = {.zone = "a", .regionOfZone = {{"a", "north"}, {"b", "north"}, {"c", "south"}}};

std::vector<EntryVm> vmsOf(std::size_t n)
{
    std::vector<EntryVm> vms;
    for (std::size_t k = 0; k < n; ++k) {
        const char *zone = k % 3 == 0 ? "a" : k % 3 == 1 ? "b" : "c";
        vms.push_back({"vm-" + std::to_string(k), "10.0.0.1:1", zone, 1000});
    }
    return vms;
}

struct Load
{
    std::size_t served = 0;
    std::size_t refused = 0;
    std::size_t asked = 0; ///< VMs that were asked in vain
    std::map<std::string, std::size_t> received; ///< requests served, by VM
};

/// Each of the cut VMs gets 20 requests a second for 10 s; one that is passed on takes 100 ms.
Load passOn(std::size_t vms, const std::set<std::string> &cut)
{
    std::mt19937_64 random(vms);
    Load load;
    for (const std::string &vm : cut) {
        const auto all = vmsOf(vms);
        auto others = all;
        std::erase_if(others, [&vm](const EntryVm &it) {
            return it.name == vm;
        });
        PeerRoutesOptions options = InZoneA;
        options.zone = std::find_if(all.begin(), all.end(), [&vm](const EntryVm &it) {
                           return it.name == vm;
                       })->zone;
        PeerRoutes routes(options);
        std::vector<std::pair<Instant, std::string>> inProgress;
        for (Instant now = Begin; now < Begin + 10s; now += 50ms) {
            std::erase_if(inProgress, [&](const auto &it) {
                if (it.first <= now) {
                    routes.onFinished(it.second);
                }
                return it.first <= now;
            });
            std::vector<std::string> tried;
            bool isServed = false;
            while (!isServed && tried.size() < 3) {
                const auto peer = routes.choose("service", others, tried, now, random);
                if (!peer) {
                    break;
                }
                tried.push_back(peer->name);
                if (cut.contains(peer->name)) {
                    ++load.asked;
                    routes.onNoPath("service", peer->name, now);
                    continue;
                }
                isServed = true;
                ++load.received[peer->name];
                routes.onSent(peer->name);
                routes.onServed("service", peer->name, now);
                inProgress.emplace_back(now + 100ms, peer->name);
            }
            ++(isServed ? load.served : load.refused);
        }
    }
    return load;
}

std::set<std::string> firstVms(std::size_t n)
{
    std::set<std::string> names;
    for (std::size_t k = 0; k < n; ++k) {
        names.insert("vm-" + std::to_string(k));
    }
    return names;
}

} // namespace

TEST_CASE("while one VM has a path, the callers of those without one are served, and no VM gets more than its share")
{
    // Guards against callers of cut-off VMs who are refused, and against a healthy VM that gets the requests of all of them (RECOVER).
    for (const auto &sizes : std::vector<std::pair<std::size_t, std::size_t>>{{3, 1}, {3, 2}, {7, 4}, {90, 30}, {90, 60}}) {
        const std::size_t vms = sizes.first;
        const std::size_t cut = sizes.second;
        CAPTURE(vms);
        CAPTURE(cut);
        const Load load = passOn(vms, firstVms(cut));
        CHECK(static_cast<double>(load.served) >= 0.97 * static_cast<double>(load.served + load.refused));
        std::size_t most = 0;
        for (const auto &[vm, n] : load.received) {
            most = std::max(most, n);
        }
        CHECK(static_cast<double>(most) <= 3.0 * static_cast<double>(load.served) / static_cast<double>(vms - cut));
    }
}

TEST_CASE("when no VM has a path, each is asked now and then only")
{
    // Guards against requests for servers that are down, or out of reach of all, that are sent between VMs in vain.
    for (const std::size_t vms : {3, 7, 90}) {
        CAPTURE(vms);
        const Load load = passOn(vms, firstVms(vms));
        CHECK(load.served == 0);
        CHECK(load.asked <= vms * 10 * 16); // 16 a second for each VM, of 20 requests that may each ask three
    }
}

TEST_CASE("a VM is avoided once for all requests that it had when it lacked a path")
{
    // Guards against a wrong guess of some milliseconds that costs a cut-off VM its way for 8 s, since several requests learned of it at a time (RECOVER).
    std::mt19937_64 random(1);
    PeerRoutes routes(InZoneA);
    for (int n = 0; n < 5; ++n) {
        routes.onNoPath("service", "vm-0", Begin + n * 10ms);
    }
    CHECK_FALSE(routes.choose("service", vmsOf(1), {}, Begin + 990ms, random));
    CHECK(routes.choose("service", vmsOf(1), {}, Begin + 1010ms, random));
    routes.onNoPath("service", "vm-0", Begin + 1010ms); // asked anew: the pause doubles
    CHECK_FALSE(routes.choose("service", vmsOf(1), {}, Begin + 2990ms, random));
    CHECK(routes.choose("service", vmsOf(1), {}, Begin + 3020ms, random));
}

TEST_CASE("the only VM that gets its path back is asked within 2 s, however long it had none")
{
    // Guards against a small fleet after an outage of all servers: VMs without a path asked the one that had servers again up to 8 s late (RECOVER).
    std::mt19937_64 random(1);
    PeerRoutes routes(InZoneA);
    Instant lastAskedAt = Begin;
    for (Instant now = Begin; now < Begin + 30s; now += 50ms) {
        if (routes.choose("service", vmsOf(1), {}, now, random)) {
            CHECK(now - lastAskedAt <= 2s);
            lastAskedAt = now;
            routes.onNoPath("service", "vm-0", now);
        }
    }
    CHECK(Begin + 30s - lastAskedAt <= 2s);
}

TEST_CASE("a VM that lacks a path to one service serves another, and a silent VM is left alone for a while")
{
    PeerRoutes it(InZoneA);
    absl::BitGen random;
    const std::vector<EntryVm> one = {{"other", "10.0.0.1:1", "a", 1000}};
    it.onNoPath("first", "other", Begin);
    CHECK_FALSE(it.choose("first", one, {}, Begin, random));
    CHECK(it.choose("second", one, {}, Begin, random));
    CHECK(it.choose("first", one, {}, Begin + 1s, random));
    it.onSilent("other", Begin + 1s);
    CHECK_FALSE(it.choose("second", one, {}, Begin + 2s, random));
    CHECK(it.choose("second", one, {}, Begin + 3s, random));
    CHECK_FALSE(it.choose("second", one, {"other"}, Begin + 3s, random));
}
