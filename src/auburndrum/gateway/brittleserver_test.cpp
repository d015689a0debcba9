#include "gatewayfixture.h"

#include "eventloop.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>

using namespace auburndrum;
using namespace auburndrum::gateway;
using namespace std::chrono_literals;

namespace {

constexpr int Room = 2; // requests that a server takes at the same time
constexpr auto RunTime = 100ms;
constexpr auto SettleTime = 500ms;
constexpr std::ptrdiff_t Borne = 3; // rejections a second

/// A gateway before two servers with little room, and callers who come again and again.
class BrittleServersBeforeCallers
{
public:
    BrittleServersBeforeCallers()
        : gateway(
            [this](const std::shared_ptr<net::Exchange> &exchange, int) {
                respond(exchange);
            },
            true,
            [](GatewayFixture &, GatewayOptions &options) {
                options.retries = {.ratio = 0.2, .window = 10s};
                options.startSettleTime = SettleTime;
            })
    {
    }

    void call(std::chrono::milliseconds time, int callers)
    {
        m_isCalling = true;
        for (int n = 0; n < callers; ++n) {
            callAgain(n);
        }
        runFor(time);
        m_isCalling = false;
        runFor(2 * RunTime);
    }

    /// Most rejections of one server within a second, after `begin`.
    std::ptrdiff_t mostRejections(Instant begin) const
    {
        std::ptrdiff_t most = 0;
        for (const auto &[server, times] : m_rejections) {
            for (auto it = std::lower_bound(times.begin(), times.end(), begin); it != times.end(); ++it) {
                most = std::max(most, std::upper_bound(it, times.end(), *it + 1s) - it);
            }
        }
        return most;
    }

    std::map<int, int> counts; ///< of answers, by status
    GatewayFixture gateway;

private:
    void respond(const std::shared_ptr<net::Exchange> &exchange)
    {
        const std::string server = exchange->header("Server").toStdString();
        const std::vector<net::Header> headers = {{"Id", exchange->header("Attempt")}, {"Seal", "s"}, {"Brittle", QByteArray::number(Borne)}};
        if (m_held[server] >= Room) {
            m_rejections[server].push_back(monotonicNow());
            exchange->respond(503, {headers[0], headers[2], {"Not-Run", "1"}}, {});
            return;
        }
        ++m_held[server];
        QTimer::singleShot(RunTime, &m_context, [this, server, exchange, headers] {
            --m_held[server];
            exchange->respond(200, headers, "ok");
        });
    }

    void callAgain(int caller)
    {
        if (!m_isCalling) {
            return;
        }
        net::HttpCall call;
        call.peer = gateway.callerAddress;
        call.method = "POST";
        call.target = "/once/";
        call.host = "host";
        call.headers = {{"Id", "caller-" + QByteArray::number(caller)}, {"Key", "key"}};
        gateway.client.start(call, {.onDone = [this, caller](const net::HttpResult &result) {
                                 ++counts[result.head.status];
                                 QTimer::singleShot(10ms, &m_context, [this, caller] {
                                     callAgain(caller);
                                 });
                             }});
    }

    std::map<std::string, int> m_held;
    std::map<std::string, std::vector<Instant>> m_rejections;
    bool m_isCalling = false;
    QObject m_context;
};

} // namespace

TEST_CASE("brittle servers have to turn away few requests, and what they can do is used")
{
    // Guards against servers that fall over since each of many requests finds out for itself that they are full (LIMIT).
    BrittleServersBeforeCallers it;
    it.call(SettleTime + 2500ms, 12);
    const Instant begin = monotonicNow();
    it.counts.clear();
    it.call(4s, 12);
    CHECK(it.mostRejections(begin) <= Borne);
    const double capacity = 2 * Room * 4s / std::chrono::duration<double>(RunTime);
    CHECK(it.counts[200] >= 0.6 * capacity);
    CHECK(it.counts[503] > 0);
}
