#include "auburndrum/decision/traffic/crashquarantine.h"

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
constexpr milliseconds UntriedVerdictLifetime{1800000}; // a request that comes again more seldom is found out anew
constexpr milliseconds LiftedVerdictLifetime{60000}; // a lifted verdict is remembered this long, so that no VM takes it over again

milliseconds since(Instant moment, Instant now)
{
    return std::chrono::floor<milliseconds>(now - moment);
}

/// Whether several servers ended at the same moment that had no request with the mark: then they have another cause, and so has this crash.
bool isOneOfHerd(const std::map<std::string, CrashReport> &crashes, const CrashReport &crash, const std::string &mark)
{
    const auto others = std::count_if(crashes.begin(), crashes.end(), [&](const auto &it) {
        const auto apart = std::chrono::abs(it.second.at - crash.at);
        return !it.second.isRefuted && apart <= SameMoment && !it.second.lostMarks.contains(mark);
    });
    return others >= MinHerd;
}

} // namespace

CrashQuarantine::CrashQuarantine(CrashQuarantineOptions options)
    : m_options(std::move(options))
{
}

void CrashQuarantine::setVms(std::vector<std::string> vms)
{
    m_vms = std::move(vms);
}

milliseconds CrashQuarantine::trialDelay(const std::string &mark) const
{
    const auto rank = [&mark](const std::string &vm) {
        return XXH3_64bits_withSeed(vm.data(), vm.size(), XXH3_64bits(mark.data(), mark.size()));
    };
    const std::uint64_t own = rank(m_options.vm);
    const auto before = std::count_if(m_vms.begin(), m_vms.end(), [&](const std::string &vm) {
        return rank(vm) > own;
    });
    return m_options.trialInterval * before;
}

CrashDecision CrashQuarantine::decide(const RequestMarks &marks, Instant now) const
{
    CrashDecision decision;
    for (const std::string &mark : marks) {
        const auto it = m_verdicts.find(mark);
        if (it == m_verdicts.end() || it->second.verdict.isLifted || decision.admission == CrashAdmission::Refused) {
            continue;
        }
        const CrashVerdict &verdict = it->second.verdict;
        Instant trialAt = verdict.decidedAt + verdict.hold + trialDelay(mark);
        if (it->second.trialSentAt != Instant{}) {
            trialAt = std::max(trialAt, it->second.trialSentAt + m_options.trialInterval * static_cast<std::int64_t>(std::max<std::size_t>(1, m_vms.size())));
        }
        decision = {now < trialAt ? CrashAdmission::Refused : CrashAdmission::Trial,
                    mark,
                    verdict.id,
                    since(verdict.decidedAt, now),
                    std::max(milliseconds(0), std::chrono::ceil<milliseconds>(trialAt - now))};
    }
    return decision;
}

bool CrashQuarantine::isSuspect(const RequestMarks &marks) const
{
    return std::any_of(marks.begin(), marks.end(), [this](const std::string &mark) {
        return caseOf(mark).chain.size() + 1 >= m_options.minCrashes;
    });
}

void CrashQuarantine::onSent(const CrashDecision &decision, Instant now)
{
    const auto it = m_verdicts.find(decision.mark);
    if (decision.admission == CrashAdmission::Trial && it != m_verdicts.end()) {
        it->second.trialSentAt = now;
    }
}

void CrashQuarantine::onLost(const std::string &server, const RequestMarks &marks, Instant sentAt, Instant now)
{
    if (marks.empty()) {
        return;
    }
    m_responses.drop(server);
    m_ownLosses[server] = now;
    CrashReport &crash = m_crashes[server];
    const bool isNew = crash.server.empty() || crash.isRefuted || (!crash.isConfirmed && now - crash.at > OneCrashTime);
    if (isNew) {
        crash = {.server = server, .at = now};
    }
    for (const std::string &mark : marks) {
        if (crash.lostMarks.size() < m_options.maxMarksPerCrash || crash.lostMarks.contains(mark)) {
            Instant &it = crash.lostMarks[mark];
            it = std::max(it, sentAt);
        }
        const auto verdict = m_verdicts.find(mark);
        const bool isTrial = verdict != m_verdicts.end() && verdict->second.trialSentAt != Instant{} && sentAt >= verdict->second.trialSentAt;
        if (isTrial) {
            renew(verdict->second, now);
        }
    }
}

void CrashQuarantine::onRefusedConnection(const std::string &server, Instant /*now*/)
{
    const auto it = m_crashes.find(server);
    if (it != m_crashes.end() && !it->second.isRefuted) {
        it->second.isConfirmed = true;
    }
}

void CrashQuarantine::onResponse(const std::string &server, Instant sentAt, Instant /*now*/)
{
    if (const auto confirmed = m_responses.confirm(server, sentAt)) {
        m_lastResponseAt = std::max(m_lastResponseAt, *confirmed);
    }
    const auto it = m_crashes.find(server);
    if (it != m_crashes.end() && !it->second.isConfirmed && sentAt > it->second.at) {
        it->second.isRefuted = true;
    }
}

void CrashQuarantine::onWholeResponse(const std::string &server, const RequestMarks &marks, bool isProven, Instant now)
{
    if (!isProven) {
        m_responses.recordUnproven(server, marks, now);
        return;
    }
    m_lastResponseAt = std::max(m_lastResponseAt, now);
    for (const std::string &it : marks) {
        m_responses.record(it, now);
    }
}

Instant CrashQuarantine::lastSuccess(const std::string &mark) const
{
    Instant latest = m_responses.find(mark).value_or(Instant{});
    const auto reported = m_successes.find(mark);
    if (reported == m_successes.end()) {
        return latest;
    }
    for (const auto &[vm, it] : reported->second) {
        latest = std::max(latest, it.at);
    }
    return latest;
}

bool CrashQuarantine::isExplained(const CrashReport &crash, std::string_view mark) const
{
    return std::any_of(m_verdicts.begin(), m_verdicts.end(), [&](const auto &it) {
        return !it.second.verdict.isLifted && it.first != mark && crash.lostMarks.contains(it.first);
    });
}

CrashQuarantine::Case CrashQuarantine::caseOf(const std::string &mark, Instant settledBefore) const
{
    Case found;
    const Instant soundUntil = lastSuccess(mark);
    std::vector<const CrashReport *> crashes;
    for (const auto &[server, it] : m_crashes) {
        const bool isOpen = !it.isRefuted && it.at > soundUntil && it.at <= settledBefore && it.lostMarks.contains(mark);
        if (isOpen && !isExplained(it, mark) && !isOneOfHerd(m_crashes, it, mark)) {
            crashes.push_back(&it);
        }
    }
    std::sort(crashes.begin(), crashes.end(), [](const CrashReport *a, const CrashReport *b) {
        return a->at < b->at;
    });
    found.total = crashes.size();
    for (const CrashReport *it : crashes) {
        if (found.chain.empty() || it->lostMarks.at(mark) > found.chain.back()->at) {
            found.chain.push_back(it);
        }
    }
    return found;
}

bool CrashQuarantine::isSufficient(const std::string &mark, const Case &it) const
{
    std::size_t needed = it.total >= ManyCrashes ? m_options.minCrashes - 1 : m_options.minCrashes;
    if (lastSuccess(mark) != Instant{}) {
        needed = m_options.minCrashesOfServedMark;
    }
    if (it.chain.size() < needed) {
        return false;
    }
    // While no server gives any response the fault may be theirs, and no mark can be told from another.
    return m_lastResponseAt > it.chain.front()->at;
}

std::vector<std::string> CrashQuarantine::openMarks() const
{
    std::map<std::string_view, std::size_t> counts;
    for (const auto &[server, crash] : m_crashes) {
        if (crash.isRefuted) {
            continue;
        }
        for (const auto &[mark, sentAt] : crash.lostMarks) {
            counts[mark] += crash.at > lastSuccess(mark) ? 1 : 0;
        }
    }
    std::vector<std::string> marks;
    for (const auto &[mark, n] : counts) {
        const auto verdict = m_verdicts.find(std::string(mark));
        const bool isKeptAway = verdict != m_verdicts.end() && !verdict->second.verdict.isLifted;
        if (n + 1 >= m_options.minCrashes && !isKeptAway) {
            marks.emplace_back(mark);
        }
    }
    return marks;
}

std::vector<CrashVerdict> CrashQuarantine::update(Instant now)
{
    forgetOld(now);
    liftUnfounded();
    while (true) {
        std::string worst;
        Case worstCase;
        for (const std::string &it : openMarks()) {
            const Case found = caseOf(it, now - m_options.settleTime);
            if (!isSufficient(it, found)) {
                continue;
            }
            if (worst.empty() || likelihoodOf(it, found) > likelihoodOf(worst, worstCase)) {
                worst = it;
                worstCase = found;
            }
        }
        if (worst.empty()) {
            break;
        }
        convict(worst, worstCase, now);
    }
    std::vector<CrashVerdict> changed;
    for (auto &[mark, it] : m_verdicts) {
        if (!std::exchange(it.isReported, true)) {
            changed.push_back(it.verdict);
        }
    }
    return changed;
}

std::tuple<std::size_t, bool, MarkKind> CrashQuarantine::likelihoodOf(const std::string &mark, const Case &it) const
{
    // Of marks that explain the same, the narrowest keeps the fewest sound requests away.
    return {it.total, lastSuccess(mark) == Instant{}, kindOf(mark)};
}

void CrashQuarantine::convict(const std::string &mark, const Case &it, Instant now)
{
    Verdict verdict;
    verdict.verdict = {.mark = mark, .id = nextId(now), .decidedAt = now, .hold = m_options.firstHold};
    for (const CrashReport *crash : it.chain) {
        if (verdict.verdict.servers.size() < MaxVerdictServers) {
            verdict.verdict.servers.push_back(crash->server);
        }
    }
    m_verdicts[mark] = std::move(verdict);
}

void CrashQuarantine::renew(Verdict &it, Instant now)
{
    it.verdict.id = nextId(now);
    it.verdict.decidedAt = now;
    it.verdict.hold = std::min(2 * it.verdict.hold, m_options.maxHold);
    it.trialSentAt = {};
    it.isReported = false;
}

void CrashQuarantine::lift(Verdict &it)
{
    it.verdict.isLifted = true;
    it.isReported = false;
}

std::size_t CrashQuarantine::crashesNaming(const std::string &mark) const
{
    const Instant soundUntil = lastSuccess(mark);
    return static_cast<std::size_t>(std::count_if(m_crashes.begin(), m_crashes.end(), [&](const auto &it) {
        return !it.second.isRefuted && it.second.at > soundUntil && it.second.lostMarks.contains(mark);
    }));
}

bool CrashQuarantine::isUnfounded(const std::string &server, const std::string &mark) const
{
    const auto crash = m_crashes.find(server);
    if (crash == m_crashes.end()) {
        return false; // forgotten meanwhile
    }
    const CrashReport &report = crash->second;
    const std::size_t total = crashesNaming(mark);
    const bool isBetterExplained = std::any_of(m_verdicts.begin(), m_verdicts.end(), [&](const auto &other) {
        return other.first != mark && !other.second.verdict.isLifted && report.lostMarks.contains(other.first) && crashesNaming(other.first) > total;
    });
    return report.isRefuted || report.at <= lastSuccess(mark) || isBetterExplained;
}

void CrashQuarantine::liftUnfounded()
{
    for (auto &entry : m_verdicts) {
        const std::string &mark = entry.first;
        Verdict &it = entry.second;
        if (it.verdict.isLifted) {
            continue;
        }
        if (lastSuccess(mark) > it.verdict.decidedAt) {
            lift(it);
            continue;
        }
        const auto &servers = it.verdict.servers;
        const auto unfounded = static_cast<std::size_t>(std::count_if(servers.begin(), servers.end(), [&](const std::string &server) {
            return isUnfounded(server, mark);
        }));
        if (unfounded > 0 && servers.size() - unfounded + 1 < m_options.minCrashes) {
            lift(it);
        }
    }
}

void CrashQuarantine::forgetOld(Instant now)
{
    std::erase_if(m_ownLosses, [&](const auto &it) {
        return now - it.second > m_options.settleTime;
    });
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
            return crash.second.lostMarks.contains(it.first);
        });
    });
    std::erase_if(m_verdicts, [&](const auto &it) {
        const CrashVerdict &verdict = it.second.verdict;
        const milliseconds lifetime = verdict.isLifted ? LiftedVerdictLifetime : std::max(UntriedVerdictLifetime, 2 * verdict.hold);
        return now - verdict.decidedAt > lifetime && it.second.isReported;
    });
    while (m_verdicts.size() > m_options.maxVerdicts) {
        m_verdicts.erase(std::min_element(m_verdicts.begin(), m_verdicts.end(), [](const auto &a, const auto &b) {
            return a.second.verdict.decidedAt < b.second.verdict.decidedAt;
        }));
    }
}

std::string CrashQuarantine::nextId(Instant now)
{
    return m_options.vm + ":" + std::to_string(std::chrono::floor<milliseconds>(now.time_since_epoch()).count()) + ":" + std::to_string(++m_lastVerdict);
}

bool CrashQuarantine::keepsAwayWithin(std::string_view scope) const
{
    const auto it = std::find_if(m_verdicts.lower_bound(scope), m_verdicts.end(), [&](const auto &verdict) {
        return !verdict.second.verdict.isLifted || !verdict.first.starts_with(scope);
    });
    return it != m_verdicts.end() && it->first.starts_with(scope);
}

std::size_t CrashQuarantine::keptAway() const
{
    return static_cast<std::size_t>(std::count_if(m_verdicts.begin(), m_verdicts.end(), [](const auto &it) {
        return !it.second.verdict.isLifted;
    }));
}

} // namespace auburndrum::decision
