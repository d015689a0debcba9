#pragma once

#include "auburndrum/base/time.h"
#include "auburndrum/decision/claimledger.h"
#include "auburndrum/decision/logrecord.h"

#include <chrono>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace auburndrum::decision {

/// Kind of answer to a call with an idempotency key.
enum class AnswerKind {
    Fresh, ///< the backend server's response to this call
    Replay, ///< the recorded response to an earlier call with the key
    NotRun, ///< this call was not run and never will be; the caller may retry
    MayHaveRun, ///< this call was sent, or another call holds the key, and the outcome is not known (409)
    KeyReused, ///< the key was used for a different request (422)
    KeyExpired, ///< the key is older than the deduplication window, so its outcome is no longer known
};

/// The answer to a caller.
struct CallAnswer
{
    AnswerKind kind = AnswerKind::NotRun;
    std::optional<Outcome> outcome; ///< set for Fresh and Replay
    std::chrono::milliseconds retryAfter{0}; ///< delay before the caller's next try; set for NotRun and MayHaveRun
};

/// Append the claim to the log.
struct AppendClaimAction
{
    Claim claim;
};

/// Send the call to one backend server.
struct DispatchAction
{
    std::uint32_t attempt = 1; ///< number of this attempt, from 1; above 1 when the earlier servers did not run the call
};

/// Append the outcome to the log.
struct AppendOutcomeAction
{
    Outcome outcome;
};

/// Append the release to the log.
struct AppendReleaseAction
{
    Release release;
};

/// Send an outcome look-up for the key to the service.
struct LookupAction
{
};

/// Send the answer to the caller. Returned at most once per call.
struct AnswerAction
{
    CallAnswer answer;
};

using ClaimAction = std::variant<AppendClaimAction, DispatchAction, AppendOutcomeAction, AppendReleaseAction, LookupAction, AnswerAction>;
using ClaimActions = std::vector<ClaimAction>;

/// Options of one @ref ClaimCall.
struct ClaimCallOptions
{
    Claim claim;
    Instant deadline; ///< the call is not dispatched at or after this time
    std::chrono::milliseconds answerTimeout{120000}; ///< counted from the deadline; a dispatched call without a response is in doubt after that
    std::chrono::milliseconds retryAfter{1000}; ///< retry delay that callers are given
    std::chrono::milliseconds appendRetryInterval{1000}; ///< delay before an outcome or release that is not in the fold yet is appended again
    std::uint32_t maxAttempts = 3; ///< servers that the call may be dispatched to, as long as each of them did not run it
    bool hasLookup = false; ///< whether the service has an outcome look-up
    std::chrono::milliseconds lookupInterval{5000}; ///< delay between two look-ups while the call is in doubt
    std::uint32_t maxLookups = 12; ///< look-up intervals before the call is finished; its claim then stays in the ledger's in-doubt keys
    bool isKeyExpired = false; ///< whether the key is older than the deduplication window
};

/// @brief State machine of one call with an idempotency key, which runs at most once.
///
/// Each method handles an event and returns the actions that follow from it. The call is dispatched only after its
/// claim won in the log and before its deadline, and never again once a backend server may have run it.
class ClaimCall
{
public:
    enum class State {
        New,
        Claiming, ///< the claim is being appended; the log has not decided it
        Dispatched, ///< sent to a backend server, no response yet
        InDoubt, ///< sent, but the connection was lost or the answer timeout passed; the outcome is unknown
        Abandoned, ///< not sent, and the caller is answered or gone; a claim that wins late is released
        Recording, ///< the outcome is being appended; the fold does not have it yet
        Releasing, ///< the release is being appended; the fold does not have it yet
        Finished,
    };

    explicit ClaimCall(ClaimCallOptions options);

    /// Starts the call. @p holder is the claim that holds the key in this process's fold, null for none; @p isLogUp is whether the log is reachable.
    ClaimActions start(Instant now, const ClaimState *holder, bool isLogUp);

    /// Handles that the claim's append was refused.
    ClaimActions onAppendRefused(Instant now);

    /// Handles the log's decision on the claim. @p holder is the claim that now holds the key, null for none.
    ClaimActions onClaimDecided(Instant now, ClaimVerdict verdict, const ClaimState *holder);

    /// Handles a dispatch that certainly did not run: the server received no byte of the call, or reported that it did not run it.
    ClaimActions onDispatchRefused(Instant now);

    /// Handles a dispatch that may have run: the call was sent at least in part, and no complete response can arrive any more.
    ClaimActions onDispatchInterrupted(Instant now);

    /// Handles the backend server's complete response.
    ClaimActions onAnswer(Instant now, const Outcome &outcome);

    /// Handles the result of a look-up; @p outcome is empty when the service does not know the key.
    ClaimActions onLookupFinished(Instant now, const std::optional<Outcome> &outcome);

    /// Handles that the fold applied the outcome or the release of this claim.
    ClaimActions onSettled(Instant now);

    /// Handles that the caller disconnected.
    ClaimActions onCallerDisconnected(Instant now);

    /// Runs the timeouts and retries that are due. Call it at least at each @ref nextTick.
    ClaimActions tick(Instant now);

    /// When @ref tick has something to do; none when only events can change the state.
    std::optional<Instant> nextTick() const;

    State state() const;
    const Claim &claim() const;

private:
    ClaimActions answerOnce(CallAnswer answer);
    ClaimActions answerNotRun();
    ClaimActions answerFromHolder(const ClaimState &holder);
    ClaimActions dispatch();
    ClaimActions recordOutcome(Instant now, Outcome outcome);
    ClaimActions releaseClaim(Instant now);
    ClaimActions enterInDoubt(Instant now);
    ClaimActions lookUpOutcome(Instant now);

    ClaimCallOptions m_options;
    State m_state = State::New;
    bool m_isAnswered = false;
    std::uint32_t m_attempts = 0;
    std::uint32_t m_lookups = 0;
    Instant m_nextActionTime; ///< time of the next append of the outcome or release, or of the next look-up
    Outcome m_outcome;
};

} // namespace auburndrum::decision
