#pragma once

#include "auburndrum/decision/traffic/serverlimits.h"
#include "auburndrum/decision/traffic/vmpresence.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace auburndrum::decision {

/// @brief Entry VMs before backend servers that name limits, in simulated time and without a network.
///
/// Callers send requests to random VMs; each VM sends them to a random server that its ServerLimits allow, and refuses them where there is none. Responses name
/// the server's limit. VMs exchange notices with random other VMs.
class LimitedFleet
{
public:
    LimitedFleet(std::size_t vms, std::size_t servers, std::uint64_t seed);

    /// Runs for a time with this many requests a second in all.
    void run(std::chrono::milliseconds time, double requestsPerSecond);
    Instant now() const
    {
        return m_now;
    }
    /// Adds a VM that knows all others; they learn of it when it calls them.
    void startVm();
    /// The server's process is replaced under the same id.
    void restartServer(std::size_t server);

    /// Most requests that the server got within `window`, of all windows after `begin`.
    std::size_t mostInWindow(std::size_t server, std::chrono::milliseconds window, Instant begin) const;
    std::size_t arrivals(std::size_t server, Instant begin) const;

    std::vector<std::optional<double>> limits; ///< of each server, requests a second
    std::set<std::size_t> frozen; ///< VMs that neither receive nor do anything
    std::set<std::size_t> cut; ///< VMs that reach each other, callers and servers, but no other VM
    std::function<void(const std::vector<LimitNotice> &, const std::vector<VmSilence> &)> onMessage; ///< called with each message between VMs
    std::size_t served = 0;
    std::size_t refused = 0;
    std::vector<std::chrono::milliseconds> retryDelays; ///< told to refused callers

private:
    struct Vm
    {
        std::string name;
        ServerLimits limits;
        VmPresence presence;
        std::set<std::string> known;
        Instant exchangedAt{};
    };

    struct Response
    {
        Instant at{};
        Instant sentAt{};
        std::size_t vm = 0;
        std::size_t server = 0;
        WallTime startedAt{};
        std::optional<double> limit;
    };

    struct Message
    {
        Instant at{};
        std::size_t from = 0;
        std::size_t to = 0;
        std::vector<LimitNotice> notices;
        std::vector<VmSilence> silences;
        bool isAnswer = false;
    };

    bool reaches(std::size_t a, std::size_t b) const;
    void send(std::size_t vm);
    void deliver(const Message &message);
    void exchange(std::size_t vm);
    void updateVms(Vm &vm);
    void post(std::size_t from, std::size_t to, bool isAnswer);

    Instant m_now{std::chrono::seconds(1000)};
    std::mt19937_64 m_random;
    std::vector<std::unique_ptr<Vm>> m_vms;
    std::vector<WallTime> m_serverStarts;
    std::vector<std::vector<Instant>> m_arrivals; ///< by server
    std::deque<Response> m_responses;
    std::vector<Message> m_messages;
};

} // namespace auburndrum::decision
