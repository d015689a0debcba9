#pragma once

#include "auburndrum/backend/plaincall.h"
#include "auburndrum/caller/apierror.h"
#include "auburndrum/caller/callercontext.h"

namespace auburndrum::caller {

/// One call of a caller to a plain service.
struct ServiceRequest
{
    std::string organisation;
    std::string requestId;
    std::string incarnation; ///< incarnation of this process
    QByteArray target; ///< path and query that are sent to the service
    QByteArray idempotencyKey; ///< empty if the caller sent none
};

/// @brief Runs one call to a plain service and responds to the caller.
///
/// A call with an Idempotency-Key to a service whose calls are not repeatable is claimed in the platform's log first. Other
/// calls need no claim. A call that may have run is sent again only if the service's calls are repeatable.
class ServiceCall : public std::enable_shared_from_this<ServiceCall>
{
public:
    ServiceCall(CallerContext &context,
                std::shared_ptr<net::Exchange> exchange,
                ServiceRequest request,
                std::shared_ptr<const Directory> directory,
                const decision::ServiceDocument &service);

    void start();

private:
    void onAdmitted(std::unique_ptr<AdmissionTicket> ticket);
    void startKeyed();
    void startUnkeyed();
    void attempt();
    void handleEnd(const backend::PlainEnd &end);
    void handleKeyedEnd(const backend::PlainEnd &end);
    void handleUnkeyedEnd(const backend::PlainEnd &end);
    void handleCallerGone();
    void lookUp();
    void answer(const decision::CallAnswer &answer);
    void respond(int status, const QByteArray &contentType, const QByteArray &body, bool isReplay);
    void fail(const ApiError &error);
    bool isKeyed() const;
    decision::Outcome outcomeOf(const backend::PlainEnd &end) const;
    decision::RouteResult<decision::Placement> place();

    CallerContext &m_context;
    std::shared_ptr<net::Exchange> m_exchange;
    ServiceRequest m_request;
    std::shared_ptr<const Directory> m_directory; ///< the documents in force when the call started, used until it ends
    const decision::ServiceDocument &m_service;
    decision::Claim m_claim;
    std::vector<decision::ServerId> m_tried;
    std::optional<decision::Placement> m_placement;
    std::unique_ptr<AdmissionTicket> m_ticket;
    net::HttpCallHandle m_call; ///< the attempt in progress
    bool m_isCallerGone = false;
    Instant m_arrived;
};

} // namespace auburndrum::caller
