#include "auburndrum/gateway/streamoriginlink.h"

#include "auburndrum/gateway/originmessages.h"

#include <QNetworkDatagram>

#include <algorithm>

namespace auburndrum::gateway {

namespace {

using std::chrono::milliseconds;

constexpr std::size_t Copies = 3; // of an origin at other VMs, so that it outlives most losses of VMs at the same time
constexpr std::size_t MaxSearches = 4096; // in progress; a caller beyond these is refused at once

} // namespace

StreamOriginLink::StreamOriginLink(GatewayState &state, RelayLink &relayLink, QObject *parent)
    : QObject(parent)
    , m_state(state)
    , m_relayLink(relayLink)
{
    m_timer.setSingleShot(true);
    m_timer.setTimerType(Qt::PreciseTimer);
    connect(&m_timer, &QTimer::timeout, this, &StreamOriginLink::advance);
    connect(&m_socket, &QUdpSocket::readyRead, this, &StreamOriginLink::readDatagrams);
    m_state.recordOrigin = [this](const std::string &attempt, const decision::StreamOrigin &origin) {
        record(attempt, origin);
    };
    m_state.findOrigin = [this](const std::string &attempt, std::function<void(const OriginFinding &)> done) {
        find(attempt, std::move(done));
    };
}

bool StreamOriginLink::start()
{
    const auto address = net::parseAddress(m_relayLink.self().address);
    return address && m_socket.bind(address->host, address->port);
}

std::vector<std::string> StreamOriginLink::rankedPeers(const std::string &attempt) const
{
    std::vector<std::string> names;
    for (const decision::EntryVm &it : m_relayLink.knownVms()) {
        if (it.name != m_relayLink.self().name) {
            names.push_back(it.name);
        }
    }
    return decision::rankHolders(attempt, std::move(names));
}

void StreamOriginLink::record(const std::string &attempt, const decision::StreamOrigin &origin)
{
    m_origins.record(attempt, origin, suspendAwareNow());
    const std::string message = toJson(OriginMessage{.kind = OriginMessage::Kind::Record, .attempt = attempt, .origin = origin});
    const auto peers = rankedPeers(attempt);
    for (std::size_t n = 0; n < std::min(Copies, peers.size()); ++n) {
        sendTo(peers[n], message);
    }
}

void StreamOriginLink::find(const std::string &attempt, std::function<void(const OriginFinding &)> done)
{
    const Instant now = suspendAwareNow();
    if (const auto known = m_origins.find(attempt, now); known || attempt.empty() || m_searches.size() >= MaxSearches) {
        done({.origin = known});
        return;
    }
    m_searches.emplace(++m_lastSearch, Search{attempt, decision::OriginSearch(rankedPeers(attempt), now), std::move(done), now});
    advance();
}

void StreamOriginLink::advance()
{
    const Instant now = suspendAwareNow();
    std::vector<std::uint64_t> ended;
    for (auto &[number, it] : m_searches) {
        if (it.decision.isDone(now)) {
            ended.push_back(number);
            continue;
        }
        const auto vms = it.decision.vmsToAsk(now);
        const std::string message
            = vms.empty() ? std::string() : toJson(OriginMessage{.kind = OriginMessage::Kind::Question, .attempt = it.attempt, .number = number});
        for (const std::string &vm : vms) {
            sendTo(vm, message);
        }
        if (it.decision.isDone(now)) {
            ended.push_back(number); // there is no other VM
        }
    }
    for (const std::uint64_t number : ended) {
        const auto search = m_searches.extract(number);
        if (search.empty()) {
            continue; // ended by the hook of another one
        }
        const Search &it = search.mapped();
        if (it.decision.origin()) {
            m_origins.record(it.attempt, *it.decision.origin(), now);
        }
        it.done({.origin = it.decision.origin(),
                 .mayBeToldLater = it.decision.isOpen(),
                 .asked = it.decision.asked(),
                 .answered = it.decision.answered(),
                 .duration = std::chrono::floor<milliseconds>(now - it.begunAt)});
    }
    scheduleAdvance();
}

void StreamOriginLink::scheduleAdvance()
{
    if (m_searches.empty()) {
        m_timer.stop();
        return;
    }
    const Instant now = suspendAwareNow();
    Instant next = Instant::max();
    for (const auto &[number, it] : m_searches) {
        next = std::min(next, it.decision.nextStep(now));
    }
    m_timer.start(std::max(milliseconds(1), std::chrono::ceil<milliseconds>(next - now)));
}

void StreamOriginLink::sendTo(const std::string &vm, const std::string &message)
{
    const auto it = m_relayLink.findVm(vm);
    const auto address = it ? net::parseAddress(it->address) : std::nullopt;
    if (address) {
        m_socket.writeDatagram(QByteArray::fromStdString(message), address->host, address->port);
    }
}

void StreamOriginLink::readDatagrams()
{
    while (m_socket.hasPendingDatagrams()) {
        const QNetworkDatagram datagram = m_socket.receiveDatagram();
        handleDatagram(datagram.data(), {datagram.senderAddress(), static_cast<quint16>(datagram.senderPort())});
    }
}

void StreamOriginLink::handleDatagram(const QByteArray &bytes, const net::Address &sender)
{
    const auto message = originMessageFrom(bytes.toStdString());
    if (!message) {
        m_state.log.write(LinePriority::Notable, "origin_skipped", {{"peer", net::toText(sender)}, {"problem", message.error()}});
        return;
    }
    const OriginMessage &it = message.value();
    switch (it.kind) {
    case OriginMessage::Kind::Record:
        m_origins.record(it.attempt, *it.origin, suspendAwareNow());
        return;
    case OriginMessage::Kind::Question: {
        const OriginMessage answer = {.kind = OriginMessage::Kind::Answer,
                                      .attempt = it.attempt,
                                      .number = it.number,
                                      .from = m_relayLink.self().name,
                                      .origin = m_origins.find(it.attempt, suspendAwareNow())};
        m_socket.writeDatagram(QByteArray::fromStdString(toJson(answer)), sender.host, sender.port);
        return;
    }
    case OriginMessage::Kind::Answer: {
        const auto search = m_searches.find(it.number);
        if (search != m_searches.end() && search->second.attempt == it.attempt) {
            search->second.decision.onAnswer(it.from, it.origin);
            advance();
        }
        return;
    }
    }
}

} // namespace auburndrum::gateway
