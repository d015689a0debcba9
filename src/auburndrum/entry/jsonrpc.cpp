#include "auburndrum/entry/jsonrpc.h"

#include "auburndrum/base/jsondepth.h"

#include <jsonrpccpp/client.h>
#include <jsonrpccpp/common/procedure.h>
#include <jsonrpccpp/server/iprocedureinvokationhandler.h>
#include <jsonrpccpp/server/requesthandlerfactory.h>

#include <nlohmann/json.hpp>

#include <map>
#include <utility>

namespace auburndrum {
namespace entry {

namespace {

/// Connects the library's client to no transport: stores the request and returns a given response, so that texts can be sent by PeerClient.
class TextConnector : public jsonrpc::IClientConnector
{
public:
    explicit TextConnector(std::string response)
        : m_response(std::move(response))
    {
    }

    void SendRPCMessage(const std::string &message, std::string &result) throw(jsonrpc::JsonRpcException) override // NOLINT(readability-identifier-naming)
    {
        m_request = message;
        result = m_response;
    }

    const std::string &request() const
    {
        return m_request;
    }

private:
    std::string m_request;
    std::string m_response;
};

bool parseJson(const std::string &text, Json::Value &value)
{
    const Json::CharReaderBuilder builder;
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    std::string errors;
    try {
        return reader->parse(text.data(), text.data() + text.size(), &value, &errors);
    } catch (const std::exception &) {
        return false;
    }
}

std::string writeJson(const Json::Value &value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, value);
}

/// Whether the library may read the text: it ends the process where its reader gives up a text that is nested too deeply.
bool isReadable(const std::string &text)
{
    return jsonDepth(text.data(), text.size()) <= MaxJsonDepth;
}

/// Where the value of a member stands in a text.
struct MemberSpan
{
    std::size_t begin = std::string::npos;
    std::size_t end = std::string::npos;

    bool isFound() const
    {
        return end != std::string::npos;
    }
};

/// Finds a member of the outermost object; `text` must be valid JSON.
MemberSpan findMember(const std::string &text, const std::string &name)
{
    MemberSpan span;
    std::size_t depth = 0;
    std::size_t stringBegin = 0;
    bool isInString = false;
    bool isFound = false; // the member's value has begun
    bool isNamed = false; // the last string of the outermost object is the member's name
    for (std::size_t n = 0; n < text.size(); ++n) {
        const char it = text[n];
        if (isInString) {
            n += it == '\\' ? 1 : 0;
            isInString = it != '"';
            isNamed = !isInString && depth == 1 && text.compare(stringBegin, n - stringBegin, name) == 0;
            continue;
        }
        if (it == '"') {
            isInString = true;
            stringBegin = n + 1;
        } else if (it == '[' || it == '{') {
            ++depth;
        } else if (it == ':' && depth == 1 && isNamed && !isFound) {
            isFound = true;
            span.begin = n + 1;
        } else if (isFound && depth == 1 && (it == ',' || it == '}')) {
            span.end = n;
            return span;
        } else if (it == ']' || it == '}') {
            --depth;
        }
    }
    return {};
}

constexpr const char *NoValue = "null";
constexpr const char *MalformedRequestResponse = R"({"jsonrpc":"2.0","id":null,"error":{"code":-32700,"message":"malformed request"}})";
constexpr const char *NullResponse = R"({"jsonrpc":"2.0","id":1,"result":null})";

} // namespace

RpcResult rpcResult(const std::string &json)
{
    RpcResult result;
    result.ok = true;
    result.json = json;
    return result;
}

RpcResult rpcError(int code, const std::string &message)
{
    RpcResult result;
    result.errorCode = code;
    result.errorMessage = message;
    return result;
}

std::string encodeRpcRequest(const std::string &method, const std::string &paramsJson)
{
    Json::Value params;
    if (!parseJson(paramsJson, params) || (!params.isObject() && !params.isArray())) {
        return {};
    }
    TextConnector connector(NullResponse);
    jsonrpc::Client client(connector);
    client.CallMethod(method, params);
    return connector.request();
}

RpcResult decodeRpcResponse(const std::string &response)
{
    if (!isReadable(response) || !nlohmann::json::accept(response)) {
        return rpcError(RpcMalformedResponse, "malformed response");
    }
    // The library reads the envelope only: a result may be large, and its reader parses it anew by itself.
    const MemberSpan result = findMember(response, "result");
    std::string envelope = response;
    if (result.isFound()) {
        envelope.replace(result.begin, result.end - result.begin, NoValue);
    }
    Json::Value value;
    if (!parseJson(envelope, value) || !value.isObject()) {
        return rpcError(RpcMalformedResponse, "malformed response");
    }
    TextConnector connector(envelope);
    jsonrpc::Client client(connector);
    try {
        client.CallMethod(std::string(), Json::Value(Json::objectValue));
    } catch (const jsonrpc::JsonRpcException &error) {
        return rpcError(error.GetCode(), error.GetMessage());
    } catch (const std::exception &) {
        return rpcError(RpcMalformedResponse, "malformed response");
    }
    if (!result.isFound()) { // its name is written with escapes
        return rpcError(RpcMalformedResponse, "malformed response");
    }
    return rpcResult(response.substr(result.begin, result.end - result.begin));
}

class RpcDispatcher::Impl : public jsonrpc::IProcedureInvokationHandler
{
public:
    Impl()
        : m_protocol(jsonrpc::RequestHandlerFactory::createProtocolHandler(jsonrpc::JSONRPC_SERVER_V2, *this))
    {
    }

    void addMethod(const std::string &name, Handler handler)
    {
        const jsonrpc::Procedure procedure(name, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, nullptr);
        m_protocol->AddProcedure(procedure);
        m_handlers[name] = std::move(handler);
    }

    std::string dispatch(const std::string &request)
    {
        std::string response;
        if (!isReadable(request)) {
            return MalformedRequestResponse;
        }
        m_isBatch = request.find_first_not_of(" \t\r\n") == request.find('[');
        m_result.clear();
        try {
            m_protocol->HandleRequest(request, response);
        } catch (const std::exception &) {
            return MalformedRequestResponse;
        }
        const std::string text = std::exchange(m_result, {});
        const MemberSpan result = text.empty() ? MemberSpan() : findMember(response, "result");
        if (result.isFound()) {
            response.replace(result.begin, result.end - result.begin, text);
        }
        return response;
    }

    void HandleMethodCall(jsonrpc::Procedure &procedure, const Json::Value &input, Json::Value &output) override // NOLINT(readability-identifier-naming)
    {
        const RpcResult result = m_handlers[procedure.GetProcedureName()](writeJson(input));
        if (!result.ok) {
            throw jsonrpc::JsonRpcException(result.errorCode, result.errorMessage);
        }
        if (!m_isBatch && nlohmann::json::accept(result.json)) {
            m_result = result.json; // put into the response as it stands: building the library's tree of a large result takes many times longer
            return;
        }
        if (!parseJson(result.json, output)) {
            throw jsonrpc::JsonRpcException(RpcInternalError, "the handler's result is not JSON");
        }
    }

    void HandleNotificationCall(jsonrpc::Procedure &procedure, const Json::Value &input) override // NOLINT(readability-identifier-naming)
    {
        m_handlers[procedure.GetProcedureName()](writeJson(input));
    }

private:
    std::unique_ptr<jsonrpc::IProtocolHandler> m_protocol;
    std::map<std::string, Handler> m_handlers;
    bool m_isBatch = false; ///< the request holds several calls
    std::string m_result; ///< JSON text of the call's result, which the library's response leaves out
};

RpcDispatcher::RpcDispatcher()
    : m_impl(new Impl)
{
}

RpcDispatcher::~RpcDispatcher() = default;

void RpcDispatcher::addMethod(const std::string &name, Handler handler)
{
    m_impl->addMethod(name, std::move(handler));
}

std::string RpcDispatcher::dispatch(const std::string &request)
{
    return m_impl->dispatch(request);
}

} // namespace entry
} // namespace auburndrum
