#include "auburndrum/decision/cacheindex.h"
#include "auburndrum/decision/placement.h"
#include "auburndrum/decision/servertable.h"
#include "auburndrum/decision/storetable.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/random/distributions.h>
#include <absl/strings/str_format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <fstream>
#include <iostream>
#include <memory>
#include <random>
#include <string>
#include <vector>

ABSL_FLAG(std::uint64_t, seed, 1, "seed of the tables and of the requests");
ABSL_FLAG(std::uint32_t, decisions, 100'000, "decisions timed for each size");

namespace {

using namespace auburndrum;
using namespace auburndrum::decision;

constexpr std::array<std::uint32_t, 4> WorkerCounts{12, 120, 1200, 11'000};
constexpr std::uint32_t Services = 6;
constexpr std::uint32_t Zones = 20;
constexpr std::uint32_t ZonesPerRegion = 2;
constexpr std::uint32_t Organisations = 6700;
constexpr std::uint32_t Contexts = 170'000;
constexpr std::uint32_t PiecesPerContext = 4;
constexpr std::uint32_t PieceTokens = 2000;
constexpr std::uint32_t StoredShare = 10; // one context in so many is also in a store VM of this region
constexpr double SmallTargetMicroseconds = 20;
constexpr double LargeTargetMicroseconds = 60;
constexpr double StateTargetMegabytes = 64;

struct Tables
{
    ServerTable servers;
    CacheIndex cache;
    StoreTable stores;
    KeyNames names;
    std::vector<std::vector<PieceKey>> contexts;
};

// Resident memory of this process, in bytes.
std::size_t residentBytes()
{
    std::ifstream file("/proc/self/status");
    std::string word;
    while (file >> word) {
        if (word == "VmRSS:") {
            std::size_t kilobytes = 0;
            file >> kilobytes;
            return kilobytes * 1024;
        }
    }
    return 0;
}

std::string serviceName(std::uint32_t worker, std::uint32_t services)
{
    return "model-" + std::to_string(worker % services);
}

void addServers(Tables &tables, std::uint32_t workers, std::uint32_t services, Instant now, std::mt19937_64 &random)
{
    for (std::uint32_t n = 0; n < workers; ++n) {
        const std::uint32_t zone = n % Zones;
        const std::string address = absl::StrFormat("10.%d.%d.%d:8000", n / 65'536, n / 256 % 256, n % 256);
        tables.servers.put({address, "zone-" + std::to_string(zone), "region-" + std::to_string(zone / ZonesPerRegion), serviceName(n, services), 1});
        ServerLoadReport load;
        load.incarnation = 1;
        load.weightVersion = "v1";
        load.prefillTokensPerSecond = 8000;
        load.queuedPrefillTokens = absl::Uniform<std::uint64_t>(random, 0, 8000);
        load.measuredAt = now;
        tables.servers.applyLoadReport(address, load);
    }
}

void addContexts(Tables &tables, std::uint32_t services, std::mt19937_64 &random)
{
    for (std::uint32_t n = 0; n < Organisations; ++n) {
        tables.names.organisations.add("organisation-" + std::to_string(n));
    }
    tables.names.versions.add("v1");
    tables.stores.put("10.255.0.1:9000", "zone-0", "region-0");
    for (std::uint32_t n = 0; n < Contexts; ++n) {
        const std::uint32_t organisation = n % Organisations;
        std::vector<PieceKey> keys(PiecesPerContext);
        for (PieceKey &it : keys) {
            it = {organisation, 0, random(), random()};
        }
        const auto &slots = tables.servers.slotsOfService(serviceName(n, services));
        const std::uint32_t slot = slots[absl::Uniform<std::size_t>(random, 0, slots.size())];
        tables.cache.noteStored(tables.servers.at(slot).id, keys);
        for (const PieceKey &it : keys) {
            if (n % StoredShare == 0) {
                StoredBlock block;
                block.length = 32'000'000;
                tables.stores.putBlock(it, block);
            }
        }
        tables.contexts.push_back(std::move(keys));
    }
}

struct Timing
{
    double p50 = 0;
    double p99 = 0;
    std::uint32_t refused = 0; ///< a refusal costs less than a choice
};

Timing measure(Tables &tables, std::uint32_t services, Instant now, std::mt19937_64 &random)
{
    RouterOptions options;
    options.location = {"zone-0", "region-0"};
    const Router router(options, tables.servers, tables.cache, tables.stores);
    std::vector<std::string> names;
    for (std::uint32_t n = 0; n < services; ++n) {
        names.push_back(serviceName(n, services));
    }
    std::vector<double> took;
    std::uint32_t refused = 0;
    took.reserve(absl::GetFlag(FLAGS_decisions));
    for (std::uint32_t n = 0; n < absl::GetFlag(FLAGS_decisions); ++n) {
        const auto at = absl::Uniform<std::uint32_t>(random, 0, Contexts);
        RouteRequest request;
        request.service = names[at % services];
        request.weightVersion = "v1";
        request.pieceKeys = tables.contexts[at];
        request.promptTokens = PiecesPerContext * PieceTokens + 200;
        const auto before = std::chrono::steady_clock::now();
        const auto placement = router.choose(request, now, random);
        const auto after = std::chrono::steady_clock::now();
        took.push_back(std::chrono::duration<double, std::micro>(after - before).count());
        refused += placement.has_error() ? 1 : 0;
    }
    std::sort(took.begin(), took.end());
    return {took[took.size() / 2], took[took.size() * 99 / 100], refused};
}

void run(std::uint32_t workers, bool freshHeap)
{
    const Instant now = monotonicNow();
    const std::uint32_t services = std::min(Services, workers);
    std::mt19937_64 random(absl::GetFlag(FLAGS_seed));
    const std::size_t before = residentBytes();
    const auto tables = std::make_unique<Tables>();
    addServers(*tables, workers, services, now, random);
    addContexts(*tables, services, random);
    // The list of contexts is the benchmark's own, not state of a node.
    const std::size_t own = Contexts * (sizeof(std::vector<PieceKey>) * 2 + PiecesPerContext * sizeof(PieceKey) + 16);
    const double state = static_cast<double>(residentBytes()) / 1e6 - static_cast<double>(before + own) / 1e6;
    const double tableMegabytes = static_cast<double>(tables->cache.stateBytes() + tables->stores.stateBytes()) / 1e6;
    const Timing timing = measure(*tables, services, now, random);
    std::cout << absl::StrFormat(
        "%6d workers: p50 %7.2f us  p99 %7.2f us  cache index and store table %6.1f MB", workers, timing.p50, timing.p99, tableMegabytes);
    if (freshHeap) {
        std::cout << absl::StrFormat("  all state %6.1f MB resident", state);
    }
    std::cout << "\n";
    const double target = workers <= 12 ? SmallTargetMicroseconds : LargeTargetMicroseconds;
    nlohmann::json json{{"workers", workers},
                        {"p50_us", timing.p50},
                        {"p99_us", timing.p99},
                        {"tables_mb", tableMegabytes},
                        {"p99_target_us", target},
                        {"refused", timing.refused},
                        {"p99_met", timing.p99 <= target}};
    if (freshHeap) {
        json["state_mb"] = state;
        json["state_met"] = state <= StateTargetMegabytes;
    }
    std::cout << json.dump() << std::endl;
}

} // namespace

int main(int argc, char **argv)
{
    absl::ParseCommandLine(argc, argv);
    // The largest first: its memory is measured in a fresh heap.
    for (auto it = WorkerCounts.rbegin(); it != WorkerCounts.rend(); ++it) {
        run(*it, it == WorkerCounts.rbegin());
    }
    return 0;
}
