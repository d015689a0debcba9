#pragma once

#include "auburndrum/backend/serverwatch.h"
#include "auburndrum/base/daemonmetrics.h"
#include "auburndrum/base/hybridclock.h"
#include "auburndrum/base/log.h"
#include "auburndrum/base/settings.h"
#include "auburndrum/base/timeline.h"
#include "auburndrum/caller/callerapi.h"
#include "auburndrum/caller/indoubtclaimresolver.h"
#include "auburndrum/daemon/directorybuilder.h"
#include "auburndrum/daemon/workerpool.h"
#include "auburndrum/decision/logfold.h"
#include "auburndrum/decision/snapshotplanner.h"
#include "auburndrum/entry/entrylink.h"
#include "auburndrum/net/httpserver.h"
#include "auburndrum/operator/adminapi.h"
#include "auburndrum/operator/publishhistory.h"
#include "auburndrum/platform/logfollower.h"
#include "auburndrum/platform/publisher.h"
#include "auburndrum/platform/vmlist.h"

#include <QObject>
#include <QTimer>

#include <memory>
#include <set>

namespace auburndrum::daemon {

/// @brief The daemon of one entry VM: owns all components and connects them.
///
/// Everything runs on one event loop, except the worker pool, whose threads share the fleet's tables and the time line.
/// Lock order: fleet before time line before clock; no component holds one of these locks while it calls another component.
class Daemon : public QObject
{
public:
    explicit Daemon(const Settings &settings, QObject *parent = nullptr);
    ~Daemon() override;

    /// Starts to listen and to follow the platform's log. Returns false when it can't listen on the address.
    bool start();
    /// First call: drains open requests, then exits with 0. Second call: aborts open requests and exits.
    void shutDown();

    net::Address address() const
    {
        return m_address;
    }

private:
    enum class Phase {
        Serving,
        Draining, ///< /readyz fails; requests are still accepted until the load balancer has noticed
        Finishing, ///< no new connections; open requests continue
    };

    void handle(const std::shared_ptr<net::Exchange> &exchange);
    bool handleMonitoring(net::Exchange &exchange);
    std::vector<std::string> notReadyReasons() const;
    void applyRecord(const platform::StoredRecord &record);
    void handleCaughtUp();
    void handleTruncated(std::uint64_t first);
    void rebuildDirectory();
    void appendSnapshot();
    void startEntryLink();
    operators::AdminHooks adminHooks();
    operators::StatusReport status() const;
    std::chrono::milliseconds configAge() const;
    std::vector<operators::InDoubtClaim> inDoubtClaims() const;
    void resolveClaim(const operators::ClaimResolution &finding, const std::string &author, const operators::AdminDone &done);
    void drainVm(const std::string &vm, const operators::AdminDone &done);
    void recordHistory(const platform::StoredRecord &record);
    void resolveInDoubtClaims();
    bool loadPeerSnapshot(const entry::ConfigTransfer &transfer);
    std::string timelineReport(const std::string &filterJson) const;
    bool isLogUp() const;
    std::vector<std::string> liveNames() const;
    void readVms();
    void applyVmList(const std::vector<platform::Vm> &vms);
    void finishDrain();
    void exitProcess(int code);
    void markServerLeaving(const std::string &address, std::uint64_t incarnation);
    void refreshMetrics();

    Settings m_settings;
    std::string m_incarnation;
    HybridClock m_clock;
    Timeline m_timeline;
    Metrics m_registry;
    DaemonMetrics m_metrics;
    Log m_log;
    WorkerPool m_workers;
    caller::AdmissionGate m_gate; ///< declared before m_http, whose calls hold the gate's tickets and must be destroyed first
    net::HttpClient m_http;
    platform::LogClient m_logClient;
    decision::LogFold m_fold;
    decision::SnapshotPlanner m_snapshots;
    platform::ClaimService m_claims;
    platform::LogFollower m_follower;
    platform::Publisher m_publisher;
    backend::Fleet m_fleet;
    backend::ServerWatch m_watch;
    DirectoryBuilder m_directoryBuilder;
    std::shared_ptr<const caller::Directory> m_directory;
    caller::CallerContext m_callerContext;
    caller::CallerApi m_callerApi;
    caller::InDoubtClaimResolver m_inDoubtClaimResolver;
    operators::PublishHistory m_history;
    operators::AdminApi m_adminApi;
    net::HttpServer m_server;
    std::unique_ptr<entry::EntryLink> m_entryLink; ///< created once the listening address is known
    net::Address m_address;
    QTimer m_vmTimer;
    QTimer m_gateTimer;
    QTimer m_inDoubtTimer;
    QTimer m_drainTimer;
    std::vector<platform::Vm> m_vms;
    std::set<std::string> m_listedServers;
    Phase m_phase = Phase::Serving;
    Instant m_drainDeadline{};
    bool m_isCaughtUp = false;
    bool m_isDirectoryStale = true;
    std::uint64_t m_documentOffset = 0; ///< of the last record that changed a document
};

} // namespace auburndrum::daemon
