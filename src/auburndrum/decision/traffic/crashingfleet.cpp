#include "crashingfleet.h"

#include <algorithm>
#include <utility>

namespace auburndrum::decision {

namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

constexpr milliseconds Step{5};
constexpr milliseconds UpdateInterval{50};
constexpr milliseconds WritingTime{500}; // a request whose events arrive for this long has not crashed its server
constexpr int FirstParts = 3;
constexpr int Sessions = 60;
constexpr int PolledRequests = 20;
constexpr std::size_t Zones = 3;
constexpr double FarExchanges = 8; // of the whole fleet in one interval

} // namespace

CrashingFleet::CrashingFleet(CrashingFleetOptions options)
    : m_options(options)
    , m_random(options.seed)
{
    for (int n = 0; n < m_options.servers; ++n) {
        m_servers.push_back({"server-" + std::to_string(++m_started)});
    }
    m_vms.resize(static_cast<std::size_t>(m_options.vms));
    for (std::size_t n = 0; n < m_vms.size(); ++n) {
        m_vmNames.push_back("vm-" + std::to_string(n));
    }
    for (std::size_t n = 0; n < m_vms.size(); ++n) {
        restartVm(n);
    }
}

void CrashingFleet::restartVm(std::size_t vm)
{
    m_vms[vm].quarantine = std::make_unique<CrashQuarantine>(CrashQuarantineOptions{.vm = m_vmNames[vm]});
    m_vms[vm].quarantine->setVms(m_vmNames);
    m_vms[vm].nextExchange = m_now;
}

double CrashingFleet::random()
{
    return std::uniform_real_distribution<double>(0, 1)(m_random);
}

milliseconds CrashingFleet::between(milliseconds low, milliseconds high)
{
    return low + milliseconds(static_cast<std::int64_t>(random() * static_cast<double>((high - low).count())));
}

CrashingFleet::Request CrashingFleet::makeRequestThatComesAgain()
{
    Request it;
    it.isBad = random() < m_options.badShare;
    const std::string sound
        = random() < 0.5 ? "request:polled-" + std::to_string(static_cast<int>(random() * PolledRequests)) : "request:own-" + std::to_string(++m_requests);
    it.marks = {it.isBad ? std::string(BadRequest) : sound};
    it.vm = static_cast<std::size_t>(random() * static_cast<double>(m_vms.size()));
    return it;
}

CrashingFleet::Request CrashingFleet::makeRequest()
{
    if (m_options.comesAgain) {
        return makeRequestThatComesAgain();
    }
    Request it;
    it.isBad = random() < m_options.badShare;
    const std::string first = "first-" + std::to_string(static_cast<int>(random() * FirstParts));
    const std::string session = "session-" + std::to_string(static_cast<int>(random() * Sessions));
    std::vector<std::string> parts = {first, session};
    if (it.isBad) {
        parts.insert(m_options.isBadFirst ? parts.begin() : parts.begin() + 1, BadPart);
    }
    parts.push_back("own-" + std::to_string(++m_requests));
    Prompt prompt;
    for (const std::string &part : parts) {
        prompt.parts.push_back({part, 100});
    }
    it.marks = marksOf(&prompt);
    it.vm = static_cast<std::size_t>(random() * static_cast<double>(m_vms.size()));
    return it;
}

void CrashingFleet::arrive()
{
    if (random() >= m_options.requestsPerSecond * std::chrono::duration<double>(Step).count()) {
        return;
    }
    Request request = makeRequest();
    Vm &vm = m_vms[request.vm];
    if (vm.isFrozen) {
        return;
    }
    const CrashDecision decision = vm.quarantine->decide(request.marks, m_now);
    if (decision.admission == CrashAdmission::Refused) {
        if (!request.isBad) {
            m_outcomes.push_back({m_now, false});
        }
        return;
    }
    vm.quarantine->onSent(decision, m_now);
    send(std::move(request));
}

void CrashingFleet::send(Request request)
{
    CrashQuarantine &quarantine = *m_vms[request.vm].quarantine;
    for (int attempts = 0; attempts < 4; ++attempts) {
        Server &server = m_servers[static_cast<std::size_t>(random() * static_cast<double>(m_servers.size()))];
        if (m_now < server.upAt) {
            quarantine.onRefusedConnection(server.id, m_now);
            continue;
        }
        request.sentAt = m_now;
        request.beginsAt = m_now + between(30ms, m_options.beginTime);
        request.endsAt = request.beginsAt + (request.isBad ? 110ms : between(50ms, 1200ms));
        if (request.isBad && !m_vms[request.vm].isIsolated) {
            m_badArrivals.push_back(m_now);
        }
        server.running.push_back(std::move(request));
        return;
    }
    if (!request.isBad) {
        m_outcomes.push_back({m_now, false});
    }
}

void CrashingFleet::crash(Server &server)
{
    m_crashes.push_back(m_now);
    for (const Request &it : server.running) {
        if (m_now - it.beginsAt < WritingTime) {
            m_vms[it.vm].quarantine->onLost(server.id, it.marks, it.sentAt, m_now);
        }
        if (!it.isBad) {
            m_outcomes.push_back({it.sentAt, false});
        }
    }
    const std::vector<Request> lost = std::exchange(server.running, {});
    server.id = "server-" + std::to_string(++m_started);
    server.upAt = m_now + between(2s, 4s);
    for (const Request &it : lost) {
        const bool isRepeated = m_options.comesAgain && !it.isRepeated && !m_vms[it.vm].quarantine->isSuspect(it.marks);
        if (isRepeated) {
            send({.marks = it.marks, .vm = it.vm, .isBad = it.isBad, .isRepeated = true});
        }
    }
}

void CrashingFleet::endRequests()
{
    for (Server &server : m_servers) {
        const bool isCrash = std::any_of(server.running.begin(), server.running.end(), [&](const Request &it) {
            return it.isBad && it.endsAt <= m_now;
        });
        if (isCrash) {
            crash(server);
            continue;
        }
        std::erase_if(server.running, [&](const Request &it) {
            if (it.endsAt > m_now) {
                return false;
            }
            CrashQuarantine &quarantine = *m_vms[it.vm].quarantine;
            quarantine.onResponse(server.id, it.sentAt, m_now);
            quarantine.onWholeResponse(server.id, it.marks, !m_options.breaksInOrder, m_now);
            m_outcomes.push_back({it.sentAt, true});
            return true;
        });
    }
}

void CrashingFleet::exchange(std::size_t vm)
{
    Vm &self = m_vms[vm];
    const double farShare = std::min(1.0, FarExchanges / static_cast<double>(m_vms.size()));
    for (const bool isFar : {false, true}) {
        if (isFar && random() >= farShare) {
            continue;
        }
        std::vector<std::size_t> peers;
        for (std::size_t n = 0; n < m_vms.size(); ++n) {
            const bool isOtherZone = n % Zones != vm % Zones;
            if (n != vm && isOtherZone == isFar && !m_vms[n].isFrozen && !m_vms[n].isIsolated) {
                peers.push_back(n);
            }
        }
        if (peers.empty()) {
            continue;
        }
        Vm &other = m_vms[peers[static_cast<std::size_t>(random() * static_cast<double>(peers.size()))]];
        // The time that a message takes makes what it tells look younger.
        const auto delay = between(1ms, 30ms);
        const CrashEvidence told = self.quarantine->evidence(m_now - delay);
        other.quarantine->merge(told, m_now);
        const CrashEvidence answered = other.quarantine->evidence(m_now - delay);
        self.quarantine->merge(answered, m_now);
        if (onMessage) {
            onMessage(told);
            onMessage(answered);
        }
        const bool isIdle = other.nextExchange > m_now + 150ms;
        if (isIdle) {
            other.nextExchange = m_now + 150ms;
        }
    }
}

void CrashingFleet::updateVms()
{
    for (std::size_t n = 0; n < m_vms.size(); ++n) {
        Vm &vm = m_vms[n];
        if (vm.isFrozen) {
            continue;
        }
        for (const CrashVerdict &it : vm.quarantine->update(m_now)) {
            if (it.mark != BadPart && it.mark != BadRequest && !it.isLifted) {
                m_wrongVerdicts.insert(it.mark);
            }
        }
        if (vm.isIsolated || m_now < vm.nextExchange) {
            continue;
        }
        exchange(n);
        vm.nextExchange = m_now + vm.quarantine->exchangeInterval(m_now).value_or(UpdateInterval);
    }
}

void CrashingFleet::run(milliseconds time)
{
    const Instant end = m_now + time;
    Instant nextUpdate = m_now;
    while (m_now < end) {
        m_now += Step;
        endRequests();
        arrive();
        if (m_now >= nextUpdate) {
            updateVms();
            nextUpdate = m_now + UpdateInterval;
        }
    }
}

void CrashingFleet::killServers(int count)
{
    std::shuffle(m_servers.begin(), m_servers.end(), m_random);
    for (Server &it : m_servers) {
        if (count-- <= 0) {
            break;
        }
        if (it.upAt <= m_now) {
            crash(it);
        }
    }
}

void CrashingFleet::setBadShare(double share)
{
    m_options.badShare = share;
}

void CrashingFleet::setFrozen(std::size_t vm, bool isFrozen)
{
    m_vms[vm].isFrozen = isFrozen;
}

void CrashingFleet::setIsolated(std::size_t vm, bool isIsolated)
{
    m_vms[vm].isIsolated = isIsolated;
}

int CrashingFleet::badArrivalsAfter(Instant time) const
{
    return static_cast<int>(std::count_if(m_badArrivals.begin(), m_badArrivals.end(), [&](Instant it) {
        return it > time;
    }));
}

double CrashingFleet::servedShare(Instant from, Instant until) const
{
    int served = 0;
    int all = 0;
    for (const Outcome &it : m_outcomes) {
        if (it.at < from || it.at >= until) {
            continue;
        }
        ++all;
        served += it.isServed ? 1 : 0;
    }
    return all == 0 ? 0 : static_cast<double>(served) / all;
}

std::size_t CrashingFleet::keptAway(std::size_t vm) const
{
    return m_vms[vm].quarantine->keptAway();
}

} // namespace auburndrum::decision
