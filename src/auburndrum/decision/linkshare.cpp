#include "auburndrum/decision/linkshare.h"

#include <algorithm>

namespace auburndrum::decision {

namespace {

constexpr std::uint64_t AnnounceDivisor = 8; ///< a change by less than the old demand divided by this is not announced

bool holdsShare(const Member &member)
{
    return member.record.liveness != Liveness::Dead || member.listed;
}

} // namespace

std::map<std::string, std::uint64_t> splitLinkCapacity(std::uint64_t capacityBytesPerSecond, const std::vector<LinkUser> &users)
{
    std::vector<LinkUser> order = users;
    std::sort(order.begin(), order.end(), [](const LinkUser &a, const LinkUser &b) {
        return a.demandBytesPerSecond < b.demandBytesPerSecond;
    });
    std::map<std::string, std::uint64_t> shares;
    std::uint64_t remaining = capacityBytesPerSecond;
    std::size_t usersLeft = order.size();
    for (const LinkUser &it : order) {
        const std::uint64_t equalShare = remaining / usersLeft;
        const std::uint64_t share = std::min(it.demandBytesPerSecond, equalShare);
        shares[it.entryVm] = share;
        remaining -= share;
        --usersLeft;
    }
    return shares;
}

LinkShare::LinkShare(LinkShareOptions options)
    : m_options(options)
{
}

void LinkShare::setPeerDemand(const std::string &entryVm, std::uint64_t bytesPerSecond)
{
    m_peerDemands[entryVm] = bytesPerSecond;
}

std::optional<std::uint64_t> LinkShare::setOwnDemand(std::uint64_t bytesPerSecond)
{
    const std::uint64_t change = bytesPerSecond > m_ownDemand ? bytesPerSecond - m_ownDemand : m_ownDemand - bytesPerSecond;
    if (change == 0 || change < m_ownDemand / AnnounceDivisor) {
        return std::nullopt;
    }
    m_ownDemand = bytesPerSecond;
    return bytesPerSecond;
}

void LinkShare::update(const Membership &membership, Instant now)
{
    std::erase_if(m_peerDemands, [&membership](const auto &it) {
        const Member *member = membership.find(it.first);
        return member == nullptr || !holdsShare(*member);
    });
    const bool paused = m_lastUpdate && now - *m_lastUpdate >= m_options.settleTime;
    m_lastUpdate = now;
    const std::uint64_t share = splitLinkCapacity(m_options.capacityBytesPerSecond, linkUsers(membership))[membership.self().name];
    if (paused) {
        // Other entry VMs may have taken over this share while the process was paused.
        m_share = 0;
    }
    if (share <= m_share || m_options.raiseAtOnce) {
        m_share = share;
        m_pendingSince.reset();
        return;
    }
    if (!m_pendingSince || share > m_pendingShare) {
        m_pendingSince = now;
    }
    m_pendingShare = share;
    if (now - *m_pendingSince >= m_options.settleTime) {
        m_share = share;
        m_pendingSince.reset();
    }
}

std::uint64_t LinkShare::bytesPerSecond() const
{
    return m_share;
}

std::vector<LinkUser> LinkShare::linkUsers(const Membership &membership) const
{
    std::vector<LinkUser> users{{membership.self().name, m_ownDemand}};
    for (const auto &[name, member] : membership.members()) {
        if (member.record.region == membership.self().region && holdsShare(member)) {
            users.push_back({name, demandOf(name)});
        }
    }
    return users;
}

std::uint64_t LinkShare::demandOf(const std::string &entryVm) const
{
    const auto it = m_peerDemands.find(entryVm);
    // An entry VM whose demand is unknown may be using its equal share.
    return it == m_peerDemands.end() ? m_options.capacityBytesPerSecond : it->second;
}

} // namespace auburndrum::decision
