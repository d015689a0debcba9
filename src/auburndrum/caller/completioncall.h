#pragma once

#include "auburndrum/backend/enginestream.h"
#include "auburndrum/caller/callercontext.h"
#include "auburndrum/caller/completionrequest.h"

#include <optional>

namespace auburndrum::caller {

/// @brief One completion request, from its arrival to the last byte of the response.
///
/// Retries on other servers only until the first byte is forwarded to the caller.
class CompletionCall : public std::enable_shared_from_this<CompletionCall>
{
public:
    CompletionCall(CallerContext &context,
                   std::shared_ptr<net::Exchange> exchange,
                   CompletionKind kind,
                   std::string organisation,
                   std::string requestId,
                   std::shared_ptr<const Directory> directory);

    void start();

private:
    void prepare();
    void onPrepared();
    void enterGate();
    bool onAdmitted(std::unique_ptr<AdmissionTicket> &ticket);
    void attempt();
    decision::RouteResult<decision::Placement> place();
    void send(const decision::Placement &placement);
    void handleAccepted(const net::HttpHead &head);
    void handleEvents(const QByteArray &events);
    void handleEnd(const backend::EngineEnd &end);
    void handleFailure(const backend::EngineEnd &end);
    void handleCallerGone();
    bool tryAcquireRetry(const backend::EngineEnd &end);
    void recordServerOutcome(const backend::EngineEnd &end);
    void recordCacheUse(const net::HttpHead &head);
    void recordFirstOutput();
    void complete(const backend::EngineEnd &end);
    void fail(const ApiError &error);
    void refuseRoute(const decision::RouteRefusal &refusal);
    void releaseServer();
    std::chrono::nanoseconds sinceArrival() const;

    CallerContext &m_context;
    std::shared_ptr<net::Exchange> m_exchange;
    CompletionKind m_kind;
    std::string m_organisation;
    std::string m_requestId;
    std::shared_ptr<const Directory> m_directory; ///< the documents in force when the call started, used until it ends
    const decision::ServiceDocument *m_service = nullptr;
    const decision::OrganisationGrant *m_grant = nullptr;
    CompletionRequest m_request;
    std::optional<ApiError> m_error;
    backend::PreparedPrompt m_prompt;
    std::vector<decision::ServerId> m_tried;
    std::optional<decision::Placement> m_placement;
    std::shared_ptr<backend::EngineStream> m_stream;
    std::unique_ptr<AdmissionTicket> m_ticket;
    std::optional<std::uint64_t> m_queueNumber; ///< number in the admission gate while the request waits there
    Instant m_arrived;
    bool m_hasOutput = false;
    bool m_mayHaveRun = false;
};

} // namespace auburndrum::caller
