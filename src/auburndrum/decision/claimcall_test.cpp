#include "auburndrum/decision/claimcall.h"

#include <doctest/doctest.h>

using namespace auburndrum;
using namespace auburndrum::decision;
using namespace std::chrono_literals;
using State = ClaimCall::State;

namespace {

constexpr Instant T0{1h};
constexpr WallTime At{std::chrono::hours(500000)};
const ClaimKey OrderKey{"orders", "lounas", "k1"};
const Outcome Soup{OrderKey, "a", 200, "text/plain", "Soup", "", OutcomeSource::Answer};

ClaimCall newCall(bool hasLookup = false)
{
    return ClaimCall({.claim = {OrderKey, "print", "vm1", "a", At + 10s}, .deadline = T0 + 10s, .hasLookup = hasLookup});
}

ClaimCall dispatchedCall()
{
    ClaimCall call = newCall();
    call.start(T0, nullptr, true);
    call.onClaimDecided(T0, ClaimVerdict::Won, nullptr);
    return call;
}

ClaimState heldBy(const std::string &nonce, const std::string &fingerprint = "print")
{
    return {fingerprint, "vm2", nonce, At, 1, At, nullptr};
}

template<typename T>
const T *find(const ClaimActions &actions)
{
    for (const ClaimAction &it : actions) {
        if (const T *action = std::get_if<T>(&it)) {
            return action;
        }
    }
    return nullptr;
}

AnswerKind answerOf(const ClaimActions &actions)
{
    const auto *action = find<AnswerAction>(actions);
    REQUIRE(action != nullptr);
    return action->answer.kind;
}

} // namespace

TEST_CASE("a call is dispatched only after its claim has won in the log, and only once")
{
    ClaimCall call = newCall();
    const ClaimActions started = call.start(T0, nullptr, true);
    CHECK(find<AppendClaimAction>(started) != nullptr);
    CHECK(find<DispatchAction>(started) == nullptr);
    CHECK(find<DispatchAction>(call.onClaimDecided(T0 + 1s, ClaimVerdict::Won, nullptr)) != nullptr);
    CHECK(call.onClaimDecided(T0 + 1s, ClaimVerdict::Won, nullptr).empty());
}

TEST_CASE("a response is forwarded to the caller and appended again until the fold has it")
{
    ClaimCall call = dispatchedCall();
    const ClaimActions actions = call.onAnswer(T0 + 1s, Soup);
    CHECK(answerOf(actions) == AnswerKind::Fresh);
    CHECK(find<AppendOutcomeAction>(actions) != nullptr);
    CHECK(find<AppendOutcomeAction>(call.tick(T0 + 2s)) != nullptr);
    call.onSettled(T0 + 3s);
    CHECK(call.state() == State::Finished);
}

TEST_CASE("a call is answered as not run at once when the log is unreachable")
{
    ClaimCall call = newCall();
    CHECK(answerOf(call.start(T0, nullptr, false)) == AnswerKind::NotRun);
    CHECK(call.state() == State::Finished);
}

TEST_CASE("a call whose key another claim holds is answered from the state of that claim")
{
    ClaimState holder = heldBy("b");
    CHECK(answerOf(newCall().start(T0, &holder, false)) == AnswerKind::MayHaveRun);
    const ClaimState other = heldBy("b", "other");
    CHECK(answerOf(newCall().start(T0, &other, true)) == AnswerKind::KeyReused);
    holder.outcome = std::make_shared<const Outcome>(Soup);
    CHECK(answerOf(newCall().start(T0, &holder, true)) == AnswerKind::Replay);
}

TEST_CASE("a call whose claim lost is answered as not run when the holder has released the key")
{
    ClaimCall call = newCall();
    call.start(T0, nullptr, true);
    CHECK(answerOf(call.onClaimDecided(T0, ClaimVerdict::Lost, nullptr)) == AnswerKind::NotRun);
}

TEST_CASE("a claim that wins after its deadline is released, never dispatched")
{
    ClaimCall call = newCall();
    call.start(T0, nullptr, true);
    const ClaimActions actions = call.onClaimDecided(T0 + 10s, ClaimVerdict::Won, nullptr);
    CHECK(find<DispatchAction>(actions) == nullptr);
    CHECK(find<AppendReleaseAction>(actions) != nullptr);
    CHECK(answerOf(actions) == AnswerKind::NotRun);
}

TEST_CASE("a claim that wins after the call was abandoned is released")
{
    ClaimCall call = newCall();
    call.start(T0, nullptr, true);
    CHECK(answerOf(call.tick(T0 + 10s)) == AnswerKind::NotRun);
    const ClaimActions actions = call.onClaimDecided(T0 + 11s, ClaimVerdict::Won, nullptr);
    CHECK(find<AppendReleaseAction>(actions) != nullptr);
    CHECK(find<AnswerAction>(actions) == nullptr);
    CHECK(find<AppendReleaseAction>(call.tick(T0 + 13s)) != nullptr);
}

TEST_CASE("a refused dispatch is repeated on another server up to the attempt limit")
{
    ClaimCall call = dispatchedCall();
    CHECK(find<DispatchAction>(call.onDispatchRefused(T0 + 1s)) != nullptr);
    CHECK(find<DispatchAction>(call.onDispatchRefused(T0 + 2s)) != nullptr);
    const ClaimActions actions = call.onDispatchRefused(T0 + 3s);
    CHECK(find<AppendReleaseAction>(actions) != nullptr);
    CHECK(answerOf(actions) == AnswerKind::NotRun);
}

TEST_CASE("a refused dispatch is not repeated after the deadline")
{
    ClaimCall call = dispatchedCall();
    CHECK(find<DispatchAction>(call.onDispatchRefused(T0 + 10s)) == nullptr);
}

TEST_CASE("an interrupted dispatch leaves the call in doubt, is not repeated, and a late response is recorded")
{
    ClaimCall call = dispatchedCall();
    const ClaimActions broken = call.onDispatchInterrupted(T0 + 1s);
    CHECK(answerOf(broken) == AnswerKind::MayHaveRun);
    CHECK(find<DispatchAction>(broken) == nullptr);
    CHECK(call.onDispatchRefused(T0 + 2s).empty());
    const ClaimActions late = call.onAnswer(T0 + 3s, Soup);
    CHECK(find<AppendOutcomeAction>(late) != nullptr);
    CHECK(find<AnswerAction>(late) == nullptr);
}

TEST_CASE("a call without a response is in doubt after the answer timeout")
{
    ClaimCall call = dispatchedCall();
    CHECK(call.tick(T0 + 129s).empty());
    CHECK(answerOf(call.tick(T0 + 130s)) == AnswerKind::MayHaveRun);
}

TEST_CASE("a look-up settles an in-doubt call only when the service knows the key")
{
    ClaimCall call = newCall(true);
    call.start(T0, nullptr, true);
    call.onClaimDecided(T0, ClaimVerdict::Won, nullptr);
    CHECK(find<LookupAction>(call.onDispatchInterrupted(T0 + 1s)) != nullptr);
    CHECK(call.onLookupFinished(T0 + 2s, std::nullopt).empty());
    CHECK(call.state() == State::InDoubt);
    CHECK(find<AppendOutcomeAction>(call.onLookupFinished(T0 + 3s, Soup)) != nullptr);
}

TEST_CASE("a call is not dispatched when the caller disconnected before the log decided its claim")
{
    ClaimCall call = newCall();
    call.start(T0, nullptr, true);
    call.onCallerDisconnected(T0 + 1s);
    const ClaimActions actions = call.onClaimDecided(T0 + 2s, ClaimVerdict::Won, nullptr);
    CHECK(find<DispatchAction>(actions) == nullptr);
    CHECK(find<AppendReleaseAction>(actions) != nullptr);
}

TEST_CASE("a key older than the window is answered as expired unless a claim still holds it")
{
    const ClaimState holder = heldBy("b");
    const ClaimCallOptions options{.claim = {OrderKey, "print", "vm1", "a", At}, .deadline = T0 + 10s, .isKeyExpired = true};
    CHECK(answerOf(ClaimCall(options).start(T0, nullptr, true)) == AnswerKind::KeyExpired);
    CHECK(answerOf(ClaimCall(options).start(T0, &holder, true)) == AnswerKind::MayHaveRun);
}

TEST_CASE("look-ups of an in-doubt call are repeated up to the limit, then the call is finished")
{
    ClaimCall call({.claim = {OrderKey, "print", "vm1", "a", At}, .deadline = T0 + 10s, .hasLookup = true, .maxLookups = 2});
    call.start(T0, nullptr, true);
    call.onClaimDecided(T0, ClaimVerdict::Won, nullptr);
    CHECK(find<LookupAction>(call.onDispatchInterrupted(T0)) != nullptr);
    CHECK(find<LookupAction>(call.tick(T0 + 5s)) != nullptr);
    CHECK(call.tick(T0 + 10s).empty());
    CHECK(call.state() == State::Finished);
}
