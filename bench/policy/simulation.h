#pragma once

#include "entry.h"
#include "eventloop.h"
#include "fakeengine.h"
#include "fakestore.h"
#include "policy.h"
#include "profile.h"
#include "workload.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <vector>

namespace auburndrum::bench {

/// One run: a user, a policy, a fault, a load.
struct RunSettings
{
    Profile profile;
    Policy policy = Policy::Auburndrum;
    Fault fault = Fault::None;
    double load = 1;
    std::uint64_t seed = 1;
    std::chrono::nanoseconds warmUp = std::chrono::hours(2);
    std::chrono::nanoseconds measured = std::chrono::hours(1);
};

/// What came out of a run, over its measured time.
struct RunResult
{
    std::vector<double> firstToken; ///< seconds, sorted
    std::uint64_t requests = 0;
    std::uint64_t refused = 0;
    std::uint64_t inTime = 0; ///< first token within the deadline
    std::uint64_t promptTokens = 0;
    std::uint64_t recomputedTokens = 0;
    std::uint64_t linkBytes = 0;
    std::map<std::uint32_t, std::uint64_t> requestsBy; ///< by organisation
    std::map<std::uint32_t, std::uint64_t> refusedBy;

    double percentile(double share) const;
    double recomputedShare() const;
};

/// The fakes, the entries and the traffic between them, in virtual time.
class Simulation
{
public:
    explicit Simulation(const RunSettings &settings);

    RunResult run();

private:
    struct Link
    {
        double bytesPerSecond = 0;
        Instant free{};
    };

    void makeEngines();
    void makeEntries();
    void startFault();
    void swapWeights();

    void nextArrival(std::uint32_t context);
    void arrive(const Context &context);
    void pump(Entry &entry);
    void planPump(Entry &entry);
    Request take(std::uint64_t id);
    void refuse(const Request &request);
    void dispatch(Entry &entry, Request request, const decision::Placement &placement);
    Instant startImports(Entry &entry, const decision::Placement &placement, EngineJob &job);
    void submit(Entry &entry, const std::shared_ptr<Request> &request, const decision::Placement &placement);
    void firstToken(Entry &entry, const Request &request, std::uint32_t engine, std::uint32_t cachedTokens);
    void attemptFailed(Entry &entry, Request request, decision::ServerId server);
    void exportBlocks(Entry &entry, const Request &request, std::uint32_t engine);

    void reportLoad(std::uint32_t engine);
    void deliverEvents(std::uint32_t engine);
    void refreshOracle();
    bool reachable(std::uint32_t zoneA, std::uint32_t zoneB) const;
    bool otherRegion(std::uint32_t zoneA, std::uint32_t zoneB) const;
    std::chrono::nanoseconds oneWay(std::uint32_t zoneA, std::uint32_t zoneB) const;
    std::chrono::nanoseconds send(std::uint32_t from, std::uint32_t to, std::uint64_t bytes);
    bool isMeasured() const;

    RunSettings m_settings;
    const Profile &m_profile;
    EventLoop m_loop;
    std::mt19937_64 m_workload; ///< arrivals alone, so that every policy sees the same ones
    std::mt19937_64 m_random;
    std::vector<Context> m_contexts;
    std::vector<std::unique_ptr<FakeEngine>> m_engines;
    std::vector<std::unique_ptr<Entry>> m_entries;
    std::vector<std::vector<std::uint32_t>> m_entriesOfZone;
    absl::flat_hash_map<std::string, std::uint32_t> m_engineAt; ///< by address
    std::unique_ptr<FakeStore> m_store;
    std::map<std::pair<std::string, std::string>, Link> m_links;
    absl::flat_hash_map<std::uint64_t, Request> m_waiting;
    std::chrono::nanoseconds m_reportLag = std::chrono::milliseconds(500);
    std::uint32_t m_cutZone = 0;
    double m_eventLoss = 0;
    double m_lowestStored = 0; ///< saving per byte of the last block evicted
    bool m_cut = false;
    Instant m_start{};
    std::uint64_t m_nextId = 0;
    RunResult m_result;
};

} // namespace auburndrum::bench
