#pragma once

#include "auburndrum/caller/callercontext.h"
#include "auburndrum/net/exchange.h"

#include <memory>
#include <string>

namespace auburndrum::caller {

/// Options of a CallerApi.
struct CallerApiOptions
{
    std::string incarnation; ///< of this process, for claims
    std::size_t maxKeyBytes = 255; ///< longest Idempotency-Key
};

/// @brief What callers speak to: completions and calls to plain services.
class CallerApi
{
public:
    CallerApi(CallerContext &context, CallerApiOptions options);

    /// Takes a request; false when its path is none of the callers'.
    bool handle(const std::shared_ptr<net::Exchange> &exchange);

private:
    void handleCompletion(const std::shared_ptr<net::Exchange> &exchange, bool isChat);
    void handleModels(const std::shared_ptr<net::Exchange> &exchange);
    void handleService(const std::shared_ptr<net::Exchange> &exchange);
    /// Organisation of the request; answers 401 itself when there is none.
    std::optional<std::string> authenticate(net::Exchange &exchange, const Directory &directory) const;

    CallerContext &m_context;
    CallerApiOptions m_options;
};

} // namespace auburndrum::caller
