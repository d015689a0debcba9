#include "auburndrum/gateway/pathprobe.h"

#include <absl/random/distributions.h>

#include <algorithm>

namespace auburndrum::gateway {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds TickInterval{25};
constexpr milliseconds ProbeTimeout{300}; // several times the round trip between regions
constexpr milliseconds ProbeHoldTime{30}; // a cut may accept connections and reset them a moment later
// A cut that ends sooner was a wrong guess, from several servers that have gone: what failed in it is theirs.
constexpr milliseconds MinCutTime{500};
constexpr std::size_t SuspicionProbes = 3; // servers that are tried after one was out of reach

} // namespace

PathProbe::PathProbe(GatewayState &state, QObject *parent)
    : QObject(parent)
    , m_state(state)
{
    connect(&m_timer, &QTimer::timeout, this, &PathProbe::tick);
    m_state.onServerUnreachable = [this](const std::string &server, milliseconds waited) {
        handleUnreachable(server, waited);
    };
    m_state.onConnectionLost = [this](const std::string &server) {
        const Instant now = suspendAwareNow();
        m_state.serverPath.onLost(server, now);
        if (m_state.serverPath.takeLossCheck(now)) {
            connectToSome(m_state.servers.ids());
        }
    };
    m_state.onPathRegained = [this] {
        handleRegained();
    };
}

void PathProbe::handleUnreachable(const std::string &server, milliseconds waited)
{
    const Instant now = suspendAwareNow();
    const bool isNewCut = m_state.serverPath.onUnreachable(server, m_state.servers.size(), now, waited);
    if (const auto since = m_state.serverPath.pathLostSince()) {
        m_state.quarantine.withdrawLosses(*since);
    }
    if (isNewCut) {
        m_lostAt = now;
        m_state.metrics.stateChanges.with({"server_path"}).Increment();
        m_state.log.write(LinePriority::Notable, "server_path", {{"change", "lost"}, {"server", server}, {"servers_known", m_state.servers.size()}});
        m_timer.start(TickInterval);
        return;
    }
    if (!m_state.serverPath.takeSuspicion(now)) {
        return;
    }
    auto others = m_state.servers.ids();
    std::erase(others, server);
    connectToSome(std::move(others));
}

void PathProbe::connectToSome(std::vector<std::string> servers)
{
    std::shuffle(servers.begin(), servers.end(), m_state.random);
    servers.resize(std::min(servers.size(), SuspicionProbes));
    for (const std::string &it : servers) {
        connectToServer(it);
    }
}

void PathProbe::handleRegained()
{
    m_probes.clear();
    if (suspendAwareNow() - m_lostAt >= MinCutTime) {
        m_state.chooser.clearFailures(); // what failed during the cut says nothing about the servers
    }
    m_state.metrics.stateChanges.with({"server_path"}).Increment();
    m_state.log.write(
        LinePriority::Notable, "server_path", {{"change", "regained"}, {"cut_ms", std::chrono::floor<milliseconds>(suspendAwareNow() - m_lostAt).count()}});
}

void PathProbe::tick()
{
    const Instant now = suspendAwareNow();
    std::vector<std::pair<std::string, bool>> ended;
    for (const Probe &it : m_probes) {
        const bool isOver = it.connectedAt ? now - *it.connectedAt >= ProbeHoldTime : now - it.begunAt >= ProbeTimeout;
        if (isOver) {
            ended.emplace_back(it.server, it.connectedAt.has_value());
        }
    }
    for (const auto &[server, isConnected] : ended) {
        handleProbeEnd(server, isConnected);
    }
    if (m_state.serverPath.takeProbe(now)) {
        const auto ids = m_state.servers.ids();
        if (!ids.empty()) {
            connectToServer(ids[absl::Uniform<std::size_t>(m_state.random, 0, ids.size())]);
        }
    }
    if (m_probes.empty() && !m_state.serverPath.isCut()) {
        m_timer.stop();
    }
}

void PathProbe::connectToServer(const std::string &server)
{
    const auto *entry = m_state.servers.find(server);
    const auto address = entry == nullptr ? std::nullopt : net::parseAddress(entry->server.address);
    const bool isTried = std::any_of(m_probes.begin(), m_probes.end(), [&](const Probe &it) {
        return it.server == server;
    });
    if (!address || isTried) {
        return;
    }
    net::TcpHooks hooks;
    hooks.onConnected = [this, server] {
        for (Probe &it : m_probes) {
            if (it.server == server && !it.connectedAt) {
                it.connectedAt = suspendAwareNow();
            }
        }
    };
    hooks.onEnd = [this, server](net::TcpEnd) {
        handleProbeEnd(server, false);
    };
    m_probes.push_back({.server = server, .socket = std::make_unique<net::TcpSocket>(std::move(hooks)), .begunAt = suspendAwareNow(), .connectedAt = {}});
    m_probes.back().socket->connectTo(*address, ProbeTimeout);
    if (!m_timer.isActive()) {
        m_timer.start(TickInterval);
    }
}

void PathProbe::handleProbeEnd(const std::string &server, bool isConnected)
{
    const auto it = std::find_if(m_probes.begin(), m_probes.end(), [&](const Probe &probe) {
        return probe.server == server;
    });
    if (it == m_probes.end()) {
        return;
    }
    // The hook that calls this belongs to the socket, which outlives the call.
    const std::shared_ptr<net::TcpSocket> socket = std::move(it->socket);
    const std::string name = server;
    const auto waited = it->connectedAt ? milliseconds(0) : std::chrono::floor<milliseconds>(suspendAwareNow() - it->begunAt);
    m_probes.erase(it);
    socket->abort();
    QTimer::singleShot(0, this, [socket] {
    });
    if (!isConnected) {
        handleUnreachable(name, waited);
        return;
    }
    if (m_state.serverPath.isCut() && suspendAwareNow() - m_lostAt >= MinCutTime) {
        m_state.chooser.clearFailures(); // so that a server can be chosen for the trial
    }
    m_state.serverPath.onProbeConnected(suspendAwareNow());
}

} // namespace auburndrum::gateway
