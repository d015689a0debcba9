#include "claimworld.h"

#include <algorithm>
#include <utility>

namespace faultmatrix {

using namespace std::chrono_literals;

namespace {

constexpr auto LogClockLag = 15s; // the log's clock is behind, so that claims also win after their callers gave up
constexpr auto CallDeadline = 10s;
constexpr auto AnswerTimeout = 5s;
constexpr auto LateDelay = 12s;
constexpr auto PauseTime = 30s;
constexpr auto OutageTime = 8s;
constexpr auto TickInterval = 500ms;
constexpr auto EndTime = 240s;

} // namespace

ClaimWorld::ClaimWorld(std::vector<Strike> strikes, Mutation mutation)
    : m_strikes(std::move(strikes))
    , m_mutation(mutation)
    , m_entries(2)
{
    for (std::size_t it = 0; it < m_entries.size(); ++it) {
        m_entries[it].name = "entry" + std::to_string(it);
        m_time.after(TickInterval, [this, it] {
            tick(it);
        });
    }
}

void ClaimWorld::call(std::size_t entry, std::chrono::milliseconds at, const std::string &key, const std::string &body)
{
    m_time.after(at, [this, entry, key, body] {
        start(entry, key, body);
    });
}

Judgement ClaimWorld::run()
{
    m_time.run();
    checkEnd();
    return m_judgement;
}

// Runs at an entry VM: not after it died, and only once a pause is over.
void ClaimWorld::onEntry(std::size_t entry, std::chrono::milliseconds delay, std::function<void()> action)
{
    const int incarnation = m_entries[entry].incarnation;
    m_time.after(delay, [this, entry, incarnation, action = std::move(action)]() mutable {
        const Entry &it = m_entries[entry];
        if (it.incarnation != incarnation) {
            return;
        }
        if (m_time.now() < it.pausedUntil) {
            onEntry(entry, std::chrono::ceil<std::chrono::milliseconds>(it.pausedUntil - m_time.now()), std::move(action));
            return;
        }
        action();
    });
}

// Takes the next strike at this step of the first entry VM, and lets its process part happen.
Fault ClaimWorld::strike(std::size_t entry, Step step)
{
    const auto matches = [step](const Strike &it) {
        return it.step == step && it.fault != Fault::None;
    };
    const auto it = std::find_if(m_strikes.begin(), m_strikes.end(), matches);
    if (entry != 0 || it == m_strikes.end()) {
        return Fault::None;
    }
    const Fault fault = std::exchange(it->fault, Fault::None);
    ++m_judgement.strikes;
    hit(entry, fault);
    return fault;
}

void ClaimWorld::hit(std::size_t entry, Fault fault)
{
    Entry &it = m_entries[entry];
    if (fault == Fault::Kill) {
        for (const auto &[nonce, claim] : m_claims) {
            if (it.calls.find(nonce) != nullptr) {
                m_orphans.insert(nonce);
            }
        }
        it.fold = LogFold();
        it.calls = ClaimCallTable();
        ++it.incarnation;
        onEntry(entry, TickInterval, [this, entry] {
            tick(entry);
        });
    }
    if (fault == Fault::Pause) {
        it.pausedUntil = m_time.now() + PauseTime;
    }
    if (fault == Fault::ZoneCut) {
        it.cutUntil = m_time.now() + OutageTime;
    }
    if (fault == Fault::LogOutage) {
        m_logDownUntil = m_time.now() + OutageTime;
    }
}

void ClaimWorld::start(std::size_t entry, const std::string &key, const std::string &body)
{
    if (m_time.now() < m_entries[entry].pausedUntil) {
        onEntry(entry, std::chrono::milliseconds(PauseTime), [this, entry, key, body] {
            start(entry, key, body);
        });
        return;
    }
    const Fault fault = strike(entry, Step::BeforeStart);
    if (fault == Fault::Pause) {
        onEntry(entry, 0ms, [this, entry, key, body] {
            start(entry, key, body);
        });
        return;
    }
    Entry &it = m_entries[entry];
    const std::string incarnation = it.name + "/" + std::to_string(it.incarnation);
    const std::string nonce = "n" + std::to_string(m_claims.size());
    const WallTime deadline = m_time.wall() + CallDeadline;
    const Claim claim{{"orders", "lounas", key}, body, incarnation, nonce, deadline};
    m_claims[nonce] = claim;
    m_deadlines[nonce] = m_time.now() + CallDeadline;
    ClaimCall &call = it.calls.add({.claim = claim, .deadline = m_time.now() + CallDeadline, .answerTimeout = AnswerTimeout});
    perform(entry, nonce, call.start(m_time.now(), it.fold.claims().find(claim.key), isLogUp(entry)));
}

void ClaimWorld::perform(std::size_t entry, const std::string &nonce, const ClaimActions &actions)
{
    const int incarnation = m_entries[entry].incarnation;
    for (const ClaimAction &action : actions) {
        if (m_entries[entry].incarnation != incarnation) {
            return;
        }
        if (const auto *given = std::get_if<AnswerAction>(&action)) {
            checkAnswer(nonce, given->answer);
        } else if (const auto *claim = std::get_if<AppendClaimAction>(&action)) {
            append(entry, nonce, Step::AppendClaim, ClaimBatchRecord{{claim->claim}});
        } else if (const auto *outcome = std::get_if<AppendOutcomeAction>(&action)) {
            append(entry, nonce, Step::AppendOutcome, OutcomeBatchRecord{{outcome->outcome}});
        } else if (const auto *release = std::get_if<AppendReleaseAction>(&action)) {
            append(entry, nonce, Step::AppendOutcome, ReleaseRecord{{release->release}});
        } else if (std::holds_alternative<DispatchAction>(action)) {
            dispatch(entry, nonce);
        }
    }
}

void ClaimWorld::append(std::size_t entry, const std::string &nonce, Step step, const LogRecord &record)
{
    if (!isLogUp(entry)) {
        appended(entry, nonce, step, false);
        return;
    }
    const Fault fault = strike(entry, step);
    if (fault == Fault::Refuse) {
        appended(entry, nonce, step, false);
        return;
    }
    if (fault == Fault::Silent) {
        return;
    }
    const auto commit = [this, record] {
        m_log.push_back(encodeEntry({record}));
        m_logTimes.push_back(m_time.wall() - LogClockLag);
    };
    const std::chrono::milliseconds delay = fault == Fault::ApplyLate ? std::chrono::milliseconds(LateDelay) : (fault == Fault::Slow ? 1000ms : 5ms);
    m_time.after(delay, commit);
    if (fault != Fault::LoseReply && fault != Fault::ApplyLate) {
        onEntry(entry, delay + 5ms, [this, entry, nonce, step] {
            appended(entry, nonce, step, true);
        });
    }
}

void ClaimWorld::appended(std::size_t entry, const std::string &nonce, Step step, bool isTaken)
{
    ClaimCall *call = m_entries[entry].calls.find(nonce);
    if (call == nullptr || step != Step::AppendClaim) {
        return;
    }
    if (!isTaken) {
        perform(entry, nonce, call->onAppendRefused(m_time.now()));
    } else if (m_mutation.trustsAppendReply) {
        perform(entry, nonce, call->onClaimDecided(m_time.now(), ClaimVerdict::Won, nullptr));
    }
}

void ClaimWorld::dispatch(std::size_t entry, const std::string &nonce)
{
    check(m_time.now() < m_deadlines[nonce], "dispatched after its deadline");
    if (m_time.now() < m_entries[entry].cutUntil) {
        breakOff(entry, nonce, 5ms, true);
        return;
    }
    const Fault fault = strike(entry, Step::Dispatch);
    if (fault == Fault::Refuse) {
        breakOff(entry, nonce, 5ms, true);
        return;
    }
    const auto answered = m_judgement.answers.find(nonce);
    check(answered == m_judgement.answers.end() || answered->second != AnswerKind::NotRun, "sent after 'not run'");
    m_judgement.sentByNonce[nonce] = true;
    if (fault == Fault::Silent) {
        return;
    }
    const bool isLate = fault == Fault::ApplyLate;
    const std::chrono::milliseconds delay = isLate ? std::chrono::milliseconds(LateDelay) : (fault == Fault::Slow ? 1000ms : 10ms);
    execute(nonce, delay);
    if (isLate || fault == Fault::LoseReply || fault == Fault::ZoneCut) {
        breakOff(entry, nonce, 20ms, false);
        return;
    }
    answer(entry, nonce, delay + 10ms);
}

void ClaimWorld::execute(const std::string &nonce, std::chrono::milliseconds delay)
{
    m_time.after(delay, [this, nonce] {
        const int n = ++m_judgement.executions[m_claims[nonce].key.key];
        check(n == 1, "executed more than once");
    });
}

void ClaimWorld::answer(std::size_t entry, const std::string &nonce, std::chrono::milliseconds delay)
{
    onEntry(entry, delay, [this, entry, nonce] {
        const Fault fault = strike(entry, Step::BeforeAnswer);
        ClaimCall *call = m_entries[entry].calls.find(nonce);
        if (call == nullptr) {
            return;
        }
        if (fault == Fault::Pause || fault == Fault::ZoneCut) {
            breakOff(entry, nonce, 0ms, false);
            return;
        }
        const Outcome outcome{m_claims[nonce].key, nonce, 200, "", "soup for " + m_claims[nonce].key.key, "", OutcomeSource::Answer};
        perform(entry, nonce, call->onAnswer(m_time.now(), outcome));
    });
}

void ClaimWorld::breakOff(std::size_t entry, const std::string &nonce, std::chrono::milliseconds delay, bool isRefused)
{
    onEntry(entry, delay, [this, entry, nonce, isRefused] {
        ClaimCall *call = m_entries[entry].calls.find(nonce);
        if (call == nullptr) {
            return;
        }
        const bool isTakenForRefused = isRefused || m_mutation.retriesAfterByte;
        perform(entry, nonce, isTakenForRefused ? call->onDispatchRefused(m_time.now()) : call->onDispatchInterrupted(m_time.now()));
    });
}

void ClaimWorld::readLog(std::size_t entry)
{
    const int incarnation = m_entries[entry].incarnation;
    while (m_entries[entry].incarnation == incarnation && m_entries[entry].fold.offset() < m_log.size()) {
        Entry &it = m_entries[entry];
        const Offset offset = it.fold.offset() + 1;
        const EntryChanges folded = it.fold.applyEntry(offset, m_logTimes[offset - 1], m_log[offset - 1]);
        for (const std::string &nonce : folded.settledNonces) {
            if (it.calls.find(nonce) != nullptr) {
                strike(entry, Step::Settle);
                it.calls.onClaimSettled(m_time.now(), nonce);
            }
        }
        for (const ClaimDecision &decision : folded.claimDecisions) {
            if (it.calls.find(decision.nonce) == nullptr) {
                continue;
            }
            const bool isStopped = strike(entry, Step::BeforeDecision) == Fault::Pause;
            onEntry(entry, isStopped ? 1ms : 0ms, [this, entry, decision] {
                decide(entry, decision);
            });
        }
    }
}

void ClaimWorld::decide(std::size_t entry, const ClaimDecision &decision)
{
    const Fault fault = strike(entry, Step::AfterDecision);
    if (fault == Fault::Pause || fault == Fault::Kill) {
        onEntry(entry, 0ms, [this, entry, decision] {
            decide(entry, decision);
        });
        return;
    }
    Entry &it = m_entries[entry];
    ClaimCall *call = it.calls.find(decision.nonce);
    if (call == nullptr) {
        return;
    }
    ClaimDecision seen = decision;
    if (m_mutation.ignoresVerdict) {
        seen.verdict = ClaimVerdict::Won;
    }
    if (m_mutation.dispatchesAbandoned && call->state() == ClaimCall::State::Abandoned && seen.verdict == ClaimVerdict::Won) {
        dispatch(entry, decision.nonce);
        return;
    }
    const Instant now = m_mutation.ignoresDeadline ? TimeStart : m_time.now();
    perform(entry, decision.nonce, it.calls.onClaimDecided(now, seen, it.fold.claims()).actions);
}

void ClaimWorld::tick(std::size_t entry)
{
    if (isLogUp(entry)) {
        readLog(entry);
    }
    Entry &it = m_entries[entry];
    const int incarnation = it.incarnation;
    for (const CallActions &actions : it.calls.tick(m_time.now(), it.fold.logTime())) {
        perform(entry, actions.nonce, actions.actions);
    }
    if (m_time.now() < TimeStart + EndTime && it.incarnation == incarnation) {
        onEntry(entry, TickInterval, [this, entry] {
            tick(entry);
        });
    }
}

bool ClaimWorld::isLogUp(std::size_t entry) const
{
    return m_time.now() >= m_logDownUntil && m_time.now() >= m_entries[entry].cutUntil;
}

void ClaimWorld::checkAnswer(const std::string &nonce, const CallAnswer &given)
{
    check(!m_judgement.answers.contains(nonce), "answered twice");
    m_judgement.answers[nonce] = given.kind;
    const bool isSent = m_judgement.sentByNonce[nonce];
    if (given.kind == AnswerKind::NotRun) {
        check(!isSent, "'not run' after it was sent");
        check(given.retryAfter > 0ms, "'not run' without Retry-After");
    }
    if (given.kind == AnswerKind::Fresh || given.kind == AnswerKind::Replay) {
        check(given.outcome && given.outcome->body == "soup for " + m_claims[nonce].key.key, "another call's answer");
        check(m_judgement.executions[m_claims[nonce].key.key] == 1, "an answer without an execution");
    }
}

void ClaimWorld::check(bool isTrue, const std::string &what)
{
    ++m_judgement.checks;
    if (!isTrue) {
        m_judgement.violations.push_back(what);
    }
}

void ClaimWorld::checkEnd()
{
    LogFold whole;
    for (std::size_t it = 0; it < m_log.size(); ++it) {
        whole.applyEntry(it + 1, m_logTimes[it], m_log[it]);
    }
    for (const Entry &it : m_entries) {
        check(it.fold.snapshot() == whole.snapshot(), "folds of one log differ");
    }
    for (const auto &[nonce, claim] : m_claims) {
        const bool isAnswered = m_judgement.answers.contains(nonce);
        check(isAnswered || m_orphans.contains(nonce), "a call at a living process was not answered");
        const ClaimState *holder = whole.claims().find(claim.key);
        const bool isRecorded = holder != nullptr && holder->outcome;
        check(!isRecorded || m_judgement.executions[claim.key.key] == 1, "an outcome without an execution");
    }
}

} // namespace faultmatrix
