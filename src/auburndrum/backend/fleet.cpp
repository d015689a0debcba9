#include "auburndrum/backend/fleet.h"

namespace auburndrum::backend {

using decision::ServerId;

Fleet::Fleet(const FleetOptions &options)
    : m_options(options)
    , m_cache(options.maxCacheKeys)
    , m_stores(options.stores)
    , m_router(options.router, m_servers, m_cache, m_stores, {.isUsable = [this](const decision::Server &server, Instant now) ABSL_NO_THREAD_SAFETY_ANALYSIS {
                   const auto it = m_breakers.find(server.id);
                   return it == m_breakers.end() || it->second.allowsRequest(now);
               }})
{
}

PreparedPrompt Fleet::prepare(std::string_view organisation, std::string_view version, std::string_view prompt, std::uint32_t pieceTokens)
{
    const absl::MutexLock lock(&m_mutex);
    PreparedPrompt it;
    it.pieces = decision::splitPrompt(m_names, organisation, version, prompt, pieceTokens);
    it.keyList = decision::toText(m_names, it.pieces.keys);
    return it;
}

decision::RouteResult<decision::Placement> Fleet::place(const decision::RouteRequest &request, Instant now)
{
    const absl::MutexLock lock(&m_mutex);
    return m_router.choose(request, now, m_random);
}

void Fleet::onSent(ServerId server, std::uint32_t prefillTokens, Instant now)
{
    const absl::MutexLock lock(&m_mutex);
    m_servers.onSent(server, prefillTokens, now);
    breaker(server).onSent(now);
}

void Fleet::onFinished(ServerId server)
{
    const absl::MutexLock lock(&m_mutex);
    m_servers.onFinished(server);
}

void Fleet::recordSuccess(ServerId server)
{
    const absl::MutexLock lock(&m_mutex);
    breaker(server).recordSuccess();
}

void Fleet::recordFailure(ServerId server, Instant now)
{
    const absl::MutexLock lock(&m_mutex);
    breaker(server).recordFailure(now, m_random);
}

void Fleet::recordFirstAttempt(std::string_view service)
{
    const absl::MutexLock lock(&m_mutex);
    m_retries.try_emplace(std::string(service), m_options.retries).first->second.recordFirstAttempt();
}

bool Fleet::tryAcquireRetry(std::string_view service, Instant now)
{
    const absl::MutexLock lock(&m_mutex);
    return m_retries.try_emplace(std::string(service), m_options.retries).first->second.tryAcquire(now);
}

void Fleet::put(const decision::ServerEntry &entry)
{
    const absl::MutexLock lock(&m_mutex);
    m_servers.put(entry);
}

void Fleet::remove(std::string_view address, std::uint64_t incarnation)
{
    const absl::MutexLock lock(&m_mutex);
    const decision::Server *server = m_servers.find(address);
    if (server != nullptr && server->incarnation <= incarnation) {
        m_cache.remove(server->id);
        m_breakers.erase(server->id);
    }
    m_servers.remove(address, incarnation);
}

bool Fleet::markLeaving(std::string_view address, std::uint64_t incarnation)
{
    const absl::MutexLock lock(&m_mutex);
    const decision::Server *server = m_servers.find(address);
    if (server != nullptr && server->incarnation == incarnation && server->leaving) {
        return false;
    }
    m_servers.markLeaving(address, incarnation);
    return true;
}

void Fleet::applyLoadReport(std::string_view address, const decision::ServerLoadReport &load)
{
    const absl::MutexLock lock(&m_mutex);
    m_servers.applyLoadReport(address, load);
}

void Fleet::observeVersion(ServerId server, std::string_view version)
{
    const absl::MutexLock lock(&m_mutex);
    m_servers.observeVersion(server, version);
}

void Fleet::noteCachedPrompt(ServerId server, const PreparedPrompt &prompt)
{
    const absl::MutexLock lock(&m_mutex);
    m_cache.noteStored(server, prompt.pieces.keys);
}

bool Fleet::applyCacheEvents(const WatchedServer &server, const std::vector<std::pair<decision::CacheEvent, std::string>> &events, std::uint64_t next)
{
    const absl::MutexLock lock(&m_mutex);
    std::vector<decision::CacheEvent> known;
    known.reserve(events.size());
    for (const auto &[event, text] : events) {
        known.push_back(event);
        if (event.kind == decision::CacheEventKind::Cleared) {
            continue;
        }
        const auto key = decision::parsePieceKey(m_names, text);
        if (!key) {
            // Dropping the event leaves a gap in the sequence numbers, which triggers a resync.
            known.pop_back();
            continue;
        }
        known.back().key = *key;
    }
    return m_cache.apply(server.id, server.incarnation, known, next);
}

void Fleet::resyncCache(const WatchedServer &server, const std::vector<std::string> &keys, std::uint64_t next)
{
    const absl::MutexLock lock(&m_mutex);
    std::vector<decision::PieceKey> known;
    known.reserve(keys.size());
    for (const std::string &text : keys) {
        if (const auto key = decision::parsePieceKey(m_names, text)) {
            known.push_back(*key);
        }
    }
    m_cache.resync(server.id, server.incarnation, known, next);
}

std::vector<decision::Server> Fleet::servers() const
{
    const absl::MutexLock lock(&m_mutex);
    std::vector<decision::Server> list;
    for (decision::NameId id = 0; id < m_servers.names().size(); ++id) {
        for (const std::uint32_t slot : m_servers.slotsOfService(m_servers.names().name(id))) {
            list.push_back(m_servers.at(slot));
        }
    }
    return list;
}

std::string Fleet::nameOf(decision::NameId id) const
{
    const absl::MutexLock lock(&m_mutex);
    return std::string(m_servers.names().name(id));
}

decision::CircuitBreaker &Fleet::breaker(ServerId server)
{
    return m_breakers.try_emplace(server, m_options.breaker).first->second;
}

} // namespace auburndrum::backend
