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
    connect(&m_timer, &QTimer::timeout, this, &EntryLink::handleTimer);
    m_server.addMethod(GossipMethod, [this](const std::string &, const std::string &paramsJson) {
        return takeGossip(paramsJson);
    });
    m_config.setOnApplied([this](std::uint64_t offset) {
        setConfigOffset(offset);
    });
    m_client.setOnBytes([this](std::size_t bytes) {
        countBytes(bytes);
    });
    m_server.setOnBytes([this](std::size_t bytes) {
        countBytes(bytes);
    });
}

EntryLink::~EntryLink() = default;

void EntryLink::start()
{
    m_isRunning = true;
    mergeList(m_list);
    handleTimer();
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

void EntryLink::mergeList(const std::vector<ListedVm> &list)
{
    m_list = list;
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
    arm();
}

void EntryLink::leave()
{
    m_gossip.leave(monotonicNow());
    arm();
}

void EntryLink::setConfigOffset(std::uint64_t offset)
{
    m_config.setOwnOffset(offset);
    m_gossip.setConfigOffset(offset, monotonicNow());
    arm();
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
    return m_isReader;
}

std::uint64_t EntryLink::configOffset() const
{
    return m_config.ownOffset();
}

ClaimForwarder &EntryLink::claims()
{
    return m_claims;
}

std::uint64_t EntryLink::bytes() const
{
    return m_bytes;
}

void EntryLink::setCuts(const PeerCuts &cuts)
{
    m_cuts = cuts;
}

const PeerCuts &EntryLink::cuts() const
{
    return m_cuts;
}

void EntryLink::handleTimer()
{
    for (const OutgoingGossipMessage &it : m_gossip.runRound(monotonicNow())) {
        send(it);
    }
    updateRole();
    arm();
}

void EntryLink::arm()
{
    if (!m_isRunning) {
        return;
    }
    const auto wait = std::chrono::ceil<std::chrono::milliseconds>(m_gossip.nextRoundAt() - monotonicNow());
    m_timer.start(std::max(wait, std::chrono::milliseconds(0)));
}

void EntryLink::send(const OutgoingGossipMessage &send)
{
    m_client.call({send.peer, send.address, GossipMethod, encodeGossip(send.message)}, [this, send](const EntryResult<std::string> &result) {
        handleAnswer(send, result);
    });
}

void EntryLink::handleAnswer(const OutgoingGossipMessage &send, const EntryResult<std::string> &result)
{
    const auto reply = result ? decodeGossip(result.value()) : EntryResult<GossipMessage>(result.error());
    if (!reply) {
        m_gossip.recordContactFailure(send.peer, monotonicNow());
        arm();
        return;
    }
    const GossipChanges outcome = m_gossip.receiveReply(reply.value(), monotonicNow());
    if (send.peer.starts_with(SeedPrefix)) {
        // The reply carries the seed's name, so the placeholder under SeedPrefix is no longer needed.
        mergeList(m_list);
    }
    handleOutcome(reply.value().sender.name, outcome);
}

RpcResult EntryLink::takeGossip(const std::string &paramsJson)
{
    const auto request = decodeGossip(paramsJson);
    if (!request) {
        return rpcError(RpcInvalidParams, "not a gossip message");
    }
    if (m_cuts.isCut(request.value().sender.name)) {
        return rpcError(RpcRefused, "cut off");
    }
    GossipChanges outcome;
    const GossipMessage reply = m_gossip.receiveRequest(request.value(), outcome, monotonicNow());
    handleOutcome(request.value().sender.name, outcome);
    return rpcResult(encodeGossip(reply));
}

void EntryLink::handleOutcome(const std::string &peer, const GossipChanges &outcome)
{
    for (const DeltaValue &value : outcome.newValues) {
        tell(value);
    }
    if (outcome.newerConfigOffset) {
        m_config.handlePeerOffset(peer, *outcome.newerConfigOffset);
    }
    if (membership().isReplaced() && !std::exchange(m_saidSupplanted, true) && m_hooks.onSupplanted) {
        m_hooks.onSupplanted();
    }
    arm();
}

void EntryLink::tell(const DeltaValue &value)
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
        if (m_hooks.onCircuit) {
            m_hooks.onCircuit(*circuit);
        }
    }
}

void EntryLink::updateRole()
{
    const bool isReader = decision::isConfigReader(membership().self(), membership().usableMembers(), m_options.configReadersPerZone);
    if (isReader == m_isReader) {
        return;
    }
    m_isReader = isReader;
    if (m_hooks.onConfigReader) {
        m_hooks.onConfigReader(isReader);
    }
}

void EntryLink::countBytes(std::size_t bytes)
{
    m_bytes += bytes;
    m_gossip.chargeBytes(bytes, monotonicNow());
}

std::string EntryLink::addressOf(const std::string &peer) const
{
    const Member *member = membership().find(peer);
    return member == nullptr ? std::string() : member->address();
}

} // namespace auburndrum::entry
