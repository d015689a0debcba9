#include "gatewayfixture.h"

#include "eventloop.h"
#include "rawserver.h"

#include <doctest/doctest.h>

using namespace auburndrum;
using namespace auburndrum::gateway;
using namespace std::chrono_literals;

// Guards against an answer whose status is none: callers got it as it was, or got nothing until their time was over since it counted as interim (MIXED).

namespace {

constexpr auto AnswerTime = 500ms; // the routes' timeout is 1 s

const QByteArray Fields = "Id: request-1\r\nSeal: s\r\n";
const QByteArray WithLength = Fields + "Content-Length: 4\r\n\r\ndone";
const QByteArray Chunked = Fields + "Transfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n";

QByteArray answer(const QByteArray &status, const QByteArray &rest)
{
    return "HTTP/1.1 " + status + " Text\r\n" + rest;
}

/// Answers of no valid status, and of statuses of interim answers, which have no body.
std::vector<QByteArray> invalidAnswers()
{
    std::vector<QByteArray> answers = {answer("101", Fields + "\r\n")};
    for (const char *status : {"000", "001", "099", "100", "102", "199", "600", "999"}) {
        answers.push_back(answer(status, WithLength));
        answers.push_back(answer(status, Chunked));
    }
    return answers;
}

/// A gateway before a server that gives this answer, and maybe a sound one.
class OddServer
{
public:
    OddServer(const QByteArray &answer, bool hasSoundServer)
        : server([answer](QTcpSocket *socket, const QByteArray & /*request*/) {
            socket->write(answer);
        })
        , gateway(
              [](const std::shared_ptr<net::Exchange> &exchange, int) {
                  exchange->respond(200, {{"Id", "request-1"}, {"Seal", "s"}}, "sound");
              },
              true,
              [this, hasSoundServer](GatewayFixture &it, GatewayOptions &options) {
                  options.retries.ratio = 2; // a repeat for each request
                  it.store.put("servers", "a", server.address());
                  if (!hasSoundServer) {
                      it.store.put("servers", "b", std::nullopt);
                  }
              })
    {
    }

    RawServer server;
    GatewayFixture gateway;
};

} // namespace

TEST_CASE("an answer of no valid status is a failed one at once")
{
    for (const QByteArray &it : invalidAnswers()) {
        CAPTURE(it.toStdString());
        for (const char *target : {"/once/x", "/safe/x", "/stream/x"}) {
            OddServer odd(it, false);
            const auto begun = monotonicNow();
            const auto result = odd.gateway.sendRequest(target);
            CHECK(result.head.status == 502);
            CHECK(monotonicNow() - begun < AnswerTime);
        }
    }
}

TEST_CASE("a request that may be repeated goes to another server after an answer of no valid status")
{
    for (const QByteArray &it : invalidAnswers()) {
        CAPTURE(it.toStdString());
        for (int n = 0; n < 4; ++n) { // either server may be asked first
            OddServer odd(it, true);
            const auto result = odd.gateway.sendRequest("/safe/x");
            CHECK(result.head.status == 200);
            CHECK(result.body == "sound");
        }
    }
}

TEST_CASE("an interim answer is skipped, and unusual statuses of final answers are passed on")
{
    for (const char *status : {"200", "299", "399", "418", "451", "599"}) {
        CAPTURE(status);
        OddServer odd(answer("100", "\r\n") + answer("103", "Link: x\r\nContent-Length: 0\r\n\r\n") + answer(status, WithLength), false);
        const auto result = odd.gateway.sendRequest("/once/x");
        CHECK(result.head.status == QByteArray(status).toInt());
        CHECK(result.body == "done");
    }
}
