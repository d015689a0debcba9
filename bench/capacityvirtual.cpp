#include "capacity.h"

#include "auburndrum/decision/fakegossipnetwork.h"
#include "auburndrum/entry/gossipcodec.h"
#include "auburndrum/entry/jsonrpc.h"
#include "auburndrum/entry/peerclient.h"

#include <algorithm>
#include <random>

namespace auburndrum::bench {

using namespace decision;

namespace {

constexpr std::chrono::seconds Step{1};

/// A message with the envelope that its call or answer puts around it.
std::size_t wireBytes(const GossipMessage &message)
{
    return entry::encodeRpcRequest("gossip", entry::encodeGossip(message)).size() + entry::HttpOverheadBytes / 2;
}

/// Makes the day's events happen at their rates.
class EventSource
{
public:
    EventSource(FakeGossipNetwork &network, std::uint64_t seed)
        : m_network(network)
        , m_random(seed)
    {
    }

    void step(std::chrono::seconds time)
    {
        const auto seconds = static_cast<double>(time.count());
        const std::size_t n = std::uniform_int_distribution<std::size_t>(0, m_network.size() - 1)(m_random);
        if (happens(FleetRates::ConfigChanges * seconds)) {
            m_network.setConfigOffset(n, ++m_number);
        }
        if (happens(FleetRates::LeavingServers * seconds)) {
            m_network.announce(n, LeavingServer{"10.20.30.40:" + std::to_string(++m_number), m_number});
        }
        if (happens(FleetRates::Circuits * seconds)) {
            m_network.announce(n, CircuitReport{"10.20.30.40:" + std::to_string(++m_number), FakeGossipNetwork::nodeName(n), m_number, true});
        }
        for (std::size_t it = 0; it < m_network.size(); ++it) {
            if (happens(FleetRates::LinkDemandsPerNode * seconds)) {
                m_network.announce(it, LinkDemand{FakeGossipNetwork::nodeName(it), "region-1>region-2", ++m_number, m_number});
            }
        }
    }

private:
    bool happens(double probability)
    {
        return std::bernoulli_distribution(std::min(probability, 1.0))(m_random);
    }

    FakeGossipNetwork &m_network;
    std::mt19937_64 m_random;
    std::uint64_t m_number = 1;
};

} // namespace

std::size_t zonesFor(std::size_t nodes)
{
    constexpr std::size_t NodesPerZone = 17;
    constexpr std::size_t LeastZones = 3;
    return std::max(LeastZones, nodes / NodesPerZone);
}

CapacitySample measureVirtual(const CapacityOptions &options)
{
    FakeGossipNetworkOptions network;
    network.nodes = options.nodes;
    network.zones = zonesFor(options.nodes);
    network.seed = options.seed;
    network.messageBytes = wireBytes;
    FakeGossipNetwork fleet(network);
    const auto joined = fleet.runUntil(
        [&fleet] {
            return fleet.isConverged();
        },
        options.settle);
    fleet.run(options.settle);
    for (std::size_t n = 0; n < fleet.size(); ++n) {
        fleet.node(n).transferredBytes = 0;
    }
    EventSource events(fleet, options.seed);
    for (std::chrono::seconds passed{0}; passed < options.measure; passed += Step) {
        events.step(Step);
        fleet.run(Step);
    }
    double bytes = 0;
    for (std::size_t n = 0; n < fleet.size(); ++n) {
        bytes += static_cast<double>(fleet.node(n).transferredBytes);
    }
    const auto nodeSeconds = static_cast<double>(options.nodes) * static_cast<double>(options.measure.count());
    return {"virtual", options.nodes, bytes / nodeSeconds, 0, 0, std::chrono::duration<double>(joined).count()};
}

} // namespace auburndrum::bench
