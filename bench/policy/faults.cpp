#include "simulation.h"

#include "auburndrum/decision/weightrollout.h"

namespace auburndrum::bench {

using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t SecondZone = 1;
constexpr double LostEvents = 0.05;
constexpr double SlowLinkFactor = 0.1;
constexpr auto LateReport = 5s;
constexpr auto WeightLoad = 800ms;
constexpr auto RolloutRound = 2s; // a load and the report that shows it

} // namespace

void Simulation::startFault()
{
    switch (m_settings.fault) {
    case Fault::None:
        break;
    case Fault::ServerKilled:
        m_engines.front()->kill();
        // The VM list shows it some seconds later.
        m_loop.after(5s, [this] {
            for (const auto &it : m_entries) {
                it->knowledge().servers.markLeaving(m_engines.front()->settings().address, 1);
            }
        });
        break;
    case Fault::StoreFull:
        m_store->setFull(true);
        break;
    case Fault::LinkAtTenth:
        for (auto &[regions, link] : m_links) {
            link.bytesPerSecond *= SlowLinkFactor;
        }
        break;
    case Fault::LateReports:
        m_reportLag = LateReport;
        break;
    case Fault::EventsLost:
        m_eventLoss = LostEvents;
        break;
    case Fault::ZoneCut:
        m_cut = true;
        m_cutZone = SecondZone;
        break;
    case Fault::WeightsSwapped:
        swapWeights();
        break;
    }
}

void Simulation::swapWeights()
{
    const decision::ServerTable &servers = m_entries.front()->knowledge().servers;
    const decision::WeightRollout rollout{"service", "v2", {}, 0};
    for (const decision::ServerId it : decision::serversToLoad(servers, rollout)) {
        m_engines[m_engineAt.at(servers.find(it)->address)]->load(2, WeightLoad);
    }
    std::size_t swapped = 0;
    for (const auto &it : m_engines) {
        swapped += it->version() == 2 ? 1 : 0;
    }
    if (swapped < m_engines.size()) {
        m_loop.after(RolloutRound, [this] {
            swapWeights();
        });
    }
}

} // namespace auburndrum::bench
