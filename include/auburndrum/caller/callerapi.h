#pragma once

#include "auburndrum/caller/callercontext.h"
#include "auburndrum/net/exchange.h"

#include <memory>
#include <string>

namespace auburndrum::caller {

/// Options of a CallerApi.
struct CallerApiOptions
{
    std::string incarnation; ///< incarnation of this process, recorded in claims
    std::size_t maxKeyBytes = 255; ///< maximum length of an Idempotency-Key
};

/// @brief HTTP API for callers: completions, the list of models and calls to plain services.
class CallerApi
{
public:
    CallerApi(CallerContext &context, CallerApiOptions options);

    /// Handles a request. Returns false if its path is not part of this API.
    bool handle(const std::shared_ptr<net::Exchange> &exchange);

private:
    void handleCompletion(const std::shared_ptr<net::Exchange> &exchange, bool isChat);
    void handleModels(const std::shared_ptr<net::Exchange> &exchange);
    void handleService(const std::shared_ptr<net::Exchange> &exchange);
    /// Organisation of the request's API key. Responds with 401 and returns nullopt if the key is invalid.
    std::optional<std::string> authenticate(net::Exchange &exchange, const Directory &directory) const;

    CallerContext &m_context;
    CallerApiOptions m_options;
};

} // namespace auburndrum::caller
