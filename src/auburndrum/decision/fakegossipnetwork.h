#pragma once

#include "auburndrum/decision/configcatchup.h"
#include "auburndrum/decision/gossip.h"

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace auburndrum::decision {

struct FakeGossipNetworkOptions
{
    std::size_t nodes = 7;
    std::size_t zones = 3;
    std::size_t zonesPerRegion = 2;
    std::chrono::microseconds sameRegionLatency{1500};
    std::chrono::microseconds crossRegionLatency{12000};
    std::chrono::milliseconds callTimeout{1000};
    double lossRate = 0; ///< probability that a message is lost
    double duplicateRate = 0;
    std::chrono::milliseconds maxJitter{0}; ///< random extra latency, up to this, so that messages overtake each other
    std::uint64_t seed = 1;
    std::function<void(GossipOptions &, MembershipOptions &)> configureNode; ///< changes the options of each node
    std::function<std::size_t(const GossipMessage &)> messageBytes; ///< returns a message's size on the wire; an estimate is used when empty
};

/// One entry VM of the fake network and the process that runs on it.
struct FakeNode
{
    std::unique_ptr<Gossip> gossip;
    std::string zone;
    std::string region;
    ConfigCatchUp config;
    bool up = true;
    bool paused = false;
    std::size_t transferredBytes = 0; ///< bytes sent and received
    std::size_t messages = 0;
    std::uint64_t generation = 0; ///< number of the node's current process; timers of earlier ones are ignored
};

/// Simulates entry VMs that gossip in virtual time over links that a test can cut, slow down and make lossy.
class FakeGossipNetwork
{
public:
    explicit FakeGossipNetwork(FakeGossipNetworkOptions options);

    std::size_t size() const;
    FakeNode &node(std::size_t n);
    Gossip &gossip(std::size_t n);
    static std::string nodeName(std::size_t n);
    Instant now() const;

    /// Starts the process of node @p n, as a new incarnation.
    void start(std::size_t n, std::uint64_t incarnation);
    void kill(std::size_t n);
    void pause(std::size_t n);
    void resume(std::size_t n);
    void setZonesCut(const std::string &a, const std::string &b, bool cut);
    void setLoss(double loss);
    void announce(std::size_t n, const DeltaValue &value);
    void leave(std::size_t n);
    void setConfigOffset(std::size_t n, std::uint64_t offset);
    /// Passes to every node a platform list of the @p listed nodes.
    void publishListedNodes(const std::vector<std::size_t> &listed);

    void run(std::chrono::milliseconds time);
    /// Runs until @p done returns true or @p limit has passed. Returns the virtual time that passed.
    std::chrono::milliseconds runUntil(const std::function<bool()> &done, std::chrono::milliseconds limit);

    /// Returns whether on every running node exactly the running nodes are usable.
    bool isConverged();
    MemberState observedState(std::size_t observer, std::size_t observed);

private:
    struct Event
    {
        Instant at;
        std::uint64_t sequence;
        std::function<void()> run;

        bool operator>(const Event &other) const
        {
            return at != other.at ? at > other.at : sequence > other.sequence;
        }
    };

    void schedule(std::chrono::nanoseconds delay, std::function<void()> run);
    void scheduleRound(std::size_t n, std::uint64_t generation);
    void runDueRound(std::size_t n, std::uint64_t generation);
    void sendRequest(std::size_t from, const OutgoingGossipMessage &send);
    void deliver(std::size_t from, std::size_t to, const GossipMessage &message, const std::shared_ptr<bool> &answered);
    void fetchConfig(std::size_t n, const std::optional<std::string> &peer);
    void countBytes(std::size_t n, const GossipMessage &message);
    bool isReachable(std::size_t from, std::size_t to);
    bool isLost();
    std::chrono::nanoseconds latency(std::size_t from, std::size_t to);
    std::size_t indexOf(const std::string &name) const;

    FakeGossipNetworkOptions m_options;
    std::mt19937_64 m_random;
    std::vector<FakeNode> m_nodes;
    std::vector<ListedVm> m_list;
    std::map<std::pair<std::string, std::string>, bool> m_cuts;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    Instant m_now{std::chrono::hours(1)};
    std::uint64_t m_sequence = 0;
};

} // namespace auburndrum::decision
