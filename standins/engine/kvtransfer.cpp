#include "standins/engine/kvtransfer.h"

#include "standins/engine/tokens.h"
#include "standins/store/blockstore.h"

#include <optional>
#include <utility>

namespace auburndrum::standins {

namespace {

constexpr char BlocksPath[] = "/v1/blocks/";

std::optional<KvBlock> parseBlock(const QByteArray &body)
{
    const nlohmann::json json = nlohmann::json::parse(body.toStdString(), nullptr, false);
    if (!json.is_object()) {
        return std::nullopt;
    }
    try {
        KvBlock out;
        out.key = json.at("key").get<std::string>();
        out.organisation = json.at("organisation").get<std::string>();
        out.version = json.at("version").get<std::string>();
        out.generation = json.value("generation", std::uint64_t{0});
        out.length = json.value("length", std::uint64_t{0});
        out.checksum = json.value("checksum", "");
        const std::optional<net::Address> store = net::parseAddress(json.at("store").get<std::string>());
        if (!store) {
            return std::nullopt;
        }
        out.store = *store;
        return out;
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}

nlohmann::json parseResult(const net::HttpResult &result)
{
    if (result.failure != net::HttpFailure::None || result.head.status / 100 != 2) {
        return {};
    }
    return nlohmann::json::parse(result.body.toStdString(), nullptr, false);
}

void refuseImport(Reply &reply, const std::string &reason)
{
    reply.respondJson(200, {{"imported", false}, {"reason", reason}});
}

} // namespace

std::string manifestMismatch(const KvBlock &block, const nlohmann::json &manifest)
{
    if (!manifest.is_object()) {
        return "missing";
    }
    if (!manifest.value("committed", false)) {
        return "uncommitted";
    }
    if (manifest.value("organisation", "") != block.organisation) {
        return "organisation";
    }
    if (manifest.value("version", "") != block.version) {
        return "version";
    }
    if (manifest.value("generation", std::uint64_t{0}) != block.generation) {
        return "generation";
    }
    if (manifest.value("length", std::uint64_t{0}) != block.length) {
        return "length";
    }
    return manifest.value("checksum", "") == block.checksum ? "" : "checksum";
}

KvTransfer::KvTransfer(PrefixCache &cache, std::uint64_t bytesPerToken, std::function<std::string()> version)
    : m_cache(cache)
    , m_bytesPerToken(bytesPerToken)
    , m_version(std::move(version))
{
}

void KvTransfer::handleExport(const std::shared_ptr<Reply> &reply)
{
    std::optional<KvBlock> block = parseBlock(reply->request().body());
    if (!block) {
        reply->respondError(400, "bad_block", "want key, organisation, version and store");
        return;
    }
    if (block->version != m_version() || !m_cache.holds(block->organisation, block->key)) {
        reply->respondError(404, "not_held", "this engine doesn't hold the key");
        return;
    }
    const std::uint64_t length = m_cache.pieceTokens() * m_bytesPerToken;
    const std::string bytes = kvBlockBytes(block->organisation, block->version, block->key, length);
    const std::string checksum = blockChecksum(bytes);
    net::HttpCall call;
    call.peer = block->store;
    call.method = "PUT";
    call.target = BlocksPath + QByteArray::fromStdString(block->key);
    call.headers = {{"X-Organisation", QByteArray::fromStdString(block->organisation)},
                    {"X-Weight-Version", QByteArray::fromStdString(block->version)},
                    {"X-Checksum", QByteArray::fromStdString(checksum)}};
    call.body = QByteArray::fromStdString(bytes);
    net::HttpHooks hooks;
    hooks.onDone = [reply, length, checksum](const net::HttpResult &result) {
        const nlohmann::json json = parseResult(result);
        if (!json.is_object()) {
            const int status = result.head.status == 507 ? 507 : 502;
            reply->respondError(status, status == 507 ? "full" : "store_failed", "the store didn't take the block");
            return;
        }
        reply->respondJson(200, {{"generation", json.at("generation")}, {"length", length}, {"checksum", checksum}});
    };
    m_client.start(call, hooks);
}

void KvTransfer::handleImport(const std::shared_ptr<Reply> &reply)
{
    const std::optional<KvBlock> block = parseBlock(reply->request().body());
    if (!block) {
        reply->respondError(400, "bad_block", "want key, organisation, version, store, generation, length and checksum");
        return;
    }
    if (block->version != m_version()) {
        refuseImport(*reply, "version");
        return;
    }
    readManifest(*block, [this, reply, block = *block](const nlohmann::json &manifest) {
        const std::string mismatch = manifestMismatch(block, manifest);
        if (!mismatch.empty()) {
            refuseImport(*reply, mismatch);
            return;
        }
        readBytes(reply, block);
    });
}

void KvTransfer::readManifest(const KvBlock &block, JsonHook onManifest)
{
    net::HttpCall call;
    call.peer = block.store;
    call.target = BlocksPath + QByteArray::fromStdString(block.key) + "/manifest";
    net::HttpHooks hooks;
    hooks.onDone = [onManifest = std::move(onManifest)](const net::HttpResult &result) {
        onManifest(parseResult(result));
    };
    m_client.start(call, hooks);
}

void KvTransfer::readBytes(const std::shared_ptr<Reply> &reply, const KvBlock &block)
{
    net::HttpCall call;
    call.peer = block.store;
    call.target = BlocksPath + QByteArray::fromStdString(block.key);
    net::HttpHooks hooks;
    hooks.onDone = [this, reply, block](const net::HttpResult &result) {
        const std::string bytes = result.body.toStdString();
        if (result.failure != net::HttpFailure::None || result.head.status != 200 || bytes.size() != block.length) {
            refuseImport(*reply, "bytes");
            return;
        }
        if (blockChecksum(bytes) != block.checksum) {
            refuseImport(*reply, "checksum");
            return;
        }
        confirmManifest(reply, block);
    };
    m_client.start(call, hooks);
}

void KvTransfer::confirmManifest(const std::shared_ptr<Reply> &reply, const KvBlock &block)
{
    readManifest(block, [this, reply, block](const nlohmann::json &manifest) {
        // The version may have been swapped while the bytes were on their way.
        const std::string mismatch = block.version == m_version() ? manifestMismatch(block, manifest) : "version";
        if (!mismatch.empty()) {
            refuseImport(*reply, mismatch);
            return;
        }
        m_cache.store(block.organisation, {block.key});
        reply->respondJson(200, {{"imported", true}});
    });
}

} // namespace auburndrum::standins
