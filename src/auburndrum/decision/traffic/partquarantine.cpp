#include "auburndrum/decision/traffic/partquarantine.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace auburndrum::decision {

namespace {

using std::chrono::milliseconds;

// Losses at one incarnation within this time belong to one end of its process.
constexpr milliseconds OneCrashTime{2000};
constexpr milliseconds SameMoment{200}; // reports of crashes at the same moment differ by the time of an exchange
constexpr std::ptrdiff_t MinHerd = 2;
// With this many crashes in all, one less than usual has to follow the one before.
constexpr std::size_t ManyCrashes = 5;
constexpr std::size_t MaxVerdictServers = 8; // named in a verdict and in the log
constexpr milliseconds LiftedVerdictLifetime{60000}; // a lifted verdict is remembered this long, so that no VM takes it over again

milliseconds since(Instant moment, Instant now)
{
    return std::chrono::floor<milliseconds>(now - moment);
}

/// Whether several servers ended at the same moment that had no request with the part: then they have another cause, and so has this crash.
bool isOneOfHerd(const std::map<std::string, CrashReport> &crashes, const CrashReport &crash, const std::string &part)
{
    const auto others = std::count_if(crashes.begin(), crashes.end(), [&](const auto &it) {
        const auto apart = std::chrono::abs(it.second.at - crash.at);
        return !it.second.isRefuted && apart <= SameMoment && !it.second.lostParts.contains(part);
    });
    return others >= MinHerd;
}

/// Calls `visit` with each part that other requests may share.
template<typename Visit>
void forEachSharedPart(const Prompt &prompt, const Visit &visit)
{
    for (std::size_t n = 0; n + 1 < prompt.parts.size(); ++n) {
        visit(prompt.parts[n].id);
    }
}

} // namespace

PartQuarantine::PartQuarantine(PartQuarantineOptions options)
    : m_options(std::move(options))
{
}

void PartQuarantine::setVms(std::vector<std::string> vms)
{
    m_vms = std::move(vms);
}

milliseconds PartQuarantine::trialDelay(const std::string &part) const
{
    const auto rank = [&part](const std::string &vm) {
        return XXH3_64bits_withSeed(vm.data(), vm.size(), XXH3_64bits(part.data(), part.size()));
    };
    const std::uint64_t own = rank(m_options.vm);
    const auto before = std::count_if(m_vms.begin(), m_vms.end(), [&](const std::string &vm) {
        return rank(vm) > own;
    });
    return m_options.trialInterval * before;
}

PartDecision PartQuarantine::decide(const Prompt &prompt, Instant now) const
{
    PartDecision decision;
    forEachSharedPart(prompt, [&](const std::string &part) {
        const auto it = m_verdicts.find(part);
        if (it == m_verdicts.end() || it->second.verdict.isLifted || decision.admission == PartAdmission::Refused) {
            return;
        }
        const PartVerdict &verdict = it->second.verdict;
        Instant trialAt = verdict.decidedAt + verdict.hold + trialDelay(part);
        if (it->second.trialSentAt != Instant{}) {
            trialAt = std::max(trialAt, it->second.trialSentAt + m_options.trialInterval * static_cast<std::int64_t>(std::max<std::size_t>(1, m_vms.size())));
        }
        decision = {now < trialAt ? PartAdmission::Refused : PartAdmission::Trial,
                    part,
                    verdict.id,
                    since(verdict.decidedAt, now),
                    std::max(milliseconds(0), std::chrono::ceil<milliseconds>(trialAt - now))};
    });
    return decision;
}

bool PartQuarantine::isSuspect(const Prompt &prompt) const
{
    bool is = false;
    forEachSharedPart(prompt, [&](const std::string &part) {
        is = is || caseOf(part).chain.size() + 1 >= m_options.minCrashes;
    });
    return is;
}

void PartQuarantine::onSent(const PartDecision &decision, Instant now)
{
    const auto it = m_verdicts.find(decision.part);
    if (decision.admission == PartAdmission::Trial && it != m_verdicts.end()) {
        it->second.trialSentAt = now;
    }
}

void PartQuarantine::onLost(const std::string &server, const Prompt &prompt, Instant sentAt, Instant now)
{
    if (prompt.parts.size() < 2) {
        return;
    }
    m_responses.drop(server);
    CrashReport &crash = m_crashes[server];
    const bool isNew = crash.server.empty() || crash.isRefuted || (!crash.isConfirmed && now - crash.at > OneCrashTime);
    if (isNew) {
        crash = {.server = server, .at = now};
    }
    forEachSharedPart(prompt, [&](const std::string &part) {
        if (crash.lostParts.size() < m_options.maxPartsPerCrash || crash.lostParts.contains(part)) {
            Instant &it = crash.lostParts[part];
            it = std::max(it, sentAt);
        }
        const auto verdict = m_verdicts.find(part);
        const bool isTrial = verdict != m_verdicts.end() && verdict->second.trialSentAt != Instant{} && sentAt >= verdict->second.trialSentAt;
        if (isTrial) {
            renew(verdict->second, now);
        }
    });
}

void PartQuarantine::onRefusedConnection(const std::string &server, Instant /*now*/)
{
    const auto it = m_crashes.find(server);
    if (it != m_crashes.end() && !it->second.isRefuted) {
        it->second.isConfirmed = true;
    }
}

void PartQuarantine::onResponse(const std::string &server, Instant sentAt, Instant /*now*/)
{
    if (const auto confirmed = m_responses.confirm(server, sentAt)) {
        m_lastResponseAt = std::max(m_lastResponseAt, *confirmed);
    }
    const auto it = m_crashes.find(server);
    if (it != m_crashes.end() && !it->second.isConfirmed && sentAt > it->second.at) {
        it->second.isRefuted = true;
    }
}

void PartQuarantine::onWholeResponse(const std::string &server, const Prompt &prompt, bool isProven, Instant now)
{
    std::vector<std::string> parts;
    forEachSharedPart(prompt, [&](const std::string &part) {
        parts.push_back(part);
    });
    if (!isProven) {
        m_responses.recordUnproven(server, std::move(parts), now);
        return;
    }
    m_lastResponseAt = std::max(m_lastResponseAt, now);
    for (const std::string &it : parts) {
        m_responses.record(it, now);
    }
}

Instant PartQuarantine::lastSuccess(const std::string &part) const
{
    Instant latest = m_responses.find(part).value_or(Instant{});
    const auto reported = m_successes.find(part);
    if (reported == m_successes.end()) {
        return latest;
    }
    for (const auto &[vm, it] : reported->second) {
        latest = std::max(latest, it.at);
    }
    return latest;
}

bool PartQuarantine::isExplained(const CrashReport &crash, std::string_view part) const
{
    return std::any_of(m_verdicts.begin(), m_verdicts.end(), [&](const auto &it) {
        return !it.second.verdict.isLifted && it.first != part && crash.lostParts.contains(it.first);
    });
}

PartQuarantine::Case PartQuarantine::caseOf(const std::string &part, Instant settledBefore) const
{
    Case found;
    const Instant soundUntil = lastSuccess(part);
    std::vector<const CrashReport *> crashes;
    for (const auto &[server, it] : m_crashes) {
        const bool isOpen = !it.isRefuted && it.at > soundUntil && it.at <= settledBefore && it.lostParts.contains(part);
        if (isOpen && !isExplained(it, part) && !isOneOfHerd(m_crashes, it, part)) {
            crashes.push_back(&it);
        }
    }
    std::sort(crashes.begin(), crashes.end(), [](const CrashReport *a, const CrashReport *b) {
        return a->at < b->at;
    });
    found.total = crashes.size();
    for (const CrashReport *it : crashes) {
        if (found.chain.empty() || it->lostParts.at(part) > found.chain.back()->at) {
            found.chain.push_back(it);
        }
    }
    return found;
}

bool PartQuarantine::isSufficient(const std::string &part, const Case &it) const
{
    std::size_t needed = it.total >= ManyCrashes ? m_options.minCrashes - 1 : m_options.minCrashes;
    if (lastSuccess(part) != Instant{}) {
        needed = m_options.minCrashesOfServedPart;
    }
    if (it.chain.size() < needed) {
        return false;
    }
    // While no server gives any response the fault may be theirs, and no part can be told from another.
    return m_lastResponseAt > it.chain.front()->at;
}

std::vector<std::string> PartQuarantine::openParts() const
{
    std::map<std::string_view, std::size_t> counts;
    for (const auto &[server, crash] : m_crashes) {
        if (crash.isRefuted) {
            continue;
        }
        for (const auto &[part, sentAt] : crash.lostParts) {
            counts[part] += crash.at > lastSuccess(part) ? 1 : 0;
        }
    }
    std::vector<std::string> parts;
    for (const auto &[part, n] : counts) {
        const auto verdict = m_verdicts.find(std::string(part));
        const bool isKeptAway = verdict != m_verdicts.end() && !verdict->second.verdict.isLifted;
        if (n + 1 >= m_options.minCrashes && !isKeptAway) {
            parts.emplace_back(part);
        }
    }
    return parts;
}

std::vector<PartVerdict> PartQuarantine::update(Instant now)
{
    forgetOld(now);
    liftUnfounded();
    while (true) {
        std::string worst;
        Case worstCase;
        for (const std::string &it : openParts()) {
            const Case found = caseOf(it, now - m_options.settleTime);
            if (!isSufficient(it, found)) {
                continue;
            }
            // Of parts that were in as many crashes, one that never had a response is the more likely cause.
            const bool isWorse
                = found.total > worstCase.total || (found.total == worstCase.total && lastSuccess(it) == Instant{} && lastSuccess(worst) != Instant{});
            if (isWorse) {
                worst = it;
                worstCase = found;
            }
        }
        if (worst.empty()) {
            break;
        }
        convict(worst, worstCase, now);
    }
    std::vector<PartVerdict> changed;
    for (auto &[part, it] : m_verdicts) {
        if (!std::exchange(it.isReported, true)) {
            changed.push_back(it.verdict);
        }
    }
    return changed;
}

void PartQuarantine::convict(const std::string &part, const Case &it, Instant now)
{
    Verdict verdict;
    verdict.verdict = {.part = part, .id = nextId(now), .decidedAt = now, .hold = m_options.firstHold};
    for (const CrashReport *crash : it.chain) {
        if (verdict.verdict.servers.size() < MaxVerdictServers) {
            verdict.verdict.servers.push_back(crash->server);
        }
    }
    m_verdicts[part] = std::move(verdict);
}

void PartQuarantine::renew(Verdict &it, Instant now)
{
    it.verdict.id = nextId(now);
    it.verdict.decidedAt = now;
    it.verdict.hold = std::min(2 * it.verdict.hold, m_options.maxHold);
    it.trialSentAt = {};
    it.isReported = false;
}

void PartQuarantine::lift(Verdict &it)
{
    it.verdict.isLifted = true;
    it.isReported = false;
}

std::size_t PartQuarantine::crashesNaming(const std::string &part) const
{
    const Instant soundUntil = lastSuccess(part);
    return static_cast<std::size_t>(std::count_if(m_crashes.begin(), m_crashes.end(), [&](const auto &it) {
        return !it.second.isRefuted && it.second.at > soundUntil && it.second.lostParts.contains(part);
    }));
}

bool PartQuarantine::isUnfounded(const std::string &server, const std::string &part) const
{
    const auto crash = m_crashes.find(server);
    if (crash == m_crashes.end()) {
        return false; // forgotten meanwhile
    }
    const CrashReport &report = crash->second;
    const std::size_t total = crashesNaming(part);
    const bool isBetterExplained = std::any_of(m_verdicts.begin(), m_verdicts.end(), [&](const auto &other) {
        return other.first != part && !other.second.verdict.isLifted && report.lostParts.contains(other.first) && crashesNaming(other.first) > total;
    });
    return report.isRefuted || report.at <= lastSuccess(part) || isBetterExplained;
}

void PartQuarantine::liftUnfounded()
{
    for (auto &entry : m_verdicts) {
        const std::string &part = entry.first;
        Verdict &it = entry.second;
        if (it.verdict.isLifted) {
            continue;
        }
        if (lastSuccess(part) > it.verdict.decidedAt) {
            lift(it);
            continue;
        }
        const auto &servers = it.verdict.servers;
        const auto unfounded = static_cast<std::size_t>(std::count_if(servers.begin(), servers.end(), [&](const std::string &server) {
            return isUnfounded(server, part);
        }));
        if (unfounded > 0 && servers.size() - unfounded + 1 < m_options.minCrashes) {
            lift(it);
        }
    }
}

void PartQuarantine::forgetOld(Instant now)
{
    std::erase_if(m_crashes, [&](const auto &it) {
        return now - it.second.at > m_options.evidenceLifetime;
    });
    while (m_crashes.size() > m_options.maxCrashes) {
        m_crashes.erase(std::min_element(m_crashes.begin(), m_crashes.end(), [](const auto &a, const auto &b) {
            return a.second.at < b.second.at;
        }));
    }
    std::erase_if(m_successes, [&](const auto &it) {
        return std::none_of(m_crashes.begin(), m_crashes.end(), [&](const auto &crash) {
            return crash.second.lostParts.contains(it.first);
        });
    });
    std::erase_if(m_verdicts, [&](const auto &it) {
        const PartVerdict &verdict = it.second.verdict;
        // A verdict that nobody has tried ends after a second hold: no VM has requests with the part any more.
        const milliseconds lifetime = verdict.isLifted ? LiftedVerdictLifetime : 2 * verdict.hold + m_options.evidenceLifetime;
        return now - verdict.decidedAt > lifetime && it.second.isReported;
    });
    while (m_verdicts.size() > m_options.maxVerdicts) {
        m_verdicts.erase(std::min_element(m_verdicts.begin(), m_verdicts.end(), [](const auto &a, const auto &b) {
            return a.second.verdict.decidedAt < b.second.verdict.decidedAt;
        }));
    }
}

std::string PartQuarantine::nextId(Instant now)
{
    return m_options.vm + ":" + std::to_string(std::chrono::floor<milliseconds>(now.time_since_epoch()).count()) + ":" + std::to_string(++m_lastVerdict);
}

std::size_t PartQuarantine::keptAway() const
{
    return static_cast<std::size_t>(std::count_if(m_verdicts.begin(), m_verdicts.end(), [](const auto &it) {
        return !it.second.verdict.isLifted;
    }));
}

} // namespace auburndrum::decision
