#include "auburndrum/decision/placement.h"

#include <algorithm>

namespace auburndrum::decision {

namespace {

using Seconds = std::chrono::duration<double>;

double reportedTokens(const Server &server, Instant now, double rate)
{
    if (!server.hasLoadReport) {
        return 0;
    }
    const Seconds age = std::max(now - server.load.measuredAt, std::chrono::nanoseconds(0));
    const double left = static_cast<double>(server.load.queuedPrefillTokens) - age.count() * rate;
    return std::max(left, 0.0);
}

// Own requests are worked off one after another, each from when it was sent.
double ownTokens(const Server &server, Instant now, double rate)
{
    double left = 0;
    Instant last{};
    for (const SentRequest &it : server.unreportedRequests) {
        const Seconds between = it.sentAt - last;
        left = std::max(left - between.count() * rate, 0.0) + it.prefillTokens;
        last = it.sentAt;
    }
    const Seconds since = std::max(now - last, std::chrono::nanoseconds(0));
    return std::max(left - since.count() * rate, 0.0);
}

} // namespace

std::chrono::nanoseconds predictedQueueTime(const Server &server, const RouterOptions &options, Instant now)
{
    const bool rated = server.hasLoadReport && server.load.prefillTokensPerSecond > 0;
    const double rate = rated ? server.load.prefillTokensPerSecond : options.defaultPrefillTokensPerSecond;
    const double tokens = reportedTokens(server, now, rate) + ownTokens(server, now, rate);
    const Seconds wait(tokens / rate);
    return std::chrono::duration_cast<std::chrono::nanoseconds>(wait);
}

} // namespace auburndrum::decision
