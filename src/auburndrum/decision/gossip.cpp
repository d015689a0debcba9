#include "auburndrum/decision/gossip.h"

#include <algorithm>
#include <bit>
#include <utility>

namespace auburndrum::decision {

namespace {

constexpr std::chrono::milliseconds NoRoomPause{100};
constexpr std::chrono::milliseconds AgePeriod{500};
constexpr std::chrono::seconds OldFactAge{10}; ///< by then a fact has reached all but those that were cut off
constexpr std::uint32_t SpareSends = 4;
constexpr std::uint32_t OldFactSends = 2;
constexpr std::uint32_t JoinRounds = 5; ///< at the urgent pace after the start

} // namespace

std::uint32_t sendsForFleet(std::size_t members)
{
    return 2 * static_cast<std::uint32_t>(std::bit_width(members)) + SpareSends;
}

Gossip::Gossip(GossipOptions options, MembershipOptions membership, Instant now)
    : m_options(std::move(options))
    , m_membership(std::move(membership))
    , m_table(m_options.table)
    , m_peers(m_options.peers)
    , m_budget(m_options.budget)
{
    if (!m_options.sendsPerFact) {
        m_options.sendsPerFact = sendsForFleet;
    }
    m_urgentRounds = JoinRounds;
    store({m_membership.self(), {}}, sends(), now);
}

const Membership &Gossip::membership() const
{
    return m_membership;
}

const GossipTable &Gossip::table() const
{
    return m_table;
}

void Gossip::mergeList(const std::vector<ListedVm> &list, Instant now)
{
    m_membership.mergeList(list, now);
}

void Gossip::contactSucceeded(const std::string &peer, Instant now)
{
    m_membership.contactSucceeded(peer, now);
}

void Gossip::contactFailed(const std::string &peer, Instant now)
{
    if (const auto record = m_membership.contactFailed(peer, now)) {
        store({*record, {}}, sends(), now);
    }
    const Member *member = m_membership.find(peer);
    if (member == nullptr || !m_membership.isDoubtful(*member)) {
        return;
    }
    // One lost call says little, and it may take minutes until this peer's turn comes again.
    m_doubtful.push_back(peer);
    m_nextRound = std::min(m_nextRound, now + m_options.urgentPeriod);
}

void Gossip::announce(const DeltaValue &value, Instant now)
{
    if (store({value, {}}, sends(), now) && isUrgent(value)) {
        hurryAsOrigin(now);
    }
}

void Gossip::leave(Instant now)
{
    store({m_membership.leave(), {}}, sends(), now);
    hurryAsOrigin(now);
}

void Gossip::setConfigOffset(std::uint64_t offset, Instant now)
{
    if (offset <= m_configOffset) {
        return;
    }
    m_configOffset = offset;
    hurry(now);
}

Instant Gossip::nextRound() const
{
    return m_nextRound;
}

std::vector<GossipSend> Gossip::round(Instant now)
{
    if (now < m_nextRound) {
        return {};
    }
    age(now);
    if (!m_mayOverdraw && !m_budget.hasRoom(now)) {
        m_nextRound = now + NoRoomPause;
        return {};
    }
    std::vector<GossipSend> sends;
    for (const std::string &peer : peersOfRound()) {
        sends.push_back({peer, m_membership.find(peer)->address(), makeMessage(peer, now)});
        if (mayCompare(now)) {
            m_lastCompare = now;
            sends.back().message.buckets = m_table.buckets(scopeWith(peer));
        }
    }
    m_nextPeers = 1;
    m_mayOverdraw = false;
    m_nextRound = now + (m_urgentRounds > 0 ? m_options.urgentPeriod : m_options.period);
    m_urgentRounds -= std::min(m_urgentRounds, 1U);
    return sends;
}

std::vector<std::string> Gossip::peersOfRound()
{
    std::vector<std::string> peers = m_peers.choose(m_membership, m_nextPeers, m_urgentRounds > 0);
    for (const std::string &doubtful : std::exchange(m_doubtful, {})) {
        const bool known = m_membership.find(doubtful) != nullptr;
        if (known && std::find(peers.begin(), peers.end(), doubtful) == peers.end()) {
            peers.push_back(doubtful);
        }
    }
    return peers;
}

GossipMessage Gossip::receive(const GossipMessage &request, GossipOutcome &outcome, Instant now)
{
    outcome = absorb(request, now);
    GossipMessage reply = makeMessage(request.self.name, now);
    const DeltaScope scope = scopeWith(request.self.name);
    const bool fullStateDue = !m_lastFullState || now - *m_lastFullState >= m_options.fullStatePeriod;
    if (request.wantsAll && fullStateDue) {
        m_lastFullState = now;
        reply.isAll = true;
        reply.deltas = m_table.all(scope, now);
        return reply;
    }
    if (!request.buckets.empty()) {
        const auto missing = m_table.differing(request.buckets, scope, m_compareFrom, m_options.compareBytesPerMessage, now);
        m_compareFrom = (m_compareFrom + 1) % DigestBuckets;
        reply.deltas.insert(reply.deltas.end(), missing.begin(), missing.end());
    }
    return reply;
}

GossipOutcome Gossip::receiveReply(const GossipMessage &reply, Instant now)
{
    GossipOutcome outcome = absorb(reply, now);
    m_digestDiffered = reply.digest != m_table.digest(scopeWith(reply.self.name));
    if (reply.isAll) {
        m_joined = true;
        m_membership.setJoined();
    }
    return outcome;
}

void Gossip::chargeBytes(std::size_t bytes, Instant now)
{
    m_budget.charge(bytes, now);
}

GossipMessage Gossip::makeMessage(const std::string &peer, Instant now)
{
    const DeltaScope scope = scopeWith(peer);
    GossipMessage message;
    message.self = m_membership.self();
    message.selfAge = m_table.ageOf(memberKey(message.self.name), now);
    message.configOffset = m_configOffset;
    message.digest = m_table.digest(scope);
    message.wantsAll = !m_joined;
    message.deltas = m_table.takeHot(scope, m_options.deltaBytesPerMessage, now);
    addPeerRecord(peer, message);
    return message;
}

void Gossip::addPeerRecord(const std::string &peer, GossipMessage &message) const
{
    const Member *member = m_membership.find(peer);
    if (member == nullptr || member->record.incarnation == 0 || member->record.liveness == Liveness::Alive) {
        return;
    }
    // The peer can refute what it is told about itself at once.
    message.deltas.push_back({member->record, {}});
}

bool Gossip::mayCompare(Instant now) const
{
    return m_digestDiffered && (!m_lastCompare || now - *m_lastCompare >= m_options.comparePeriod);
}

GossipOutcome Gossip::absorb(const GossipMessage &message, Instant now)
{
    GossipOutcome outcome;
    const Delta self{message.self, message.selfAge};
    absorbDelta(self, sendsOf(self), outcome, now);
    m_membership.contactSucceeded(message.self.name, now);
    for (const Delta &delta : message.deltas) {
        // The full state is no news to anybody else.
        absorbDelta(delta, message.isAll ? 0 : sendsOf(delta), outcome, now);
    }
    if (message.configOffset > m_configOffset) {
        outcome.offsetAhead = message.configOffset;
    }
    return outcome;
}

void Gossip::absorbDelta(const Delta &delta, std::uint32_t sends, GossipOutcome &outcome, Instant now)
{
    Delta news = delta;
    if (const auto *record = std::get_if<MemberRecord>(&delta.value)) {
        const auto changed = m_membership.merge(*record, now);
        if (!changed) {
            m_table.noteRepeat(delta.value);
            return;
        }
        news.value = *changed;
        if (changed->name == m_membership.self().name) {
            news.age = {};
            sends = this->sends();
        }
    }
    if (store(news, sends, now)) {
        outcome.learned.push_back(news.value);
    }
}

bool Gossip::store(const Delta &delta, std::uint32_t sends, Instant now)
{
    if (!m_table.put(delta, sends, now)) {
        return false;
    }
    if (isUrgent(delta.value) && sends > 0) {
        hurry(now);
    }
    return true;
}

void Gossip::hurry(Instant now)
{
    m_urgentRounds = 2 * sends() / 3;
    m_nextPeers = std::max(m_nextPeers, m_options.urgentPeers);
    m_nextRound = std::min(m_nextRound, now + m_options.urgentDelay);
}

void Gossip::hurryAsOrigin(Instant now)
{
    hurry(now);
    m_nextPeers = m_options.originPeers;
    m_mayOverdraw = true;
}

void Gossip::age(Instant now)
{
    if (m_lastAge && now - *m_lastAge < AgePeriod) {
        return;
    }
    m_lastAge = now;
    const MembershipChanges changes = m_membership.advance(now);
    for (const MemberRecord &record : changes.records) {
        store({record, {}}, sends(), now);
    }
    for (const std::string &name : changes.forgotten) {
        m_table.erase(memberKey(name));
    }
    m_table.expire(now);
}

DeltaScope Gossip::scopeWith(const std::string &peer) const
{
    const Member *member = m_membership.find(peer);
    const bool sameRegion = member != nullptr && member->record.region == m_membership.self().region;
    return sameRegion ? DeltaScope::Region : DeltaScope::Fleet;
}

std::uint32_t Gossip::sends() const
{
    return m_options.sendsPerFact(m_membership.members().size() + 1);
}

std::uint32_t Gossip::sendsOf(const Delta &delta) const
{
    return delta.age < OldFactAge ? sends() : std::min(sends(), OldFactSends);
}

} // namespace auburndrum::decision
