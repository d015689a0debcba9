#pragma once

#include "auburndrum/base/time.h"
#include "auburndrum/decision/membershiprecord.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace auburndrum::decision {

/// One entry VM of the platform's list, which lags.
struct ListedVm
{
    std::string name;
    std::string address;
    std::string zone;
    std::string region;
    bool leaving = false;
};

/// One known entry VM with what this process has seen of it.
struct Member
{
    MemberRecord record;
    bool listed = false;
    bool listedLeaving = false;
    std::string listedAddress;
    std::uint32_t consecutiveFailures = 0; ///< direct contacts that failed since the last that succeeded
    std::optional<Instant> lastContact;
    std::optional<Instant> suspectSince;
    std::optional<Instant> deadSince;
    std::optional<Instant> suspicionMutedUntil; ///< raises no new suspicion before this time
    std::chrono::nanoseconds suspicionMuteTime{}; ///< length of the last mute, for its doubling

    /// Returns the address to call: the listed one while the record's is out of use.
    const std::string &address() const;
    /// Returns the state, with the platform's leaving mark included.
    MemberState state() const;
};

struct MembershipOptions
{
    MemberRecord self;
    std::uint32_t failuresToSuspect = 3;
    double extraFailuresAtFullLoss = 10; ///< more failures to suspect, times the share of own contacts that fail with anybody
    std::chrono::milliseconds suspicionBaseTime{3000};
    std::chrono::milliseconds suspicionTimePerDoubling{1000}; ///< added for each doubling of the fleet
    std::chrono::milliseconds suspicionMuteBase{30000}; ///< after a refutation; doubles up to muteLimit
    std::chrono::milliseconds suspicionMuteLimit{300000};
    std::chrono::milliseconds forgetAfter{600000};
    std::chrono::milliseconds maxAdvanceGap{3000}; ///< a longer gap between calls of advance() means that this process was paused
    std::size_t maxMembers = 2000;
    std::function<bool(const MemberRecord &, const MemberRecord &)> supersedes = recordSupersedes;
};

/// What ageing changed.
struct MembershipChanges
{
    std::vector<MemberRecord> recordsToSpread; ///< to spread
    std::vector<std::string> forgottenNames; ///< names no longer known
};

/// Which entry VMs there are. Soft state: a wrong value costs time, never correctness.
///
/// Takes contacts, records from peers and the platform's list; returns the records that peers have to learn.
/// Not thread-safe.
class Membership
{
public:
    explicit Membership(MembershipOptions options);

    const MemberRecord &self() const;

    /// Merges a record from a peer. Returns the record to spread when something changed: its own refutation when it is about this process.
    std::optional<MemberRecord> merge(const MemberRecord &record, Instant now);

    /// Replaces the platform's list. A listed VM that is not known yet is only a candidate for a first contact.
    void setListedVms(const std::vector<ListedVm> &list, Instant now);

    /// Notes an answer from @p name.
    void recordContactSuccess(const std::string &name, Instant now);

    /// Notes a call to @p name without an answer. Returns the record to spread when this made it a suspect.
    std::optional<MemberRecord> recordContactFailure(const std::string &name, Instant now);

    /// Announces that this process leaves.
    MemberRecord leave();

    /// Ages suspects and forgets members that are dead and not listed.
    MembershipChanges advance(Instant now);

    /// Notes that peers have told this process all they know: from now on a newer process under its name is another one.
    void setJoined();
    /// Returns whether another process runs under this one's name, at another address and started later.
    bool isReplaced() const;

    const Member *find(const std::string &name) const;
    /// Returns every other member by name.
    const std::map<std::string, Member> &members() const;
    /// Returns the members, this process included, that are known to run, don't leave and answer this process.
    std::vector<MemberRecord> usableMembers() const;
    bool isUsable(const Member &member) const;
    /// Returns whether a member's last contact failed and a few more tries decide about it.
    bool needsRetry(const Member &member) const;
    /// Returns the time from suspicion to death at the present size.
    std::chrono::milliseconds suspicionTime() const;

private:
    std::optional<MemberRecord> mergeSelf(const MemberRecord &record);
    void applyRecord(Member &member, const MemberRecord &record, Instant now);
    void shiftTimers(std::chrono::nanoseconds gap);
    bool ensureCapacity();
    void updateLossRate(bool succeeded);
    std::uint32_t requiredFailures() const;
    bool ageMember(Member &member, Instant now, MembershipChanges &changes) const;

    MembershipOptions m_options;
    std::map<std::string, Member> m_members;
    std::optional<Instant> m_lastAdvance;
    std::vector<std::string> m_evicted; ///< since the last call of advance()
    double m_lossRate = 0; ///< moving average over all contacts
    bool m_joined = false;
    bool m_replaced = false;
};

} // namespace auburndrum::decision
