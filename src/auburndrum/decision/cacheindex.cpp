#include "auburndrum/decision/cacheindex.h"

#include <algorithm>

namespace auburndrum::decision {

namespace {

// Few keys have more than one holder; the share of the bound that they may take.
constexpr std::size_t KeysPerMoreHolders = 8;

} // namespace

CacheIndex::CacheIndex(std::size_t maxKeys)
    : m_first(maxKeys)
    , m_maxMore(maxKeys / KeysPerMoreHolders + 1)
{
}

bool CacheIndex::apply(ServerId server, std::uint64_t incarnation, std::span<const CacheEvent> events, std::uint64_t next)
{
    auto it = m_views.find(server);
    if (it == m_views.end()) {
        // A server followed from its first event has no past to miss.
        freshView(server, incarnation, 0, true);
        it = m_views.find(server);
    }
    if (it->second.incarnation != incarnation) {
        freshView(server, incarnation, 0, true);
    }
    for (const CacheEvent &event : events) {
        View &view = it->second;
        if (!view.known || event.number < view.next) {
            continue;
        }
        if (event.number > view.next) {
            freshView(server, incarnation, next, false);
            return false;
        }
        view.next = event.number + 1;
        switch (event.kind) {
        case CacheEventKind::Stored:
            addHolder(event.key, view.number);
            break;
        case CacheEventKind::Evicted:
            dropHolder(event.key, view.number);
            break;
        case CacheEventKind::Cleared:
            freshView(server, incarnation, event.number + 1, true);
            break;
        }
    }
    if (it->second.known && next > it->second.next) {
        freshView(server, incarnation, next, false);
    }
    return it->second.known;
}

void CacheIndex::resync(ServerId server, std::uint64_t incarnation, std::span<const PieceKey> keys, std::uint64_t next)
{
    const ViewNumber view = freshView(server, incarnation, next, true).number;
    for (const PieceKey &it : keys) {
        addHolder(it, view);
    }
}

void CacheIndex::noteStored(ServerId server, std::span<const PieceKey> keys)
{
    const auto it = m_views.find(server);
    if (it != m_views.end() && !it->second.known) {
        return;
    }
    const ViewNumber view = it == m_views.end() ? freshView(server, 0, 0, true).number : it->second.number;
    for (const PieceKey &key : keys) {
        addHolder(key, view);
    }
}

void CacheIndex::noteMissing(ServerId server, std::span<const PieceKey> keys, std::uint32_t heldPieces)
{
    const auto it = m_views.find(server);
    if (it == m_views.end() || heldPieces >= keys.size()) {
        return;
    }
    for (const PieceKey &key : keys.subspan(heldPieces)) {
        dropHolder(key, it->second.number);
    }
}

void CacheIndex::remove(ServerId server)
{
    const auto it = m_views.find(server);
    if (it == m_views.end()) {
        return;
    }
    m_servers.erase(it->second.number);
    m_views.erase(it);
}

bool CacheIndex::isKnown(ServerId server) const
{
    const auto it = m_views.find(server);
    return it != m_views.end() && it->second.known;
}

PrefixDepths CacheIndex::depths(std::span<const PieceKey> keys)
{
    PrefixDepths depths;
    std::uint32_t piece = 0;
    for (const PieceKey &it : keys) {
        const PackedKey key = pack(it);
        const ViewNumber *first = m_first.find(key);
        if (first == nullptr) {
            break;
        }
        collect(key, *first, piece, depths);
        ++piece;
    }
    return depths;
}

std::size_t CacheIndex::size() const
{
    return m_first.size();
}

std::size_t CacheIndex::stateBytes() const
{
    const std::size_t more = m_more.capacity() * (sizeof(PackedKey) + sizeof(MoreHolders) + 1);
    const std::size_t views = m_views.capacity() * (sizeof(ServerId) + sizeof(View) + 1);
    const std::size_t servers = m_servers.capacity() * (sizeof(ViewNumber) + sizeof(ServerId) + 1);
    return m_first.tableBytes() + more + views + servers;
}

CacheIndex::View &CacheIndex::freshView(ServerId server, std::uint64_t incarnation, std::uint64_t next, bool known)
{
    View &view = m_views[server];
    m_servers.erase(view.number);
    view = View{++m_lastView, incarnation, next, known};
    m_servers[view.number] = server;
    return view;
}

void CacheIndex::addHolder(const PieceKey &key, ViewNumber view)
{
    const PackedKey packed = pack(key);
    ViewNumber &first = m_first[packed];
    if (first == view) {
        return;
    }
    if (!isLive(first)) {
        first = view;
        return;
    }
    if (m_more.size() >= m_maxMore) {
        m_more.clear();
    }
    MoreHolders &more = m_more[packed];
    if (std::find(more.begin(), more.end(), view) == more.end()) {
        more.push_back(view);
    }
}

void CacheIndex::dropHolder(const PieceKey &key, ViewNumber view)
{
    const PackedKey packed = pack(key);
    ViewNumber *first = m_first.find(packed);
    const auto it = m_more.find(packed);
    if (it != m_more.end()) {
        const auto gone = std::remove_if(it->second.begin(), it->second.end(), [&](ViewNumber holder) {
            return holder == view || !isLive(holder);
        });
        it->second.erase(gone, it->second.end());
    }
    if (first != nullptr && *first == view) {
        const bool other = it != m_more.end() && !it->second.empty();
        *first = other ? it->second.back() : NoView;
        if (other) {
            it->second.pop_back();
        } else {
            m_first.erase(packed);
        }
    }
    if (it != m_more.end() && it->second.empty()) {
        m_more.erase(it);
    }
}

void CacheIndex::collect(const PackedKey &key, ViewNumber first, std::uint32_t piece, PrefixDepths &depths)
{
    extend(first, piece, depths);
    const auto it = m_more.find(key);
    if (it == m_more.end()) {
        return;
    }
    for (const ViewNumber view : it->second) {
        extend(view, piece, depths);
    }
}

void CacheIndex::extend(ViewNumber view, std::uint32_t piece, PrefixDepths &depths) const
{
    const auto server = m_servers.find(view);
    if (server == m_servers.end()) {
        return;
    }
    if (piece == 0) {
        depths.push_back({server->second, 1});
        return;
    }
    for (PrefixDepth &it : depths) {
        if (it.server == server->second && it.pieces == piece) {
            it.pieces = piece + 1;
            return;
        }
    }
}

bool CacheIndex::isLive(ViewNumber view) const
{
    return m_servers.contains(view);
}

} // namespace auburndrum::decision
