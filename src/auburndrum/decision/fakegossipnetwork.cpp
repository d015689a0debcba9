#include "auburndrum/decision/fakegossipnetwork.h"

#include <algorithm>
#include <utility>

namespace auburndrum::decision {

namespace {

constexpr std::size_t MessageOverheadBytes = 420;
constexpr std::uint64_t SeedStride = 7919;

std::size_t estimateBytes(const GossipMessage &message)
{
    std::size_t bytes = MessageOverheadBytes;
    for (const Delta &delta : message.deltas) {
        bytes += deltaBytes(delta.value);
    }
    return bytes;
}

} // namespace

FakeGossipNetwork::FakeGossipNetwork(FakeGossipNetworkOptions options)
    : m_options(std::move(options))
    , m_random(m_options.seed)
    , m_nodes(m_options.nodes)
{
    if (!m_options.messageBytes) {
        m_options.messageBytes = estimateBytes;
    }
    for (std::size_t n = 0; n < m_nodes.size(); ++n) {
        const std::size_t zone = n % m_options.zones;
        m_nodes[n].zone = "zone-" + std::to_string(zone);
        m_nodes[n].region = "region-" + std::to_string(zone / m_options.zonesPerRegion);
        m_list.push_back({nodeName(n), nodeName(n), m_nodes[n].zone, m_nodes[n].region, false});
    }
    for (std::size_t n = 0; n < m_nodes.size(); ++n) {
        start(n, 1);
    }
}

std::size_t FakeGossipNetwork::size() const
{
    return m_nodes.size();
}

FakeNode &FakeGossipNetwork::node(std::size_t n)
{
    return m_nodes[n];
}

Gossip &FakeGossipNetwork::gossip(std::size_t n)
{
    return *m_nodes[n].gossip;
}

std::string FakeGossipNetwork::nodeName(std::size_t n)
{
    return "entry-" + std::to_string(n);
}

Instant FakeGossipNetwork::now() const
{
    return m_now;
}

void FakeGossipNetwork::start(std::size_t n, std::uint64_t incarnation)
{
    FakeNode &node = m_nodes[n];
    GossipOptions gossip;
    gossip.peers.seed = m_options.seed * SeedStride + n;
    MembershipOptions membership;
    membership.self = {nodeName(n), nodeName(n), node.zone, node.region, incarnation, 0, Liveness::Alive, false};
    if (m_options.configureNode) {
        m_options.configureNode(gossip, membership);
    }
    node.gossip = std::make_unique<Gossip>(gossip, membership, m_now);
    node.gossip->setListedVms(m_list, m_now);
    node.config = {};
    node.up = true;
    node.paused = false;
    ++node.generation;
    const std::chrono::microseconds phase(std::uniform_int_distribution<int>(0, 1000000)(m_random));
    schedule(phase, [this, n, generation = node.generation] {
        runDueRound(n, generation);
    });
}

void FakeGossipNetwork::kill(std::size_t n)
{
    m_nodes[n].up = false;
    ++m_nodes[n].generation;
}

void FakeGossipNetwork::pause(std::size_t n)
{
    m_nodes[n].paused = true;
}

void FakeGossipNetwork::resume(std::size_t n)
{
    m_nodes[n].paused = false;
    runDueRound(n, m_nodes[n].generation);
}

void FakeGossipNetwork::setZonesCut(const std::string &a, const std::string &b, bool cut)
{
    m_cuts[{a, b}] = cut;
    m_cuts[{b, a}] = cut;
}

void FakeGossipNetwork::setLoss(double loss)
{
    m_options.lossRate = loss;
}

void FakeGossipNetwork::announce(std::size_t n, const DeltaValue &value)
{
    m_nodes[n].gossip->announce(value, m_now);
    scheduleRound(n, m_nodes[n].generation);
}

void FakeGossipNetwork::leave(std::size_t n)
{
    m_nodes[n].gossip->leave(m_now);
    scheduleRound(n, m_nodes[n].generation);
}

void FakeGossipNetwork::setConfigOffset(std::size_t n, std::uint64_t offset)
{
    m_nodes[n].config.setOwnOffset(offset);
    m_nodes[n].gossip->setConfigOffset(offset, m_now);
    scheduleRound(n, m_nodes[n].generation);
}

void FakeGossipNetwork::publishListedNodes(const std::vector<std::size_t> &listed)
{
    m_list.clear();
    for (const std::size_t n : listed) {
        m_list.push_back({nodeName(n), nodeName(n), m_nodes[n].zone, m_nodes[n].region, false});
    }
    for (FakeNode &node : m_nodes) {
        node.gossip->setListedVms(m_list, m_now);
    }
}

void FakeGossipNetwork::run(std::chrono::milliseconds time)
{
    const Instant end = m_now + time;
    while (!m_events.empty() && m_events.top().at <= end) {
        Event event = m_events.top();
        m_events.pop();
        m_now = event.at;
        event.run();
    }
    m_now = end;
}

std::chrono::milliseconds FakeGossipNetwork::runUntil(const std::function<bool()> &done, std::chrono::milliseconds limit)
{
    constexpr std::chrono::milliseconds Step{50};
    const Instant begin = m_now;
    while (!done() && m_now - begin < limit) {
        run(Step);
    }
    return std::chrono::floor<std::chrono::milliseconds>(m_now - begin);
}

bool FakeGossipNetwork::isConverged()
{
    std::vector<std::string> running;
    for (std::size_t n = 0; n < m_nodes.size(); ++n) {
        if (m_nodes[n].up) {
            running.push_back(nodeName(n));
        }
    }
    std::sort(running.begin(), running.end());
    for (const FakeNode &node : m_nodes) {
        if (!node.up) {
            continue;
        }
        std::vector<std::string> seen;
        for (const MemberRecord &it : node.gossip->membership().usableMembers()) {
            seen.push_back(it.name);
        }
        std::sort(seen.begin(), seen.end());
        if (seen != running) {
            return false;
        }
    }
    return true;
}

MemberState FakeGossipNetwork::observedState(std::size_t observer, std::size_t observed)
{
    const Member *member = m_nodes[observer].gossip->membership().find(nodeName(observed));
    return member == nullptr ? MemberState::Dead : member->state();
}

void FakeGossipNetwork::schedule(std::chrono::nanoseconds delay, std::function<void()> run)
{
    m_events.push({m_now + delay, m_sequence++, std::move(run)});
}

void FakeGossipNetwork::scheduleRound(std::size_t n, std::uint64_t generation)
{
    const Instant due = std::max(m_nodes[n].gossip->nextRoundAt(), m_now);
    schedule(due - m_now, [this, n, generation] {
        runDueRound(n, generation);
    });
}

void FakeGossipNetwork::runDueRound(std::size_t n, std::uint64_t generation)
{
    FakeNode &node = m_nodes[n];
    if (node.paused || node.generation != generation || m_now < node.gossip->nextRoundAt()) {
        return;
    }
    for (const OutgoingGossipMessage &it : node.gossip->runRound(m_now)) {
        sendRequest(n, it);
    }
    scheduleRound(n, generation);
}

void FakeGossipNetwork::sendRequest(std::size_t from, const OutgoingGossipMessage &send)
{
    const std::size_t to = indexOf(send.peer);
    const auto answered = std::make_shared<bool>(false);
    countBytes(from, send.message);
    const auto copies = std::uniform_real_distribution<double>(0, 1)(m_random) < m_options.duplicateRate ? 2 : 1;
    for (int n = 0; n < copies; ++n) {
        if (!isReachable(from, to) || isLost()) {
            continue;
        }
        schedule(latency(from, to), [this, from, to, message = send.message, answered] {
            deliver(from, to, message, answered);
        });
    }
    schedule(m_options.callTimeout, [this, from, peer = send.peer, answered, generation = m_nodes[from].generation] {
        FakeNode &node = m_nodes[from];
        if (*answered || node.paused || node.generation != generation) {
            return;
        }
        node.gossip->recordContactFailure(peer, m_now);
        scheduleRound(from, generation);
    });
}

void FakeGossipNetwork::deliver(std::size_t from, std::size_t to, const GossipMessage &message, const std::shared_ptr<bool> &answered)
{
    FakeNode &receiver = m_nodes[to];
    if (!receiver.up || receiver.paused) {
        return;
    }
    countBytes(to, message);
    GossipChanges changes;
    const GossipMessage reply = receiver.gossip->receiveRequest(message, changes, m_now);
    countBytes(to, reply);
    scheduleRound(to, receiver.generation);
    if (changes.newerConfigOffset) {
        fetchConfig(to, receiver.config.onPeerOffset(nodeName(from), *changes.newerConfigOffset));
    }
    if (!isReachable(to, from) || isLost()) {
        return;
    }
    schedule(latency(to, from), [this, from, to, reply, answered, generation = m_nodes[from].generation] {
        FakeNode &node = m_nodes[from];
        if (!node.up || node.paused || node.generation != generation) {
            return;
        }
        *answered = true;
        countBytes(from, reply);
        const GossipChanges replyChanges = node.gossip->receiveReply(reply, m_now);
        scheduleRound(from, generation);
        if (replyChanges.newerConfigOffset) {
            fetchConfig(from, node.config.onPeerOffset(nodeName(to), *replyChanges.newerConfigOffset));
        }
    });
}

void FakeGossipNetwork::fetchConfig(std::size_t n, const std::optional<std::string> &peer)
{
    if (!peer) {
        return;
    }
    const std::size_t from = indexOf(*peer);
    const bool lost = !isReachable(n, from) || isLost() || !m_nodes[from].up || m_nodes[from].paused;
    const auto delay = lost ? std::chrono::nanoseconds(m_options.callTimeout) : latency(n, from) + latency(from, n);
    schedule(delay, [this, n, from, lost, generation = m_nodes[n].generation] {
        FakeNode &node = m_nodes[n];
        if (node.generation != generation) {
            return;
        }
        if (!lost) {
            setConfigOffset(n, m_nodes[from].config.ownOffset());
        }
        fetchConfig(n, node.config.onFetchFinished(!lost));
    });
}

void FakeGossipNetwork::countBytes(std::size_t n, const GossipMessage &message)
{
    const std::size_t bytes = m_options.messageBytes(message);
    FakeNode &node = m_nodes[n];
    node.transferredBytes += bytes;
    ++node.messages;
    node.gossip->chargeBytes(bytes, m_now);
}

bool FakeGossipNetwork::isReachable(std::size_t from, std::size_t to)
{
    const auto it = m_cuts.find({m_nodes[from].zone, m_nodes[to].zone});
    return it == m_cuts.end() || !it->second;
}

bool FakeGossipNetwork::isLost()
{
    return std::uniform_real_distribution<double>(0, 1)(m_random) < m_options.lossRate;
}

std::chrono::nanoseconds FakeGossipNetwork::latency(std::size_t from, std::size_t to)
{
    std::chrono::nanoseconds latency = m_options.sameRegionLatency;
    if (m_nodes[from].region != m_nodes[to].region) {
        latency = m_options.crossRegionLatency;
    }
    const std::chrono::nanoseconds jitter = m_options.maxJitter;
    return latency + std::chrono::nanoseconds(std::uniform_int_distribution<std::int64_t>(0, jitter.count())(m_random));
}

std::size_t FakeGossipNetwork::indexOf(const std::string &name) const
{
    return std::stoul(name.substr(name.find('-') + 1));
}

} // namespace auburndrum::decision
