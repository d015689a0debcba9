#pragma once

#include "auburndrum/backend/serverwatch.h"
#include "auburndrum/base/daemonmetrics.h"
#include "auburndrum/base/hybridclock.h"
#include "auburndrum/base/log.h"
#include "auburndrum/base/settings.h"
#include "auburndrum/base/timeline.h"
#include "auburndrum/caller/callerapi.h"
#include "auburndrum/caller/doubtresolver.h"
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

/// @brief One entry VM's daemon: all parts and how they are wired.
///
/// Everything runs on one event loop but the pool's workers, which share the fleet's tables and the time line.
/// Lock order: fleet before time line before clock; no part holds one of them while it calls another part.
class Daemon : public QObject
{
public:
    explicit Daemon(const Settings &settings, QObject *parent = nullptr);
    ~Daemon() override;

    /// Listens and begins to follow the platform. False when the address can't be had.
    bool start();
    /// First call: finishes what runs and exits 0. Second call: cuts what still runs and exits.
    void shutDown();

    net::Address address() const
    {
        return m_address;
    }

private:
    enum class Phase {
        Serving,
        Draining, ///< told the balancer; still takes what it sends
        Finishing, ///< no new connections; what runs goes on
    };

    void handle(const std::shared_ptr<net::Exchange> &exchange);
    bool handleObservation(net::Exchange &exchange);
    std::vector<std::string> notReadyReasons() const;
    void fold(const platform::StoredRecord &record);
    void handleCaughtUp();
    void handleCut(std::uint64_t first);
    void rebuildDirectory();
    void appendSnapshot();
    void startEntryLink();
    operators::AdminHooks adminHooks();
    operators::StatusReport status() const;
    std::chrono::milliseconds configAge() const;
    std::vector<operators::InDoubtClaim> doubts() const;
    void resolveClaim(const operators::ClaimResolution &finding, const std::string &author, const operators::AdminDone &done);
    void drainVm(const std::string &vm, const operators::AdminDone &done);
    void keepHistory(const platform::StoredRecord &record);
    void resolveDoubts();
    bool adoptFold(const entry::ConfigTransfer &transfer);
    std::string timelineReport(const std::string &filterJson) const;
    bool isLogUp() const;
    std::vector<std::string> liveNames() const;
    void readVms();
    void takeVms(const std::vector<platform::Vm> &vms);
    void finishDrain();
    void exitProcess(int code);
    void noteLeavingServer(const std::string &address, std::uint64_t incarnation);
    void refreshMetrics();

    Settings m_settings;
    std::string m_incarnation;
    HybridClock m_clock;
    Timeline m_timeline;
    Metrics m_registry;
    DaemonMetrics m_metrics;
    Log m_log;
    WorkerPool m_workers;
    caller::AdmissionGate m_gate; ///< before the client, whose calls hold tickets
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
    caller::DoubtResolver m_doubtResolver;
    operators::PublishHistory m_history;
    operators::AdminApi m_adminApi;
    net::HttpServer m_server;
    std::unique_ptr<entry::EntryLink> m_entries; ///< made once the own address is known
    net::Address m_address;
    QTimer m_vmTimer;
    QTimer m_gateTimer;
    QTimer m_doubtTimer;
    QTimer m_drainTimer;
    std::vector<platform::Vm> m_vms;
    std::set<std::string> m_listedServers;
    Phase m_phase = Phase::Serving;
    Instant m_drainDeadline{};
    bool m_isCaughtUp = false;
    bool m_directoryStale = true;
    std::uint64_t m_documentOffset = 0; ///< of the last record that changed a document
};

} // namespace auburndrum::daemon
