#include "auburndrum/decision/placement.h"

#include <algorithm>

namespace auburndrum::decision {

namespace {

using Seconds = std::chrono::duration<double>;

double remainingReportedTokens(const Server &server, Instant now, double rate)
{
    if (!server.hasLoadReport) {
        return 0;
    }
    const Seconds age = std::max(now - server.load.measuredAt, std::chrono::nanoseconds(0));
    const double remaining = static_cast<double>(server.load.queuedPrefillTokens) - age.count() * rate;
    return std::max(remaining, 0.0);
}

// Prompt tokens of unreported requests that are not prefilled yet. The server prefills them in the order they were sent.
double remainingUnreportedTokens(const Server &server, Instant now, double rate)
{
    double remaining = 0;
    Instant previousSentAt{};
    for (const SentRequest &it : server.unreportedRequests) {
        const Seconds sincePrevious = it.sentAt - previousSentAt;
        remaining = std::max(remaining - sincePrevious.count() * rate, 0.0) + it.prefillTokens;
        previousSentAt = it.sentAt;
    }
    const Seconds sinceLast = std::max(now - previousSentAt, std::chrono::nanoseconds(0));
    return std::max(remaining - sinceLast.count() * rate, 0.0);
}

} // namespace

std::chrono::nanoseconds predictedQueueTime(const Server &server, const RouterOptions &options, Instant now)
{
    const bool hasReportedRate = server.hasLoadReport && server.load.prefillTokensPerSecond > 0;
    const double rate = hasReportedRate ? server.load.prefillTokensPerSecond : options.defaultPrefillTokensPerSecond;
    const double tokens = remainingReportedTokens(server, now, rate) + remainingUnreportedTokens(server, now, rate);
    const Seconds wait(tokens / rate);
    return std::chrono::duration_cast<std::chrono::nanoseconds>(wait);
}

} // namespace auburndrum::decision
