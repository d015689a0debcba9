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

/// What a keyed call wants done, as its state machine decides.
struct ClaimRunHooks
{
    std::function<void(std::uint32_t attempt)> dispatch; ///< send the call, once
    std::function<void()> lookup; ///< ask the service for the key's outcome
    std::function<void(const decision::CallAnswer &)> answer; ///< answer the caller; at most once
};

/// Hooks of a ClaimService.
struct ClaimServiceHooks
{
    std::function<bool()> isLogUp;
    std::function<void(const std::string &nonce, EventKind kind)> onEvent; ///< for the time line
};

/// @brief Runs the keyed calls of this entry VM against the platform's log.
///
/// Claims, outcomes and releases of all calls share few appends. What the log says comes in through the took*
/// functions, in log order. Lives on the event loop's thread.
class ClaimService : public QObject
{
public:
    ClaimService(
        LogClient &log, const decision::ClaimLedger &ledger, decision::ClaimBatcherOptions options, ClaimServiceHooks hooks, QObject *parent = nullptr);

    /// Starts a call. Its nonce names it from here on.
    void run(decision::ClaimCallOptions options, ClaimRunHooks hooks);

    /// Tells what became of a dispatch.
    void dispatchRefused(const std::string &nonce);
    void dispatchBroken(const std::string &nonce);
    void answered(const std::string &nonce, const decision::Outcome &outcome);
    void lookedUp(const std::string &nonce, const std::optional<decision::Outcome> &outcome);
    void callerGone(const std::string &nonce);

    /// Tells what the log decided.
    void tookClaim(const decision::ClaimDecision &decision);
    void tookSettlement(const std::string &nonce);
    /// Looks all calls up in the ledger, after it took over a fold without its records.
    void reconcile();

    /// Puts what an operator or a look-up found into the log.
    void append(decision::BatchItem item);
    /// Tells how many live entry VMs append.
    void setBatchers(std::size_t n);
    /// Time for which a key's outcome is kept.
    std::chrono::milliseconds window() const
    {
        return m_ledger.deduplicationWindow();
    }
    /// Calls that are not settled yet.
    std::size_t active() const
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
    void arm();

    LogClient &m_log;
    const decision::ClaimLedger &m_ledger;
    decision::ClaimBatcher m_batcher;
    ClaimServiceHooks m_hooks;
    QTimer m_timer;
    std::map<std::string, Run> m_runs; ///< by nonce
};

} // namespace auburndrum::platform
