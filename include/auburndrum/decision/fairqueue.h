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

/// A request that waits for a backend server.
struct WaitingRequest
{
    std::uint64_t id = 0; ///< the caller's number for it
    std::string organisation;
    double cost = 0; ///< prompt tokens to compute, or 1 for a plain call
    Instant firstTokenDeadline{}; ///< for the first token
};

/// What an organisation may use, from OrganisationGrant.
struct QueueGrant
{
    double share = 1.0; ///< weight, above 0
    std::uint32_t maxConcurrent = 0; ///< requests at once; 0 means no limit of its own
    std::uint8_t priority = 5; ///< 0 highest to 9
};

/// Options of a FairQueue.
struct FairQueueOptions
{
    std::size_t maxWaiting = 1000; ///< waiting requests
    std::chrono::milliseconds burstCredit{10000}; ///< unused share of this time back lets a burst go first
    std::chrono::milliseconds minRetryAfter{1000};
    std::chrono::milliseconds maxRetryAfter{30000};
};

/// What became of a pushed request, and of one that had to make room.
struct PushResult
{
    bool queued = false;
    std::chrono::milliseconds retryAfter{}; ///< when not queued; also for the displaced request
    std::optional<std::uint64_t> displacedId; ///< a request of the organisation furthest above its share; refuse it as not run
};

/// Weighted fair queue over organisations for one service (start-time fair queueing). Not thread-safe.
///
/// An organisation that asks for less than its share waits for about one request of others, whatever they ask for.
/// Priority orders the organisations that are within their share; it takes nobody's share away.
/// A full queue refuses at the cost of the organisation furthest above its share.
class FairQueue
{
public:
    explicit FairQueue(const FairQueueOptions &options = {});

    /// Sets what @p organisation may use; without it the defaults of QueueGrant hold.
    void setGrant(std::string_view organisation, const QueueGrant &grant);

    /// Queues a request, or refuses it at once when its wait is predicted past its deadline.
    PushResult push(WaitingRequest request, Instant now);

    /// Takes the request to run next; nothing when none waits or all waiting organisations are at their limit.
    std::optional<WaitingRequest> pop(Instant now);

    /// Puts the request of the latest pop() back in front, as when no server can take it yet. Undoes that pop.
    void putBack(WaitingRequest request);

    /// Counts a popped request of @p organisation as ended.
    void onFinished(std::string_view organisation);

    /// Removes a waiting request, as when its caller went. False when it is not waiting.
    bool cancel(std::string_view organisation, std::uint64_t id);

    /// Removes and returns requests whose deadline has passed.
    std::vector<WaitingRequest> removeExpired(Instant now);

    /// Predicts how long a further request of @p organisation waits; zero before anything was popped.
    std::chrono::nanoseconds predictedWait(std::string_view organisation) const;

    std::size_t size() const;

private:
    struct Organisation
    {
        QueueGrant grant;
        std::deque<WaitingRequest> waiting;
        double waitingCost = 0;
        double virtualStart = 0; ///< virtual time from which its next request is due
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
    double m_virtualTime = 0; ///< start of the request due soonest when one was last popped
    double m_virtualTimeBeforePop = 0;
    double m_maxRequestCost = 0;
    double m_servedCostPerSecond = 0; ///< learned from pops while requests wait
    double m_rateWindowCost = 0;
    Instant m_rateWindowStart{};
};

} // namespace auburndrum::decision
