#include "auburndrum/decision/cacheindex.h"

#include <algorithm>

namespace auburndrum::decision {

namespace {

// One key in this many may have more than one holder; few do.
constexpr std::size_t KeysPerFurtherHolders = 8;

} // namespace

CacheIndex::CacheIndex(std::size_t maxKeys)
    : m_firstHolders(maxKeys)
    , m_maxFurtherKeys(maxKeys / KeysPerFurtherHolders + 1)
{
}

bool CacheIndex::apply(ServerId server, std::uint64_t incarnation, std::span<const CacheEvent> events, std::uint64_t nextSequenceNumber)
{
    auto it = m_viewOfServer.find(server);
    if (it == m_viewOfServer.end()) {
        // A server numbers its events from 0, so a view that starts there is complete without a resync.
        startView(server, incarnation, 0, true);
        it = m_viewOfServer.find(server);
    }
    if (it->second.incarnation != incarnation) {
        startView(server, incarnation, 0, true);
    }
    for (const CacheEvent &event : events) {
        View &view = it->second;
        if (!view.isSynced || event.sequenceNumber < view.nextSequenceNumber) {
            continue;
        }
        if (event.sequenceNumber > view.nextSequenceNumber) {
            startView(server, incarnation, nextSequenceNumber, false);
            return false;
        }
        view.nextSequenceNumber = event.sequenceNumber + 1;
        switch (event.kind) {
        case CacheEventKind::Stored:
            addHolder(event.key, view.number);
            break;
        case CacheEventKind::Evicted:
            removeHolder(event.key, view.number);
            break;
        case CacheEventKind::Cleared:
            startView(server, incarnation, event.sequenceNumber + 1, true);
            break;
        }
    }
    if (it->second.isSynced && nextSequenceNumber > it->second.nextSequenceNumber) {
        startView(server, incarnation, nextSequenceNumber, false);
    }
    return it->second.isSynced;
}

void CacheIndex::resync(ServerId server, std::uint64_t incarnation, std::span<const PieceKey> keys, std::uint64_t nextSequenceNumber)
{
    const ViewNumber view = startView(server, incarnation, nextSequenceNumber, true).number;
    for (const PieceKey &it : keys) {
        addHolder(it, view);
    }
}

void CacheIndex::noteStored(ServerId server, std::span<const PieceKey> keys)
{
    const auto it = m_viewOfServer.find(server);
    if (it != m_viewOfServer.end() && !it->second.isSynced) {
        return;
    }
    const ViewNumber view = it == m_viewOfServer.end() ? startView(server, 0, 0, true).number : it->second.number;
    for (const PieceKey &key : keys) {
        addHolder(key, view);
    }
}

void CacheIndex::noteMissing(ServerId server, std::span<const PieceKey> keys, std::uint32_t heldPieces)
{
    const auto it = m_viewOfServer.find(server);
    if (it == m_viewOfServer.end() || heldPieces >= keys.size()) {
        return;
    }
    for (const PieceKey &key : keys.subspan(heldPieces)) {
        removeHolder(key, it->second.number);
    }
}

void CacheIndex::remove(ServerId server)
{
    const auto it = m_viewOfServer.find(server);
    if (it == m_viewOfServer.end()) {
        return;
    }
    m_serverOfView.erase(it->second.number);
    m_viewOfServer.erase(it);
}

bool CacheIndex::isSynced(ServerId server) const
{
    const auto it = m_viewOfServer.find(server);
    return it != m_viewOfServer.end() && it->second.isSynced;
}

PrefixDepths CacheIndex::prefixDepths(std::span<const PieceKey> keys)
{
    PrefixDepths depths;
    std::uint32_t piece = 0;
    for (const PieceKey &it : keys) {
        const PackedKey key = pack(it);
        const ViewNumber *first = m_firstHolders.find(key);
        if (first == nullptr) {
            break;
        }
        extendByHolders(key, *first, piece, depths);
        ++piece;
    }
    return depths;
}

std::size_t CacheIndex::size() const
{
    return m_firstHolders.size();
}

std::size_t CacheIndex::stateBytes() const
{
    const std::size_t more = m_furtherHolders.capacity() * (sizeof(PackedKey) + sizeof(FurtherHolders) + 1);
    const std::size_t views = m_viewOfServer.capacity() * (sizeof(ServerId) + sizeof(View) + 1);
    const std::size_t servers = m_serverOfView.capacity() * (sizeof(ViewNumber) + sizeof(ServerId) + 1);
    return m_firstHolders.tableBytes() + more + views + servers;
}

CacheIndex::View &CacheIndex::startView(ServerId server, std::uint64_t incarnation, std::uint64_t nextSequenceNumber, bool synced)
{
    View &view = m_viewOfServer[server];
    m_serverOfView.erase(view.number);
    view = View{++m_lastViewNumber, incarnation, nextSequenceNumber, synced};
    m_serverOfView[view.number] = server;
    return view;
}

void CacheIndex::addHolder(const PieceKey &key, ViewNumber view)
{
    const PackedKey packed = pack(key);
    ViewNumber &first = m_firstHolders[packed];
    if (first == view) {
        return;
    }
    if (!isCurrentView(first)) {
        first = view;
        return;
    }
    if (m_furtherHolders.size() >= m_maxFurtherKeys) {
        m_furtherHolders.clear();
    }
    FurtherHolders &more = m_furtherHolders[packed];
    if (std::find(more.begin(), more.end(), view) == more.end()) {
        more.push_back(view);
    }
}

void CacheIndex::removeHolder(const PieceKey &key, ViewNumber view)
{
    const PackedKey packed = pack(key);
    ViewNumber *first = m_firstHolders.find(packed);
    const auto it = m_furtherHolders.find(packed);
    if (it != m_furtherHolders.end()) {
        const auto gone = std::remove_if(it->second.begin(), it->second.end(), [&](ViewNumber holder) {
            return holder == view || !isCurrentView(holder);
        });
        it->second.erase(gone, it->second.end());
    }
    if (first != nullptr && *first == view) {
        const bool other = it != m_furtherHolders.end() && !it->second.empty();
        *first = other ? it->second.back() : NoView;
        if (other) {
            it->second.pop_back();
        } else {
            m_firstHolders.erase(packed);
        }
    }
    if (it != m_furtherHolders.end() && it->second.empty()) {
        m_furtherHolders.erase(it);
    }
}

void CacheIndex::extendByHolders(const PackedKey &key, ViewNumber first, std::uint32_t piece, PrefixDepths &depths)
{
    extendDepth(first, piece, depths);
    const auto it = m_furtherHolders.find(key);
    if (it == m_furtherHolders.end()) {
        return;
    }
    for (const ViewNumber view : it->second) {
        extendDepth(view, piece, depths);
    }
}

void CacheIndex::extendDepth(ViewNumber view, std::uint32_t piece, PrefixDepths &depths) const
{
    const auto server = m_serverOfView.find(view);
    if (server == m_serverOfView.end()) {
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

bool CacheIndex::isCurrentView(ViewNumber view) const
{
    return m_serverOfView.contains(view);
}

} // namespace auburndrum::decision
