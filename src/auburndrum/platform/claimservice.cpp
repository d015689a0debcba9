#include "auburndrum/platform/claimservice.h"

#include <QPointer>

namespace auburndrum::platform {

using decision::ClaimAction;
using decision::ClaimActions;
using decision::ClaimCall;

namespace {

template<typename... T>
struct Overloaded : T...
{
    using T::operator()...;
};
template<typename... T>
Overloaded(T...) -> Overloaded<T...>;

std::vector<std::string> claimsIn(const std::vector<decision::LogRecord> &records)
{
    std::vector<std::string> nonces;
    for (const decision::LogRecord &record : records) {
        const auto *batch = std::get_if<decision::ClaimBatchRecord>(&record);
        if (batch == nullptr) {
            continue;
        }
        for (const decision::Claim &it : batch->claims) {
            nonces.push_back(it.nonce);
        }
    }
    return nonces;
}

} // namespace

ClaimService::ClaimService(LogClient &log, const decision::ClaimLedger &ledger, decision::ClaimBatcherOptions options, ClaimServiceHooks hooks, QObject *parent)
    : QObject(parent)
    , m_log(log)
    , m_ledger(ledger)
    , m_batcher(options)
    , m_hooks(std::move(hooks))
{
    m_timer.setSingleShot(true);
    m_timer.setTimerType(Qt::PreciseTimer);
    connect(&m_timer, &QTimer::timeout, this, &ClaimService::handleTimer);
}

void ClaimService::run(decision::ClaimCallOptions options, ClaimRunHooks hooks)
{
    const std::string nonce = options.claim.nonce;
    const decision::ClaimKey key = options.claim.key;
    m_runs.emplace(nonce, Run{ClaimCall(std::move(options)), std::move(hooks)});
    step(nonce, [this, key](ClaimCall &call, Instant now) {
        return call.start(now, m_ledger.find(key), m_hooks.isLogUp());
    });
}

void ClaimService::step(const std::string &nonce, const Step &step)
{
    const auto it = m_runs.find(nonce);
    if (it == m_runs.end()) {
        return;
    }
    const ClaimActions actions = step(it->second.call, monotonicNow());
    perform(nonce, actions);
    const auto after = m_runs.find(nonce);
    if (after != m_runs.end() && after->second.call.state() == ClaimCall::State::Finished) {
        m_runs.erase(after);
    }
    scheduleTimer();
}

void ClaimService::perform(const std::string &nonce, const ClaimActions &actions)
{
    for (const ClaimAction &it : actions) {
        perform(nonce, it);
    }
}

void ClaimService::perform(const std::string &nonce, const ClaimAction &action)
{
    const auto run = m_runs.find(nonce);
    if (run == m_runs.end()) {
        return;
    }
    const ClaimRunHooks hooks = run->second.hooks; // copied, as a hook may erase the run
    std::visit(Overloaded{
                   [&](const decision::AppendClaimAction &it) {
                       m_hooks.onEvent(nonce, EventKind::ClaimAppended);
                       queue(nonce, it.claim);
                   },
                   [&](const decision::DispatchAction &it) {
                       hooks.dispatch(it.attempt);
                   },
                   [&](const decision::AppendOutcomeAction &it) {
                       queue(nonce, it.outcome);
                   },
                   [&](const decision::AppendReleaseAction &it) {
                       queue(nonce, it.release);
                   },
                   [&](const decision::LookupAction &) {
                       hooks.lookup();
                   },
                   [&](const decision::AnswerAction &it) {
                       hooks.answer(it.answer);
                   },
               },
               action);
}

void ClaimService::queue(const std::string &nonce, decision::BatchItem item)
{
    if (m_batcher.add(std::move(item))) {
        return;
    }
    // The batcher's queue is full, so this record was not appended.
    step(nonce, [](ClaimCall &call, Instant now) {
        return call.onAppendRefused(now);
    });
}

void ClaimService::scheduleTimer()
{
    std::optional<Instant> next = m_batcher.nextAppendTime();
    for (const auto &[nonce, run] : m_runs) {
        const auto tick = run.call.nextTick();
        if (tick && (!next || *tick < *next)) {
            next = tick;
        }
    }
    if (!next) {
        m_timer.stop();
        return;
    }
    const auto wait = std::chrono::ceil<std::chrono::milliseconds>(*next - monotonicNow());
    m_timer.start(std::max(wait, std::chrono::milliseconds(0)));
}

void ClaimService::handleTimer()
{
    const Instant now = monotonicNow();
    std::vector<std::string> due;
    for (const auto &[nonce, run] : m_runs) {
        const auto tick = run.call.nextTick();
        if (tick && *tick <= now) {
            due.push_back(nonce);
        }
    }
    for (const std::string &it : due) {
        step(it, [](ClaimCall &call, Instant when) {
            return call.tick(when);
        });
    }
    appendBatch();
    scheduleTimer();
}

void ClaimService::appendBatch()
{
    const auto records = m_batcher.takeDueRecords(monotonicNow());
    if (records.empty()) {
        return;
    }
    m_log.append(decision::encodeEntry(records), [self = QPointer<ClaimService>(this), claims = claimsIn(records)](const AppendResult &result) {
        if (self) {
            self->handleAppended(claims, result);
        }
    });
}

void ClaimService::handleAppended(const std::vector<std::string> &claims, const AppendResult &result)
{
    if (result.error == PlatformError::Refused) {
        m_batcher.pauseUntil(monotonicNow() + result.retryAfter);
    }
    // Only claims that certainly did not reach the log are refused; the others are decided by reading the log.
    if (result.error == PlatformError::Refused || result.error == PlatformError::NotSent) {
        for (const std::string &it : claims) {
            step(it, [](ClaimCall &call, Instant now) {
                return call.onAppendRefused(now);
            });
        }
    }
    scheduleTimer();
}

void ClaimService::onDispatchRefused(const std::string &nonce)
{
    step(nonce, [](ClaimCall &call, Instant now) {
        return call.onDispatchRefused(now);
    });
}

void ClaimService::onDispatchInterrupted(const std::string &nonce)
{
    m_hooks.onEvent(nonce, EventKind::ClaimInDoubt);
    step(nonce, [](ClaimCall &call, Instant now) {
        return call.onDispatchInterrupted(now);
    });
}

void ClaimService::onAnswer(const std::string &nonce, const decision::Outcome &outcome)
{
    step(nonce, [&outcome](ClaimCall &call, Instant now) {
        return call.onAnswer(now, outcome);
    });
}

void ClaimService::onLookupFinished(const std::string &nonce, const std::optional<decision::Outcome> &outcome)
{
    step(nonce, [&outcome](ClaimCall &call, Instant now) {
        return call.onLookupFinished(now, outcome);
    });
}

void ClaimService::onCallerDisconnected(const std::string &nonce)
{
    step(nonce, [](ClaimCall &call, Instant now) {
        return call.onCallerDisconnected(now);
    });
}

void ClaimService::onClaimDecided(const decision::ClaimDecision &decision)
{
    if (!m_runs.contains(decision.nonce)) {
        return;
    }
    m_hooks.onEvent(decision.nonce, decision.verdict == decision::ClaimVerdict::Won ? EventKind::ClaimWon : EventKind::ClaimLost);
    step(decision.nonce, [this, &decision](ClaimCall &call, Instant now) {
        return call.onClaimDecided(now, decision.verdict, m_ledger.find(decision.key));
    });
}

void ClaimService::onSettled(const std::string &nonce)
{
    if (m_runs.contains(nonce)) {
        m_hooks.onEvent(nonce, EventKind::ClaimOutcomeRecorded);
    }
    step(nonce, [](ClaimCall &call, Instant now) {
        return call.onSettled(now);
    });
}

void ClaimService::reconcile()
{
    std::vector<decision::ClaimDecision> decided;
    for (const auto &[nonce, run] : m_runs) {
        const decision::Claim &claim = run.call.claim();
        const decision::ClaimState *holder = m_ledger.find(claim.key);
        if (holder == nullptr) {
            continue; // not in the log yet, or released
        }
        const auto verdict = holder->nonce == nonce ? decision::ClaimVerdict::Won : decision::ClaimVerdict::Lost;
        decided.push_back({claim.key, claim.incarnation, nonce, verdict});
    }
    for (const decision::ClaimDecision &it : decided) {
        onClaimDecided(it);
        const decision::ClaimState *holder = m_ledger.find(it.key);
        if (holder != nullptr && holder->nonce == it.nonce && holder->outcome) {
            onSettled(it.nonce);
        }
    }
}

void ClaimService::append(decision::BatchItem item)
{
    m_batcher.add(std::move(item));
    scheduleTimer();
}

void ClaimService::setBatcherCount(std::size_t n)
{
    m_batcher.setBatcherCount(n);
}

} // namespace auburndrum::platform
