// What one daemon adds between a caller and an engine: first token, stream chunks, short requests, memory.
#include "tests/process/deployment.h"
#include "tests/process/wait.h"

#include "auburndrum/base/time.h"
#include "auburndrum/net/httpclient.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/time/time.h>
#include <nlohmann/json.hpp>

#include <QCoreApplication>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

ABSL_FLAG(absl::Duration, duration, absl::Seconds(10), "length of each part");
ABSL_FLAG(int, requests_per_s, 200, "requests a second of the first part, on each path");
ABSL_FLAG(int, streams, 100, "streams of the second part; each brings 200 chunks a second");
ABSL_FLAG(int, short_requests_per_s, 1000, "requests a second of the third part");

namespace {

using namespace auburndrum;
using namespace auburndrum::tests;
using Milliseconds = std::chrono::duration<double, std::milli>;
using Seconds = std::chrono::duration<double>;

constexpr double ChunksPerStream = 200; // a second, at the engine's decode step

/// Times and failures of one path.
struct Samples
{
    std::vector<double> firstByteMs;
    int finished = 0;
    int failed = 0;

    double percentile(double share) const
    {
        if (firstByteMs.empty()) {
            return 0;
        }
        std::vector<double> sorted = firstByteMs;
        std::sort(sorted.begin(), sorted.end());
        return sorted[std::min(sorted.size() - 1, static_cast<std::size_t>(share * static_cast<double>(sorted.size())))];
    }
};

void print(const nlohmann::json &line)
{
    std::printf("%s\n", line.dump().c_str());
    std::fflush(stdout);
}

/// Sends one request and adds its first-byte time.
void sample(net::HttpClient &client, const net::HttpCall &call, Samples &samples)
{
    const Instant sent = monotonicNow();
    const auto hasByte = std::make_shared<bool>(false);
    net::HttpHooks hooks;
    hooks.onBody = [sent, hasByte, &samples](const QByteArray &) {
        if (!std::exchange(*hasByte, true)) {
            samples.firstByteMs.push_back(Milliseconds(monotonicNow() - sent).count());
        }
    };
    hooks.onDone = [&samples](const net::HttpResult &result) {
        const bool isGood = result.failure == net::HttpFailure::None && result.head.status == 200;
        samples.finished += isGood ? 1 : 0;
        samples.failed += isGood ? 0 : 1;
    };
    client.start(call, hooks);
}

/// Calls send() at a steady rate, whatever becomes of the answers.
void openLoop(int perSecond, std::chrono::milliseconds duration, const std::function<void(int)> &send)
{
    const Instant start = monotonicNow();
    int sent = 0;
    while (monotonicNow() - start < duration) {
        const int due = static_cast<int>(Seconds(monotonicNow() - start).count() * perSecond);
        for (; sent < due; ++sent) {
            send(sent);
        }
        waitFor(std::chrono::milliseconds(1));
    }
}

void measureFirstToken(Deployment &deployment, std::chrono::milliseconds duration)
{
    net::HttpClient client;
    Samples direct;
    Samples through;
    const int rate = absl::GetFlag(FLAGS_requests_per_s);
    openLoop(rate, duration, [&](int n) {
        const net::HttpCall call = deployment.prompt(0, "first token " + std::to_string(n), 1, true);
        net::HttpCall directCall = call;
        directCall.peer = deployment.engine(0).address();
        // The order changes, so that neither path always goes first.
        sample(client, n % 2 == 0 ? call : directCall, n % 2 == 0 ? through : direct);
        sample(client, n % 2 == 0 ? directCall : call, n % 2 == 0 ? direct : through);
    });
    waitFor(std::chrono::milliseconds(1000));
    const double addedP50 = through.percentile(0.5) - direct.percentile(0.5);
    const double addedP99 = through.percentile(0.99) - direct.percentile(0.99);
    print({{"part", "first_token"},
           {"requests_per_s", rate},
           {"direct_p50_ms", direct.percentile(0.5)},
           {"direct_p99_ms", direct.percentile(0.99)},
           {"daemon_p50_ms", through.percentile(0.5)},
           {"daemon_p99_ms", through.percentile(0.99)},
           {"added_p50_ms", addedP50},
           {"added_p99_ms", addedP99},
           {"failed", direct.failed + through.failed}});
    std::printf("%-28s %10.3f ms   wanted at most 1\n", "first token, added p50", addedP50);
    std::printf("%-28s %10.3f ms   wanted at most 3\n", "first token, added p99", addedP99);
}

void measureChunks(Deployment &deployment, std::chrono::milliseconds duration)
{
    net::HttpClient client;
    const int streams = absl::GetFlag(FLAGS_streams);
    const int tokens = static_cast<int>(Seconds(duration).count() * ChunksPerStream);
    std::int64_t chunks = 0;
    int ended = 0;
    const auto cpuBefore = deployment.daemon(0).processorTime();
    const Instant start = monotonicNow();
    for (int n = 0; n < streams; ++n) {
        net::HttpHooks hooks;
        hooks.onBody = [&chunks](const QByteArray &part) {
            chunks += part.count("data: ");
        };
        hooks.onDone = [&ended](const net::HttpResult &) {
            ++ended;
        };
        client.start(deployment.prompt(0, "stream " + std::to_string(n), tokens, true), hooks);
    }
    waitUntil([&] {
        return ended == streams;
    });
    const double seconds = Seconds(monotonicNow() - start).count();
    const double cores = Seconds(deployment.daemon(0).processorTime() - cpuBefore).count() / seconds;
    const double rate = static_cast<double>(chunks) / seconds;
    const std::int64_t wanted = static_cast<std::int64_t>(streams) * (tokens + 1);
    print({{"part", "chunks"}, {"chunks_per_s", rate}, {"daemon_cores", cores}, {"received", chunks}, {"sent", wanted}, {"seconds", seconds}});
    std::printf("%-28s %10.0f /s   wanted 20000, on at most one core: %.2f\n", "stream chunks", rate, cores);
}

void measureShortRequests(Deployment &deployment, std::chrono::milliseconds duration)
{
    net::HttpClient client;
    Samples samples;
    const int rate = absl::GetFlag(FLAGS_short_requests_per_s);
    const std::int64_t memoryBefore = deployment.daemon(0).residentBytes();
    const auto cpuBefore = deployment.daemon(0).processorTime();
    openLoop(rate, duration, [&](int n) {
        sample(client, deployment.prompt(0, "short " + std::to_string(n), 1, false), samples);
    });
    const double cores = Seconds(deployment.daemon(0).processorTime() - cpuBefore).count() / Seconds(duration).count();
    waitFor(std::chrono::milliseconds(1000));
    const std::int64_t memoryAfter = deployment.daemon(0).residentBytes();
    const double finished = samples.finished / Seconds(duration).count();
    print({{"part", "short_requests"},
           {"offered_per_s", rate},
           {"finished_per_s", finished},
           {"failed", samples.failed},
           {"p50_ms", samples.percentile(0.5)},
           {"p99_ms", samples.percentile(0.99)},
           {"daemon_cores", cores},
           {"resident_before_bytes", memoryBefore},
           {"resident_after_bytes", memoryAfter}});
    std::printf("%-28s %10.0f /s   wanted 1000; %d failed, p99 %.2f ms\n", "short requests", finished, samples.failed, samples.percentile(0.99));
    std::printf(
        "%-28s %10.1f MB   wanted flat, from %.1f\n", "resident memory", static_cast<double>(memoryAfter) / 1e6, static_cast<double>(memoryBefore) / 1e6);
}

} // namespace

int main(int argc, char **argv)
{
    absl::ParseCommandLine(argc, argv);
    QCoreApplication app(argc, argv);
    Deployment deployment(
        {.daemons = 1, .engines = 1, .engineArguments = {"--decode_step=5ms", "--max_running=2000", "--max_queued=2000", "--prefill_tokens_per_s=1e9"}});
    if (!deployment.isServing()) {
        std::fputs("the deployment did not start\n", stderr);
        return 1;
    }
    const std::chrono::milliseconds duration = absl::ToChronoMilliseconds(absl::GetFlag(FLAGS_duration));
    measureFirstToken(deployment, duration);
    measureChunks(deployment, duration);
    measureShortRequests(deployment, duration);
    return 0;
}
