#include "auburndrum/decision/gossip.h"

#include <algorithm>
#include <bit>
#include <utility>

namespace auburndrum::decision {

namespace {

constexpr std::chrono::milliseconds BudgetRetryDelay{100};
constexpr std::chrono::milliseconds AdvancePeriod{500};
constexpr std::chrono::seconds OldDeltaAge{10}; ///< by then a delta has reached every entry VM that is not cut off
constexpr std::uint32_t SpareSends = 4;
constexpr std::uint32_t OldDeltaSends = 2;
constexpr std::uint32_t JoinRounds = 5; ///< rounds at the urgent period after the start

} // namespace

std::uint32_t sendsForFleetSize(std::size_t members)
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
    if (!m_options.sendsPerDelta) {
        m_options.sendsPerDelta = sendsForFleetSize;
    }
    m_urgentRoundsLeft = JoinRounds;
    storeDelta({m_membership.self(), {}}, sendsPerDelta(), now);
}

const Membership &Gossip::membership() const
{
    return m_membership;
}

const GossipTable &Gossip::table() const
{
    return m_table;
}

void Gossip::setListedVms(const std::vector<ListedVm> &list, Instant now)
{
    m_membership.setListedVms(list, now);
}

void Gossip::recordContactSuccess(const std::string &peer, Instant now)
{
    m_membership.recordContactSuccess(peer, now);
}

void Gossip::recordContactFailure(const std::string &peer, Instant now)
{
    if (const auto record = m_membership.recordContactFailure(peer, now)) {
        storeDelta({*record, {}}, sendsPerDelta(), now);
    }
    const Member *member = m_membership.find(peer);
    if (member == nullptr || !m_membership.needsRetry(*member)) {
        return;
    }
    // A single failed call may be chance, and minutes may pass before a round chooses this peer again.
    m_retryPeers.push_back(peer);
    m_nextRoundAt = std::min(m_nextRoundAt, now + m_options.urgentRoundPeriod);
}

void Gossip::announce(const DeltaValue &value, Instant now)
{
    if (storeDelta({value, {}}, sendsPerDelta(), now) && isUrgent(value)) {
        scheduleUrgentRoundsAsOrigin(now);
    }
}

void Gossip::leave(Instant now)
{
    storeDelta({m_membership.leave(), {}}, sendsPerDelta(), now);
    scheduleUrgentRoundsAsOrigin(now);
}

void Gossip::setConfigOffset(std::uint64_t offset, Instant now)
{
    if (offset <= m_configOffset) {
        return;
    }
    m_configOffset = offset;
    scheduleUrgentRounds(now);
}

Instant Gossip::nextRoundAt() const
{
    return m_nextRoundAt;
}

std::vector<OutgoingGossipMessage> Gossip::runRound(Instant now)
{
    if (now < m_nextRoundAt) {
        return {};
    }
    advanceMembership(now);
    if (!m_ignoreBudget && !m_budget.hasTokens(now)) {
        m_nextRoundAt = now + BudgetRetryDelay;
        return {};
    }
    std::vector<OutgoingGossipMessage> messages;
    for (const std::string &peer : chooseRoundPeers()) {
        messages.push_back({peer, m_membership.find(peer)->address(), makeMessage(peer, now)});
        if (isCompareDue(now)) {
            m_lastCompare = now;
            messages.back().message.bucketDigests = m_table.bucketDigests(scopeFor(peer));
        }
    }
    m_nextFanout = 1;
    m_ignoreBudget = false;
    m_nextRoundAt = now + (m_urgentRoundsLeft > 0 ? m_options.urgentRoundPeriod : m_options.roundPeriod);
    m_urgentRoundsLeft -= std::min(m_urgentRoundsLeft, 1U);
    return messages;
}

std::vector<std::string> Gossip::chooseRoundPeers()
{
    std::vector<std::string> peers = m_peers.choose(m_membership, m_nextFanout, m_urgentRoundsLeft > 0);
    for (const std::string &retryPeer : std::exchange(m_retryPeers, {})) {
        const bool known = m_membership.find(retryPeer) != nullptr;
        if (known && std::find(peers.begin(), peers.end(), retryPeer) == peers.end()) {
            peers.push_back(retryPeer);
        }
    }
    return peers;
}

GossipMessage Gossip::receiveRequest(const GossipMessage &request, GossipChanges &changes, Instant now)
{
    changes = applyMessage(request, now);
    GossipMessage reply = makeMessage(request.sender.name, now);
    const DeltaScope scope = scopeFor(request.sender.name);
    const bool fullStateDue = !m_lastFullState || now - *m_lastFullState >= m_options.fullStateInterval;
    if (request.wantsFullState && fullStateDue) {
        m_lastFullState = now;
        reply.isFullState = true;
        reply.deltas = m_table.allDeltas(scope, now);
        return reply;
    }
    if (!request.bucketDigests.empty()) {
        const auto missing = m_table.differingDeltas(request.bucketDigests, scope, m_compareFirstBucket, m_options.compareBytesPerMessage, now);
        m_compareFirstBucket = (m_compareFirstBucket + 1) % DigestBucketCount;
        reply.deltas.insert(reply.deltas.end(), missing.begin(), missing.end());
    }
    return reply;
}

GossipChanges Gossip::receiveReply(const GossipMessage &reply, Instant now)
{
    GossipChanges changes = applyMessage(reply, now);
    m_digestDiffered = reply.digest != m_table.digest(scopeFor(reply.sender.name));
    if (reply.isFullState) {
        m_joined = true;
        m_membership.setJoined();
    }
    return changes;
}

void Gossip::chargeBytes(std::size_t bytes, Instant now)
{
    m_budget.charge(bytes, now);
}

GossipMessage Gossip::makeMessage(const std::string &peer, Instant now)
{
    const DeltaScope scope = scopeFor(peer);
    GossipMessage message;
    message.sender = m_membership.self();
    message.senderAge = m_table.ageOf(memberKey(message.sender.name), now);
    message.configOffset = m_configOffset;
    message.digest = m_table.digest(scope);
    message.wantsFullState = !m_joined;
    message.deltas = m_table.takePending(scope, m_options.deltaBytesPerMessage, now);
    addPeerRecord(peer, message);
    return message;
}

void Gossip::addPeerRecord(const std::string &peer, GossipMessage &message) const
{
    const Member *member = m_membership.find(peer);
    if (member == nullptr || member->record.incarnation == 0 || member->record.liveness == Liveness::Alive) {
        return;
    }
    // Sends the peer its own record, so that it can refute it at once.
    message.deltas.push_back({member->record, {}});
}

bool Gossip::isCompareDue(Instant now) const
{
    return m_digestDiffered && (!m_lastCompare || now - *m_lastCompare >= m_options.digestComparePeriod);
}

GossipChanges Gossip::applyMessage(const GossipMessage &message, Instant now)
{
    GossipChanges changes;
    const Delta senderDelta{message.sender, message.senderAge};
    applyDelta(senderDelta, sendsFor(senderDelta), changes, now);
    m_membership.recordContactSuccess(message.sender.name, now);
    for (const Delta &delta : message.deltas) {
        // Other peers already know the full state, so it is not sent on.
        applyDelta(delta, message.isFullState ? 0 : sendsFor(delta), changes, now);
    }
    if (message.configOffset > m_configOffset) {
        changes.newerConfigOffset = message.configOffset;
    }
    return changes;
}

void Gossip::applyDelta(const Delta &delta, std::uint32_t sends, GossipChanges &changes, Instant now)
{
    Delta update = delta;
    if (const auto *record = std::get_if<MemberRecord>(&delta.value)) {
        const auto changed = m_membership.merge(*record, now);
        if (!changed) {
            m_table.recordRepeat(delta.value);
            return;
        }
        update.value = *changed;
        if (changed->name == m_membership.self().name) {
            update.age = {};
            sends = sendsPerDelta();
        }
    }
    if (storeDelta(update, sends, now)) {
        changes.newValues.push_back(update.value);
    }
}

bool Gossip::storeDelta(const Delta &delta, std::uint32_t sends, Instant now)
{
    if (!m_table.put(delta, sends, now)) {
        return false;
    }
    if (isUrgent(delta.value) && sends > 0) {
        scheduleUrgentRounds(now);
    }
    return true;
}

void Gossip::scheduleUrgentRounds(Instant now)
{
    m_urgentRoundsLeft = 2 * sendsPerDelta() / 3;
    m_nextFanout = std::max(m_nextFanout, m_options.urgentFanout);
    m_nextRoundAt = std::min(m_nextRoundAt, now + m_options.urgentDelay);
}

void Gossip::scheduleUrgentRoundsAsOrigin(Instant now)
{
    scheduleUrgentRounds(now);
    m_nextFanout = m_options.originFanout;
    m_ignoreBudget = true;
}

void Gossip::advanceMembership(Instant now)
{
    if (m_lastAdvance && now - *m_lastAdvance < AdvancePeriod) {
        return;
    }
    m_lastAdvance = now;
    const MembershipChanges changes = m_membership.advance(now);
    for (const MemberRecord &record : changes.recordsToSpread) {
        storeDelta({record, {}}, sendsPerDelta(), now);
    }
    for (const std::string &name : changes.forgottenNames) {
        m_table.erase(memberKey(name));
    }
    m_table.expire(now);
}

DeltaScope Gossip::scopeFor(const std::string &peer) const
{
    const Member *member = m_membership.find(peer);
    const bool sameRegion = member != nullptr && member->record.region == m_membership.self().region;
    return sameRegion ? DeltaScope::Region : DeltaScope::Fleet;
}

std::uint32_t Gossip::sendsPerDelta() const
{
    return m_options.sendsPerDelta(m_membership.members().size() + 1);
}

std::uint32_t Gossip::sendsFor(const Delta &delta) const
{
    return delta.age < OldDeltaAge ? sendsPerDelta() : std::min(sendsPerDelta(), OldDeltaSends);
}

} // namespace auburndrum::decision
