#include "capacity.h"

#include "auburndrum/entry/entrylink.h"
#include "auburndrum/net/httpserver.h"

#include <QCoreApplication>
#include <QEventLoop>

#include <sys/resource.h>
#include <unistd.h>

#include <fstream>
#include <memory>
#include <random>

namespace auburndrum::bench {

using namespace decision;

namespace {

constexpr double BytesPerKilobyte = 1024;

/// Closes idle connections early, so that hundreds of entry VMs fit into one process's file descriptors.
net::HttpServerOptions serverOptions()
{
    net::HttpServerOptions options;
    options.idleTimeout = std::chrono::seconds(2);
    return options;
}

/// One entry VM's link with a client and a server of its own.
struct SocketNode
{
    SocketNode(std::size_t n, std::size_t zones)
        : server(serverOptions(), [this](const std::shared_ptr<net::Exchange> &exchange) {
            link->handle(exchange);
        })
    {
        const std::size_t zone = n % zones;
        const auto address = server.listenOn({QHostAddress("127.0.0.1"), 0});
        entry::EntryLinkOptions options;
        options.self.name = "entry-" + std::to_string(n);
        options.self.address = net::toText(address);
        options.self.zone = "zone-" + std::to_string(zone);
        options.self.region = "region-" + std::to_string(zone / 2);
        options.self.incarnation = 1;
        options.fleetSecret = "0123456789abcdef0123456789abcdef";
        options.gossip.peers.seed = n;
        entry::EntryLinkHooks hooks;
        hooks.config.provideDelta = [](std::uint64_t) -> std::optional<std::string> {
            constexpr std::size_t DocumentBytes = 1000;
            return std::string(DocumentBytes, 'd');
        };
        hooks.config.apply = [](const entry::ConfigTransfer &) {
            return true;
        };
        link = std::make_unique<entry::EntryLink>(http, options, hooks);
    }

    net::HttpClient http;
    net::HttpServer server;
    std::unique_ptr<entry::EntryLink> link;
};

using Fleet = std::vector<std::unique_ptr<SocketNode>>;

double residentKilobytes()
{
    std::ifstream file("/proc/self/statm");
    double total = 0;
    double resident = 0;
    file >> total >> resident;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / BytesPerKilobyte;
}

double cpuSeconds()
{
    constexpr double MicrosecondsPerSecond = 1e6;
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    const auto seconds = [](const timeval &it) {
        return static_cast<double>(it.tv_sec) + static_cast<double>(it.tv_usec) / MicrosecondsPerSecond;
    };
    return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

std::uint64_t totalBytes(const Fleet &fleet)
{
    std::uint64_t bytes = 0;
    for (const auto &it : fleet) {
        bytes += it->link->controlBytes();
    }
    return bytes;
}

bool isConverged(const Fleet &fleet)
{
    for (const auto &it : fleet) {
        if (it->link->membership().usableMembers().size() != fleet.size()) {
            return false;
        }
    }
    return true;
}

void runFor(std::chrono::milliseconds time)
{
    QEventLoop loop;
    QTimer::singleShot(time, &loop, &QEventLoop::quit);
    loop.exec();
}

/// Makes the day's events happen at their rates, on a timer.
class SocketEvents : public QObject
{
public:
    SocketEvents(Fleet &fleet, std::uint64_t seed)
        : m_fleet(fleet)
        , m_random(seed)
    {
        connect(&m_timer, &QTimer::timeout, this, &SocketEvents::step);
        m_timer.start(std::chrono::seconds(1));
    }

private:
    void step()
    {
        const std::size_t n = std::uniform_int_distribution<std::size_t>(0, m_fleet.size() - 1)(m_random);
        if (happens(FleetRates::ConfigChanges)) {
            m_fleet[n]->link->setConfigOffset(++m_number);
        }
        if (happens(FleetRates::LeavingServers)) {
            m_fleet[n]->link->announce(LeavingServer{"10.20.30.40:" + std::to_string(++m_number), m_number});
        }
        for (const auto &it : m_fleet) {
            if (happens(FleetRates::LinkDemandsPerNode)) {
                it->link->announce(LinkDemand{it->link->membership().self().name, "region-1>region-2", ++m_number, m_number});
            }
        }
    }

    bool happens(double probability)
    {
        return std::bernoulli_distribution(probability)(m_random);
    }

    Fleet &m_fleet;
    std::mt19937_64 m_random;
    QTimer m_timer;
    std::uint64_t m_number = 1;
};

Fleet startFleet(std::size_t nodes)
{
    Fleet fleet;
    std::vector<ListedVm> list;
    for (std::size_t n = 0; n < nodes; ++n) {
        fleet.push_back(std::make_unique<SocketNode>(n, zonesFor(nodes)));
        const MemberRecord &self = fleet.back()->link->membership().self();
        list.push_back({self.name, self.address, self.zone, self.region, false});
    }
    for (const auto &it : fleet) {
        it->link->setListedVms(list);
        it->link->start();
    }
    return fleet;
}

} // namespace

CapacitySample measureSockets(const CapacityOptions &options)
{
    constexpr double Percent = 100;
    const double memoryBefore = residentKilobytes();
    Fleet fleet = startFleet(options.nodes);
    const Instant begin = monotonicNow();
    while (!isConverged(fleet) && monotonicNow() - begin < options.settle) {
        runFor(std::chrono::milliseconds(200));
    }
    const double joined = std::chrono::duration<double>(monotonicNow() - begin).count();
    runFor(options.settle);
    const SocketEvents events(fleet, options.seed);
    const std::uint64_t bytesBefore = totalBytes(fleet);
    const double cpuBefore = cpuSeconds();
    const Instant measured = monotonicNow();
    runFor(options.measure);
    const double seconds = std::chrono::duration<double>(monotonicNow() - measured).count();
    const auto nodes = static_cast<double>(options.nodes);
    CapacitySample sample{"sockets", options.nodes, 0, 0, 0, joined};
    sample.bytesPerSecond = static_cast<double>(totalBytes(fleet) - bytesBefore) / nodes / seconds;
    sample.cpuPercent = Percent * (cpuSeconds() - cpuBefore) / nodes / seconds;
    sample.memoryKilobytes = (residentKilobytes() - memoryBefore) / nodes;
    for (const auto &it : fleet) {
        it->link->stop();
    }
    // Calls under way end before their client does.
    runFor(std::chrono::seconds(3));
    return sample;
}

} // namespace auburndrum::bench
