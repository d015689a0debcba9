#include "deployment.h"
#include "rawconnection.h"
#include "wait.h"

#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <vector>

using namespace auburndrum::tests;
using auburndrum::net::HttpCall;

namespace {

/// One deployment for all the cases, because none of them may leave a trace.
Deployment &deployment()
{
    static Deployment it({.daemons = 1, .engines = 1, .daemonArguments = {"--max_body_bytes=65536", "--max_header_bytes=8192", "--request_timeout=2s"}});
    return it;
}

std::string stringField(const nlohmann::json &object, const char *name)
{
    return object.contains(name) && object[name].is_string() ? object[name].get<std::string>() : "";
}

/// Checks for a refusal with an error object that names the field.
void checkRefused(const PendingCall &answer, int status, const std::string &param)
{
    REQUIRE(answer.isWhole());
    CHECK(answer.status() == status);
    const nlohmann::json body = answer.json();
    REQUIRE(body.is_object());
    REQUIRE(body.contains("error"));
    CHECK_FALSE(stringField(body["error"], "message").empty());
    CHECK_FALSE(stringField(body["error"], "type").empty());
    CHECK_FALSE(stringField(body["error"], "code").empty());
    CHECK(stringField(body["error"], "param") == param);
}

void checkBody(const QByteArray &body, int status, const std::string &param)
{
    CAPTURE(body.left(100).toStdString());
    HttpCall call = deployment().prompt(0, "x", 1, false);
    call.body = body;
    checkRefused(*deployment().client().call(call), status, param);
}

/// Checks that nothing has run and the daemon still serves.
class Untouched
{
public:
    Untouched()
        : m_runs(deployment().runs(0).at("taken"))
        , m_executions(executionCount())
    {
    }

    ~Untouched()
    {
        CHECK(deployment().runs(0).at("taken") == m_runs);
        CHECK(executionCount() == m_executions);
        CHECK(deployment().client().call(deployment().prompt(0, "still here", 2, false))->status() == 200);
    }

    Untouched(const Untouched &) = delete;
    Untouched &operator=(const Untouched &) = delete;

private:
    static std::size_t executionCount()
    {
        return deployment().client().get(deployment().ordering().address(), "/v1/executions")->json().at("executions").size();
    }

    nlohmann::json m_runs;
    std::size_t m_executions;
};

} // namespace

TEST_CASE("malformed JSON and wrong types name the field")
{
    REQUIRE(deployment().isServing());
    const Untouched untouched;
    checkBody("", 400, "body");
    checkBody("{", 400, "body");
    checkBody("[]", 400, "body");
    checkBody("\xff\xfe{}", 400, "body");
    checkBody(QByteArray(10'000, '['), 400, "body");
    checkBody(R"({"prompt":"x"})", 400, "model");
    checkBody(R"({"model":7,"prompt":"x"})", 400, "model");
    checkBody(R"({"model":"menu"})", 400, "prompt");
    checkBody(R"({"model":"menu","prompt":{"a":1}})", 400, "prompt");
    checkBody(R"({"model":"menu","prompt":"x","stream":"yes"})", 400, "stream");
    checkBody(R"({"model":"menu","prompt":"x","max_tokens":"many"})", 400, "max_tokens");
    checkBody(R"({"model":"menu","prompt":"x","max_tokens":-1})", 400, "max_tokens");
    checkBody(R"({"model":"menu","prompt":"x","max_tokens":99999999999999999999})", 400, "max_tokens");
}

TEST_CASE("malformed chat messages name the message")
{
    REQUIRE(deployment().isServing());
    const Untouched untouched;
    HttpCall call = deployment().prompt(0, "x", 1, false);
    call.target = "/v1/chat/completions";
    call.body = R"({"model":"menu","messages":"hello"})";
    checkRefused(*deployment().client().call(call), 400, "messages");
    call.body = R"({"model":"menu","messages":[{"role":"user","content":"a"},{"content":"b"}]})";
    checkRefused(*deployment().client().call(call), 400, "messages[1].role");
    call.body = R"({"model":"menu","messages":[{"role":"user","content":7}]})";
    checkRefused(*deployment().client().call(call), 400, "messages[0].content");
}

TEST_CASE("an unknown model or service is not found")
{
    REQUIRE(deployment().isServing());
    const Untouched untouched;
    checkBody(R"({"model":"no-such","prompt":"x"})", 404, "model");
    checkRefused(*deployment().client().call(deployment().serviceCall(0, "no-such", "/x", "key")), 404, "service");
    checkRefused(*deployment().client().call(deployment().serviceCall(0, "menu", "/x", "key")), 404, "service");
}

TEST_CASE("a missing, malformed or wrong API key is refused")
{
    REQUIRE(deployment().isServing());
    const Untouched untouched;
    for (const char *value : {"", "Bearer", "Bearer ", "Bearer kattila", "Bearer kattila.wrong", "Basic a2F0dGlsYQ==", "Bearer poyta.kattila-key"}) {
        CAPTURE(value);
        HttpCall call = deployment().prompt(0, "x", 1, false);
        call.headers.front().value = value;
        checkRefused(*deployment().client().call(call), 401, "Authorization");
        HttpCall order = deployment().serviceCall(0, "ordering", "/x", "key");
        order.headers.front().value = value;
        checkRefused(*deployment().client().call(order), 401, "Authorization");
    }
}

TEST_CASE("an unknown path and a wrong method are refused")
{
    REQUIRE(deployment().isServing());
    const Untouched untouched;
    HttpCall call = deployment().prompt(0, "x", 1, false);
    call.target = "/v1/no-such";
    checkRefused(*deployment().client().call(call), 404, "path");
    call.target = "/v1/completions";
    for (const char *method : {"GET", "PUT", "DELETE"}) {
        call.method = method;
        checkRefused(*deployment().client().call(call), 405, "method");
    }
}

TEST_CASE("a key that is too long is refused")
{
    REQUIRE(deployment().isServing());
    const Untouched untouched;
    checkRefused(*deployment().client().call(deployment().serviceCall(0, "ordering", "/x", std::string(300, 'k'))), 400, "Idempotency-Key");
}

TEST_CASE("too large a body is refused before it is read")
{
    REQUIRE(deployment().isServing());
    const Untouched untouched;
    RawConnection connection(deployment().daemon(0).address());
    connection.send("POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 100000000\r\n\r\n{\"model\":\"menu\",");
    REQUIRE(connection.waitForAnswer());
    CHECK(connection.status() == 413);
    CHECK_FALSE(stringField(connection.error(), "param").empty());
}

TEST_CASE("too large a body in chunks is refused when it passes the limit")
{
    REQUIRE(deployment().isServing());
    const Untouched untouched;
    RawConnection connection(deployment().daemon(0).address());
    connection.send("POST /v1/completions HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n");
    for (int n = 0; n < 20; ++n) {
        connection.send("2000\r\n" + QByteArray(0x2000, 'x') + "\r\n");
    }
    REQUIRE(connection.waitForAnswer());
    CHECK(connection.status() == 413);
}

TEST_CASE("too large a header is refused")
{
    REQUIRE(deployment().isServing());
    const Untouched untouched;
    RawConnection connection(deployment().daemon(0).address());
    connection.send("GET /v1/models HTTP/1.1\r\nHost: x\r\nX-Long: " + QByteArray(20'000, 'x') + "\r\n\r\n");
    REQUIRE(connection.waitForAnswer());
    CHECK(connection.status() == 431);
}

TEST_CASE("a request that is not HTTP is refused and closed")
{
    REQUIRE(deployment().isServing());
    const Untouched untouched;
    for (const char *bytes : {"hello\r\n\r\n", "\x16\x03\x01\x02", "GET\r\n\r\n", "POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: -5\r\n\r\n"}) {
        CAPTURE(bytes);
        RawConnection connection(deployment().daemon(0).address());
        connection.send(bytes);
        CHECK(connection.waitForClose());
        CHECK((connection.status() == 0 || connection.status() / 100 == 4));
    }
}

TEST_CASE("a request with two body lengths is refused")
{
    REQUIRE(deployment().isServing());
    const Untouched untouched;
    RawConnection connection(deployment().daemon(0).address());
    connection.send("POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
    CHECK(connection.waitForAnswer());
    CHECK((connection.status() == 0 || connection.status() / 100 == 4));
}

TEST_CASE("a slow sender is cut off while others are served")
{
    REQUIRE(deployment().isServing());
    const Untouched untouched;
    std::vector<std::unique_ptr<RawConnection>> slow;
    for (int n = 0; n < 20; ++n) {
        slow.push_back(std::make_unique<RawConnection>(deployment().daemon(0).address()));
        slow.back()->send("POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 50\r\n\r\n{");
    }
    CHECK(deployment().client().get(deployment().daemon(0).address(), "/healthz")->status() == 200);
    for (const auto &it : slow) {
        CHECK(it->waitForClose());
        CHECK((it->status() == 0 || it->status() == 408));
    }
}

TEST_CASE("bodies that never end don't add up to memory without bound")
{
    REQUIRE(deployment().isServing());
    const Untouched untouched;
    const std::int64_t before = deployment().daemon(0).residentBytes();
    std::vector<std::unique_ptr<RawConnection>> many;
    for (int n = 0; n < 50; ++n) {
        many.push_back(std::make_unique<RawConnection>(deployment().daemon(0).address()));
        many.back()->send("POST /v1/completions HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int part = 0; part < 64; ++part) {
            many.back()->send("8000\r\n" + QByteArray(0x8000, 'x') + "\r\n");
        }
    }
    for (const auto &it : many) {
        CHECK(it->waitForAnswer());
    }
    // 50 connections sent 2 MB each; what the limits allow is 64 KB for each.
    CHECK(deployment().daemon(0).residentBytes() - before < 50'000'000);
}

TEST_CASE("a bad setting is named with what is allowed, and nothing starts")
{
    ChildProcess daemon("auburndrumd", {"--listen=nowhere", "--name=entry", "--zone=z", "--region=r", "--platform=127.0.0.1:1"});
    CHECK_FALSE(daemon.isListening());
    REQUIRE(daemon.waitForExit());
    CHECK(daemon.exitCode() == 2);
    const QByteArray output = daemon.errorOutput();
    CHECK(output.contains("listen"));
    CHECK(output.contains("nowhere"));
    CHECK(output.contains("IP:PORT"));
}
