#pragma once

#include "auburndrum/decision/traffic/crashquarantine.h"

#include <functional>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace auburndrum::decision {

/// Options of a CrashingFleet.
struct CrashingFleetOptions
{
    unsigned seed = 1;
    int vms = 7;
    int servers = 24;
    double requestsPerSecond = 60;
    double badShare = 0.2; ///< share of the requests with the part that crashes its server
    bool isBadFirst = false; ///< the bad part is the first of its prompt
    bool breaksInOrder = false; ///< whole responses end with their connection, without a length
    /// Requests have no prompt. A bad one is the same each time, and is sent to a second server after the first has ended; half of the sound ones come again.
    bool comesAgain = false;
    std::chrono::milliseconds beginTime{300}; ///< longest time until a server begins to write
};

/// @brief Entry VMs, each with its CrashQuarantine, before servers that end under one part; in simulated time, without a network.
///
/// Requests come at random VMs. Sound ones share all parts but the bad one with those that crash their server. A server that ends loses every request that it
/// runs, and is back under another id after 2 s to 4 s. VMs exchange evidence within their zone and between zones, as PeerExchange does.
class CrashingFleet
{
public:
    struct Request
    {
        RequestMarks marks;
        std::size_t vm = 0;
        Instant sentAt{};
        Instant beginsAt{}; ///< when the server begins to write
        Instant endsAt{};
        bool isBad = false;
        bool isRepeated = false; ///< sent to a second server
    };

    explicit CrashingFleet(CrashingFleetOptions options);

    void run(std::chrono::milliseconds time);
    /// Kills this many servers at once.
    void killServers(int count);
    void setBadShare(double share);
    /// A frozen VM gets and sends nothing; an isolated one has callers and servers, but no other VM.
    void setFrozen(std::size_t vm, bool isFrozen);
    void setIsolated(std::size_t vm, bool isIsolated);
    /// The VM's process starts again and knows nothing.
    void restartVm(std::size_t vm);

    Instant now() const
    {
        return m_now;
    }
    const std::vector<Instant> &crashes() const
    {
        return m_crashes;
    }
    /// Requests with the bad part that reached a server later than `time`, from VMs that were neither frozen nor isolated.
    int badArrivalsAfter(Instant time) const;
    /// Share of the sound requests in a span that got a whole response from the first server.
    double servedShare(Instant from, Instant until) const;
    /// Marks other than the bad one that a VM kept away at any time.
    const std::set<std::string> &wrongVerdicts() const
    {
        return m_wrongVerdicts;
    }
    std::size_t keptAway(std::size_t vm) const;

    std::function<void(const CrashEvidence &)> onMessage; ///< called with each message between VMs

    static constexpr char BadPart[] = "bad";
    static constexpr char BadRequest[] = "request:bad";

private:
    struct Server
    {
        std::string id;
        Instant upAt{};
        std::vector<Request> running;
    };

    struct Vm
    {
        std::unique_ptr<CrashQuarantine> quarantine;
        Instant nextExchange{};
        bool isFrozen = false;
        bool isIsolated = false;
    };

    struct Outcome
    {
        Instant at{};
        bool isServed = false;
    };

    double random();
    std::chrono::milliseconds between(std::chrono::milliseconds low, std::chrono::milliseconds high);
    Request makeRequest();
    Request makeRequestThatComesAgain();
    void arrive();
    void send(Request request);
    void crash(Server &server);
    void endRequests();
    void exchange(std::size_t vm);
    void updateVms();

    CrashingFleetOptions m_options;
    std::mt19937 m_random;
    Instant m_now{std::chrono::seconds(1000)};
    std::vector<Server> m_servers;
    std::vector<Vm> m_vms;
    std::vector<std::string> m_vmNames;
    std::vector<Instant> m_crashes;
    std::vector<Instant> m_badArrivals;
    std::vector<Outcome> m_outcomes; ///< of sound requests
    std::set<std::string> m_wrongVerdicts;
    int m_started = 0;
    int m_requests = 0;
};

} // namespace auburndrum::decision
