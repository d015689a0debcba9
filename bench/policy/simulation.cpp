#include "simulation.h"

#include <absl/random/distributions.h>

#include <algorithm>

namespace auburndrum::bench {

using namespace std::chrono_literals;
using decision::PieceKey;
using decision::StoreTier;

namespace {

constexpr auto ReportInterval = 1s;
constexpr auto EventInterval = 500ms;
constexpr auto EventDelay = 200ms;
constexpr auto ManifestDelay = 1s;
constexpr auto ResyncDelay = 1s;

} // namespace

double RunResult::percentile(double share) const
{
    if (firstToken.empty()) {
        return 0;
    }
    const auto at = static_cast<std::size_t>(share * static_cast<double>(firstToken.size() - 1));
    return firstToken[at];
}

double RunResult::recomputedShare() const
{
    return promptTokens == 0 ? 0 : static_cast<double>(recomputedTokens) / static_cast<double>(promptTokens);
}

Simulation::Simulation(const RunSettings &settings)
    : m_settings(settings)
    , m_profile(m_settings.profile)
    , m_workload(settings.seed)
    , m_random(settings.seed + 1)
{
    m_contexts = makeContexts(m_profile, settings.load, m_workload);
    const auto listener = [this](const PieceKey &key, std::uint32_t bytes, StoreTier tier, bool stored) {
        m_loop.after(m_settings.policy == Policy::Oracle ? 0ns : ManifestDelay, [=, this] {
            for (const auto &it : m_entries) {
                decision::StoredBlock block;
                block.length = bytes;
                block.tier = tier;
                if (stored) {
                    it->knowledge().stores.putBlock(key, block);
                } else {
                    it->knowledge().stores.removeBlock(key);
                }
            }
        });
    };
    FakeStore::Evictor evictor;
    if (isShipped(settings.policy)) {
        evictor = [this](const std::vector<decision::BlockUsage> &sample, std::uint64_t bytes) {
            const decision::ExportOptions rates;
            const decision::ReuseIntervals &gaps = m_entries.front()->gaps();
            auto evicted = decision::chooseEvictions(sample, bytes, gaps, rates, m_loop.now());
            m_lowestStored = evicted.empty() ? 0 : decision::savingPerByte(sample[evicted.back()], gaps, rates, m_loop.now());
            return evicted;
        };
    }
    m_store = std::make_unique<FakeStore>(m_loop, m_profile, listener, evictor);
    for (const ZoneProfile &from : m_profile.zones) {
        for (const ZoneProfile &to : m_profile.zones) {
            m_links[{from.region, to.region}] = {m_profile.linkBytesPerSecond, {}};
        }
    }
    makeEngines();
    makeEntries();
}

RunResult Simulation::run()
{
    m_start = m_loop.now() + m_settings.warmUp;
    const Instant end = m_start + m_settings.measured;
    for (const Context &it : m_contexts) {
        const double phase = absl::Uniform(m_workload, 0.0, it.meanGapSeconds);
        m_loop.after(seconds(phase), [this, id = it.id] {
            arrive(m_contexts[id]);
            nextArrival(id);
        });
    }
    m_loop.at(m_start + m_settings.measured / 10, [this] {
        startFault();
    });
    m_loop.runUntil(end);
    std::sort(m_result.firstToken.begin(), m_result.firstToken.end());
    return m_result;
}

void Simulation::makeEngines()
{
    std::uint32_t zone = 0;
    for (const ZoneProfile &it : m_profile.zones) {
        for (std::uint32_t n = 0; n < it.workers; ++n) {
            EngineSettings settings;
            settings.address = "10." + std::to_string(zone) + ".0." + std::to_string(n) + ":80";
            settings.zone = zone;
            settings.prefillTokensPerSecond = m_profile.prefillTokensPerSecond;
            settings.cacheTokens = m_profile.cacheTokens;
            settings.reuse = m_settings.policy != Policy::AlwaysRecompute;
            const auto id = static_cast<std::uint32_t>(m_engines.size());
            m_engineAt[settings.address] = id;
            m_engines.push_back(std::make_unique<FakeEngine>(m_loop, settings));
            m_loop.after(seconds(absl::Uniform(m_random, 0.0, 1.0)), [this, id] {
                reportLoad(id);
                deliverEvents(id);
            });
        }
        ++zone;
    }
}

void Simulation::makeEntries()
{
    const auto shared = std::make_shared<Knowledge>();
    std::uint32_t zone = 0;
    for (const ZoneProfile &it : m_profile.zones) {
        m_entriesOfZone.emplace_back();
        for (std::uint32_t n = 0; n < it.entries; ++n) {
            const bool oracle = m_settings.policy == Policy::Oracle;
            m_entriesOfZone.back().push_back(static_cast<std::uint32_t>(m_entries.size()));
            m_entries.push_back(std::make_unique<Entry>(m_profile, m_settings.policy, zone, oracle ? shared : std::make_shared<Knowledge>()));
        }
        ++zone;
    }
    for (const auto &entry : m_entries) {
        entry->knowledge().stores.put("store", m_profile.zones.front().name, m_profile.storeRegion);
        for (const auto &engine : m_engines) {
            const ZoneProfile &place = m_profile.zones[engine->settings().zone];
            entry->knowledge().servers.put({engine->settings().address, place.name, place.region, "service", 1});
            decision::ServerLoadReport load;
            load.incarnation = 1;
            load.weightVersion = "v1";
            load.prefillTokensPerSecond = m_profile.prefillTokensPerSecond;
            load.measuredAt = m_loop.now();
            entry->knowledge().servers.applyLoadReport(engine->settings().address, load);
        }
    }
}

void Simulation::nextArrival(std::uint32_t context)
{
    m_loop.after(nextGap(m_contexts[context], m_workload), [this, context] {
        arrive(m_contexts[context]);
        nextArrival(context);
    });
}

void Simulation::reportLoad(std::uint32_t id)
{
    const FakeEngine &engine = *m_engines[id];
    decision::ServerLoadReport load;
    load.incarnation = 1;
    load.weightVersion = "v" + std::to_string(engine.version());
    load.runningRequests = engine.running();
    load.queuedRequests = engine.queued();
    load.queuedPrefillTokens = engine.queuedTokens();
    load.prefillTokensPerSecond = m_profile.prefillTokensPerSecond;
    load.measuredAt = m_loop.now();
    m_loop.after(m_reportLag, [this, id, load] {
        for (const auto &it : m_entries) {
            if (m_engines[id]->isAlive() && reachable(it->zone(), m_engines[id]->settings().zone)) {
                it->knowledge().servers.applyLoadReport(m_engines[id]->settings().address, load);
            }
        }
    });
    m_loop.after(ReportInterval, [this, id] {
        reportLoad(id);
    });
}

void Simulation::deliverEvents(std::uint32_t id)
{
    std::vector<decision::CacheEvent> events = m_engines[id]->takeEvents();
    const std::uint64_t next = m_engines[id]->nextEvent();
    std::erase_if(events, [this](const decision::CacheEvent &) {
        return m_eventLoss > 0 && absl::Bernoulli(m_random, m_eventLoss);
    });
    m_loop.after(EventDelay, [this, id, events = std::move(events), next] {
        for (const auto &it : m_entries) {
            const decision::Server *server = it->knowledge().servers.find(m_engines[id]->settings().address);
            if (!reachable(it->zone(), m_engines[id]->settings().zone) || it->knowledge().cache.apply(server->id, 1, events, next)) {
                continue;
            }
            m_loop.after(ResyncDelay, [this, id, entry = it.get(), server = server->id] {
                entry->knowledge().cache.resync(server, 1, m_engines[id]->keys(), m_engines[id]->nextEvent());
            });
        }
    });
    m_loop.after(EventInterval, [this, id] {
        deliverEvents(id);
    });
}

void Simulation::refreshOracle()
{
    Knowledge &knowledge = m_entries.front()->knowledge();
    for (const auto &engine : m_engines) {
        if (!engine->isAlive()) {
            knowledge.servers.markLeaving(engine->settings().address, 1);
        }
        const decision::Server *server = knowledge.servers.find(engine->settings().address);
        decision::ServerLoadReport load = server->load;
        load.weightVersion = "v" + std::to_string(engine->version());
        load.queuedPrefillTokens = engine->queuedTokens();
        load.measuredAt = m_loop.now() - 50ms; // requests on their way still count as sent
        load.queuedPrefillTokens += static_cast<std::uint64_t>(0.05 * m_profile.prefillTokensPerSecond);
        knowledge.servers.applyLoadReport(engine->settings().address, load);
        knowledge.cache.apply(server->id, 1, engine->takeEvents(), engine->nextEvent());
    }
}

bool Simulation::reachable(std::uint32_t zoneA, std::uint32_t zoneB) const
{
    return zoneA == zoneB || !m_cut || (zoneA != m_cutZone && zoneB != m_cutZone);
}

bool Simulation::otherRegion(std::uint32_t zoneA, std::uint32_t zoneB) const
{
    return m_profile.zones[zoneA].region != m_profile.zones[zoneB].region;
}

std::chrono::nanoseconds Simulation::oneWay(std::uint32_t zoneA, std::uint32_t zoneB) const
{
    if (otherRegion(zoneA, zoneB)) {
        return m_profile.linkDelay;
    }
    return zoneA == zoneB ? std::chrono::nanoseconds(100us) : m_profile.regionDelay;
}

std::chrono::nanoseconds Simulation::send(std::uint32_t from, std::uint32_t to, std::uint64_t bytes)
{
    if (!otherRegion(from, to)) {
        return oneWay(from, to);
    }
    Link &link = m_links.at({m_profile.zones[from].region, m_profile.zones[to].region});
    link.free = std::max(link.free, m_loop.now()) + seconds(static_cast<double>(bytes) / link.bytesPerSecond);
    m_result.linkBytes += isMeasured() ? bytes : 0;
    return link.free - m_loop.now() + oneWay(from, to);
}

bool Simulation::isMeasured() const
{
    return m_loop.now() >= m_start;
}

} // namespace auburndrum::bench
