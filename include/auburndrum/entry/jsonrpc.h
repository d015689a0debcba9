#pragma once

#include <functional>
#include <memory>
#include <string>

// Plain standard types only: the source behind this header is built as C++14, which the library's headers need.

namespace auburndrum {
namespace entry {

/// Result or error of a JSON-RPC call.
struct RpcResult
{
    bool ok = false;
    std::string json; ///< result as JSON text, when ok
    int errorCode = 0; ///< JSON-RPC error code, when not ok
    std::string errorMessage;
};

/// @{ Error codes of JSON-RPC 2.0, and RpcRefused from its range for servers.
constexpr int RpcInvalidParams = -32602;
constexpr int RpcInternalError = -32603;
constexpr int RpcMalformedResponse = -32700;
constexpr int RpcRefused = -32001; ///< the peer can't serve the call at present
/// @}

/// Returns a successful result. @p json is its JSON text.
RpcResult rpcResult(const std::string &json);
RpcResult rpcError(int code, const std::string &message);

/// Returns the text of a JSON-RPC 2.0 request. @p paramsJson is a JSON object or array; returns an empty text when it is neither.
std::string encodeRpcRequest(const std::string &method, const std::string &paramsJson);

/// Parses the text of a JSON-RPC 2.0 response. Returns RpcMalformedResponse for a malformed one.
RpcResult decodeRpcResponse(const std::string &response);

/// Passes JSON-RPC 2.0 requests to handlers by method name. Not thread-safe.
class RpcDispatcher
{
public:
    /// Handles a call; receives its parameters as JSON text.
    using Handler = std::function<RpcResult(const std::string &paramsJson)>;

    RpcDispatcher();
    ~RpcDispatcher();
    RpcDispatcher(const RpcDispatcher &) = delete;
    RpcDispatcher &operator=(const RpcDispatcher &) = delete;

    void addMethod(const std::string &name, Handler handler);
    /// Calls the handler of @p request and returns the text of the response; for malformed input that of an error response.
    std::string dispatch(const std::string &request);

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace entry
} // namespace auburndrum
