#include "auburndrum/gateway/readbudget.h"

namespace auburndrum::gateway {

namespace {

using std::chrono::milliseconds;

constexpr int LostAnswers = 2; // in a row, that a change survives in time

// Shares of the bound, in percent.
constexpr int RefreshShare = 60;
constexpr int RelayReadShare = 40;
constexpr int AnswerShare = 10;
constexpr int PollShare = 8;
constexpr int ApplyShare = 10;

milliseconds shareOf(milliseconds bound, int percent)
{
    return bound * percent / 100;
}

} // namespace

ReadBudget ReadBudget::of(milliseconds bound)
{
    ReadBudget it;
    it.refreshInterval = shareOf(bound, RefreshShare);
    it.relayReadTime = shareOf(bound, RelayReadShare);
    it.answerTime = shareOf(bound, AnswerShare);
    it.pollInterval = shareOf(bound, PollShare);
    it.applyTime = shareOf(bound, ApplyShare);
    return it;
}

milliseconds ReadBudget::longest() const
{
    return refreshInterval + (LostAnswers + 1) * answerTime + applyTime;
}

} // namespace auburndrum::gateway
