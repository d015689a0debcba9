#include "auburndrum/decision/gossippeers.h"

#include <algorithm>

namespace auburndrum::decision {

GossipPeers::GossipPeers(GossipPeersOptions options)
    : m_options(options)
    , m_random(options.seed)
{
}

std::vector<std::string> GossipPeers::choose(const Membership &membership, std::size_t count, bool evenly)
{
    std::array<bool, ClassCount> present{};
    for (const auto &[name, member] : membership.members()) {
        present[classOf(membership, member)] = true;
    }
    std::vector<std::string> chosen;
    if (std::find(present.begin(), present.end(), true) == present.end()) {
        return chosen;
    }
    auto which = evenly ? m_nextClass++ % Dead : static_cast<std::size_t>(drawClass(present));
    // A class may have few members, so more attempts than peers are made.
    for (std::size_t n = 0; n < ClassCount * (count + 1) && chosen.size() < count; ++n, ++which) {
        const auto it = static_cast<PeerClass>(which % ClassCount);
        if (!present[it] || (it == Dead && (evenly || n > 0))) {
            continue;
        }
        const std::optional<std::string> name = nextPeer(membership, it);
        if (name && std::find(chosen.begin(), chosen.end(), *name) == chosen.end()) {
            chosen.push_back(*name);
        }
    }
    return chosen;
}

GossipPeers::PeerClass GossipPeers::classOf(const Membership &membership, const Member &member) const
{
    if (member.record.liveness == Liveness::Dead) {
        return Dead;
    }
    const MemberRecord &self = membership.self();
    if (member.record.region != self.region) {
        return OtherRegion;
    }
    return member.record.zone == self.zone ? OwnZone : OwnRegion;
}

GossipPeers::PeerClass GossipPeers::drawClass(const std::array<bool, ClassCount> &present)
{
    const double living = 1.0 - m_options.deadShare;
    const double rest = std::max(0.0, 1.0 - m_options.ownZoneShare - m_options.ownRegionShare);
    std::array<double, ClassCount> weights{living * m_options.ownZoneShare, living * m_options.ownRegionShare, living * rest, m_options.deadShare};
    double total = 0;
    for (std::size_t n = 0; n < ClassCount; ++n) {
        weights[n] = present[n] ? weights[n] : 0;
        total += weights[n];
    }
    double drawn = std::uniform_real_distribution<double>(0, total)(m_random);
    std::size_t last = ClassCount;
    for (std::size_t n = 0; n < ClassCount; ++n) {
        if (!present[n]) {
            continue;
        }
        last = n;
        drawn -= weights[n];
        if (drawn < 0) {
            break;
        }
    }
    return static_cast<PeerClass>(last);
}

std::optional<std::string> GossipPeers::nextPeer(const Membership &membership, PeerClass which)
{
    Queue &queue = m_queues[which];
    for (int attempt = 0; attempt < 2; ++attempt) {
        while (queue.next < queue.names.size()) {
            const std::string &name = queue.names[queue.next];
            ++queue.next;
            const Member *member = membership.find(name);
            if (member != nullptr && classOf(membership, *member) == which) {
                return name;
            }
        }
        refill(membership, which);
    }
    return std::nullopt;
}

void GossipPeers::refill(const Membership &membership, PeerClass which)
{
    Queue &queue = m_queues[which];
    queue.names.clear();
    queue.next = 0;
    for (const auto &[name, member] : membership.members()) {
        if (classOf(membership, member) == which) {
            queue.names.push_back(name);
        }
    }
    std::shuffle(queue.names.begin(), queue.names.end(), m_random);
}

} // namespace auburndrum::decision
