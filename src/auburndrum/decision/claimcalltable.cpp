#include "auburndrum/decision/claimcalltable.h"

#include <algorithm>
#include <utility>

namespace auburndrum::decision {

namespace {

// The fold rejects a claim once log time is past its deadline, so the claim of an abandoned call can't win any more.
bool isRemovable(const ClaimCall &call, WallTime logTime)
{
    const bool isVoid = call.state() == ClaimCall::State::Abandoned && logTime > call.claim().deadline;
    return isVoid || call.state() == ClaimCall::State::Finished;
}

} // namespace

ClaimCall &ClaimCallTable::add(const ClaimCallOptions &options)
{
    return m_calls.try_emplace(options.claim.nonce, options).first->second;
}

ClaimCall *ClaimCallTable::find(const std::string &nonce)
{
    const auto it = m_calls.find(nonce);
    return it == m_calls.end() ? nullptr : &it->second;
}

CallActions ClaimCallTable::onClaimDecided(Instant now, const ClaimDecision &decision, const ClaimLedger &ledger)
{
    ClaimCall *call = find(decision.nonce);
    if (call == nullptr) {
        return {decision.nonce, {}};
    }
    return {decision.nonce, call->onClaimDecided(now, decision.verdict, ledger.find(decision.key))};
}

void ClaimCallTable::onClaimSettled(Instant now, const std::string &nonce)
{
    if (ClaimCall *call = find(nonce)) {
        call->onSettled(now);
    }
}

std::vector<CallActions> ClaimCallTable::tick(Instant now, WallTime logTime)
{
    std::vector<CallActions> all;
    for (auto &[nonce, call] : m_calls) {
        ClaimActions actions = call.tick(now);
        if (actions.empty()) {
            continue;
        }
        all.push_back({nonce, std::move(actions)});
    }
    std::erase_if(m_calls, [logTime](const auto &it) {
        return isRemovable(it.second, logTime);
    });
    return all;
}

std::optional<Instant> ClaimCallTable::nextTick() const
{
    std::optional<Instant> next;
    for (const auto &[nonce, call] : m_calls) {
        const std::optional<Instant> it = call.nextTick();
        if (it && (!next || *it < *next)) {
            next = it;
        }
    }
    return next;
}

std::size_t ClaimCallTable::size() const
{
    return m_calls.size();
}

} // namespace auburndrum::decision
