#include "deployment.h"
#include "wait.h"

#include "auburndrum/base/apikey.h"

#include <doctest/doctest.h>

#include <string>

using namespace auburndrum::tests;

namespace {

const std::string AdministratorKey = "publish-test-administrator";

DeploymentOptions withAdministrator()
{
    const std::string hash = auburndrum::hashApiKey("6b1f0c9a", AdministratorKey);
    return {.engines = 1, .daemonArguments = {"--administrator_key_hash=" + QString::fromStdString(hash)}};
}

auburndrum::net::HttpCall adminCall(Deployment &deployment, int daemon, const QByteArray &method, const QByteArray &target)
{
    auburndrum::net::HttpCall call;
    call.peer = deployment.daemon(daemon).address();
    call.method = method;
    call.target = "/admin/v1/documents/organisation/racer" + target;
    call.headers = {{"Authorization", "Bearer " + QByteArray::fromStdString(AdministratorKey)}, {"Content-Type", "application/json"}};
    return call;
}

/// A publish of an organisation whose one key hash ends with this digit.
auburndrum::net::HttpCall publish(Deployment &deployment, int daemon, int base, char digit)
{
    auto call = adminCall(deployment, daemon, "PUT", "?base=" + QByteArray::number(base) + "&request=request-" + digit);
    const std::string hash = std::string(63, '0') + digit;
    call.body = QByteArray::fromStdString(R"({"document":"organisation","name":"racer","key_hashes":["00:)" + hash + R"("]})");
    return call;
}

} // namespace

TEST_CASE("of two operators who publish on one base at two entry VMs, one wins and the other is told which version beat it")
{
    Deployment deployment(withAdministrator());
    REQUIRE(deployment.isServing());
    int base = 0;
    for (int round = 0; round < 5; ++round) {
        const PendingCallPtr first = deployment.client().start(publish(deployment, 0, base, static_cast<char>('0' + 2 * round)));
        const PendingCallPtr second = deployment.client().start(publish(deployment, 1, base, static_cast<char>('1' + 2 * round)));
        REQUIRE(waitUntil([&] {
            return first->isDone && second->isDone;
        }));
        const bool isFirst = first->status() == 200;
        const PendingCallPtr winner = isFirst ? first : second;
        const PendingCallPtr loser = isFirst ? second : first;
        REQUIRE(winner->status() == 200);
        CHECK(loser->status() == 409);
        base = winner->json().at("version").get<int>();
        CHECK(loser->json().at("version").get<int>() == base);
        for (int daemon = 0; daemon < 2; ++daemon) {
            CHECK(waitUntil([&] {
                const PendingCallPtr shown = deployment.client().call(adminCall(deployment, daemon, "GET", ""));
                return shown->status() == 200 && shown->json().at("version").get<int>() == base;
            }));
        }
    }
}

TEST_CASE("a publish whose reply from the log is lost is found there and accepted once")
{
    Deployment deployment(withAdministrator());
    REQUIRE(deployment.isServing());
    deployment.setFault(deployment.platform(), {{"mode", "lose_reply"}, {"count", 1}, {"path", "/v1/log"}, {"method", "POST"}});
    const PendingCallPtr answer = deployment.client().call(publish(deployment, 0, 0, '1'));
    CHECK(answer->status() == 200);
    const PendingCallPtr again = deployment.client().call(publish(deployment, 1, 0, '1'));
    CHECK(again->status() == 200);
    CHECK(again->json().at("version") == answer->json().at("version"));
}

TEST_CASE("with the log down a publish is refused, and nothing of it shows up later")
{
    Deployment deployment(withAdministrator());
    REQUIRE(deployment.isServing());
    deployment.setFault(deployment.platform(), {{"mode", "refuse"}, {"path", "/v1/log"}});
    CHECK(waitUntil([&] {
        return deployment.client().call(publish(deployment, 0, 0, '1'))->status() == 503;
    }));
    deployment.clearFaults(deployment.platform());
    CHECK(waitUntil([&] {
        return deployment.client().call(publish(deployment, 0, 0, '2'))->status() == 200;
    }));
    PendingCallPtr shown;
    REQUIRE(waitUntil([&] {
        shown = deployment.client().call(adminCall(deployment, 1, "GET", ""));
        return shown->status() == 200;
    }));
    CHECK(shown->json().at("body").get<std::string>().find("0001\"") == std::string::npos);
}
