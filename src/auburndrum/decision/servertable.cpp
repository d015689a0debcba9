#include "auburndrum/decision/servertable.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>

namespace auburndrum::decision {

namespace {

// Beyond this many requests without a report their sum says enough.
constexpr std::size_t MaxSent = 256;

void addSent(std::vector<SentRequest> &sent, SentRequest request)
{
    if (sent.size() >= MaxSent) {
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
    if (m_free.empty()) {
        slot = static_cast<std::uint32_t>(m_servers.size());
        m_servers.emplace_back();
    } else {
        slot = m_free.back();
        m_free.pop_back();
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
    server.hash = XXH3_64bits(entry.address.data(), entry.address.size());
    server.leaving = leaves(entry.address, entry.incarnation);
    m_byAddress[entry.address] = slot;
    Members &members = m_byService[*service];
    members.slots.push_back(slot);
    members.hashes.push_back(server.hash);
    return server.id;
}

void ServerTable::remove(std::string_view address, std::uint64_t incarnation)
{
    const auto it = m_byAddress.find(address);
    if (it == m_byAddress.end() || m_servers[it->second].incarnation > incarnation) {
        return;
    }
    const std::uint32_t slot = it->second;
    Members &members = m_byService[m_servers[slot].service];
    const auto place = std::find(members.slots.begin(), members.slots.end(), slot) - members.slots.begin();
    members.slots.erase(members.slots.begin() + place);
    members.hashes.erase(members.hashes.begin() + place);
    m_byAddress.erase(it);
    const std::uint32_t generation = m_servers[slot].id.generation + 1;
    m_servers[slot] = Server{};
    m_servers[slot].id = {slot, generation};
    m_free.push_back(slot);
}

void ServerTable::markLeaving(std::string_view address, std::uint64_t incarnation)
{
    std::uint64_t &newest = m_leaving[address];
    newest = std::max(newest, incarnation);
    if (const auto it = m_byAddress.find(address); it != m_byAddress.end()) {
        Server &server = m_servers[it->second];
        server.leaving = leaves(address, server.incarnation);
    }
}

void ServerTable::report(std::string_view address, const LoadReport &load)
{
    if (load.leaving) {
        markLeaving(address, load.incarnation);
    }
    const auto it = m_byAddress.find(address);
    if (it == m_byAddress.end()) {
        return;
    }
    Server &server = m_servers[it->second];
    const bool older = server.reported && load.takenAt < server.load.takenAt;
    if (load.incarnation != server.incarnation || older) {
        return;
    }
    server.load = load;
    server.reported = true;
    std::erase_if(server.sent, [&](const SentRequest &request) {
        return request.sentAt <= load.takenAt;
    });
}

void ServerTable::observeVersion(ServerId id, std::string_view version)
{
    if (Server *server = live(id)) {
        server->load.version = version;
    }
}

void ServerTable::sent(ServerId id, std::uint32_t prefillTokens, Instant now)
{
    if (Server *server = live(id)) {
        addSent(server->sent, {now, prefillTokens});
        ++server->inFlight;
    }
}

void ServerTable::finished(ServerId id)
{
    Server *server = live(id);
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

const std::vector<std::uint32_t> &ServerTable::ofService(std::string_view service) const
{
    return members(service).slots;
}

const std::vector<std::uint64_t> &ServerTable::hashesOfService(std::string_view service) const
{
    return members(service).hashes;
}

const ServerTable::Members &ServerTable::members(std::string_view service) const
{
    static const Members none;
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

Server *ServerTable::live(ServerId id)
{
    return const_cast<Server *>(find(id));
}

bool ServerTable::leaves(std::string_view address, std::uint64_t incarnation) const
{
    const auto it = m_leaving.find(address);
    return it != m_leaving.end() && incarnation <= it->second;
}

} // namespace auburndrum::decision
