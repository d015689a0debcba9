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

/// @brief Right to send one request, given by AdmissionGate. Dropping it gives the place back.
class AdmissionTicket
{
public:
    AdmissionTicket(AdmissionGate &gate, std::string service, std::string organisation, std::chrono::nanoseconds allowedWait, Instant admitted);
    ~AdmissionTicket();
    AdmissionTicket(const AdmissionTicket &) = delete;
    AdmissionTicket &operator=(const AdmissionTicket &) = delete;

    /// The first output came: the backend server has got to the request.
    void onFirstOutput(Instant now);
    /// Backend servers refused the request as overloaded, or were silent.
    void onOverloaded(Instant now);

private:
    AdmissionGate &m_gate;
    std::string m_service;
    std::string m_organisation;
    std::chrono::nanoseconds m_allowedWait;
    Instant m_admitted;
    friend class AdmissionGate;

    bool m_isReturned = false; ///< the gate took the place back
    bool m_isCounted = true; ///< still counts against the service's limit
};

/// What a request brings to the gate.
struct AdmissionRequest
{
    std::string organisation;
    double cost = 1; ///< prompt tokens to compute, or 1 for a plain call
    Instant deadline{}; ///< for the first output
    std::chrono::nanoseconds allowedWait{}; ///< from being sent to the first output, that counts as healthy
};

/// Hooks of a request at the gate, run at once or later.
struct AdmissionHooks
{
    /// Takes the ticket and begins. False, with the ticket left alone, puts the request back in front: no backend
    /// server has room for it yet.
    std::function<bool(std::unique_ptr<AdmissionTicket> &)> onAdmitted;
    std::function<void(std::chrono::milliseconds retryAfter)> onRefused; ///< not run, and never will be
};

/// @brief Lets requests through to the backend servers: fair between organisations, and no more at once than the service
/// answers in time.
///
/// Lives on the event loop's thread; `now` is passed in, and expire() is to be called regularly.
class AdmissionGate
{
public:
    AdmissionGate() = default;

    /// Takes a request in. Returns its number while it waits; nothing when a hook has run already.
    std::optional<std::uint64_t> enter(const decision::ServiceDocument &service, const AdmissionRequest &request, AdmissionHooks hooks, Instant now);
    /// Forgets a waiting request; no hook runs.
    void cancel(const std::string &service, const std::string &organisation, std::uint64_t number);
    /// Refuses requests whose time is over, and lets others through.
    void expire(Instant now);
    std::size_t waitingCount() const;
    /// Lets nothing through any more; for the end of the process.
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
    /// Offers a popped request its ticket. False when it went back into the queue.
    bool admit(ServiceQueue &queue, const std::string &service, const decision::WaitingRequest &request, Instant now);
    void refuse(ServiceQueue &queue, std::uint64_t number, std::chrono::milliseconds retryAfter);
    void onFinished(const std::string &service, const std::string &organisation, Instant now);

    std::map<std::string, ServiceQueue> m_serviceQueues;
    std::uint64_t m_lastNumber = 0;
    bool m_isClosed = false;
};

} // namespace auburndrum::caller
