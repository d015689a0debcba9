#pragma once

#include "auburndrum/base/time.h"
#include "auburndrum/decision/stringmap.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace auburndrum::decision {

/// A request waiting in the entry VM for a backend server.
struct WaitingRequest
{
    std::uint64_t id = 0; ///< chosen by the user of the queue; unique within it
    std::string organisation;
    double cost = 0; ///< prompt tokens to prefill, or 1 for a request without a prompt
    Instant firstTokenDeadline{}; ///< time by which the first token is due; the request expires then
};

/// Share, concurrency limit and priority of one organisation, copied from its OrganisationGrant.
struct QueueGrant
{
    double share = 1.0; ///< weight in the fair queue, above 0
    std::uint32_t maxConcurrent = 0; ///< requests running at once; 0 means no limit per organisation
    std::uint8_t priority = 5; ///< from 0, the highest, to 9
};

/// Options of a FairQueue.
struct FairQueueOptions
{
    std::size_t maxWaiting = 1000; ///< requests of all organisations together
    std::chrono::milliseconds burstCredit{10000}; ///< unused share is credited for at most this time, so that a burst after it is served first
    std::chrono::milliseconds minRetryAfter{1000};
    std::chrono::milliseconds maxRetryAfter{30000};
};

/// Result of FairQueue::push() for the pushed request, and for one that it displaced from a full queue.
struct PushResult
{
    bool queued = false;
    std::chrono::milliseconds retryAfter{}; ///< for Retry-After of the pushed request if not queued, and of the displaced one
    std::optional<std::uint64_t> displacedId; ///< removed request of the organisation furthest above its share; refuse it as not run
};

/// Weighted fair queue over organisations for one service (start-time fair queueing). Not thread-safe.
///
/// An organisation below its share waits for about one request of the others, whatever their load.
/// Priority orders organisations that are within their share and doesn't reduce the share of any.
/// A full queue removes a request of the organisation furthest above its share.
class FairQueue
{
public:
    explicit FairQueue(const FairQueueOptions &options = {});

    /// Sets the grant of @p organisation; organisations without one have the defaults of QueueGrant.
    void setGrant(std::string_view organisation, const QueueGrant &grant);

    /// Queues a request, or refuses it when its predicted wait would exceed its deadline.
    PushResult push(WaitingRequest request, Instant now);

    /// Removes and returns the request to run next; nothing when none waits or all waiting organisations are at their limit.
    std::optional<WaitingRequest> pop(Instant now);

    /// Undoes the latest pop(): the request is first in its organisation's queue again, for example because no server has free capacity.
    void putBack(WaitingRequest request);

    /// Records that a popped request of @p organisation no longer runs.
    void onFinished(std::string_view organisation);

    /// Removes a waiting request, for example because its caller disconnected. False when it is not waiting.
    bool cancel(std::string_view organisation, std::uint64_t id);

    /// Removes and returns the waiting requests whose deadline has passed.
    std::vector<WaitingRequest> removeExpired(Instant now);

    /// Predicts how long a new request of @p organisation would wait; zero until the service rate is known.
    std::chrono::nanoseconds predictedWait(std::string_view organisation) const;

    std::size_t size() const;

private:
    struct Organisation
    {
        QueueGrant grant;
        std::deque<WaitingRequest> waiting;
        double waitingCost = 0;
        double virtualStart = 0; ///< virtual start time of its next request
        std::uint32_t running = 0;
    };

    using Organisations = StringMap<Organisation>;

    Organisation &findOrAddOrganisation(std::string_view name);
    Organisation *earliestRunnable();
    Organisation *nextToRun();
    bool isRunnable(const Organisation &organisation) const;
    void onRemoved(Organisation &organisation, double cost);
    double waitingShares() const;
    double virtualTimeRate(double shares) const;
    double virtualStartFor(const Organisation &organisation) const;
    Organisation *furthestAboveShare();
    void updateServiceRate(double cost, Instant now);
    std::chrono::milliseconds retryAfter(std::chrono::nanoseconds wait, std::chrono::nanoseconds allowed) const;

    FairQueueOptions m_options;
    Organisations m_organisations;
    std::size_t m_size = 0;
    double m_virtualTime = 0; ///< earliest virtual start of a runnable organisation at the latest pop
    double m_virtualTimeBeforePop = 0;
    double m_maxRequestCost = 0;
    double m_servedCostPerSecond = 0; ///< moving mean over pops while requests wait
    double m_rateWindowCost = 0;
    Instant m_rateWindowStart{};
};

} // namespace auburndrum::decision
