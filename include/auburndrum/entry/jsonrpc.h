#pragma once

#include <functional>
#include <memory>
#include <string>

// Plain standard types only: the source behind this header is built as C++14, which the library's headers need.

namespace auburndrum {
namespace entry {

/// What a JSON-RPC call gave.
struct RpcResult
{
    bool ok = false;
    std::string json; ///< result as JSON text, when ok
    int errorCode = 0; ///< JSON-RPC error code, when not ok
    std::string errorMessage;
};

/// @{ Error codes: those of JSON-RPC 2.0 and our own.
constexpr int RpcInvalidParams = -32602;
constexpr int RpcInternalError = -32603;
constexpr int RpcMalformedResponse = -32700;
constexpr int RpcRefused = -32001; ///< the peer can't or won't do this now
/// @}

/// Returns a result from JSON text.
RpcResult rpcResult(const std::string &json);
RpcResult rpcError(int code, const std::string &message);

/// Returns the text of a JSON-RPC 2.0 request. @p paramsJson is a JSON object or array; an empty text when it is neither.
std::string encodeRpcRequest(const std::string &method, const std::string &paramsJson);

/// Reads the text of a JSON-RPC 2.0 response; a malformed one gives RpcMalformedResponse.
RpcResult decodeRpcResponse(const std::string &response);

/// Passes JSON-RPC 2.0 requests to handlers by method name. Not thread-safe.
class RpcDispatcher
{
public:
    /// Takes the parameters as JSON text.
    using Handler = std::function<RpcResult(const std::string &paramsJson)>;

    RpcDispatcher();
    ~RpcDispatcher();
    RpcDispatcher(const RpcDispatcher &) = delete;
    RpcDispatcher &operator=(const RpcDispatcher &) = delete;

    void addMethod(const std::string &name, Handler handler);
    /// Returns the text of the response, an error response for bad input.
    std::string dispatch(const std::string &request);

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace entry
} // namespace auburndrum
