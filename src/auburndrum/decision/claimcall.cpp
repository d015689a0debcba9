#include "auburndrum/decision/claimcall.h"

#include <utility>

namespace auburndrum::decision {

namespace {

ClaimActions concatenated(ClaimActions first, ClaimActions second)
{
    for (ClaimAction &it : second) {
        first.push_back(std::move(it));
    }
    return first;
}

} // namespace

ClaimCall::ClaimCall(ClaimCallOptions options)
    : m_options(std::move(options))
{
}

ClaimActions ClaimCall::start(Instant now, const ClaimState *holder, bool isLogUp)
{
    if (m_state != State::New) {
        return {};
    }
    // The answer from a holder is valid even if this process's fold lags behind the log: this call is not run in any case.
    if (holder != nullptr) {
        m_state = State::Finished;
        return answerFromHolder(*holder);
    }
    if (m_options.isKeyExpired) {
        m_state = State::Finished;
        return answerOnce({AnswerKind::KeyExpired, std::nullopt, {}});
    }
    if (!isLogUp || now >= m_options.deadline) {
        m_state = State::Finished;
        return answerNotRun();
    }
    m_state = State::Claiming;
    return {AppendClaimAction{m_options.claim}};
}

ClaimActions ClaimCall::onAppendRefused(Instant /*now*/)
{
    if (m_state != State::Claiming) {
        return {};
    }
    // The log may have the claim in spite of the refusal. An abandoned call releases its claim if it wins.
    m_state = State::Abandoned;
    return answerNotRun();
}

ClaimActions ClaimCall::onClaimDecided(Instant now, ClaimVerdict verdict, const ClaimState *holder)
{
    const bool isWaiting = m_state == State::Claiming || m_state == State::Abandoned;
    if (!isWaiting) {
        return {};
    }
    const bool isAbandoned = m_state == State::Abandoned;
    if (verdict == ClaimVerdict::Won) {
        return isAbandoned || now >= m_options.deadline ? releaseClaim(now) : dispatch();
    }
    m_state = State::Finished;
    if (isAbandoned) {
        return {};
    }
    // The holder may have released the key since it beat this claim.
    if (verdict == ClaimVerdict::TooLate || holder == nullptr) {
        return answerNotRun();
    }
    return answerFromHolder(*holder);
}

ClaimActions ClaimCall::onDispatchRefused(Instant now)
{
    if (m_state != State::Dispatched) {
        return {};
    }
    const bool canDispatchAgain = m_attempts < m_options.maxAttempts && now < m_options.deadline && !m_isAnswered;
    return canDispatchAgain ? dispatch() : releaseClaim(now);
}

ClaimActions ClaimCall::onDispatchInterrupted(Instant now)
{
    return m_state == State::Dispatched ? enterInDoubt(now) : ClaimActions{};
}

ClaimActions ClaimCall::onAnswer(Instant now, const Outcome &outcome)
{
    // A response after the answer timeout is too late for the caller, but settles the in-doubt claim.
    if (m_state != State::Dispatched && m_state != State::InDoubt) {
        return {};
    }
    ClaimActions actions = answerOnce({AnswerKind::Fresh, outcome, {}});
    return concatenated(std::move(actions), recordOutcome(now, outcome));
}

ClaimActions ClaimCall::onLookupFinished(Instant now, const std::optional<Outcome> &outcome)
{
    // A call whose key the service does not know may still be on its way there, so the call stays in doubt.
    if (m_state != State::InDoubt || !outcome) {
        return {};
    }
    return recordOutcome(now, *outcome);
}

ClaimActions ClaimCall::onSettled(Instant /*now*/)
{
    if (m_state == State::Recording || m_state == State::Releasing || m_state == State::InDoubt) {
        m_state = State::Finished;
    }
    return {};
}

ClaimActions ClaimCall::onCallerDisconnected(Instant /*now*/)
{
    m_isAnswered = true;
    if (m_state == State::Claiming) {
        m_state = State::Abandoned;
    }
    return {};
}

ClaimActions ClaimCall::tick(Instant now)
{
    const std::optional<Instant> due = nextTick();
    if (!due || now < *due) {
        return {};
    }
    switch (m_state) {
    case State::Claiming:
        m_state = State::Abandoned;
        return answerNotRun();
    case State::Dispatched:
        return enterInDoubt(now);
    case State::InDoubt:
        return lookUpOutcome(now);
    case State::Recording:
        return recordOutcome(now, m_outcome);
    case State::Releasing:
        return releaseClaim(now);
    default:
        return {};
    }
}

std::optional<Instant> ClaimCall::nextTick() const
{
    switch (m_state) {
    case State::Claiming:
        return m_options.deadline;
    case State::Dispatched:
        return m_options.deadline + m_options.answerTimeout;
    case State::InDoubt:
    case State::Recording:
    case State::Releasing:
        return m_nextActionTime;
    default:
        return std::nullopt;
    }
}

ClaimCall::State ClaimCall::state() const
{
    return m_state;
}

const Claim &ClaimCall::claim() const
{
    return m_options.claim;
}

ClaimActions ClaimCall::answerOnce(CallAnswer answer)
{
    if (std::exchange(m_isAnswered, true)) {
        return {};
    }
    return {AnswerAction{std::move(answer)}};
}

ClaimActions ClaimCall::answerNotRun()
{
    return answerOnce({AnswerKind::NotRun, std::nullopt, m_options.retryAfter});
}

ClaimActions ClaimCall::answerFromHolder(const ClaimState &holder)
{
    if (holder.fingerprint != m_options.claim.fingerprint) {
        return answerOnce({AnswerKind::KeyReused, std::nullopt, {}});
    }
    if (!holder.outcome) {
        return answerOnce({AnswerKind::MayHaveRun, std::nullopt, m_options.retryAfter});
    }
    return answerOnce({AnswerKind::Replay, *holder.outcome, {}});
}

ClaimActions ClaimCall::dispatch()
{
    m_state = State::Dispatched;
    ++m_attempts;
    return {DispatchAction{m_attempts}};
}

ClaimActions ClaimCall::recordOutcome(Instant now, Outcome outcome)
{
    m_state = State::Recording;
    m_nextActionTime = now + m_options.appendRetryInterval;
    m_outcome = std::move(outcome);
    return {AppendOutcomeAction{m_outcome}};
}

ClaimActions ClaimCall::releaseClaim(Instant now)
{
    m_state = State::Releasing;
    m_nextActionTime = now + m_options.appendRetryInterval;
    ClaimActions actions = answerNotRun();
    actions.emplace_back(AppendReleaseAction{{m_options.claim.key, m_options.claim.nonce}});
    return actions;
}

ClaimActions ClaimCall::enterInDoubt(Instant now)
{
    m_state = State::InDoubt;
    return concatenated(answerOnce({AnswerKind::MayHaveRun, std::nullopt, m_options.retryAfter}), lookUpOutcome(now));
}

ClaimActions ClaimCall::lookUpOutcome(Instant now)
{
    if (m_lookups == m_options.maxLookups) {
        m_state = State::Finished;
        return {};
    }
    ++m_lookups;
    m_nextActionTime = now + m_options.lookupInterval;
    return m_options.hasLookup ? ClaimActions{LookupAction{}} : ClaimActions{};
}

} // namespace auburndrum::decision
