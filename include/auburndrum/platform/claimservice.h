#pragma once

#include "auburndrum/base/timeline.h"
#include "auburndrum/decision/claimbatcher.h"
#include "auburndrum/decision/claimcall.h"
#include "auburndrum/decision/claimledger.h"
#include "auburndrum/platform/logclient.h"

#include <QObject>
#include <QTimer>

#include <functional>
#include <map>
#include <string>

namespace auburndrum::platform {

/// Actions that the state machine of a call with an idempotency key requests from its owner.
struct ClaimRunHooks
{
    std::function<void(std::uint32_t attempt)> dispatch; ///< sends the call to the service once
    std::function<void()> lookup; ///< asks the service for the key's outcome
    std::function<void(const decision::CallAnswer &)> answer; ///< answers the caller; called at most once
};

/// Hooks of a ClaimService.
struct ClaimServiceHooks
{
    std::function<bool()> isLogUp;
    std::function<void(const std::string &nonce, EventKind kind)> onEvent; ///< for the time line
};

/// @brief Runs this entry VM's calls with idempotency keys, recording their claims and outcomes in the platform's log.
///
/// Claims, outcomes and releases of all calls are batched into few appends. The owner reports what it reads from the log,
/// in log order. All functions must be called on the event loop's thread.
class ClaimService : public QObject
{
public:
    ClaimService(
        LogClient &log, const decision::ClaimLedger &ledger, decision::ClaimBatcherOptions options, ClaimServiceHooks hooks, QObject *parent = nullptr);

    /// Starts a call. The nonce of its claim identifies it in all other functions.
    void run(decision::ClaimCallOptions options, ClaimRunHooks hooks);

    /// Report the result of a dispatch, of a look-up, or that the caller disconnected.
    void onDispatchRefused(const std::string &nonce);
    void onDispatchInterrupted(const std::string &nonce);
    void onAnswer(const std::string &nonce, const decision::Outcome &outcome);
    void onLookupFinished(const std::string &nonce, const std::optional<decision::Outcome> &outcome);
    void onCallerDisconnected(const std::string &nonce);

    /// Report claims and outcomes as they are read from the log.
    void onClaimDecided(const decision::ClaimDecision &decision);
    void onSettled(const std::string &nonce);
    /// Looks up all calls in the ledger. For use after a snapshot was loaded, whose records were not reported one by one.
    void reconcile();

    /// Appends an outcome or release that an operator or a look-up determined.
    void append(decision::BatchItem item);
    /// Sets the number of live entry VMs that append to the log and so share its append rate.
    void setBatcherCount(std::size_t n);
    /// Time for which a key's outcome is remembered.
    std::chrono::milliseconds deduplicationWindow() const
    {
        return m_ledger.deduplicationWindow();
    }
    /// Number of calls that are not settled yet.
    std::size_t unsettledCount() const
    {
        return m_runs.size();
    }

private:
    struct Run
    {
        decision::ClaimCall call;
        ClaimRunHooks hooks;
    };
    using Step = std::function<decision::ClaimActions(decision::ClaimCall &, Instant)>;

    void step(const std::string &nonce, const Step &step);
    void perform(const std::string &nonce, const decision::ClaimActions &actions);
    void perform(const std::string &nonce, const decision::ClaimAction &action);
    void queue(const std::string &nonce, decision::BatchItem item);
    void handleTimer();
    void appendBatch();
    void handleAppended(const std::vector<std::string> &claims, const AppendResult &result);
    void scheduleTimer();

    LogClient &m_log;
    const decision::ClaimLedger &m_ledger;
    decision::ClaimBatcher m_batcher;
    ClaimServiceHooks m_hooks;
    QTimer m_timer;
    std::map<std::string, Run> m_runs; ///< by nonce
};

} // namespace auburndrum::platform
