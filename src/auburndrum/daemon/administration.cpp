#include "auburndrum/daemon/daemon.h"

namespace auburndrum::daemon {

using operators::AdminOutcome;

namespace {

constexpr std::chrono::milliseconds PublishPatience{5000}; // then the operator is told how to ask again

operators::PeerStatus peerStatus(const decision::MemberRecord &member)
{
    operators::PeerStatus it;
    it.name = member.name;
    it.address = member.address;
    it.zone = member.zone;
    it.region = member.region;
    it.isLive = member.state() == decision::MemberState::Alive;
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
    hooks.doubts = [this] {
        return doubts();
    };
    hooks.resolve = [this](const operators::ClaimFinding &finding, const std::string &author, const operators::AdminDone &done) {
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
    it.phase = m_phase == Phase::Serving ? "serving" : m_phase == Phase::Draining ? "draining" : "finishing";
    it.notReady = notReadyReasons();
    it.isPlatformUp = m_follower.isReachable();
    it.configOffset = m_fold.offset();
    it.configAge = configAge();
    it.openRequests = static_cast<std::uint64_t>(m_server.openExchanges());
    it.claimsInDoubt = doubts().size();
    for (const decision::MemberRecord &member : m_entries->membership().usable()) {
        if (member.name != m_settings.name) {
            it.peers.push_back(peerStatus(member));
        }
    }
    for (const decision::Server &server : m_fleet.servers()) {
        operators::BackendStatus backend;
        backend.address = server.address;
        backend.service = m_fleet.nameOf(server.service);
        backend.zone = m_fleet.nameOf(server.zone);
        backend.isLive = server.reported;
        backend.isLeaving = server.leaving;
        backend.running = server.load.running;
        backend.queued = server.load.queued;
        backend.version = server.load.version;
        it.backends.push_back(std::move(backend));
    }
    return it;
}

std::chrono::milliseconds Daemon::configAge() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(monotonicNow() - m_follower.lastAnswer());
}

std::vector<operators::ClaimDoubt> Daemon::doubts() const
{
    std::vector<operators::ClaimDoubt> list;
    for (const decision::ClaimKey &key : m_fold.claims().inDoubt(wallNow())) {
        const decision::ClaimState *claim = m_fold.claims().find(key);
        list.push_back({key, claim->nonce, claim->at});
    }
    return list;
}

void Daemon::resolveClaim(const operators::ClaimFinding &finding, const std::string &author, const operators::AdminDone &done)
{
    const decision::ClaimState *claim = m_fold.claims().find(finding.key);
    if (claim == nullptr || claim->outcome) {
        done(AdminOutcome::NotFound);
        return;
    }
    if (!isLogUp()) {
        done(AdminOutcome::Unavailable);
        return;
    }
    if (finding.ran) {
        decision::Outcome outcome;
        outcome.key = finding.key;
        outcome.nonce = claim->nonce;
        outcome.status = finding.status;
        outcome.contentType = finding.contentType;
        outcome.body = finding.body;
        outcome.source = decision::OutcomeSource::Operator;
        m_claims.append(outcome);
    } else {
        m_claims.append(decision::Release{finding.key, claim->nonce});
    }
    m_timeline.record(EventKind::ClaimResolved, claim->nonce, author);
    done(AdminOutcome::Done);
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
