#include "auburndrum/gateway/peerexchange.h"

#include <algorithm>

namespace auburndrum::gateway {

namespace {

using decision::CrashVerdict;
using decision::EntryVm;
using std::chrono::milliseconds;

constexpr milliseconds TickInterval{50}; // while there is evidence
constexpr milliseconds FirstAskInterval{500}; // until another VM has answered after the start
// Exchanges between availability zones in one interval, of the whole fleet: links between zones are narrow, and some exchanges are enough.
constexpr double FarExchanges = 8;
constexpr milliseconds DirectoryInterval{5000}; // while there are limits, VMs that started meanwhile are found after this time at the latest
constexpr milliseconds SkipTime{2000}; // a VM that did not answer is not called for this time

} // namespace

PeerExchange::PeerExchange(GatewayState &state, RelayLink &relayLink, QObject *parent)
    : QObject(parent)
    , m_state(state)
    , m_relayLink(relayLink)
    , m_presence({.vm = relayLink.self().name})
{
    m_timer.setSingleShot(true);
    connect(&m_timer, &QTimer::timeout, this, &PeerExchange::tick);
    m_relayLink.addMethod(ExchangeMethod, [this](const std::string &request) {
        return handleExchange(request);
    });
    m_state.onNewsForPeers = [this] {
        wake();
    };
}

void PeerExchange::start()
{
    wake();
}

void PeerExchange::wake()
{
    if (!m_timer.isActive()) {
        m_timer.start(TickInterval);
    }
}

void PeerExchange::tick()
{
    const LoopWork::Span span(m_state.work, LoopWork::Kind::PeerNews);
    logChanges();
    const Instant now = suspendAwareNow();
    m_state.limits.removeOld(now);
    m_state.brittle.words().removeOld(now);
    if (!m_state.limits.isEmpty() || !m_state.brittle.words().isEmpty()) {
        updateSharingVms();
    }
    const auto interval = exchangeInterval();
    const bool isDue = interval && now - m_exchangedAt >= *interval;
    const bool asks = !m_hasAsked && m_relayLink.isDirectoryKnown() && now - m_exchangedAt >= FirstAskInterval;
    if (isDue || asks) {
        m_exchangedAt = now;
        exchange();
    }
    if (interval) {
        m_timer.start(TickInterval);
    } else if (!m_hasAsked) {
        m_timer.start(FirstAskInterval);
    }
}

std::optional<milliseconds> PeerExchange::exchangeInterval() const
{
    const Instant now = suspendAwareNow();
    std::optional<milliseconds> least;
    for (const auto &it : {m_state.quarantine.exchangeInterval(now), m_state.limits.exchangeInterval(now), m_state.brittle.words().exchangeInterval(now)}) {
        if (it && (!least || *it < *least)) {
            least = it;
        }
    }
    return least;
}

void PeerExchange::updateSharingVms()
{
    const Instant now = suspendAwareNow();
    if (now - m_directoryReadAt >= DirectoryInterval) {
        m_directoryReadAt = now;
        m_relayLink.refreshDirectory();
    }
    if (!m_relayLink.isDirectoryKnown()) {
        return; // other VMs may use the permits
    }
    std::vector<std::string> names = {m_relayLink.self().name};
    for (const EntryVm &it : m_relayLink.knownVms()) {
        if (it.name != names.front()) {
            names.push_back(it.name);
        }
    }
    const auto present = m_presence.present(names, now);
    m_state.limits.setVms(present);
    m_state.brittle.setVms(present);
}

void PeerExchange::logChanges()
{
    for (const CrashVerdict &it : m_state.quarantine.update(suspendAwareNow())) {
        const char *event = decision::kindOf(it.mark) == decision::MarkKind::WholeRequest ? "crashing_request" : "prompt_part";
        m_state.metrics.stateChanges.with({event}).Increment();
        m_state.log.write(LinePriority::Notable,
                          event,
                          {{"part", it.mark},
                           {"change", it.isLifted ? "lifted" : "kept_away"},
                           {"decision", it.id},
                           {"age_ms", std::chrono::floor<milliseconds>(suspendAwareNow() - it.decidedAt).count()},
                           {"hold_ms", it.hold.count()},
                           {"crashed_servers", it.servers},
                           {"kept_away", m_state.quarantine.keptAway()}});
    }
}

void PeerExchange::exchange()
{
    const Instant now = suspendAwareNow();
    std::vector<EntryVm> near; // of this availability zone
    std::vector<EntryVm> far;
    std::vector<std::string> names;
    for (const EntryVm &it : m_relayLink.knownVms()) {
        names.push_back(it.name);
        const auto skipped = m_skippedUntil.find(it.name);
        if (it.name != m_relayLink.self().name && (skipped == m_skippedUntil.end() || now >= skipped->second)) {
            (it.zone == m_relayLink.self().zone ? near : far).push_back(it);
        }
    }
    m_hasAsked = m_hasAsked || names.size() == 1;
    const double farShare = std::min(1.0, FarExchanges / static_cast<double>(names.size()));
    m_state.quarantine.setVms(std::move(names));
    for (auto *peers : {&near, &far}) {
        const bool isCalled = peers == &near || near.empty() || absl::Uniform<double>(m_state.random, 0, 1) < farShare;
        if (isCalled && !peers->empty()) {
            callPeer((*peers)[absl::Uniform<std::size_t>(m_state.random, 0, peers->size())]);
        }
    }
}

void PeerExchange::callPeer(const EntryVm &vm)
{
    const std::string request = toJson(message(), suspendAwareNow());
    m_relayLink.peers().call({vm.name, vm.address, ExchangeMethod, request}, [this, vm](const entry::EntryResult<std::string> &result) {
        if (!result) {
            m_skippedUntil[vm.name] = suspendAwareNow() + SkipTime;
            m_presence.onSilent(vm.name, suspendAwareNow());
            return;
        }
        m_presence.onHeard(vm.name, suspendAwareNow());
        const auto response = exchangeMessageFrom(result.value(), suspendAwareNow());
        if (!response) {
            m_skippedUntil[vm.name] = suspendAwareNow() + SkipTime;
            m_state.log.write(LinePriority::Notable, "evidence_skipped", {{"peer", vm.name}, {"problem", response.error()}});
            return;
        }
        m_skippedUntil.erase(vm.name);
        m_hasAsked = true;
        merge(response.value());
    });
}

entry::RpcResult PeerExchange::handleExchange(const std::string &text)
{
    const LoopWork::Span span(m_state.work, LoopWork::Kind::PeerNews);
    const auto request = exchangeMessageFrom(text, suspendAwareNow());
    if (!request) {
        m_state.log.write(LinePriority::Notable, "evidence_skipped", {{"peer", ""}, {"problem", request.error()}});
        return entry::rpcError(entry::RpcInvalidParams, request.error());
    }
    m_relayLink.addVm(request.value().from);
    m_presence.onHeard(request.value().from.name, suspendAwareNow());
    merge(request.value());
    return entry::rpcResult(toJson(message(), suspendAwareNow()));
}

ExchangeMessage PeerExchange::message() const
{
    const Instant now = suspendAwareNow();
    return {m_relayLink.self(),
            m_state.quarantine.evidence(now),
            m_state.limits.notices(),
            m_presence.silences(now),
            m_state.brittle.words().notices(),
            m_state.brittle.rooms()};
}

void PeerExchange::merge(const ExchangeMessage &message)
{
    m_presence.merge(message.silences);
    bool hasNews = m_state.quarantine.merge(message.evidence, suspendAwareNow());
    for (const auto &[notice, change] : m_state.limits.merge(listedServers(message.limits), suspendAwareNow())) {
        hasNews = true;
        m_state.metrics.stateChanges.with({"server_limit"}).Increment();
        m_state.log.write(LinePriority::Notable,
                          "server_limit",
                          {{"server", notice.server},
                           {"change", decision::toText(change)},
                           {"per_second", notice.perSecond},
                           {"heard_by", notice.vm},
                           {"age_ms", std::chrono::floor<milliseconds>(suspendAwareNow() - notice.at).count()}});
    }
    for (const auto &[notice, change] : m_state.brittle.words().merge(message.brittleServices, suspendAwareNow())) {
        hasNews = true;
        m_state.metrics.stateChanges.with({"brittle_service"}).Increment();
        m_state.log.write(LinePriority::Notable,
                          "brittle_service",
                          {{"service", notice.server},
                           {"change", decision::toText(change)},
                           {"borne_per_second", notice.perSecond},
                           {"heard_by", notice.vm},
                           {"age_ms", std::chrono::floor<milliseconds>(suspendAwareNow() - notice.at).count()}});
    }
    m_state.brittle.merge(message.rooms, suspendAwareNow());
    if (hasNews) {
        logChanges();
        wake();
    }
}

std::vector<decision::LimitNotice> PeerExchange::listedServers(std::vector<decision::LimitNotice> notices) const
{
    std::erase_if(notices, [this](const decision::LimitNotice &it) {
        const auto *entry = m_state.servers.find(it.server);
        return entry == nullptr || entry->server.startedAt != it.startedAt;
    });
    return notices;
}

} // namespace auburndrum::gateway
