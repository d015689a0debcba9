#include "auburndrum/daemon/daemon.h"
#include "auburndrum/operator/claimresolution.h"

namespace auburndrum::daemon {

using operators::AdminOutcome;

namespace {

constexpr std::chrono::milliseconds PublishPatience{5000}; // then the operator is told how to ask again

AdminOutcome outcomeOf(platform::PlatformError error)
{
    switch (error) {
    case platform::PlatformError::None:
        return AdminOutcome::Done;
    case platform::PlatformError::NotSent:
    case platform::PlatformError::Refused:
        return AdminOutcome::Unavailable;
    case platform::PlatformError::Unknown:
    case platform::PlatformError::Cut:
        return AdminOutcome::Unknown;
    }
    return AdminOutcome::Unknown;
}

const char *toText(bool isServing, bool isDraining)
{
    if (isServing) {
        return "serving";
    }
    return isDraining ? "draining" : "finishing";
}

operators::PeerStatus peerStatus(const decision::Member &member, bool isLive)
{
    operators::PeerStatus it;
    it.name = member.record.name;
    it.address = member.address();
    it.zone = member.record.zone;
    it.region = member.record.region;
    it.isLive = isLive;
    return it;
}

} // namespace

operators::AdminHooks Daemon::adminHooks()
{
    operators::AdminHooks hooks;
    hooks.config = [this]() -> const decision::ConfigFold & {
        return m_fold.config();
    };
    hooks.team = [this](std::string_view authorization) {
        return m_directory->authenticateTeam(authorization);
    };
    hooks.publish = [this](const decision::PublishRecord &record, const std::function<void(const decision::PublishAnswer &)> &done) {
        m_publisher.publish(record, PublishPatience, done);
    };
    hooks.history = [this](const std::string &document) {
        return m_history.versions(document);
    };
    hooks.status = [this] {
        return status();
    };
    hooks.drain = [this](const std::string &vm, const operators::AdminDone &done) {
        drainVm(vm, done);
    };
    hooks.inDoubtClaims = [this] {
        return doubts();
    };
    hooks.resolve = [this](const operators::ClaimResolution &finding, const std::string &author, const operators::AdminDone &done) {
        resolveClaim(finding, author, done);
    };
    return hooks;
}

operators::StatusReport Daemon::status() const
{
    operators::StatusReport it;
    it.name = m_settings.name;
    it.zone = m_settings.zone;
    it.region = m_settings.region;
    it.address = net::toText(m_address);
    it.incarnation = m_incarnation;
    it.phase = toText(m_phase == Phase::Serving, m_phase == Phase::Draining);
    it.notReady = notReadyReasons();
    it.isPlatformUp = m_follower.isReachable();
    it.configOffset = m_fold.offset();
    it.configAge = configAge();
    it.openRequests = static_cast<std::uint64_t>(m_server.openExchanges());
    it.claimsInDoubt = doubts().size();
    const decision::Membership &membership = m_entries->membership();
    for (const auto &[name, member] : membership.members()) {
        it.peers.push_back(peerStatus(member, membership.isUsable(member)));
    }
    for (const decision::Server &server : m_fleet.servers()) {
        operators::BackendStatus backend;
        backend.address = server.address;
        backend.service = m_fleet.nameOf(server.service);
        backend.zone = m_fleet.nameOf(server.zone);
        backend.isLive = server.hasLoadReport;
        backend.isLeaving = server.leaving;
        backend.running = server.load.runningRequests;
        backend.queued = server.load.queuedRequests;
        backend.weightVersion = server.load.weightVersion;
        it.backends.push_back(std::move(backend));
    }
    return it;
}

std::chrono::milliseconds Daemon::configAge() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(monotonicNow() - m_follower.lastAnswer());
}

std::vector<operators::InDoubtClaim> Daemon::doubts() const
{
    return operators::inDoubtClaims(m_fold.claims(), wallNow());
}

void Daemon::resolveClaim(const operators::ClaimResolution &finding, const std::string &author, const operators::AdminDone &done)
{
    const auto record = operators::resolutionRecord(m_fold.claims(), finding, wallNow());
    if (!record) {
        done(AdminOutcome::NotFound);
        return;
    }
    if (!isLogUp()) {
        done(AdminOutcome::Unavailable);
        return;
    }
    m_timeline.record(EventKind::ClaimResolved, m_fold.claims().find(finding.key)->nonce, author);
    m_logClient.append(decision::encodeEntry({*record}), [done](const platform::AppendResult &result) {
        done(outcomeOf(result.error));
    });
}

void Daemon::drainVm(const std::string &vm, const operators::AdminDone &done)
{
    if (vm == m_settings.name) {
        done(AdminOutcome::Done);
        if (m_phase == Phase::Serving) {
            shutDown();
        }
        return;
    }
    for (const platform::Vm &it : m_vms) {
        if (it.name != vm || it.role != platform::VmRole::Backend) {
            continue;
        }
        noteLeavingServer(it.address, it.incarnation);
        done(AdminOutcome::Done);
        return;
    }
    done(AdminOutcome::NotFound);
}

} // namespace auburndrum::daemon
