#include "auburndrum/decision/traffic/relaydirectory.h"

#include <doctest/doctest.h>

using namespace auburndrum;
using namespace auburndrum::decision;
using namespace std::chrono_literals;

namespace {

const Instant Start{1000s};

/// A directory of `vm` in zone a1 that knows `n` VMs named vm-0 and so on in zone a1, all with equal links, and itself.
RelayDirectory directory(const std::string &vm, int n, std::size_t crowdedZoneSize = 100)
{
    RelayDirectory it({.vm = vm, .regionOfZone = {{"a1", "a"}, {"a2", "a"}, {"b1", "b"}}, .crowdedZoneSize = crowdedZoneSize});
    for (int k = 0; k < n; ++k) {
        const std::string name = "vm-" + std::to_string(k);
        it.put({name, "10.0.0." + std::to_string(k) + ":1", "a1", 10});
    }
    return it;
}

std::string relayOf(const RelayDirectory &it, Instant now = Start)
{
    const auto relay = it.chooseRelay(now);
    return relay ? relay->name : "";
}

} // namespace

TEST_CASE("the VMs of a zone agree on their relay, which reads for itself")
{
    std::string chosen;
    int readers = 0;
    for (int k = 0; k < 14; ++k) {
        const std::string name = "vm-" + std::to_string(k);
        const std::string relay = relayOf(directory(name, 14));
        if (relay.empty()) {
            ++readers;
            CHECK((chosen.empty() || chosen == name));
            chosen = name;
            continue;
        }
        CHECK((chosen.empty() || chosen == relay));
        chosen = relay;
    }
    CHECK(readers == 1);
}

TEST_CASE("the VM with the fastest link is the relay, since all others of the zone read from it")
{
    RelayDirectory it = directory("vm-0", 14);
    it.put({"large", "10.0.1.1:1", "a1", 200});
    CHECK(relayOf(it) == "large");
}

TEST_CASE("a VM chooses no relay of another zone")
{
    RelayDirectory it = directory("vm-0", 1);
    it.put({"large", "10.0.1.1:1", "a2", 200});
    CHECK(relayOf(it).empty());
}

TEST_CASE("a failing relay is avoided for a doubling time, and the next VM becomes the relay")
{
    RelayDirectory it = directory("vm-0", 1);
    it.put({"large", "10.0.1.1:1", "a1", 200});
    it.put({"middle", "10.0.1.2:1", "a1", 100});
    it.recordFailure("large", Start);
    CHECK(relayOf(it, Start + 1s) == "middle");
    it.recordFailure("middle", Start + 1s);
    CHECK(relayOf(it, Start + 2s).empty());
    CHECK(relayOf(it, Start + 4s) == "large");
    it.recordFailure("large", Start + 4s);
    CHECK(relayOf(it, Start + 9s) == "middle");
    CHECK(relayOf(it, Start + 12s) == "large");
    it.recordSuccess("large");
    it.recordFailure("large", Start + 13s);
    CHECK(relayOf(it, Start + 17s) == "large");
}

TEST_CASE("a VM that registers another address is polled there immediately")
{
    RelayDirectory it = directory("vm-0", 1);
    it.put({"large", "10.0.1.1:1", "a1", 200});
    it.recordFailure("large", Start);
    CHECK(relayOf(it, Start + 1s).empty());
    CHECK(it.put({"large", "10.0.1.9:1", "a1", 200}));
    CHECK(it.chooseRelay(Start + 1s)->address == "10.0.1.9:1");
    CHECK_FALSE(it.put({"large", "10.0.1.9:1", "a1", 200}));
}

TEST_CASE("the reader limit is exceeded when a region's VMs and the reserved readers are more than a prompt store allows")
{
    CHECK_FALSE(directory("vm-0", 7).needsRelay(12));
    CHECK_FALSE(directory("vm-0", 10).needsRelay(12));
    CHECK(directory("vm-0", 11).needsRelay(12));
    RelayDirectory it = directory("vm-0", 7);
    for (int k = 0; k < 7; ++k) {
        it.put({"other-" + std::to_string(k), "10.1.0.1:1", "b1", 10});
    }
    CHECK_FALSE(it.needsRelay(12));
}

TEST_CASE("a VM that is not in its own directory yet reads for itself")
{
    const RelayDirectory it = directory("another", 14);
    CHECK_FALSE(it.chooseRelay(Start));
    CHECK_FALSE(it.needsRelay(12));
}

TEST_CASE("a crowded zone uses a relay however many readers the prompt stores allow")
{
    // Guards against fleets with room at the prompt stores in which each VM reads the platform's store: calls took half of what 23 VMs earned.
    CHECK_FALSE(directory("vm-0", 3, 4).needsRelay(1000));
    CHECK(directory("vm-0", 4, 4).needsRelay(1000));
    RelayDirectory it = directory("vm-0", 1, 4);
    for (int k = 0; k < 7; ++k) {
        it.put({"other-" + std::to_string(k), "10.1.0.1:1", "a2", 10});
    }
    CHECK_FALSE(it.needsRelay(1000));
}

TEST_CASE("a VM that moves to another zone leaves the relays of its former one")
{
    RelayDirectory it = directory("vm-0", 1, 2);
    it.put({"large", "10.0.1.1:1", "a1", 200});
    CHECK(it.needsRelay(1000));
    it.put({"large", "10.0.1.1:1", "a2", 200});
    CHECK(relayOf(it).empty());
    CHECK_FALSE(it.needsRelay(1000));
}
