#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace auburndrum::operators {

/// Another entry VM as this one sees it.
struct PeerStatus
{
    std::string name;
    std::string address; ///< IP:PORT
    std::string zone;
    std::string region;
    bool isLive = false;
};

/// One backend server as this entry VM sees it.
struct BackendStatus
{
    std::string address;
    std::string service;
    std::string zone;
    bool isLive = false;
    bool isLeaving = false;
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::string weightVersion; ///< weight version that it reports
};

/// Summary of one daemon's state.
struct StatusReport
{
    std::string name;
    std::string zone;
    std::string region;
    std::string address;
    std::string incarnation;
    std::string phase; ///< serving, draining or finishing
    std::vector<std::string> notReady; ///< reasons why the daemon is not ready; empty when it is ready
    bool isPlatformUp = false;
    std::uint64_t configOffset = 0;
    std::chrono::milliseconds configAge{0}; ///< time since the log was last read to its end
    std::uint64_t openRequests = 0;
    std::uint64_t claimsInDoubt = 0;
    std::vector<PeerStatus> peers;
    std::vector<BackendStatus> backends;
};

/// Writes a report as one JSON object.
std::string toJson(const StatusReport &report);

} // namespace auburndrum::operators
