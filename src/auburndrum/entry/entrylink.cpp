#include "auburndrum/entry/entrylink.h"

#include "auburndrum/entry/gossipcodec.h"

#include <algorithm>
#include <utility>

namespace auburndrum::entry {

using namespace decision;

namespace {

constexpr const char *GossipMethod = "gossip";
constexpr const char *SeedPrefix = "seed:";

PeerClientOptions clientOptions(const EntryLinkOptions &options)
{
    PeerClientOptions it = options.client;
    it.name = options.self.name;
    it.fleetSecret = options.fleetSecret;
    return it;
}

MembershipOptions membershipOptions(const EntryLinkOptions &options)
{
    MembershipOptions it = options.membership;
    it.self = options.self;
    return it;
}

} // namespace

EntryLink::EntryLink(net::HttpClient &http, EntryLinkOptions options, EntryLinkHooks hooks, QObject *parent)
    : QObject(parent)
    , m_options(std::move(options))
    , m_hooks(std::move(hooks))
    , m_client(http, m_cuts, clientOptions(m_options))
    , m_server(m_options.fleetSecret, m_cuts)
    , m_gossip(m_options.gossip, membershipOptions(m_options), monotonicNow())
    , m_config(
          m_client,
          m_server,
          [this](const std::string &peer) {
              return addressOf(peer);
          },
          m_hooks.config)
    , m_claims(
          m_client,
          m_server,
          [this](const std::string &peer) {
              return addressOf(peer);
          },
          m_options.claims)
    , m_timeline(m_client, m_server, m_hooks.timelineReport)
{
    m_timer.setSingleShot(true);
    connect(&m_timer, &QTimer::timeout, this, &EntryLink::runRound);
    m_server.addMethod(GossipMethod, [this](const std::string &, const std::string &paramsJson) {
        return handleGossip(paramsJson);
    });
    m_config.setOnApplied([this](std::uint64_t offset) {
        setConfigOffset(offset);
    });
    m_client.setOnBytesTransferred([this](std::size_t bytes) {
        countBytes(bytes);
    });
    m_server.setOnBytesTransferred([this](std::size_t bytes) {
        countBytes(bytes);
    });
}

EntryLink::~EntryLink() = default;

void EntryLink::start()
{
    m_isRunning = true;
    setListedVms(m_listedVms);
    runRound();
}

void EntryLink::stop()
{
    m_isRunning = false;
    m_timer.stop();
}

bool EntryLink::handle(const std::shared_ptr<net::Exchange> &exchange)
{
    return m_server.handle(exchange);
}

void EntryLink::setListedVms(const std::vector<ListedVm> &list)
{
    m_listedVms = list;
    std::vector<ListedVm> withSeeds = list;
    addSeeds(withSeeds);
    m_gossip.setListedVms(withSeeds, monotonicNow());
}

void EntryLink::addSeeds(std::vector<ListedVm> &list) const
{
    for (const std::string &seed : m_options.seeds) {
        const auto isThere = [&seed](const auto &it) {
            return it.address == seed;
        };
        const bool isListed = std::any_of(list.begin(), list.end(), isThere);
        const bool isKnown = std::any_of(membership().members().begin(), membership().members().end(), [&seed](const auto &it) {
            return it.second.record.incarnation != 0 && it.second.record.address == seed;
        });
        if (isListed || isKnown || seed == m_options.self.address) {
            continue;
        }
        list.push_back({SeedPrefix + seed, seed, m_options.self.zone, m_options.self.region, false});
    }
}

void EntryLink::announce(const DeltaValue &value)
{
    m_gossip.announce(value, monotonicNow());
    scheduleNextRound();
}

void EntryLink::leave()
{
    m_gossip.leave(monotonicNow());
    scheduleNextRound();
}

void EntryLink::setConfigOffset(std::uint64_t offset)
{
    m_config.setOwnOffset(offset);
    m_gossip.setConfigOffset(offset, monotonicNow());
    scheduleNextRound();
}

void EntryLink::fetchFold(std::function<void(bool)> done)
{
    std::vector<std::string> peers;
    for (const auto &[name, member] : membership().members()) {
        if (member.record.liveness != Liveness::Dead) {
            peers.push_back(name);
        }
    }
    m_config.fetchFold(std::move(peers), std::move(done));
}

void EntryLink::collectTimeline(const std::string &filterJson, std::function<void(const TimelineCollection &)> done)
{
    std::vector<TimelineCollector::Peer> peers;
    for (const auto &[name, member] : membership().members()) {
        if (member.record.incarnation != 0) {
            peers.push_back({name, member.address()});
        }
    }
    m_timeline.collect(peers, filterJson, std::move(done));
}

const Membership &EntryLink::membership() const
{
    return m_gossip.membership();
}

bool EntryLink::isConfigReader() const
{
    return m_isConfigReader;
}

std::uint64_t EntryLink::configOffset() const
{
    return m_config.ownOffset();
}

ClaimForwarder &EntryLink::claims()
{
    return m_claims;
}

std::uint64_t EntryLink::controlBytes() const
{
    return m_controlBytes;
}

void EntryLink::setCuts(const PeerCuts &cuts)
{
    m_cuts = cuts;
}

const PeerCuts &EntryLink::cuts() const
{
    return m_cuts;
}

void EntryLink::runRound()
{
    for (const OutgoingGossipMessage &it : m_gossip.runRound(monotonicNow())) {
        send(it);
    }
    updateConfigReader();
    scheduleNextRound();
}

void EntryLink::scheduleNextRound()
{
    if (!m_isRunning) {
        return;
    }
    const auto wait = std::chrono::ceil<std::chrono::milliseconds>(m_gossip.nextRoundAt() - monotonicNow());
    m_timer.start(std::max(wait, std::chrono::milliseconds(0)));
}

void EntryLink::send(const OutgoingGossipMessage &outgoing)
{
    m_client.call({outgoing.peer, outgoing.address, GossipMethod, encodeGossip(outgoing.message)}, [this, outgoing](const EntryResult<std::string> &result) {
        handleReply(outgoing, result);
    });
}

void EntryLink::handleReply(const OutgoingGossipMessage &outgoing, const EntryResult<std::string> &result)
{
    const auto reply = result ? decodeGossip(result.value()) : EntryResult<GossipMessage>(result.error());
    if (!reply) {
        m_gossip.recordContactFailure(outgoing.peer, monotonicNow());
        scheduleNextRound();
        return;
    }
    const GossipChanges changes = m_gossip.receiveReply(reply.value(), monotonicNow());
    if (outgoing.peer.starts_with(SeedPrefix)) {
        // The reply carries the seed's name, so the placeholder under SeedPrefix is no longer needed.
        setListedVms(m_listedVms);
    }
    handleChanges(reply.value().sender.name, changes);
}

RpcResult EntryLink::handleGossip(const std::string &paramsJson)
{
    const auto request = decodeGossip(paramsJson);
    if (!request) {
        return rpcError(RpcInvalidParams, "not a gossip message");
    }
    if (m_cuts.isCut(request.value().sender.name)) {
        return rpcError(RpcRefused, "cut off");
    }
    GossipChanges changes;
    const GossipMessage reply = m_gossip.receiveRequest(request.value(), changes, monotonicNow());
    handleChanges(request.value().sender.name, changes);
    return rpcResult(encodeGossip(reply));
}

void EntryLink::handleChanges(const std::string &peer, const GossipChanges &changes)
{
    for (const DeltaValue &value : changes.newValues) {
        callHook(value);
    }
    if (changes.newerConfigOffset) {
        m_config.handlePeerOffset(peer, *changes.newerConfigOffset);
    }
    if (membership().isReplaced() && !std::exchange(m_hasReportedReplacement, true) && m_hooks.onReplaced) {
        m_hooks.onReplaced();
    }
    scheduleNextRound();
}

void EntryLink::callHook(const DeltaValue &value)
{
    if (const auto *record = std::get_if<MemberRecord>(&value)) {
        if (m_hooks.onMemberChange && record->name != m_options.self.name) {
            m_hooks.onMemberChange(*record);
        }
    } else if (const auto *server = std::get_if<LeavingServer>(&value)) {
        if (m_hooks.onLeavingServer) {
            m_hooks.onLeavingServer(*server);
        }
    } else if (const auto *demand = std::get_if<LinkDemand>(&value)) {
        if (m_hooks.onLinkDemand) {
            m_hooks.onLinkDemand(*demand);
        }
    } else if (const auto *circuit = std::get_if<CircuitReport>(&value)) {
        if (m_hooks.onCircuitReport) {
            m_hooks.onCircuitReport(*circuit);
        }
    }
}

void EntryLink::updateConfigReader()
{
    const bool isReader = decision::isConfigReader(membership().self(), membership().usableMembers(), m_options.configReadersPerZone);
    if (isReader == m_isConfigReader) {
        return;
    }
    m_isConfigReader = isReader;
    if (m_hooks.onConfigReaderChange) {
        m_hooks.onConfigReaderChange(isReader);
    }
}

void EntryLink::countBytes(std::size_t bytes)
{
    m_controlBytes += bytes;
    m_gossip.chargeBytes(bytes, monotonicNow());
}

std::string EntryLink::addressOf(const std::string &peer) const
{
    const Member *member = membership().find(peer);
    return member == nullptr ? std::string() : member->address();
}

} // namespace auburndrum::entry
