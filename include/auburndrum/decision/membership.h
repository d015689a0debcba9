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

/// One entry VM in the platform's list of VMs, which lags behind reality.
struct ListedVm
{
    std::string name;
    std::string address;
    std::string zone;
    std::string region;
    bool leaving = false;
};

/// One known entry VM: its record and what this process observed of it.
struct Member
{
    MemberRecord record;
    bool listed = false;
    bool listedLeaving = false;
    std::string listedAddress;
    std::uint32_t consecutiveFailures = 0; ///< failed calls from this process since the last successful one
    std::optional<Instant> lastContact;
    std::optional<Instant> suspectSince;
    std::optional<Instant> deadSince;
    std::optional<Instant> suspicionMutedUntil; ///< until then, failed calls from this process don't make the member suspect
    std::chrono::nanoseconds suspicionMuteTime{}; ///< length of the last such time, which the next one doubles

    /// Returns the address to call: the listed one if the member is dead or known only from the platform's list, else the record's.
    const std::string &address() const;
    /// Returns the state from the record and the platform's list: a member that the list marks as leaving is leaving unless it is dead.
    MemberState state() const;
};

struct MembershipOptions
{
    MemberRecord self;
    std::uint32_t failuresToSuspect = 3;
    double extraFailuresAtFullLoss = 10; ///< added to failuresToSuspect, times the share of all calls from this process that fail
    std::chrono::milliseconds suspicionBaseTime{3000};
    std::chrono::milliseconds suspicionTimePerDoubling{1000}; ///< added to the suspicion time for each doubling of the fleet
    std::chrono::milliseconds suspicionMuteBase{30000}; ///< how long no new suspicion is raised after a refutation; doubles up to suspicionMuteLimit
    std::chrono::milliseconds suspicionMuteLimit{300000};
    std::chrono::milliseconds forgetAfter{600000};
    std::chrono::milliseconds maxAdvanceGap{3000}; ///< a longer gap between calls of advance() means that this process was paused
    std::size_t maxMembers = 2000;
    std::function<bool(const MemberRecord &, const MemberRecord &)> supersedes = recordSupersedes;
};

/// What Membership::advance() changed.
struct MembershipChanges
{
    std::vector<MemberRecord> recordsToSpread; ///< records that peers have to receive
    std::vector<std::string> forgottenNames; ///< names of removed members
};

/// The entry VMs of the fleet and their states. Soft state: a wrong value costs time, never correctness.
///
/// Built from the results of calls, records from peers and the platform's list. Returns the records that peers have to receive. Not thread-safe.
class Membership
{
public:
    explicit Membership(MembershipOptions options);

    const MemberRecord &self() const;

    /// Merges a record from a peer. Returns the record to spread if something changed; for a record about this process, that is its refutation.
    std::optional<MemberRecord> merge(const MemberRecord &record, Instant now);

    /// Replaces the platform's list. A listed VM that is not known yet is only a candidate for a first call.
    void setListedVms(const std::vector<ListedVm> &list, Instant now);

    /// Records that member @p name replied.
    void recordContactSuccess(const std::string &name, Instant now);

    /// Records that a call to member @p name failed. Returns the record to spread if this made the member suspect.
    std::optional<MemberRecord> recordContactFailure(const std::string &name, Instant now);

    /// Marks this process as leaving. Returns its record, to be spread.
    MemberRecord leave();

    /// Advances timers: suspects become dead, and members that are dead and not listed are forgotten.
    MembershipChanges advance(Instant now);

    /// Records that this process has received a peer's full state. From then on, a higher incarnation under its name at another address is another process.
    void setJoined();
    /// Returns whether another process runs under this one's name, at another address and started later.
    bool isReplaced() const;

    const Member *find(const std::string &name) const;
    /// Returns all members except this process, by name.
    const std::map<std::string, Member> &members() const;
    /// Returns the records of this process, unless it is leaving, and of all usable members.
    std::vector<MemberRecord> usableMembers() const;
    /// Returns whether a member is known to run, isn't leaving and replies to this process.
    bool isUsable(const Member &member) const;
    /// Returns whether recent calls to a living member failed, but too few to suspect it, so that it has to be called again soon.
    bool needsRetry(const Member &member) const;
    /// Returns how long a suspect has to refute before it is dead, at the current size of the fleet.
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
    std::vector<std::string> m_evicted; ///< names removed to make space since the last call of advance()
    double m_lossRate = 0; ///< moving average of the share of failed calls to members that are not dead
    bool m_joined = false;
    bool m_replaced = false;
};

} // namespace auburndrum::decision
