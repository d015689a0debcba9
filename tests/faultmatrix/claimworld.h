#pragma once

#include "virtualtime.h"

#include "auburndrum/decision/claimcalltable.h"
#include "auburndrum/decision/logfold.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace faultmatrix {

using namespace auburndrum::decision;

/// What can go wrong at one step.
enum class Fault {
    None,
    Kill, ///< the process dies and comes back empty, with a new incarnation
    Pause, ///< the process stops for longer than every time out, then goes on
    Refuse, ///< the peer refuses without effect
    LoseReply, ///< the peer's effect takes place, the reply is lost
    ApplyLate, ///< the reply is lost, and the effect takes place after every time out
    Slow, ///< effect and reply take a second
    Silent, ///< no effect, no reply
    ZoneCut, ///< from here on the zone reaches neither the log nor the backend server, for a while
    LogOutage, ///< from here on the log refuses everyone, for a while
};
constexpr int Faults = 10;

/// Steps of a keyed call at which a fault may strike.
enum class Step {
    BeforeStart,
    AppendClaim,
    BeforeDecision,
    AfterDecision,
    Dispatch,
    BeforeAnswer,
    AppendOutcome,
    Settle,
};
constexpr int Steps = 8;

/// A fault at a step of the first caller's entry VM.
struct Strike
{
    Step step = Step::BeforeStart;
    Fault fault = Fault::None;
};

/// Broken variants: what a process does wrong around the shipped code.
struct Mutation
{
    bool trustsAppendReply = false; ///< dispatches when the append is confirmed, without reading the log
    bool ignoresVerdict = false; ///< takes a lost claim for a won one
    bool ignoresDeadline = false; ///< its clock stands still when the log decides
    bool retriesAfterByte = false; ///< takes a broken connection for one that took no byte
    bool dispatchesAbandoned = false; ///< sends a call that was answered "not run" when its claim wins late
};

/// What the callers and the backend server saw.
struct Judgement
{
    std::map<std::string, int> executions; ///< by key
    std::map<std::string, bool> sentByNonce;
    std::map<std::string, AnswerKind> answers; ///< by nonce
    std::vector<std::string> violations;
    std::uint64_t checks = 0;
    std::uint64_t strikes = 0; ///< faults that took place
};

/// Two entry VMs, a log and a backend server in virtual time, driven through the shipped decision code.
class ClaimWorld
{
public:
    ClaimWorld(std::vector<Strike> strikes, Mutation mutation);

    /// Calls with the same key at this entry VM, at this time after the start.
    void call(std::size_t entry, std::chrono::milliseconds at, const std::string &key, const std::string &body = "print");

    /// Runs until nothing can happen any more, and checks every invariant.
    Judgement run();

private:
    struct Entry
    {
        std::string name;
        int incarnation = 0;
        LogFold fold;
        ClaimCallTable calls;
        Instant pausedUntil;
        Instant cutUntil;
    };

    void onEntry(std::size_t entry, std::chrono::milliseconds delay, std::function<void()> action);
    Fault strike(std::size_t entry, Step step);
    void hit(std::size_t entry, Fault fault);
    void start(std::size_t entry, const std::string &key, const std::string &body);
    void perform(std::size_t entry, const std::string &nonce, const ClaimActions &actions);
    void append(std::size_t entry, const std::string &nonce, Step step, const LogRecord &record);
    void appended(std::size_t entry, const std::string &nonce, Step step, bool isTaken);
    void dispatch(std::size_t entry, const std::string &nonce);
    void execute(const std::string &nonce, std::chrono::milliseconds delay);
    void answer(std::size_t entry, const std::string &nonce, std::chrono::milliseconds delay);
    void breakOff(std::size_t entry, const std::string &nonce, std::chrono::milliseconds delay, bool isRefused);
    void readLog(std::size_t entry);
    void decide(std::size_t entry, const ClaimDecision &decision);
    void tick(std::size_t entry);
    bool isLogUp(std::size_t entry) const;
    void checkAnswer(const std::string &nonce, const CallAnswer &given);
    void check(bool isTrue, const std::string &what);
    void checkEnd();

    std::vector<Strike> m_strikes;
    Mutation m_mutation;
    VirtualTime m_time;
    std::vector<std::string> m_log;
    std::vector<WallTime> m_logTimes;
    Instant m_logDownUntil;
    std::vector<Entry> m_entries;
    std::map<std::string, Claim> m_claims; ///< by nonce
    std::map<std::string, Instant> m_deadlines; ///< by nonce
    std::set<std::string> m_orphans; ///< nonces of calls whose process died
    Judgement m_judgement;
};

} // namespace faultmatrix
