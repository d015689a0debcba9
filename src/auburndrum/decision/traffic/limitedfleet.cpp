#include "limitedfleet.h"

#include <algorithm>

namespace auburndrum::decision {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds Step{5};
constexpr milliseconds ResponseTime{50};
constexpr milliseconds CallTimeout{400}; // until a VM that does not answer counts as silent

std::string serverName(std::size_t n)
{
    return "server-" + std::to_string(n);
}

} // namespace

LimitedFleet::LimitedFleet(std::size_t vms, std::size_t servers, std::uint64_t seed)
    : limits(servers)
    , m_random(seed)
    , m_serverStarts(servers, WallTime(milliseconds(1)))
    , m_arrivals(servers)
{
    for (std::size_t n = 0; n < vms; ++n) {
        startVm();
    }
    for (auto &it : m_vms) {
        for (const auto &other : m_vms) {
            it->known.insert(other->name);
        }
    }
}

void LimitedFleet::startVm()
{
    const std::string name = "vm-" + std::to_string(m_vms.size());
    m_vms.push_back(std::make_unique<Vm>(Vm{name, ServerLimits({.vm = name}), VmPresence({.vm = name}), {}, {}}));
    for (const auto &it : m_vms) {
        m_vms.back()->known.insert(it->name);
    }
}

void LimitedFleet::restartServer(std::size_t server)
{
    m_serverStarts[server] += milliseconds(1);
    for (auto &it : m_vms) {
        it->limits.forget(serverName(server));
    }
}

bool LimitedFleet::reaches(std::size_t a, std::size_t b) const
{
    return !frozen.contains(b) && cut.contains(a) == cut.contains(b);
}

void LimitedFleet::updateVms(Vm &vm)
{
    vm.limits.setVms(vm.presence.present({vm.known.begin(), vm.known.end()}, m_now));
}

void LimitedFleet::send(std::size_t n)
{
    Vm &vm = *m_vms[n];
    std::vector<std::size_t> allowed;
    milliseconds least = milliseconds::max();
    std::size_t soonest = 0;
    for (std::size_t server = 0; server < limits.size(); ++server) {
        if (vm.limits.allows(serverName(server), m_serverStarts[server], m_now)) {
            allowed.push_back(server);
        } else if (const auto time = vm.limits.timeToPermit(serverName(server), m_serverStarts[server], m_now); time < least) {
            least = time;
            soonest = server;
        }
    }
    if (allowed.empty()) {
        ++refused;
        retryDelays.push_back(vm.limits.promisePermit(serverName(soonest), m_serverStarts[soonest], std::chrono::seconds(2), m_now));
        return;
    }
    ++served;
    const std::size_t server = allowed[m_random() % allowed.size()];
    vm.limits.onSent(serverName(server), m_serverStarts[server], m_now);
    m_arrivals[server].push_back(m_now);
    m_responses.push_back({m_now + ResponseTime, m_now, n, server, m_serverStarts[server], limits[server]});
}

void LimitedFleet::post(std::size_t from, std::size_t to, bool isAnswer)
{
    const milliseconds delay(1 + m_random() % 30);
    m_messages.push_back({m_now + delay, from, to, m_vms[from]->limits.notices(), m_vms[from]->presence.silences(m_now), isAnswer});
    if (onMessage) {
        onMessage(m_messages.back().notices, m_messages.back().silences);
    }
}

void LimitedFleet::exchange(std::size_t n)
{
    Vm &vm = *m_vms[n];
    const auto interval = vm.limits.exchangeInterval(m_now);
    if (!interval || m_now - vm.exchangedAt < *interval) {
        return;
    }
    vm.exchangedAt = m_now;
    vm.limits.removeOld(m_now);
    updateVms(vm);
    const std::size_t peer = m_random() % m_vms.size();
    if (peer == n) {
        return;
    }
    if (!reaches(n, peer)) {
        vm.presence.onSilent(m_vms[peer]->name, m_now + CallTimeout);
        return;
    }
    post(n, peer, false);
}

void LimitedFleet::deliver(const Message &message)
{
    if (frozen.contains(message.to)) {
        return;
    }
    Vm &vm = *m_vms[message.to];
    vm.known.insert(m_vms[message.from]->name);
    vm.presence.onHeard(m_vms[message.from]->name, m_now);
    vm.presence.merge(message.silences);
    vm.limits.merge(message.notices, m_now);
    if (!message.isAnswer) {
        post(message.to, message.from, true);
    }
}

void LimitedFleet::run(milliseconds time, double requestsPerSecond)
{
    std::poisson_distribution<int> arriving(requestsPerSecond * std::chrono::duration<double>(Step).count());
    for (const Instant end = m_now + time; m_now < end; m_now += Step) {
        while (!m_responses.empty() && m_responses.front().at <= m_now) {
            const Response it = m_responses.front();
            m_responses.pop_front();
            if (!frozen.contains(it.vm)) {
                m_vms[it.vm]->limits.onResponse(serverName(it.server), it.startedAt, it.limit, it.sentAt, m_now);
            }
        }
        const auto due = std::stable_partition(m_messages.begin(), m_messages.end(), [this](const Message &it) {
            return it.at > m_now;
        });
        const std::vector<Message> messages(due, m_messages.end());
        m_messages.erase(due, m_messages.end());
        for (const Message &it : messages) {
            deliver(it);
        }
        for (std::size_t n = 0; n < m_vms.size(); ++n) {
            if (!frozen.contains(n)) {
                exchange(n);
            }
        }
        for (int left = arriving(m_random); left > 0; --left) {
            const std::size_t vm = m_random() % m_vms.size();
            if (!frozen.contains(vm)) {
                send(vm);
            }
        }
    }
}

std::size_t LimitedFleet::mostInWindow(std::size_t server, milliseconds window, Instant begin) const
{
    const auto &times = m_arrivals[server];
    std::ptrdiff_t most = 0;
    for (auto it = std::lower_bound(times.begin(), times.end(), begin); it != times.end(); ++it) {
        most = std::max(most, std::upper_bound(it, times.end(), *it + window) - it);
    }
    return static_cast<std::size_t>(most);
}

std::size_t LimitedFleet::arrivals(std::size_t server, Instant begin) const
{
    const auto &times = m_arrivals[server];
    return static_cast<std::size_t>(times.end() - std::lower_bound(times.begin(), times.end(), begin));
}

} // namespace auburndrum::decision
