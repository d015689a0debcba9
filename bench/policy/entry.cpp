#include "entry.h"

#include "auburndrum/decision/weightrollout.h"

#include <absl/random/distributions.h>

#include <algorithm>
#include <utility>

namespace auburndrum::bench {

using decision::Placement;
using decision::RouteRefusal;
using decision::RouteResult;
using decision::Server;

namespace {

std::uint64_t rendezvous(std::uint64_t prefix, std::uint64_t server)
{
    std::uint64_t hash = prefix ^ server;
    hash = (hash ^ (hash >> 30U)) * 0xBF58476D1CE4E5B9U;
    return hash ^ (hash >> 27U);
}

} // namespace

std::string versionName(std::uint32_t version)
{
    return "v" + std::to_string(version);
}

Entry::Entry(const Profile &profile, Policy policy, std::uint32_t zone, std::shared_ptr<Knowledge> knowledge)
    : m_profile(profile)
    , m_policy(policy)
    , m_zone(zone)
    , m_knowledge(std::move(knowledge))
{
    m_options.location = {profile.zones[zone].name, profile.zones[zone].region};
    m_options.interZoneDelay = profile.regionDelay;
    m_options.interRegionDelay = profile.linkDelay;
    m_options.defaultPrefillTokensPerSecond = profile.prefillTokensPerSecond;
    decision::RouterHooks hooks;
    hooks.isUsable = [this](const Server &server, Instant now) {
        const ServerLimits &it = limits(server.id);
        return it.concurrency.hasCapacity() && it.breaker.allowsRequest(now);
    };
    hooks.freeLinkRate = [this](std::string_view, std::string_view) {
        return m_profile.linkBytesPerSecond;
    };
    m_router = std::make_unique<decision::Router>(m_options, m_knowledge->servers, m_knowledge->cache, m_knowledge->stores, hooks);
}

RouteResult<Placement> Entry::choose(const Request &request, Instant now, absl::BitGenRef random)
{
    if (!isShipped(m_policy)) {
        return chooseBaseline(request, now, random);
    }
    const std::string version = versionName(request.version);
    decision::RouteRequest it;
    it.service = "service";
    it.weightVersion = version;
    it.pieceKeys = request.keys;
    it.promptTokens = request.promptTokens;
    it.pieceTokens = PieceTokens;
    it.firstTokenTimeout = request.deadline - now;
    it.costWeights = m_profile.weights;
    it.triedServers = request.tried;
    return m_router->choose(it, now, random);
}

ServerLimits &Entry::limits(decision::ServerId server)
{
    return m_limits[server];
}

decision::ConcurrencyLimit &Entry::serviceLimit()
{
    return m_serviceLimit;
}

std::chrono::nanoseconds Entry::allowedWait() const
{
    return m_profile.deadline / 5;
}

Knowledge &Entry::knowledge()
{
    return *m_knowledge;
}

decision::FairQueue &Entry::queue()
{
    return m_queue;
}

decision::ReuseIntervals &Entry::gaps()
{
    return m_gaps;
}

std::uint32_t Entry::zone() const
{
    return m_zone;
}

bool Entry::planPump()
{
    return !std::exchange(m_pumpPlanned, true);
}

void Entry::pumpBegan()
{
    m_pumpPlanned = false;
}

void Entry::setVersion(Request &request, absl::BitGenRef random) const
{
    const std::string version = decision::chooseServedVersion(m_knowledge->servers, "service", random);
    request.version = version == versionName(2) ? 2 : 1;
    request.keys = contextKeys(*request.context, request.version);
}

void Entry::seen(const Context &context, Instant now)
{
    const auto [it, isNew] = m_lastSeen.try_emplace(context.id, now);
    if (isNew) {
        m_gaps.recordFirstUse();
        return;
    }
    m_gaps.recordReuse(now - it->second);
    it->second = now;
}

RouteResult<Placement> Entry::chooseBaseline(const Request &request, Instant now, absl::BitGenRef random)
{
    std::vector<const Server *> usable;
    for (const std::uint32_t slot : m_knowledge->servers.slotsOfService("service")) {
        const Server &server = m_knowledge->servers.at(slot);
        const bool tried = std::find(request.tried.begin(), request.tried.end(), server.id) != request.tried.end();
        if (!tried && !server.leaving && limits(server.id).breaker.allowsRequest(now) && server.load.weightVersion == versionName(request.version)) {
            usable.push_back(&server);
        }
    }
    if (usable.empty()) {
        return RouteRefusal{};
    }
    const Server &chosen = *usable[pickBaseline(request, usable, now, random)];
    Placement placement;
    placement.server = chosen.id;
    placement.address = chosen.address;
    placement.recomputeTokens = request.promptTokens;
    if (m_policy == Policy::AlwaysImport && m_knowledge->servers.names().name(chosen.region) == m_profile.storeRegion) {
        importAll(request, now, placement);
    }
    return placement;
}

std::size_t Entry::pickBaseline(const Request &request, const std::vector<const Server *> &usable, Instant now, absl::BitGenRef random)
{
    if (m_policy == Policy::RoundRobin) {
        return m_turn++ % usable.size();
    }
    std::size_t best = 0;
    double lowest = 0;
    std::size_t n = 0;
    for (const Server *it : usable) {
        double order = toSeconds(predictedQueueTime(*it, m_options, now)) + absl::Uniform(random, 0.0, 1e-6);
        if (m_policy == Policy::PrefixHash) {
            order = static_cast<double>(rendezvous(request.keys.back().hashLow, it->addressHash));
        }
        if (n == 0 || order < lowest) {
            lowest = order;
            best = n;
        }
        ++n;
    }
    return best;
}

void Entry::importAll(const Request &request, Instant now, Placement &placement)
{
    for (const decision::PieceKey &key : request.keys) {
        const decision::StoredBlock *block = m_knowledge->stores.find(key, now);
        if (block == nullptr) {
            break;
        }
        placement.imports.push_back({key, *block});
        placement.recomputeTokens -= PieceTokens;
    }
}

} // namespace auburndrum::bench
