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

// Guards against an event loop that stands still while it writes or reads large results: each was parsed and written again by the library, some of it twice
// (LOST).
TEST_CASE("a result reaches the caller as the text that its handler wrote")
{
    const std::string text = R"({"z": 1.50, "a": ["}", "\"result\":2", {"result": null}], "error": ""})";
    RpcDispatcher dispatcher;
    dispatcher.addMethod("poll", [&text](const std::string &) {
        return rpcResult(text);
    });
    const RpcResult result = decodeRpcResponse(dispatcher.dispatch(encodeRpcRequest("poll", "{}")));
    CHECK(result.ok);
    CHECK(result.json == text);
}

TEST_CASE("each call of a batch gets its own result")
{
    RpcDispatcher dispatcher;
    dispatcher.addMethod("echo", [](const std::string &params) {
        return rpcResult(params);
    });
    const std::string response
        = dispatcher.dispatch(R"([{"jsonrpc":"2.0","id":1,"method":"echo","params":{"n":1}},{"jsonrpc":"2.0","id":2,"method":"echo","params":{"n":2}}])");
    CHECK(response.find(R"("n":1)") != std::string::npos);
    CHECK(response.find(R"("n":2)") != std::string::npos);
}

TEST_CASE("responses that the library wrote are read, and an error's data aren't taken for a result")
{
    const RpcResult written = decodeRpcResponse("{\"id\":1,\"jsonrpc\":\"2.0\",\"result\":{\"a\":\"\\u00e4\"}}\n");
    CHECK(written.ok);
    CHECK(written.json == "{\"a\":\"\\u00e4\"}");
    CHECK(decodeRpcResponse(R"({"id":"result","jsonrpc":"2.0","result":[1]})").json == "[1]");
    CHECK_FALSE(decodeRpcResponse(R"({"id":1,"jsonrpc":"2.0","error":{"code":-32001,"message":"no","data":{"result":1}}})").ok);
}

TEST_CASE("a handler's result that isn't JSON is an error, and so is a response without the protocol's members")
{
    RpcDispatcher dispatcher;
    dispatcher.addMethod("broken", [](const std::string &) {
        return rpcResult("{\"a\":");
    });
    CHECK_FALSE(decodeRpcResponse(dispatcher.dispatch(encodeRpcRequest("broken", "{}"))).ok);
    CHECK_FALSE(decodeRpcResponse(R"({"id":1,"result":{"a":1}})").ok);
    CHECK_FALSE(decodeRpcResponse(R"({"jsonrpc":"2.0","result":{"a":1}})").ok);
    CHECK_FALSE(decodeRpcResponse(R"({"jsonrpc":"2.0","id":1,"result":{"a":1},"error":{"code":1,"message":"no"}})").ok);
    CHECK_FALSE(decodeRpcResponse(R"({"jsonrpc":"2.0","id":1,"result":{"a":1})").ok);
    CHECK_FALSE(decodeRpcResponse(R"({"jsonrpc":"2.0","id":1,"\u0072esult":{"a":1}})").ok);
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
