#include "auburndrum/decision/membership.h"

#include <algorithm>
#include <bit>
#include <utility>

namespace auburndrum::decision {

const std::string &Member::address() const
{
    const bool isRecordOutdated = record.incarnation == 0 || record.liveness == Liveness::Dead;
    return isRecordOutdated && !listedAddress.empty() ? listedAddress : record.address;
}

MemberState Member::state() const
{
    const MemberState recordState = record.state();
    if (recordState == MemberState::Dead) {
        return recordState;
    }
    return listedLeaving ? MemberState::Leaving : recordState;
}

Membership::Membership(MembershipOptions options)
    : m_options(std::move(options))
{
}

const MemberRecord &Membership::self() const
{
    return m_options.self;
}

std::optional<MemberRecord> Membership::merge(const MemberRecord &record, Instant now)
{
    if (record.name.empty() || record.incarnation == 0) {
        return std::nullopt;
    }
    if (record.name == m_options.self.name) {
        return mergeSelf(record);
    }
    auto it = m_members.find(record.name);
    if (it == m_members.end()) {
        // A dead member that is not known here was forgotten or never used.
        if (record.liveness == Liveness::Dead || !ensureCapacity()) {
            return std::nullopt;
        }
        it = m_members.emplace(record.name, Member{}).first;
        it->second.record.name = record.name;
    }
    if (!m_options.supersedes(record, it->second.record)) {
        return std::nullopt;
    }
    applyRecord(it->second, record, now);
    return it->second.record;
}

std::optional<MemberRecord> Membership::mergeSelf(const MemberRecord &record)
{
    MemberRecord &self = m_options.self;
    if (record.incarnation < self.incarnation) {
        return std::nullopt;
    }
    if (record.incarnation > self.incarnation) {
        if (m_joined && record.address != self.address) {
            m_replaced = true;
            return std::nullopt;
        }
        // An earlier process under this name took its incarnation from a clock that was ahead of this one's.
        self.incarnation = record.incarnation + 1;
        self.refutation = 0;
        return self;
    }
    if (record.leaving && !self.leaving) {
        self.incarnation = record.incarnation + 1;
        self.refutation = 0;
        return self;
    }
    if (record.liveness == Liveness::Alive || record.refutation < self.refutation) {
        return std::nullopt;
    }
    self.refutation = record.refutation + 1;
    return self;
}

void Membership::applyRecord(Member &member, const MemberRecord &record, Instant now)
{
    const Liveness before = member.record.liveness;
    const bool restarted = record.incarnation != member.record.incarnation;
    if (before != Liveness::Alive && record.liveness == Liveness::Alive && !restarted) {
        const auto doubled = std::max<std::chrono::nanoseconds>(m_options.suspicionMuteBase, 2 * member.suspicionMuteTime);
        member.suspicionMuteTime = std::min<std::chrono::nanoseconds>(doubled, m_options.suspicionMuteLimit);
        member.suspicionMutedUntil = now + member.suspicionMuteTime;
    }
    if (restarted) {
        member.consecutiveFailures = 0;
        member.suspicionMutedUntil.reset();
        member.suspicionMuteTime = {};
    }
    if (record.liveness != before || restarted) {
        member.suspectSince.reset();
        member.deadSince.reset();
        if (record.liveness == Liveness::Suspect) {
            member.suspectSince = now;
        }
        if (record.liveness == Liveness::Dead) {
            member.deadSince = now;
        }
    }
    member.record = record;
}

void Membership::setListedVms(const std::vector<ListedVm> &list, Instant now)
{
    for (auto &[name, member] : m_members) {
        member.listed = false;
        member.listedLeaving = false;
    }
    for (const ListedVm &vm : list) {
        if (vm.name.empty() || vm.name == m_options.self.name) {
            continue;
        }
        auto it = m_members.find(vm.name);
        if (it == m_members.end()) {
            if (!ensureCapacity()) {
                continue;
            }
            it = m_members.emplace(vm.name, Member{}).first;
            it->second.record = {vm.name, vm.address, vm.zone, vm.region, 0, 0, Liveness::Alive, false};
        }
        it->second.listed = true;
        it->second.listedLeaving = vm.leaving;
        it->second.listedAddress = vm.address;
    }
    std::erase_if(m_members, [](const auto &it) {
        return !it.second.listed && it.second.record.incarnation == 0;
    });
    for (auto &[name, member] : m_members) {
        // The time until the member is forgotten starts only when it is both dead and no longer listed.
        if (member.listed && member.deadSince) {
            member.deadSince = now;
        }
    }
}

void Membership::recordContactSuccess(const std::string &name, Instant now)
{
    const auto it = m_members.find(name);
    if (it == m_members.end()) {
        return;
    }
    updateLossRate(true);
    it->second.consecutiveFailures = 0;
    it->second.lastContact = now;
}

std::optional<MemberRecord> Membership::recordContactFailure(const std::string &name, Instant now)
{
    const auto it = m_members.find(name);
    if (it == m_members.end()) {
        return std::nullopt;
    }
    Member &member = it->second;
    ++member.consecutiveFailures;
    if (member.record.liveness != Liveness::Dead) {
        updateLossRate(false);
    }
    if (member.consecutiveFailures < requiredFailures() || member.record.liveness != Liveness::Alive) {
        return std::nullopt;
    }
    // The member refuted an earlier suspicion, so others reach it: suspecting it repeatedly would only cost messages.
    if (member.suspicionMutedUntil && now < *member.suspicionMutedUntil) {
        return std::nullopt;
    }
    member.record.liveness = Liveness::Suspect;
    member.suspectSince = now;
    if (member.record.incarnation == 0) {
        return std::nullopt;
    }
    return member.record;
}

MemberRecord Membership::leave()
{
    m_options.self.leaving = true;
    return m_options.self;
}

MembershipChanges Membership::advance(Instant now)
{
    if (m_lastAdvance && now - *m_lastAdvance > m_options.maxAdvanceGap) {
        // This process was paused, so it can't tell whether the others were silent.
        shiftTimers(now - *m_lastAdvance);
    }
    m_lastAdvance = now;
    MembershipChanges changes;
    changes.forgottenNames = std::exchange(m_evicted, {});
    for (auto it = m_members.begin(); it != m_members.end();) {
        if (ageMember(it->second, now, changes)) {
            ++it;
            continue;
        }
        changes.forgottenNames.push_back(it->first);
        it = m_members.erase(it);
    }
    return changes;
}

bool Membership::ageMember(Member &member, Instant now, MembershipChanges &changes) const
{
    if (member.suspectSince && now - *member.suspectSince >= suspicionTime()) {
        member.record.liveness = Liveness::Dead;
        member.suspectSince.reset();
        member.deadSince = now;
        if (member.record.incarnation != 0) {
            changes.recordsToSpread.push_back(member.record);
        }
    }
    return member.listed || !member.deadSince || now - *member.deadSince < m_options.forgetAfter;
}

void Membership::shiftTimers(std::chrono::nanoseconds gap)
{
    for (auto &[name, member] : m_members) {
        member.consecutiveFailures = 0;
        for (std::optional<Instant> *it : {&member.suspectSince, &member.deadSince, &member.suspicionMutedUntil}) {
            if (*it) {
                **it += gap;
            }
        }
    }
}

void Membership::updateLossRate(bool succeeded)
{
    constexpr double SmoothingFactor = 0.05;
    m_lossRate += SmoothingFactor * ((succeeded ? 0.0 : 1.0) - m_lossRate);
}

std::uint32_t Membership::requiredFailures() const
{
    return m_options.failuresToSuspect + static_cast<std::uint32_t>(m_lossRate * m_options.extraFailuresAtFullLoss);
}

bool Membership::ensureCapacity()
{
    if (m_members.size() < m_options.maxMembers) {
        return true;
    }
    auto oldest = m_members.end();
    for (auto it = m_members.begin(); it != m_members.end(); ++it) {
        if (!it->second.deadSince || it->second.listed) {
            continue;
        }
        if (oldest == m_members.end() || *it->second.deadSince < *oldest->second.deadSince) {
            oldest = it;
        }
    }
    if (oldest == m_members.end()) {
        return false;
    }
    m_evicted.push_back(oldest->first);
    m_members.erase(oldest);
    return true;
}

void Membership::setJoined()
{
    m_joined = true;
}

bool Membership::isReplaced() const
{
    return m_replaced;
}

const Member *Membership::find(const std::string &name) const
{
    const auto it = m_members.find(name);
    return it == m_members.end() ? nullptr : &it->second;
}

const std::map<std::string, Member> &Membership::members() const
{
    return m_members;
}

bool Membership::isUsable(const Member &member) const
{
    return member.record.incarnation != 0 && member.state() == MemberState::Alive && member.consecutiveFailures < m_options.failuresToSuspect;
}

bool Membership::needsRetry(const Member &member) const
{
    return member.record.liveness == Liveness::Alive && member.consecutiveFailures > 0 && member.consecutiveFailures < requiredFailures();
}

std::vector<MemberRecord> Membership::usableMembers() const
{
    std::vector<MemberRecord> usable;
    if (!m_options.self.leaving) {
        usable.push_back(m_options.self);
    }
    for (const auto &[name, member] : m_members) {
        if (isUsable(member)) {
            usable.push_back(member.record);
        }
    }
    return usable;
}

std::chrono::milliseconds Membership::suspicionTime() const
{
    const auto doublings = std::bit_width(m_members.size());
    return m_options.suspicionBaseTime + doublings * m_options.suspicionTimePerDoubling;
}

} // namespace auburndrum::decision
