// Replays runs of claims.pml through the shipped claim code: every step must give the actions that the specification names.

#include "auburndrum/decision/claimcalltable.h"
#include "auburndrum/decision/logfold.h"

#include <array>
#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

using namespace auburndrum;
using namespace auburndrum::decision;
using namespace std::chrono_literals;

namespace {

constexpr Instant T0{1h};
constexpr WallTime LogTime{std::chrono::hours(500000)};
constexpr WallTime LateLogTime = LogTime + 1h;
constexpr std::size_t Calls = 2;
constexpr auto Deadline = 10s;

constexpr std::array<std::string_view, std::variant_size_v<ClaimAction>> ActionNames
    = {"append_claim", "dispatch", "append_outcome", "append_release", "look_up", "answer"};
constexpr std::array<std::string_view, 6> AnswerNames
    = {"answer_fresh", "answer_replay", "answer_not_run", "answer_may_have_run", "answer_key_reused", "answer_expired"};

std::string namesOf(const ClaimActions &actions)
{
    std::string names;
    for (const ClaimAction &it : actions) {
        const auto *answer = std::get_if<AnswerAction>(&it);
        const std::string_view name = answer != nullptr ? AnswerNames.at(std::size_t(answer->answer.kind)) : ActionNames.at(it.index());
        names += names.empty() ? "" : " ";
        names += name;
    }
    return names;
}

struct Entry
{
    LogRecord record;
    bool isVoid = false;
};

/// One call with the fold of its entry VM.
class Replica
{
public:
    explicit Replica(std::size_t n)
        : m_claim{{"orders", "lounas", "k1"}, "print", "vm" + std::to_string(n), "nonce" + std::to_string(n), LogTime + 1min}
        , m_outcome{m_claim.key, m_claim.nonce, 200, "", "soup", "", OutcomeSource::Answer}
        , m_call({.claim = m_claim, .deadline = T0 + Deadline})
    {
    }

    LogRecord record(const std::string &kind) const
    {
        if (kind == "claim") {
            return ClaimBatchRecord{{m_claim}};
        }
        if (kind == "release") {
            return ReleaseRecord{{{m_claim.key, m_claim.nonce}}};
        }
        return OutcomeBatchRecord{{m_outcome}};
    }

    /// Drives the call by one event of the specification.
    ClaimActions step(const std::string &event, const std::vector<Entry> &log)
    {
        const ClaimState *holder = m_ledger.find(m_claim.key);
        if (event == "fold") {
            fold(log);
            return {};
        }
        if (event == "start" || event == "start_log_down") {
            return m_call.start(T0, holder, event == "start");
        }
        if (event == "refused") {
            return m_call.onAppendRefused(T0);
        }
        if (event == "decided" || event == "decided_past_deadline") {
            return m_call.onClaimDecided(event == "decided" ? T0 : T0 + Deadline, m_decision.value().verdict, holder);
        }
        if (event == "dispatch_refused" || event == "dispatch_refused_past_deadline") {
            return m_call.onDispatchRefused(event == "dispatch_refused" ? T0 : T0 + Deadline);
        }
        if (event == "broken") {
            return m_call.onDispatchInterrupted(T0);
        }
        if (event == "answered") {
            return m_call.onAnswer(T0, m_outcome);
        }
        if (event == "deadline" || event == "settle_timer") {
            return m_call.tick(m_call.nextTick().value());
        }
        return {AppendClaimAction{{{}, "unknown event", {}, {}, {}}}, LookupAction{}};
    }

private:
    void fold(const std::vector<Entry> &log)
    {
        const Entry &entry = log.at(m_position++);
        if (const auto *claims = std::get_if<ClaimBatchRecord>(&entry.record)) {
            const ClaimDecision decision = m_ledger.apply(m_position, entry.isVoid ? LateLogTime : LogTime, claims->claims.front());
            if (decision.nonce == m_claim.nonce) {
                m_decision = decision;
            }
            return;
        }
        bool isOwn = false;
        if (const auto *releases = std::get_if<ReleaseRecord>(&entry.record)) {
            isOwn = m_ledger.apply(releases->releases.front()) && releases->releases.front().nonce == m_claim.nonce;
        }
        if (const auto *outcomes = std::get_if<OutcomeBatchRecord>(&entry.record)) {
            isOwn = m_ledger.apply(outcomes->outcomes.front()) && outcomes->outcomes.front().nonce == m_claim.nonce;
        }
        if (isOwn) {
            m_call.onSettled(T0);
        }
    }

    Claim m_claim;
    Outcome m_outcome;
    ClaimCall m_call;
    ClaimLedger m_ledger;
    std::optional<ClaimDecision> m_decision;
    std::size_t m_position = 0;
};

struct Run
{
    std::vector<Replica> replicas;
    std::vector<Entry> log;

    Run()
    {
        for (std::size_t it = 0; it < Calls; ++it) {
            replicas.emplace_back(it);
        }
    }
};

/// Replays one line "step CALL EVENT -> ACTIONS". Returns what the code did instead, if it differs.
std::optional<std::string> replay(Run &run, std::istringstream &line)
{
    std::size_t n = 0;
    std::string event;
    std::string arrow;
    line >> n >> event >> arrow;
    std::string expected;
    std::getline(line >> std::ws, expected);
    if (event.starts_with("log_")) {
        const std::string kind = event.substr(4, event.rfind('_') - 4);
        run.log.push_back({run.replicas.at(n).record(kind), event.ends_with("_1")});
        return std::nullopt;
    }
    const std::string actual = namesOf(run.replicas.at(n).step(event, run.log));
    return actual == expected ? std::nullopt : std::optional(event + ": expected '" + expected + "', got '" + actual + "'");
}

} // namespace

int main(int argc, char **argv)
{
    std::ifstream file(argc > 1 ? argv[1] : "");
    Run run;
    std::string text;
    std::string name;
    std::size_t steps = 0;
    std::size_t runs = 0;
    while (std::getline(file, text)) {
        std::istringstream line(text);
        std::string word;
        line >> word;
        if (word == "run") {
            run = Run();
            line >> name;
            ++runs;
            continue;
        }
        ++steps;
        if (const auto difference = replay(run, line)) {
            std::cerr << "run " << name << ", step " << steps << ", " << *difference << '\n';
            return 1;
        }
    }
    std::cout << runs << " runs, " << steps << " steps replayed\n";
    return runs > 0 && steps > runs ? 0 : 1;
}
