#include "auburndrum/decision/traffic/cachescope.h"
#include "auburndrum/decision/traffic/serverchooser.h"

#include <array>
#include <chrono>
#include <cstdio>
#include <string>

// Processor time of one choice of an engine, by the number of engines of the service.

namespace {

using namespace auburndrum;
using namespace auburndrum::decision;

constexpr std::array<int, 4> EngineCounts{20, 200, 1000, 2000};
constexpr int Zones = 6;
constexpr int PromptStores = 49;
constexpr int Sessions = 5000;
constexpr int Choices = 2000;
constexpr std::uint32_t TokenBytes = 18432;

std::string zoneName(int n)
{
    return "zone-" + std::to_string(n % Zones);
}

Prompt session(int n)
{
    Prompt it;
    it.model = "m";
    it.parts = {{"common", 512}, {"session-" + std::to_string(n), 8610}, {"own-" + std::to_string(n), 2870}};
    it.inputTokens = 11992;
    it.maxOutputTokens = 32;
    return it;
}

double microsecondsPerChoice(int engines)
{
    std::map<std::string, std::string, std::less<>> regions;
    Configuration configuration;
    configuration.services["llm"] = ServiceTraits{"llm", "/", 0, EngineTraits{64, 71826, TokenBytes}};
    for (int n = 0; n < Zones; ++n) {
        regions[zoneName(n)] = "region-" + std::to_string(n % 2);
    }
    for (int n = 0; n < PromptStores; ++n) {
        configuration.promptStores.push_back({"10.9.0." + std::to_string(n) + ":1", zoneName(n), 1000000, 81e9, std::chrono::microseconds(500), true});
    }
    BackendList servers;
    StoredPrompts stored({.zone = zoneName(0), .regionOfZone = regions});
    stored.configure(configuration.promptStores);
    for (int n = 0; n < PromptStores; ++n) {
        PromptStoreUpdate update;
        for (int k = n; k < Sessions; k += PromptStores) {
            update.changes.push_back({true, cacheScope("m", 1, ""), "session-" + std::to_string(k), 8610});
        }
        stored.applyUpdate(configuration.promptStores[n].address, update);
    }
    const ServerLimits limits({.vm = "vm"});
    const ServerPauses pauses;
    const BrittleServers brittle({.vm = "vm"});
    ServerChooser chooser({.zone = zoneName(0), .regionOfZone = regions}, servers, stored, limits, pauses, brittle);
    chooser.configure(configuration);
    const Instant start{std::chrono::seconds(1000)};
    for (int n = 0; n < engines; ++n) {
        BackendServer it;
        it.id = "i-" + std::to_string(1000000 + n);
        it.service = "llm";
        it.address = "10.1." + std::to_string(n / 250) + "." + std::to_string(n % 250) + ":8080";
        it.zone = zoneName(n);
        it.parallelRequests = 64;
        it.weightVersions["m"] = 1;
        servers.put(it, start);
    }
    NamedWeights weights;
    NoServerReason reason = NoServerReason::NoneListed;
    const auto begin = std::chrono::steady_clock::now();
    for (int n = 0; n < Choices; ++n) {
        const Prompt prompt = session(n % Sessions);
        ServerQuery query;
        query.service = "llm";
        query.prompt = &prompt;
        query.namedWeights = &weights;
        const auto choice = chooser.choose(query, start + std::chrono::milliseconds(n), reason);
        if (choice) {
            chooser.onSent(*choice, &prompt, start);
            chooser.onFirstEvent(*choice, std::chrono::milliseconds(100), start);
            chooser.onFinished(*choice, true, std::chrono::milliseconds(200));
        }
    }
    return std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - begin).count() / Choices;
}

} // namespace

int main()
{
    std::printf("engines  us/choice\n");
    for (const int it : EngineCounts) {
        std::printf("%7d  %9.1f\n", it, microsecondsPerChoice(it));
    }
    return 0;
}
