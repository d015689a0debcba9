#pragma once

#include "auburndrum/decision/concurrencylimit.h"
#include "auburndrum/decision/fairqueue.h"
#include "auburndrum/decision/servicedocument.h"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace auburndrum::caller {

class AdmissionGate;

/// @brief Permit to send one request, issued by AdmissionGate. Its destructor releases the permit.
class AdmissionTicket
{
public:
    AdmissionTicket(AdmissionGate &gate, std::string service, std::string organisation, std::chrono::nanoseconds allowedWait, Instant admitted);
    ~AdmissionTicket();
    AdmissionTicket(const AdmissionTicket &) = delete;
    AdmissionTicket &operator=(const AdmissionTicket &) = delete;

    /// Records the first output. From then on the request doesn't count against the service's concurrency limit.
    void onFirstOutput(Instant now);
    /// Records that a backend server refused the request as overloaded or gave no complete response. Lowers the service's limit.
    void onOverloaded(Instant now);

private:
    AdmissionGate &m_gate;
    std::string m_service;
    std::string m_organisation;
    std::chrono::nanoseconds m_allowedWait;
    Instant m_admitted;
    friend class AdmissionGate;

    bool m_isReturned = false; ///< the request is back in the queue, so the destructor releases nothing
    bool m_isCounted = true; ///< still counts against the service's concurrency limit
};

/// A request for admission.
struct AdmissionRequest
{
    std::string organisation;
    double cost = 1; ///< cost for the fair queue: prompt tokens, or 1 for a call to a plain service
    Instant deadline{}; ///< the request is refused if it still waits at this time
    std::chrono::nanoseconds allowedWait{}; ///< longest time from admission to the first output that is no sign of overload
};

/// Hooks of a request for admission. They may run before enter() returns.
struct AdmissionHooks
{
    /// Moves the ticket out, starts the request and returns true. Returns false without moving the ticket if no backend
    /// server has free capacity yet; the request then returns to the front of the queue.
    std::function<bool(std::unique_ptr<AdmissionTicket> &)> onAdmitted;
    std::function<void(std::chrono::milliseconds retryAfter)> onRefused; ///< the request was not run, and never will be
};

/// @brief Admits requests to the backend servers: shares capacity fairly between organisations and limits concurrency to what
/// the service answers in time.
///
/// Runs on the event loop's thread. Callers pass the current time as `now` and call expire() regularly.
class AdmissionGate
{
public:
    AdmissionGate() = default;

    /// Queues a request and admits what the limits allow. Returns its number if it waits; nullopt if one of its hooks has already run.
    std::optional<std::uint64_t> enter(const decision::ServiceDocument &service, const AdmissionRequest &request, AdmissionHooks hooks, Instant now);
    /// Removes a waiting request; none of its hooks runs.
    void cancel(const std::string &service, const std::string &organisation, std::uint64_t number);
    /// Refuses requests past their deadline, then admits waiting requests.
    void expire(Instant now);
    std::size_t waitingCount() const;
    /// Stops admitting requests; called at shutdown.
    void close();

private:
    friend class AdmissionTicket;

    struct Waiting
    {
        AdmissionHooks hooks;
        std::chrono::nanoseconds allowedWait{};
    };
    struct ServiceQueue
    {
        explicit ServiceQueue(const decision::FairQueueOptions &options)
            : queue(options)
        {
        }

        decision::FairQueue queue;
        decision::ConcurrencyLimit limit{{.initialLimit = 32, .minLimit = 2}};
        std::map<std::uint64_t, Waiting> waiting;
    };

    ServiceQueue &serviceQueue(const decision::ServiceDocument &service, const std::string &organisation);
    void admitWaiting(const std::string &service, Instant now);
    /// Offers a dequeued request its ticket. Returns false if the request went back into the queue.
    bool admit(ServiceQueue &queue, const std::string &service, const decision::WaitingRequest &request, Instant now);
    void refuse(ServiceQueue &queue, std::uint64_t number, std::chrono::milliseconds retryAfter);
    void onFinished(const std::string &service, const std::string &organisation, Instant now);

    std::map<std::string, ServiceQueue> m_serviceQueues;
    std::uint64_t m_lastNumber = 0;
    bool m_isClosed = false;
};

} // namespace auburndrum::caller
