#include "auburndrum/daemon/daemon.h"

#include "auburndrum/base/randomid.h"
#include "auburndrum/caller/apierror.h"
#include "auburndrum/decision/claimowners.h"

#include <absl/random/random.h>
#include <nlohmann/json.hpp>

#include <QCoreApplication>

namespace auburndrum::daemon {

namespace {

using nlohmann::json;

constexpr int WorkerThreads = 2;
constexpr std::chrono::milliseconds VmListInterval{1000};
constexpr std::chrono::milliseconds DrainPoll{20};
constexpr std::chrono::milliseconds GateInterval{20};
constexpr std::chrono::milliseconds InDoubtInterval{5000};
constexpr std::chrono::milliseconds InDoubtMargin{5000}; // after a claim's deadline, to let the process that made the claim settle it first
constexpr std::chrono::milliseconds MaxSnapshotDelay{60000}; // spreads the entry VMs, so that usually only one of them writes the snapshot
constexpr int ExitAborted = 3; // a second signal or the drain limit aborted open requests

net::Address toNet(const SocketAddress &address)
{
    return {QHostAddress(QString::fromStdString(address.ip)), address.port};
}

net::HttpServerOptions serverOptions(const Settings &settings)
{
    net::HttpServerOptions it;
    it.maxBodyBytes = static_cast<qint64>(settings.maxBodyBytes);
    it.maxHeaderBytes = static_cast<qint64>(settings.maxHeaderBytes);
    it.maxConnections = static_cast<int>(settings.maxConnections);
    it.errorBody = [](int status, const QByteArray &message) {
        caller::ApiError error;
        error.status = status;
        error.message = message.toStdString();
        error.param = "request";
        error.code = "bad_request";
        return caller::toJson(error);
    };
    return it;
}

std::chrono::milliseconds randomSnapshotDelay()
{
    absl::BitGen random;
    return std::chrono::milliseconds(absl::Uniform<std::int64_t>(random, 0, MaxSnapshotDelay.count()));
}

backend::FleetOptions fleetOptions(const Settings &settings)
{
    backend::FleetOptions it;
    it.router.location = {settings.zone, settings.region};
    // A service with little traffic must also be able to retry a few failures at once.
    it.retries.extraRetriesPerSecond = 10;
    return it;
}

} // namespace

Daemon::Daemon(const Settings &settings, QObject *parent)
    : QObject(parent)
    , m_settings(settings)
    , m_incarnation(settings.name + "-" + randomId())
    , m_timeline(settings.timelineEvents, m_clock)
    , m_metrics(m_registry)
    , m_log("daemon")
    , m_workers(WorkerThreads)
    , m_logClient(m_http, {.platform = toNet(settings.platform)})
    , m_snapshots({.randomDelay = randomSnapshotDelay}, monotonicNow())
    , m_claims(m_logClient,
               m_fold.claims(),
               {},
               {.isLogUp =
                    [this] {
                        return isLogUp();
                    },
                .onEvent =
                    [this](const std::string &nonce, EventKind kind) {
                        m_timeline.record(kind, nonce);
                    }})
    , m_follower(m_logClient,
                 {.onRecord =
                      [this](const platform::StoredRecord &it) {
                          applyRecord(it);
                      },
                  .onCaughtUp =
                      [this](std::uint64_t) {
                          handleCaughtUp();
                      },
                  .onTruncated =
                      [this](std::uint64_t first) {
                          handleTruncated(first);
                      },
                  .onReachableChanged =
                      [this](bool isUp) {
                          m_timeline.record(isUp ? EventKind::PlatformBack : EventKind::PlatformLost, {});
                          m_log.info("platform log is {}", isUp ? "up" : "down");
                      }})
    , m_publisher(m_logClient,
                  m_fold.config(),
                  [this] {
                      return isLogUp();
                  })
    , m_fleet(fleetOptions(settings))
    , m_watch(m_http,
              m_fleet,
              {},
              {.onLeaving =
                   [this](const std::string &address, std::uint64_t incarnation) {
                       markServerLeaving(address, incarnation);
                   }})
    , m_directory(std::make_shared<caller::Directory>())
    , m_callerContext{m_http,
                      m_fleet,
                      m_claims,
                      m_gate,
                      m_timeline,
                      m_metrics,
                      [this] {
                          return m_directory;
                      },
                      [this](std::function<void()> work, std::function<void()> done) {
                          m_workers.run(std::move(work), std::move(done));
                      },
                      [this](const std::string &address, std::uint64_t incarnation) {
                          markServerLeaving(address, incarnation);
                      }}
    , m_callerApi(m_callerContext, {.incarnation = m_incarnation})
    , m_inDoubtClaimResolver(m_callerContext,
                             {.isResponsible =
                                  [this](const decision::ClaimKey &key) {
                                      return decision::claimOwnerOf(key, liveNames()) == m_settings.name;
                                  },
                              .ledger = [this]() -> const decision::ClaimLedger & {
                                  return m_fold.claims();
                              }})
    , m_adminApi({.process = settings.name, .zone = settings.zone, .administratorKeyHash = settings.administratorKeyHash}, adminHooks(), m_timeline)
    , m_server(serverOptions(settings), [this](const std::shared_ptr<net::Exchange> &exchange) {
        handle(exchange);
    })
{
    connect(&m_vmTimer, &QTimer::timeout, this, &Daemon::readVms);
    connect(&m_vmTimer, &QTimer::timeout, this, &Daemon::appendSnapshot);
    connect(&m_gateTimer, &QTimer::timeout, this, [this] {
        m_gate.expire(monotonicNow());
    });
    connect(&m_inDoubtTimer, &QTimer::timeout, this, &Daemon::resolveInDoubtClaims);
    connect(&m_drainTimer, &QTimer::timeout, this, &Daemon::finishDrain);
    m_registry.onScrape([this] {
        refreshMetrics();
    });
}

Daemon::~Daemon()
{
    m_gate.close();
}

bool Daemon::start()
{
    m_address = m_server.listenOn(toNet(m_settings.listen));
    if (m_address.port == 0) {
        m_log.error("can't listen on {}", toText(m_settings.listen));
        return false;
    }
    m_timeline.record(EventKind::DaemonStarted, {}, m_incarnation);
    startEntryLink();
    m_follower.start(1);
    readVms();
    m_vmTimer.start(VmListInterval);
    m_inDoubtTimer.start(InDoubtInterval);
    m_gateTimer.start(GateInterval);
    m_watch.start();
    return true;
}

void Daemon::resolveInDoubtClaims()
{
    if (isLogUp()) {
        m_inDoubtClaimResolver.resolveInDoubtClaims(wallNow() - InDoubtMargin);
    }
}

void Daemon::handle(const std::shared_ptr<net::Exchange> &exchange)
{
    if (handleMonitoring(*exchange) || m_entryLink->handle(exchange) || m_adminApi.handle(exchange) || m_callerApi.handle(exchange)) {
        return;
    }
    caller::refuse(*exchange, caller::unknownPath(exchange->path()));
}

bool Daemon::handleMonitoring(net::Exchange &exchange)
{
    const QByteArray path = exchange.path();
    if (path != "/healthz" && path != "/readyz" && path != "/metrics") {
        return false;
    }
    if (exchange.method() != "GET") {
        caller::refuse(exchange, caller::wrongMethod("GET"));
        return true;
    }
    if (path == "/healthz") {
        exchange.respondJson(200, R"({"status":"alive"})");
    } else if (path == "/metrics") {
        exchange.respond(200, {{"Content-Type", "text/plain; version=0.0.4"}}, QByteArray::fromStdString(m_registry.text()));
    } else {
        const auto reasons = notReadyReasons();
        const json body{{"ready", reasons.empty()}, {"reasons", reasons}, {"config_offset", m_fold.offset()}};
        exchange.respondJson(reasons.empty() ? 200 : 503, QByteArray::fromStdString(body.dump()));
    }
    return true;
}

std::vector<std::string> Daemon::notReadyReasons() const
{
    std::vector<std::string> reasons;
    if (!m_isCaughtUp) {
        reasons.emplace_back("configuration not read yet");
    }
    if (m_phase != Phase::Serving) {
        reasons.emplace_back("shutting down");
    }
    return reasons;
}

void Daemon::readVms()
{
    platform::readVmList(m_http, toNet(m_settings.platform), [this](platform::PlatformError error, const std::vector<platform::Vm> &vms) {
        if (error == platform::PlatformError::None) {
            applyVmList(vms);
        }
    });
}

void Daemon::applyVmList(const std::vector<platform::Vm> &vms)
{
    std::set<std::string> listed;
    std::vector<decision::ListedVm> entries;
    for (const platform::Vm &it : vms) {
        if (it.role == platform::VmRole::Entry) {
            entries.push_back({it.name, it.address, it.zone, it.region, it.leaving});
        }
        if (it.role != platform::VmRole::Backend) {
            continue;
        }
        listed.insert(it.address);
        m_fleet.put({it.address, it.zone, it.region, it.service, it.incarnation});
        if (it.leaving) {
            markServerLeaving(it.address, it.incarnation);
        }
    }
    for (const decision::Server &it : m_fleet.servers()) {
        if (m_listedServers.contains(it.address) && !listed.contains(it.address)) {
            m_fleet.remove(it.address, it.incarnation);
        }
    }
    m_listedServers = std::move(listed);
    m_vms = vms;
    m_entryLink->setListedVms(entries);
}

void Daemon::markServerLeaving(const std::string &address, std::uint64_t incarnation)
{
    if (!m_fleet.markLeaving(address, incarnation)) {
        return; // already marked as leaving
    }
    m_timeline.record(EventKind::BackendLeaving, {}, address);
    m_entryLink->announce(decision::LeavingServer{address, incarnation});
}

void Daemon::refreshMetrics()
{
    m_metrics.configOffset.with().Set(static_cast<double>(m_fold.offset()));
    m_metrics.platformUp.with().Set(m_follower.isReachable() ? 1 : 0);
    m_metrics.configAge.with().Set(std::chrono::duration<double>(configAge()).count());
    m_metrics.ready.with().Set(notReadyReasons().empty() ? 1 : 0);
}

void Daemon::shutDown()
{
    if (m_phase != Phase::Serving) {
        m_log.warning("cut {} requests and {} claims", m_server.openExchanges(), m_claims.unsettledCount());
        m_timeline.record(EventKind::DrainCut, {}, std::to_string(m_server.openExchanges()) + " requests");
        exitProcess(ExitAborted);
        return;
    }
    m_phase = Phase::Draining;
    m_drainDeadline = monotonicNow() + m_settings.drainLimit;
    m_timeline.record(EventKind::DrainStarted, {});
    m_entryLink->leave();
    m_log.info("draining {} requests", m_server.openExchanges());
    // The load balancer keeps sending requests until it has seen /readyz fail.
    QTimer::singleShot(m_settings.balancerLag, this, [this] {
        m_phase = Phase::Finishing;
        m_server.stopListening();
        m_drainTimer.start(DrainPoll);
    });
}

void Daemon::finishDrain()
{
    if (m_server.isIdle() && m_claims.unsettledCount() == 0) {
        m_timeline.record(EventKind::DrainFinished, {});
        m_log.info("drained");
        exitProcess(0);
        return;
    }
    if (monotonicNow() >= m_drainDeadline) {
        shutDown();
    }
}

void Daemon::exitProcess(int code)
{
    m_drainTimer.stop();
    QCoreApplication::exit(code);
}

} // namespace auburndrum::daemon
