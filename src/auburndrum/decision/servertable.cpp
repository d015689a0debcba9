#include "auburndrum/decision/servertable.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>

namespace auburndrum::decision {

namespace {

// Requests beyond this number are merged into the last entry: their sum is accurate enough for a prediction.
constexpr std::size_t MaxUnreportedRequests = 256;

void addSent(std::vector<SentRequest> &sent, SentRequest request)
{
    if (sent.size() >= MaxUnreportedRequests) {
        request.prefillTokens += sent.back().prefillTokens;
        sent.back() = request;
        return;
    }
    sent.push_back(request);
}

} // namespace

std::optional<ServerId> ServerTable::put(const ServerEntry &entry)
{
    const auto zone = m_names.add(entry.zone);
    const auto region = m_names.add(entry.region);
    const auto service = m_names.add(entry.service);
    if (!zone || !region || !service) {
        return std::nullopt;
    }
    if (const auto it = m_byAddress.find(entry.address); it != m_byAddress.end()) {
        const Server &known = m_servers[it->second];
        if (known.incarnation >= entry.incarnation) {
            return known.id;
        }
        remove(entry.address, entry.incarnation);
    }
    std::uint32_t slot = 0;
    if (m_freeSlots.empty()) {
        slot = static_cast<std::uint32_t>(m_servers.size());
        m_servers.emplace_back();
    } else {
        slot = m_freeSlots.back();
        m_freeSlots.pop_back();
    }
    Server &server = m_servers[slot];
    const std::uint32_t generation = server.id.generation + 1;
    server = Server{};
    server.id = {slot, generation};
    server.address = entry.address;
    server.zone = *zone;
    server.region = *region;
    server.service = *service;
    server.incarnation = entry.incarnation;
    server.addressHash = XXH3_64bits(entry.address.data(), entry.address.size());
    server.leaving = isMarkedLeaving(entry.address, entry.incarnation);
    m_byAddress[entry.address] = slot;
    ServiceServers &members = m_byService[*service];
    members.slots.push_back(slot);
    members.hashes.push_back(server.addressHash);
    return server.id;
}

void ServerTable::remove(std::string_view address, std::uint64_t incarnation)
{
    const auto it = m_byAddress.find(address);
    if (it == m_byAddress.end() || m_servers[it->second].incarnation > incarnation) {
        return;
    }
    const std::uint32_t slot = it->second;
    ServiceServers &members = m_byService[m_servers[slot].service];
    const auto place = std::find(members.slots.begin(), members.slots.end(), slot) - members.slots.begin();
    members.slots.erase(members.slots.begin() + place);
    members.hashes.erase(members.hashes.begin() + place);
    m_byAddress.erase(it);
    const std::uint32_t generation = m_servers[slot].id.generation + 1;
    m_servers[slot] = Server{};
    m_servers[slot].id = {slot, generation};
    m_freeSlots.push_back(slot);
}

void ServerTable::markLeaving(std::string_view address, std::uint64_t incarnation)
{
    std::uint64_t &newest = m_leavingIncarnations[address];
    newest = std::max(newest, incarnation);
    if (const auto it = m_byAddress.find(address); it != m_byAddress.end()) {
        Server &server = m_servers[it->second];
        server.leaving = isMarkedLeaving(address, server.incarnation);
    }
}

void ServerTable::applyLoadReport(std::string_view address, const ServerLoadReport &load)
{
    if (load.leaving) {
        markLeaving(address, load.incarnation);
    }
    const auto it = m_byAddress.find(address);
    if (it == m_byAddress.end()) {
        return;
    }
    Server &server = m_servers[it->second];
    const bool older = server.hasLoadReport && load.measuredAt < server.load.measuredAt;
    if (load.incarnation != server.incarnation || older) {
        return;
    }
    server.load = load;
    server.hasLoadReport = true;
    std::erase_if(server.unreportedRequests, [&](const SentRequest &request) {
        return request.sentAt <= load.measuredAt;
    });
}

void ServerTable::observeVersion(ServerId id, std::string_view version)
{
    if (Server *server = findMutable(id)) {
        server->load.weightVersion = version;
    }
}

void ServerTable::onSent(ServerId id, std::uint32_t prefillTokens, Instant now)
{
    if (Server *server = findMutable(id)) {
        addSent(server->unreportedRequests, {now, prefillTokens});
        ++server->inFlight;
    }
}

void ServerTable::onFinished(ServerId id)
{
    Server *server = findMutable(id);
    if (server != nullptr && server->inFlight > 0) {
        --server->inFlight;
    }
}

const Server *ServerTable::find(ServerId id) const
{
    if (id.slot >= m_servers.size() || m_servers[id.slot].id != id || m_servers[id.slot].address.empty()) {
        return nullptr;
    }
    return &m_servers[id.slot];
}

const Server *ServerTable::find(std::string_view address) const
{
    const auto it = m_byAddress.find(address);
    return it == m_byAddress.end() ? nullptr : &m_servers[it->second];
}

const std::vector<std::uint32_t> &ServerTable::slotsOfService(std::string_view service) const
{
    return serviceServers(service).slots;
}

const std::vector<std::uint64_t> &ServerTable::hashesOfService(std::string_view service) const
{
    return serviceServers(service).hashes;
}

const ServerTable::ServiceServers &ServerTable::serviceServers(std::string_view service) const
{
    static const ServiceServers none;
    const auto id = m_names.find(service);
    if (!id) {
        return none;
    }
    const auto it = m_byService.find(*id);
    return it == m_byService.end() ? none : it->second;
}

const Server &ServerTable::at(std::uint32_t slot) const
{
    return m_servers[slot];
}

const NameTable &ServerTable::names() const
{
    return m_names;
}

std::size_t ServerTable::size() const
{
    return m_byAddress.size();
}

Server *ServerTable::findMutable(ServerId id)
{
    return const_cast<Server *>(find(id));
}

bool ServerTable::isMarkedLeaving(std::string_view address, std::uint64_t incarnation) const
{
    const auto it = m_leavingIncarnations.find(address);
    return it != m_leavingIncarnations.end() && incarnation <= it->second;
}

} // namespace auburndrum::decision
