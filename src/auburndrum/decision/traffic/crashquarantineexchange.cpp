#include "auburndrum/decision/traffic/crashquarantine.h"

#include <algorithm>
#include <functional>
#include <set>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <utility>

// The exchange of evidence between entry VMs.

namespace auburndrum::decision {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds SharedCrashAge{5000}; // older crashes are known to all VMs, or their verdict is
constexpr std::size_t MaxSharedCrashes = 16;
constexpr std::size_t MaxSharedMarks = 32; // of one crash
constexpr std::size_t MaxSharedSuccesses = 128;
constexpr milliseconds OneCrashTime{2000}; // reports of one incarnation within this time are of one end of its process
// Reports reach a VM over several others; each one adds the time of a call to the times in it.
constexpr milliseconds ExchangeDelay{500};
constexpr milliseconds SameDecisionTime{2000};
constexpr milliseconds OpenTime{2000}; // crashes are exchanged often for this long, in which news reach 340 VMs
constexpr milliseconds OftenInterval{250};
constexpr milliseconds SeldomInterval{1000};
constexpr milliseconds QuietInterval{5000}; // while there are only decisions, which all VMs know or ask for at their start

using MarkCounts = std::unordered_map<std::string_view, std::size_t>;

/// Leaves some marks out when there are too many. Those that most crashes name stay; of the others, other ones in each crash.
void limitMarks(CrashReport &crash, const MarkCounts &crashesNaming)
{
    if (crash.lostMarks.size() <= MaxSharedMarks) {
        return;
    }
    std::vector<std::tuple<std::ptrdiff_t, std::size_t, std::string>> ranked;
    for (const auto &[mark, sentAt] : crash.lostMarks) {
        ranked.emplace_back(-static_cast<std::ptrdiff_t>(crashesNaming.at(mark)), std::hash<std::string>{}(mark + crash.server), mark);
    }
    std::sort(ranked.begin(), ranked.end());
    for (auto it = ranked.begin() + static_cast<std::ptrdiff_t>(MaxSharedMarks); it != ranked.end(); ++it) {
        crash.lostMarks.erase(std::get<std::string>(*it));
    }
}

} // namespace

CrashEvidence CrashQuarantine::evidence(Instant now) const
{
    std::vector<const CrashReport *> newest;
    for (const auto &[server, it] : m_crashes) {
        if (now - it.at <= SharedCrashAge) {
            newest.push_back(&it);
        }
    }
    std::sort(newest.begin(), newest.end(), [](const CrashReport *a, const CrashReport *b) {
        return a->at > b->at;
    });
    newest.resize(std::min(newest.size(), MaxSharedCrashes));
    MarkCounts crashesNaming;
    for (const auto &[server, crash] : m_crashes) {
        for (const auto &[mark, sentAt] : crash.lostMarks) {
            ++crashesNaming[mark];
        }
    }
    CrashEvidence shared;
    std::set<std::string> sound;
    for (const CrashReport *it : newest) {
        CrashReport crash = *it;
        if (crash.isRefuted) {
            crash.lostMarks.clear();
        }
        std::erase_if(crash.lostMarks, [&](const auto &mark) {
            const bool isSound = lastSuccess(mark.first) >= it->at;
            if (isSound && sound.size() < MaxSharedSuccesses) {
                sound.insert(mark.first);
            }
            return isSound;
        });
        if (crash.lostMarks.size() > MaxSharedMarks) {
            std::erase_if(crash.lostMarks, [&](const auto &mark) {
                return lastSuccess(mark.first) != Instant{}; // the less likely causes
            });
        }
        limitMarks(crash, crashesNaming);
        shared.crashes.push_back(std::move(crash));
    }
    for (const std::string &mark : sound) {
        // One response is as good as many; more would grow with the number of VMs.
        std::optional<MarkSuccess> latest;
        if (const auto own = m_responses.find(mark)) {
            const auto number = std::chrono::floor<milliseconds>(own->time_since_epoch()).count();
            latest = MarkSuccess{mark, m_options.vm, static_cast<std::uint64_t>(number), *own};
        }
        if (const auto others = m_successes.find(mark); others != m_successes.end()) {
            for (const auto &[vm, it] : others->second) {
                latest = !latest || it.at > latest->at ? it : *latest;
            }
        }
        if (latest) {
            shared.successes.push_back(*latest);
        }
    }
    for (const auto &[mark, it] : m_verdicts) {
        shared.verdicts.push_back(it.verdict);
    }
    return shared;
}

void CrashQuarantine::withdrawLosses(Instant since)
{
    for (const auto &[server, at] : m_ownLosses) {
        const auto it = m_crashes.find(server);
        if (at < since || it == m_crashes.end()) {
            continue;
        }
        it->second.isRefuted = true;
        it->second.isConfirmed = false;
    }
}

bool CrashQuarantine::mergeCrash(const CrashReport &crash)
{
    const auto [known, isNew] = m_crashes.try_emplace(crash.server, crash);
    CrashReport &it = known->second;
    if (isNew) {
        return true;
    }
    if (it.isRefuted && !crash.isRefuted && crash.at > it.at + OneCrashTime) {
        it = crash; // the connections that ended before were another matter
        return true;
    }
    if (crash.isRefuted && !it.isRefuted && it.at > crash.at + OneCrashTime) {
        return false;
    }
    bool isChanged = (crash.isRefuted && !it.isRefuted) || (crash.isConfirmed && !it.isConfirmed);
    it.isRefuted = (it.isRefuted || crash.isRefuted) && !it.isConfirmed;
    it.isConfirmed = it.isConfirmed || crash.isConfirmed;
    it.at = std::min(it.at, crash.at);
    for (const auto &[mark, sentAt] : crash.lostMarks) {
        if (it.lostMarks.size() >= m_options.maxMarksPerCrash && !it.lostMarks.contains(mark)) {
            continue;
        }
        const auto [lost, isNewMark] = it.lostMarks.try_emplace(mark, sentAt);
        isChanged = isChanged || isNewMark;
        if (sentAt > lost->second + ExchangeDelay) {
            lost->second = sentAt;
        }
    }
    return isChanged;
}

bool CrashQuarantine::mergeSuccess(const MarkSuccess &success)
{
    if (success.vm == m_options.vm) {
        return false;
    }
    const auto [known, isNew] = m_successes[success.mark].try_emplace(success.vm, success);
    if (!isNew && success.number <= known->second.number) {
        return false; // received before, over another VM
    }
    known->second = success;
    m_lastResponseAt = std::max(m_lastResponseAt, success.at);
    return true;
}

bool CrashQuarantine::mergeVerdict(const CrashVerdict &verdict)
{
    const auto [known, isNew] = m_verdicts.try_emplace(verdict.mark, Verdict{.verdict = verdict});
    CrashVerdict &it = known->second.verdict;
    if (isNew) {
        return true;
    }
    if (it.id == verdict.id) {
        const bool isChanged = verdict.isLifted && !it.isLifted;
        if (isChanged) {
            lift(known->second);
        }
        return isChanged;
    }
    if (verdict.decidedAt > it.decidedAt + SameDecisionTime) {
        const bool isTakenOver = !verdict.isLifted;
        if (isTakenOver) {
            known->second = Verdict{.verdict = verdict};
        }
        return isTakenOver;
    }
    if (it.decidedAt > verdict.decidedAt + SameDecisionTime) {
        return false;
    }
    // VMs that decide at the same time from the same evidence agree on one id, so that each can lift the decision for all.
    const bool isChanged = verdict.id < it.id || (verdict.isLifted && !it.isLifted);
    it.id = std::min(it.id, verdict.id);
    if (verdict.isLifted && !it.isLifted) {
        lift(known->second);
    }
    return isChanged;
}

bool CrashQuarantine::merge(const CrashEvidence &evidence, Instant now)
{
    bool isChanged = false;
    for (const CrashReport &it : evidence.crashes) {
        isChanged = (now - it.at <= m_options.evidenceLifetime && mergeCrash(it)) || isChanged;
    }
    for (const MarkSuccess &it : evidence.successes) {
        isChanged = mergeSuccess(it) || isChanged;
    }
    for (const CrashVerdict &it : evidence.verdicts) {
        isChanged = mergeVerdict(it) || isChanged;
    }
    forgetOld(now);
    return isChanged;
}

std::optional<milliseconds> CrashQuarantine::exchangeInterval(Instant now) const
{
    for (const auto &[server, it] : m_crashes) {
        if (now - it.at <= OpenTime) {
            return OftenInterval;
        }
    }
    if (m_verdicts.empty()) {
        return std::nullopt;
    }
    return m_crashes.empty() ? QuietInterval : SeldomInterval;
}

} // namespace auburndrum::decision
