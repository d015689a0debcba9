#include "auburndrum/decision/traffic/partquarantine.h"

#include <algorithm>
#include <functional>
#include <set>
#include <utility>

// The exchange of evidence between entry VMs.

namespace auburndrum::decision {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds SharedCrashAge{5000}; // older crashes are known to all VMs, or their verdict is
constexpr std::size_t MaxSharedCrashes = 16;
constexpr std::size_t MaxSharedParts = 32; // of one crash
constexpr std::size_t MaxSharedSuccesses = 128;
constexpr milliseconds OneCrashTime{2000}; // reports of one incarnation within this time are of one end of its process
// Reports reach a VM over several others; each one adds the time of a call to the times in it.
constexpr milliseconds ExchangeDelay{500};
constexpr milliseconds SameDecisionTime{2000};
constexpr milliseconds OpenTime{2000}; // crashes are exchanged often for this long, in which news reach 340 VMs
constexpr milliseconds OftenInterval{250};
constexpr milliseconds SeldomInterval{1000};

/// Leaves some parts out when there are too many, other ones in each crash.
void limitParts(CrashReport &crash)
{
    if (crash.lostParts.size() <= MaxSharedParts) {
        return;
    }
    std::vector<std::pair<std::size_t, std::string>> ranked;
    for (const auto &[part, sentAt] : crash.lostParts) {
        ranked.emplace_back(std::hash<std::string>{}(part + crash.server), part);
    }
    std::sort(ranked.begin(), ranked.end());
    for (auto it = ranked.begin() + static_cast<std::ptrdiff_t>(MaxSharedParts); it != ranked.end(); ++it) {
        crash.lostParts.erase(it->second);
    }
}

} // namespace

CrashEvidence PartQuarantine::evidence(Instant now) const
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
    CrashEvidence shared;
    std::set<std::string> sound;
    for (const CrashReport *it : newest) {
        CrashReport crash = *it;
        if (crash.isRefuted) {
            crash.lostParts.clear();
        }
        std::erase_if(crash.lostParts, [&](const auto &part) {
            const bool isSound = lastSuccess(part.first) >= it->at;
            if (isSound && sound.size() < MaxSharedSuccesses) {
                sound.insert(part.first);
            }
            return isSound;
        });
        if (crash.lostParts.size() > MaxSharedParts) {
            std::erase_if(crash.lostParts, [&](const auto &part) {
                return lastSuccess(part.first) != Instant{}; // the less likely causes
            });
        }
        limitParts(crash);
        shared.crashes.push_back(std::move(crash));
    }
    for (const std::string &part : sound) {
        // One response is as good as many; more would grow with the number of VMs.
        std::optional<PartSuccess> latest;
        if (const auto own = m_responses.find(part)) {
            const auto number = std::chrono::floor<milliseconds>(own->time_since_epoch()).count();
            latest = PartSuccess{part, m_options.vm, static_cast<std::uint64_t>(number), *own};
        }
        if (const auto others = m_successes.find(part); others != m_successes.end()) {
            for (const auto &[vm, it] : others->second) {
                latest = !latest || it.at > latest->at ? it : *latest;
            }
        }
        if (latest) {
            shared.successes.push_back(*latest);
        }
    }
    for (const auto &[part, it] : m_verdicts) {
        shared.verdicts.push_back(it.verdict);
    }
    return shared;
}

bool PartQuarantine::mergeCrash(const CrashReport &crash)
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
    for (const auto &[part, sentAt] : crash.lostParts) {
        if (it.lostParts.size() >= m_options.maxPartsPerCrash && !it.lostParts.contains(part)) {
            continue;
        }
        const auto [lost, isNewPart] = it.lostParts.try_emplace(part, sentAt);
        isChanged = isChanged || isNewPart;
        if (sentAt > lost->second + ExchangeDelay) {
            lost->second = sentAt;
        }
    }
    return isChanged;
}

bool PartQuarantine::mergeSuccess(const PartSuccess &success)
{
    if (success.vm == m_options.vm) {
        return false;
    }
    const auto [known, isNew] = m_successes[success.part].try_emplace(success.vm, success);
    if (!isNew && success.number <= known->second.number) {
        return false; // received before, over another VM
    }
    known->second = success;
    m_lastResponseAt = std::max(m_lastResponseAt, success.at);
    return true;
}

bool PartQuarantine::mergeVerdict(const PartVerdict &verdict)
{
    const auto [known, isNew] = m_verdicts.try_emplace(verdict.part, Verdict{.verdict = verdict});
    PartVerdict &it = known->second.verdict;
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

bool PartQuarantine::merge(const CrashEvidence &evidence, Instant now)
{
    bool isChanged = false;
    for (const CrashReport &it : evidence.crashes) {
        isChanged = (now - it.at <= m_options.evidenceLifetime && mergeCrash(it)) || isChanged;
    }
    for (const PartSuccess &it : evidence.successes) {
        isChanged = mergeSuccess(it) || isChanged;
    }
    for (const PartVerdict &it : evidence.verdicts) {
        isChanged = mergeVerdict(it) || isChanged;
    }
    forgetOld(now);
    return isChanged;
}

std::optional<milliseconds> PartQuarantine::exchangeInterval(Instant now) const
{
    for (const auto &[server, it] : m_crashes) {
        if (now - it.at <= OpenTime) {
            return OftenInterval;
        }
    }
    return m_verdicts.empty() ? std::nullopt : std::optional(SeldomInterval);
}

} // namespace auburndrum::decision
