#include "standins/store/storeserver.h"

#include <QTimer>

#include <algorithm>
#include <optional>
#include <utility>

namespace auburndrum::standins {

namespace {

constexpr char BlocksPath[] = "/v1/blocks/";
constexpr char ManifestSuffix[] = "/manifest";
constexpr qint64 MaxBlockBytes = 256LL << 20;

nlohmann::json manifestJson(const BlockManifest &manifest)
{
    return {{"key", manifest.key},
            {"organisation", manifest.organisation},
            {"version", manifest.version},
            {"generation", manifest.generation},
            {"length", manifest.length},
            {"checksum", manifest.checksum},
            {"committed", manifest.committed},
            {"tier", tierName(manifest.tier)}};
}

net::HttpServerOptions serverOptions()
{
    net::HttpServerOptions out;
    out.maxBodyBytes = MaxBlockBytes;
    return out;
}

} // namespace

StoreServer::StoreServer(const StoreOptions &options)
    : m_blocks(options.blocks)
    , m_memoryLink(options.memoryBytesPerSecond)
    , m_diskLink(options.diskBytesPerSecond)
    , m_standIn(serverOptions(),
                {[this](const std::shared_ptr<Reply> &reply) {
                     handle(reply);
                 },
                 {}})
{
}

StandIn &StoreServer::standIn()
{
    return m_standIn;
}

void StoreServer::handle(const std::shared_ptr<Reply> &reply)
{
    const QByteArray path = reply->request().path();
    if (path.startsWith(BlocksPath)) {
        handleBlock(reply, path.mid(static_cast<int>(sizeof(BlocksPath) - 1)).toStdString());
    } else if (path == "/v1/manifests") {
        handleManifests(*reply);
    } else if (path == "/v1/space") {
        reply->respondJson(200, spaceJson());
    } else {
        reply->respondError(404, "not_found", "no such call");
    }
}

void StoreServer::handleBlock(const std::shared_ptr<Reply> &reply, const std::string &key)
{
    const QByteArray &method = reply->request().method();
    if (method == "PUT") {
        handlePut(reply, key);
    } else if (method == "GET" && key.ends_with(ManifestSuffix)) {
        handleManifest(*reply, key.substr(0, key.size() + 1 - sizeof(ManifestSuffix)));
    } else if (method == "GET") {
        handleGet(reply, key);
    } else if (method == "DELETE") {
        m_blocks.remove(key);
        reply->respondEmpty();
    } else {
        reply->respondError(405, "bad_method", "want GET, PUT or DELETE");
    }
}

void StoreServer::handlePut(const std::shared_ptr<Reply> &reply, const std::string &key)
{
    const net::Exchange &request = reply->request();
    if (m_standIn.faults().take(FaultMode::Full, request.path().toStdString())) {
        reply->respondError(507, "full", "no room");
        return;
    }
    BlockManifest manifest;
    manifest.key = key;
    manifest.organisation = request.header("X-Organisation").toStdString();
    manifest.version = request.header("X-Weight-Version").toStdString();
    manifest.checksum = request.header("X-Checksum").toStdString();
    const StoreResult<std::uint64_t> begun = m_blocks.begin(manifest, request.body().toStdString());
    if (!begun && begun.error() == StoreError::Full) {
        reply->respondError(507, "full", "no room");
        return;
    }
    if (!begun) {
        reply->respondError(400, "wrong_checksum", "X-Checksum differs from the bytes");
        return;
    }
    const std::uint64_t generation = begun.value();
    const auto wait = m_memoryLink.reserve(static_cast<std::uint64_t>(request.body().size()), monotonicNow());
    QTimer::singleShot(wait, [this, reply, key, generation] {
        m_blocks.commit(key, generation);
        reply->respondJson(201, {{"generation", generation}});
    });
}

void StoreServer::handleGet(const std::shared_ptr<Reply> &reply, const std::string &key)
{
    const std::optional<BlockManifest> manifest = m_blocks.manifest(key);
    if (!manifest) {
        reply->respondError(404, "not_found", "no such block");
        return;
    }
    QByteArray bytes = QByteArray::fromStdString(*m_blocks.read(key));
    if (m_standIn.faults().take(FaultMode::PartialBlock, reply->request().path().toStdString())) {
        std::fill(bytes.begin() + bytes.size() / 2, bytes.end(), '\0');
    }
    Link &link = manifest->tier == BlockTier::Memory ? m_memoryLink : m_diskLink;
    const QByteArray generation = QByteArray::number(static_cast<qulonglong>(manifest->generation));
    QTimer::singleShot(link.reserve(manifest->length, monotonicNow()), [reply, bytes, generation] {
        reply->respond(200, {{"Content-Type", "application/octet-stream"}, {"X-Generation", generation}}, bytes);
    });
}

void StoreServer::handleManifest(Reply &reply, const std::string &key) const
{
    const std::optional<BlockManifest> manifest = m_blocks.manifest(key);
    if (!manifest) {
        reply.respondError(404, "not_found", "no such block");
        return;
    }
    reply.respondJson(200, manifestJson(*manifest));
}

void StoreServer::handleManifests(Reply &reply) const
{
    nlohmann::json list = nlohmann::json::array();
    for (const BlockManifest &it : m_blocks.changedSince(reply.request().query("from").toULongLong())) {
        list.push_back(manifestJson(it));
    }
    reply.respondJson(200, {{"next", m_blocks.nextGeneration()}, {"manifests", list}});
}

nlohmann::json StoreServer::spaceJson() const
{
    return {{"memory_used", m_blocks.usedBytes(BlockTier::Memory)},
            {"memory_size", m_blocks.options().memoryBytes},
            {"disk_used", m_blocks.usedBytes(BlockTier::Disk)},
            {"disk_size", m_blocks.options().diskBytes}};
}

} // namespace auburndrum::standins
