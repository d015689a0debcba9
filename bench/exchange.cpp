// What the exchange between entry VMs costs in a large fleet: bytes of its messages, in simulated time, and the processor time of origins of streams.

#include "auburndrum/gateway/exchangemessages.h"
#include "auburndrum/gateway/originmessages.h"
#include "decision/traffic/crashingfleet.h"
#include "decision/traffic/limitedfleet.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <iostream>

ABSL_FLAG(int, vms, 90, "number of entry VMs");
ABSL_FLAG(int, servers, 98, "number of backend servers");
ABSL_FLAG(double, requests, 1000, "requests a second of the whole fleet");
ABSL_FLAG(absl::Duration, time, absl::Seconds(20), "simulated time of each load");

namespace {

using namespace auburndrum;
using namespace std::chrono_literals;

/// Sums up messages, each of which a call sends and another one answers.
class Traffic
{
public:
    void add(const gateway::ExchangeMessage &message, Instant now)
    {
        ++m_messages;
        const std::size_t n = toJson(message, now).size();
        m_bytes += n;
        m_largest = std::max(m_largest, n);
    }

    void print(const char *load, std::size_t vms, std::chrono::milliseconds time) const
    {
        const double seconds = std::chrono::duration<double>(time).count();
        std::cout << load << ": " << static_cast<double>(m_messages) / seconds << " messages/s, " << static_cast<double>(m_bytes) / seconds / 1000.0
                  << " kB/s in all, " << static_cast<double>(m_bytes) / seconds / 1000.0 / static_cast<double>(vms) << " kB/s sent by each VM, the largest "
                  << m_largest << " bytes\n";
    }

private:
    std::size_t m_messages = 0;
    std::size_t m_bytes = 0;
    std::size_t m_largest = 0;
};

const decision::EntryVm From = {"edge-santander-a-12", "10.1.0.27:8125", "santander-a", 1000};

void runCrashes(const char *load, decision::CrashingFleetOptions options, std::chrono::milliseconds time)
{
    Traffic traffic;
    decision::CrashingFleet fleet(options);
    fleet.onMessage = [&](const decision::CrashEvidence &evidence) {
        traffic.add({From, evidence, {}, {}}, fleet.now());
    };
    fleet.run(time);
    traffic.print(load, static_cast<std::size_t>(options.vms), time);
}

void runLimits(const char *load, std::size_t vms, std::size_t servers, std::size_t limited, double requests, std::chrono::milliseconds time)
{
    Traffic traffic;
    decision::LimitedFleet fleet(vms, servers, 1);
    std::fill_n(fleet.limits.begin(), limited, 1.2);
    fleet.onMessage = [&](const std::vector<decision::LimitNotice> &notices, const std::vector<decision::VmSilence> &silences) {
        traffic.add({From, {}, notices, silences}, fleet.now());
    };
    fleet.run(time, requests);
    traffic.print(load, vms, time);
}

/// Each stream's origin goes to three VMs; a stream that is taken up is sought at three.
void runOrigins(std::size_t vms, double streams)
{
    constexpr int Copies = 3;
    constexpr int Rounds = 10000;
    std::vector<std::string> names;
    for (std::size_t n = 0; n < vms; ++n) {
        names.push_back(From.name + std::to_string(n));
    }
    decision::StreamOrigins origins;
    std::size_t bytes = 0;
    std::size_t holders = 0;
    const auto begin = std::chrono::steady_clock::now();
    for (int n = 0; n < Rounds; ++n) {
        const std::string attempt = "9c41d07be2a35f" + std::to_string(n);
        holders += decision::rankHolders(attempt, names).size();
        const std::string message = toJson(gateway::OriginMessage{.attempt = attempt, .origin = decision::StreamOrigin{"lm-service", "v1.12"}});
        bytes = message.size();
        for (int copy = 0; copy < Copies; ++copy) {
            const auto read = gateway::originMessageFrom(message);
            origins.record(read.value().attempt, *read.value().origin, Instant{1000s});
        }
    }
    const std::chrono::duration<double, std::micro> time = std::chrono::steady_clock::now() - begin;
    std::cout << "origins of " << streams << " streams/s at " << holders / Rounds << " VMs: " << Copies * streams / static_cast<double>(vms)
              << " datagrams/s sent by each VM, " << bytes << " bytes each; " << time.count() / Rounds << " us a stream in all, without the sockets\n";
}

} // namespace

int main(int argc, char **argv)
{
    absl::ParseCommandLine(argc, argv);
    const int vms = absl::GetFlag(FLAGS_vms);
    const int servers = absl::GetFlag(FLAGS_servers);
    const double requests = absl::GetFlag(FLAGS_requests);
    const auto time = absl::ToChronoMilliseconds(absl::GetFlag(FLAGS_time));
    const decision::CrashingFleetOptions crashes{.vms = vms, .servers = servers, .requestsPerSecond = std::min(requests, 190.0)};
    auto parts = crashes;
    parts.badShare = 0.05;
    runCrashes("a prompt part that crashes servers", parts, time);
    auto again = parts;
    again.comesAgain = true;
    runCrashes("a request that comes again and crashes servers", again, time);
    runLimits("two servers with limits", static_cast<std::size_t>(vms), static_cast<std::size_t>(servers), 2, requests, time);
    runLimits("all servers with limits", static_cast<std::size_t>(vms), static_cast<std::size_t>(servers), static_cast<std::size_t>(servers), requests, time);
    runOrigins(static_cast<std::size_t>(vms), requests);
    return 0;
}
