#pragma once

#include "standins/common/reply.h"
#include "standins/engine/prefixcache.h"

#include "auburndrum/net/httpclient.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace auburndrum::standins {

/// One block to export or import, as the order for it says.
struct KvBlock
{
    std::string key;
    std::string organisation;
    std::string version;
    net::Address store;
    std::uint64_t generation = 0;
    std::uint64_t length = 0;
    std::string checksum;
};

/// Moves KV blocks between the prefix cache and store VMs.
class KvTransfer
{
public:
    /// @param bytesPerToken size of the exported state of one token
    /// @param version returns the engine's weight version
    KvTransfer(PrefixCache &cache, std::uint64_t bytesPerToken, std::function<std::string()> version);

    void handleExport(const std::shared_ptr<Reply> &reply);
    void handleImport(const std::shared_ptr<Reply> &reply);

private:
    using JsonHook = std::function<void(const nlohmann::json &)>;

    void readManifest(const KvBlock &block, JsonHook onManifest);
    void readBytes(const std::shared_ptr<Reply> &reply, const KvBlock &block);
    void confirmManifest(const std::shared_ptr<Reply> &reply, const KvBlock &block);

    PrefixCache &m_cache;
    std::uint64_t m_bytesPerToken;
    std::function<std::string()> m_version;
    net::HttpClient m_client;
};

/// Returns why the manifest does not describe the block; empty when it does.
std::string manifestMismatch(const KvBlock &block, const nlohmann::json &manifest);

} // namespace auburndrum::standins
