#include "auburndrum/entry/jsonrpc.h"

#include <doctest/doctest.h>

using namespace auburndrum::entry;

TEST_CASE("a request reaches its handler and the result reaches the caller")
{
    RpcDispatcher dispatcher;
    std::string seen;
    dispatcher.addMethod("gossip", [&seen](const std::string &params) {
        seen = params;
        return rpcResult(R"({"b":[1,2]})");
    });
    const RpcResult result = decodeRpcResponse(dispatcher.dispatch(encodeRpcRequest("gossip", R"({"a":18446744073709551615})")));
    CHECK(seen == R"({"a":18446744073709551615})");
    CHECK(result.ok);
    CHECK(result.json == R"({"b":[1,2]})");
}

TEST_CASE("an error of the handler reaches the caller")
{
    RpcDispatcher dispatcher;
    dispatcher.addMethod("fold", [](const std::string &) {
        return rpcError(RpcRefused, "no fold yet");
    });
    const RpcResult result = decodeRpcResponse(dispatcher.dispatch(encodeRpcRequest("fold", "{}")));
    CHECK_FALSE(result.ok);
    CHECK(result.errorCode == RpcRefused);
    CHECK(result.errorMessage.find("no fold yet") != std::string::npos);
}

TEST_CASE("malformed requests and responses give errors")
{
    RpcDispatcher dispatcher;
    for (const char *request : {"", "{", "[]", "null", "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"unknown\",\"params\":{}}"}) {
        CAPTURE(request);
        CHECK_FALSE(decodeRpcResponse(dispatcher.dispatch(request)).ok);
    }
    CHECK_FALSE(decodeRpcResponse(dispatcher.dispatch(std::string(5000, '['))).ok);
    for (const char *response : {"", "{", "[]", "42", "{\"id\":1}"}) {
        CAPTURE(response);
        CHECK_FALSE(decodeRpcResponse(response).ok);
    }
    CHECK(encodeRpcRequest("gossip", "42").empty());
    CHECK(encodeRpcRequest("gossip", "{").empty());
}
