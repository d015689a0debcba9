#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace auburndrum::bench {

/// What one entry VM costs in a fleet of some size.
struct CapacitySample
{
    std::string mode; ///< "virtual" or "sockets"
    std::size_t nodes = 0;
    double bytesPerSecond = 0; ///< control bytes of one node, sent and received
    double cpuPercent = 0; ///< of one core, for one node; 0 when not measured
    double memoryKilobytes = 0; ///< resident memory for one node; 0 when not measured
    double joinSeconds = 0; ///< until every node knows every other one, all started at once
};

struct CapacityOptions
{
    std::size_t nodes = 7;
    std::chrono::seconds settle{120}; ///< longest time given to the join
    std::chrono::seconds measure{60};
    std::uint64_t seed = 1;
};

/// How often things happen in the whole fleet, for a day's counts.
struct FleetRates
{
    static constexpr double SecondsPerDay = 86400;
    static constexpr double ConfigChanges = 7300 / SecondsPerDay;
    static constexpr double LeavingServers = 4300 / SecondsPerDay;
    static constexpr double Circuits = 2 * 210 / SecondsPerDay;
    static constexpr double LinkDemandsPerNode = 1.0 / 30;
};

/// Runs the shipped gossip code in virtual time with messages in their wire form. Measures bytes.
CapacitySample measureVirtual(const CapacityOptions &options);

/// Runs whole entry links over loopback sockets in real time, all in this process. Measures bytes, processor time and memory.
CapacitySample measureSockets(const CapacityOptions &options);

/// Returns about how many availability zones a fleet of this size has.
std::size_t zonesFor(std::size_t nodes);

} // namespace auburndrum::bench
