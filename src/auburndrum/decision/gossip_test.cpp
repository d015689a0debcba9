#include "auburndrum/decision/fakegossipnetwork.h"

#include <doctest/doctest.h>

#include <utility>

using namespace auburndrum;
using namespace auburndrum::decision;
using namespace std::chrono_literals;

namespace {

bool knowsLeavingServer(Gossip &gossip, const std::string &server)
{
    return gossip.table().find("l/" + server) != nullptr;
}

std::chrono::milliseconds spreadTimeOfLeavingServer(FakeGossipNetworkOptions options)
{
    FakeGossipNetwork network(std::move(options));
    network.run(20s);
    network.announce(0, LeavingServer{"backend-1", 5});
    return network.runUntil(
        [&network] {
            for (std::size_t n = 0; n < network.size(); ++n) {
                if (!knowsLeavingServer(network.gossip(n), "backend-1")) {
                    return false;
                }
            }
            return true;
        },
        60s);
}

std::chrono::milliseconds spreadTimeOfConfigOffset(FakeGossipNetworkOptions options)
{
    FakeGossipNetwork network(std::move(options));
    network.run(20s);
    network.setConfigOffset(0, 77);
    return network.runUntil(
        [&network] {
            for (std::size_t n = 0; n < network.size(); ++n) {
                if (network.node(n).config.ownOffset() < 77) {
                    return false;
                }
            }
            return true;
        },
        60s);
}

FakeGossipNetworkOptions largeFleet()
{
    FakeGossipNetworkOptions options;
    options.nodes = 340;
    options.zones = 20;
    return options;
}

/// Disables the early rounds after urgent deltas.
void withoutUrgentRounds(GossipOptions &gossip, MembershipOptions &)
{
    gossip.urgentDelay = gossip.roundPeriod;
    gossip.urgentRoundPeriod = 5 * gossip.roundPeriod;
    gossip.roundPeriod = gossip.urgentRoundPeriod;
    gossip.urgentFanout = 1;
    gossip.originFanout = 1;
}

} // namespace

TEST_CASE("7 entry VMs find each other through the platform's list within 10 s")
{
    FakeGossipNetwork network({});
    CHECK(network.runUntil(
              [&network] {
                  return network.isConverged();
              },
              30s)
          < 10s);
}

TEST_CASE("all of 7 entry VMs learn within 2 s that a backend server is leaving, also when 20 % of messages are lost")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        FakeGossipNetworkOptions options;
        options.seed = seed;
        CAPTURE(seed);
        CHECK(spreadTimeOfLeavingServer(options) < 2s);
        options.lossRate = 0.2;
        CHECK(spreadTimeOfLeavingServer(options) < 2s);
    }
    FakeGossipNetworkOptions broken;
    broken.configureNode = withoutUrgentRounds;
    CHECK(spreadTimeOfLeavingServer(broken) > 2s);
}

TEST_CASE("new configuration reaches 340 entry VMs within 12 s, also when 5 % of messages are lost")
{
    FakeGossipNetworkOptions options = largeFleet();
    CHECK(spreadTimeOfConfigOffset(options) < 12s);
    options.lossRate = 0.05;
    CHECK(spreadTimeOfConfigOffset(options) < 12s);
    options.configureNode = withoutUrgentRounds;
    CHECK(spreadTimeOfConfigOffset(options) > 12s);
}

TEST_CASE("a crashed entry VM becomes dead, and its restart under the same address makes it usable again")
{
    FakeGossipNetwork network({});
    network.run(10s);
    network.kill(3);
    CHECK(network.runUntil(
              [&network] {
                  return network.isConverged();
              },
              60s)
          < 20s);
    network.run(20s);
    CHECK(network.observedState(0, 3) == MemberState::Dead);
    network.start(3, 2);
    CHECK(network.runUntil(
              [&network] {
                  return network.isConverged();
              },
              60s)
          < 10s);
}

TEST_CASE("a process that restarts with a clock that is behind takes an incarnation above its earlier one")
{
    FakeGossipNetworkOptions options;
    FakeGossipNetwork network(options);
    network.run(10s);
    network.kill(3);
    network.start(3, 1);
    network.run(10s);
    network.leave(3);
    network.run(5s);
    CHECK(network.observedState(0, 3) == MemberState::Leaving);
    network.kill(3);
    network.start(3, 1);
    CHECK(network.runUntil(
              [&network] {
                  return network.isConverged();
              },
              60s)
          < 10s);
}

TEST_CASE("zones separated by a network partition keep their own members alive and converge after it heals")
{
    FakeGossipNetwork network({});
    network.run(10s);
    network.setZonesCut("zone-0", "zone-1", true);
    network.setZonesCut("zone-0", "zone-2", true);
    network.run(60s);
    CHECK(network.observedState(0, 1) == MemberState::Dead);
    CHECK(network.observedState(1, 0) == MemberState::Dead);
    CHECK(network.observedState(0, 3) == MemberState::Alive);
    network.setZonesCut("zone-0", "zone-1", false);
    network.setZonesCut("zone-0", "zone-2", false);
    CHECK(network.runUntil(
              [&network] {
                  return network.isConverged();
              },
              120s)
          < 60s);
}

TEST_CASE("a member that one zone can't reach stays alive because other zones reach it")
{
    FakeGossipNetwork network({});
    network.run(10s);
    network.setZonesCut("zone-0", "zone-1", true);
    for (int n = 0; n < 120; ++n) {
        network.run(1s);
        CHECK(network.observedState(0, 1) != MemberState::Dead);
        CHECK(network.observedState(1, 0) != MemberState::Dead);
    }
}

TEST_CASE("a process considered dead after a long pause refutes that and is usable again")
{
    FakeGossipNetwork network({});
    network.run(10s);
    network.pause(2);
    network.run(60s);
    CHECK(network.observedState(0, 2) == MemberState::Dead);
    network.resume(2);
    CHECK(network.runUntil(
              [&network] {
                  return network.isConverged();
              },
              120s)
          < 30s);
    CHECK(network.observedState(2, 0) == MemberState::Alive);
}

TEST_CASE("all entry VMs receive all deltas although messages are lost, duplicated and reordered")
{
    const auto knownEverywhere = [](std::function<void(GossipOptions &, MembershipOptions &)> configure) {
        FakeGossipNetworkOptions options;
        options.nodes = 28;
        options.lossRate = 0.2;
        options.duplicateRate = 0.3;
        options.maxJitter = 800ms;
        options.configureNode = std::move(configure);
        FakeGossipNetwork network(options);
        network.run(60s);
        network.announce(0, CircuitReport{"backend-1", "entry-0", 1, true});
        network.leave(5);
        network.run(30s);
        bool known = true;
        for (std::size_t n = 0; n < network.size(); ++n) {
            known = known && network.gossip(n).table().find("c/entry-0/backend-1") != nullptr;
            known = known && (n == 5 || network.observedState(n, 5) == MemberState::Leaving);
        }
        return known;
    };
    CHECK(knownEverywhere({}));
    CHECK_FALSE(knownEverywhere([](GossipOptions &gossip, MembershipOptions &) {
        gossip.sendsPerDelta = [](std::size_t) {
            return 1;
        };
        gossip.digestComparePeriod = 1h;
    }));
}

TEST_CASE("gossip stays within its byte budget at 340 entry VMs with a restart every 30 s and a publish every 12 s")
{
    constexpr std::size_t LimitBytesPerSecond = 6000;
    FakeGossipNetwork network(largeFleet());
    network.run(30s);
    for (std::size_t n = 0; n < network.size(); ++n) {
        network.node(n).transferredBytes = 0;
    }
    constexpr std::size_t Seconds = 60;
    for (std::size_t n = 0; n < Seconds; ++n) {
        network.run(1s);
        if (n % 12 == 0) {
            network.setConfigOffset(n, 100 + n);
            network.announce(n, LeavingServer{"backend-" + std::to_string(n), 1});
        }
        if (n % 30 == 15) {
            network.kill(n);
            network.start(n, 2);
        }
    }
    std::size_t total = 0;
    for (std::size_t n = 0; n < network.size(); ++n) {
        total += network.node(n).transferredBytes;
    }
    CHECK(total / network.size() / Seconds < LimitBytesPerSecond);
    MESSAGE("bytes per second and node: " << total / network.size() / Seconds);
}
