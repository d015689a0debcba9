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

/// What a keyed call is answered with.
enum class AnswerKind {
    Fresh, ///< the backend server's answer to this very call
    Replay, ///< the recorded answer of an earlier call with the key
    NotRun, ///< this call was not sent and never will be; may be tried again
    MayHaveRun, ///< sent, or held by another call whose outcome is not known (409)
    KeyReused, ///< the key was used with a different body (422)
    KeyExpired, ///< the key is older than the deduplication window, outcome unknown
};

/// The answer to a caller.
struct CallAnswer
{
    AnswerKind kind = AnswerKind::NotRun;
    std::optional<Outcome> outcome; ///< for Fresh and Replay
    std::chrono::milliseconds retryAfter{0}; ///< for NotRun and MayHaveRun
};

/// Put the claim into the log.
struct AppendClaimAction
{
    Claim claim;
};

/// Send the call to a backend server, once.
struct DispatchAction
{
    std::uint32_t attempt = 1; ///< above 1 when earlier servers took no byte of the call
};

/// Put the outcome into the log.
struct AppendOutcomeAction
{
    Outcome outcome;
};

/// Put the release into the log.
struct AppendReleaseAction
{
    Release release;
};

/// Ask the service for the outcome of the key.
struct LookupAction
{
};

/// Answer the caller. Given at most once.
struct AnswerAction
{
    CallAnswer answer;
};

using ClaimAction = std::variant<AppendClaimAction, DispatchAction, AppendOutcomeAction, AppendReleaseAction, LookupAction, AnswerAction>;
using ClaimActions = std::vector<ClaimAction>;

/// Options of one keyed call.
struct ClaimCallOptions
{
    Claim claim;
    Instant deadline; ///< no dispatch from here on
    std::chrono::milliseconds answerTimeout{120000}; ///< after the dispatch, then the outcome is in doubt
    std::chrono::milliseconds retryAfter{1000}; ///< told to callers
    std::chrono::milliseconds appendRetryInterval{1000}; ///< between appends of an outcome or release that is not in the log yet
    std::uint32_t maxAttempts = 3; ///< servers tried before one took a byte
    bool hasLookup = false; ///< the service has a look-up call
    std::chrono::milliseconds lookupInterval{5000}; ///< between look-ups while in doubt
    std::uint32_t maxLookups = 12; ///< then the doubt is left to the ledger's list
    bool isKeyExpired = false; ///< the key is older than the deduplication window
};

/// @brief State machine of one call that runs at most once.
///
/// Every method takes what happened and returns what to do. The call is sent only after the log has
/// decided for its claim, before its deadline, and never again once a byte of it may have left.
class ClaimCall
{
public:
    enum class State {
        New,
        Claiming, ///< the claim is on its way to the log
        Dispatched, ///< sent, no answer yet
        InDoubt, ///< sent, and the connection or the time ran out
        Abandoned, ///< not sent and answered; a claim that still shows up is released
        Recording, ///< the outcome is on its way to the log
        Releasing, ///< the release is on its way to the log
        Finished,
    };

    explicit ClaimCall(ClaimCallOptions options);

    /// Begins. Takes the claim that holds the key in this process's fold, and whether the log can be reached.
    ClaimActions start(Instant now, const ClaimState *holder, bool isLogUp);

    /// The log surely did not take the claim.
    ClaimActions onAppendRefused(Instant now);

    /// The log decided the claim. Takes the claim that now holds the key.
    ClaimActions onClaimDecided(Instant now, ClaimVerdict verdict, const ClaimState *holder);

    /// A backend server took no byte of the call, or said that it did not run it.
    ClaimActions onDispatchRefused(Instant now);

    /// The call was sent at least in part, and no whole answer can come any more.
    ClaimActions onDispatchInterrupted(Instant now);

    /// The backend server's answer is whole.
    ClaimActions onAnswer(Instant now, const Outcome &outcome);

    /// The service's look-up call ended; none when it does not know the key.
    ClaimActions onLookupFinished(Instant now, const std::optional<Outcome> &outcome);

    /// The fold took the outcome or the release of this claim.
    ClaimActions onSettled(Instant now);

    /// The caller went away.
    ClaimActions onCallerDisconnected(Instant now);

    /// Time passed. Call it at least at each @ref nextTick.
    ClaimActions tick(Instant now);

    /// When @ref tick has something to do; none when only events can move the call.
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
    Instant m_nextActionTime; ///< of the state: next settling append or next look-up
    Outcome m_outcome;
};

} // namespace auburndrum::decision
