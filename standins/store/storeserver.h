#pragma once

#include "standins/common/program.h"
#include "standins/store/blockstore.h"
#include "standins/store/link.h"

#include <cstdint>
#include <memory>
#include <string>

namespace auburndrum::standins {

/// Settings of a store VM.
struct StoreOptions
{
    BlockStoreOptions blocks;
    std::uint64_t memoryBytesPerSecond = 0; ///< 0 means no limit
    std::uint64_t diskBytesPerSecond = 200'000'000;
};

/// A store VM: KV blocks in memory and on disk.
class StoreServer : public Server
{
public:
    explicit StoreServer(const StoreOptions &options);

    StandIn &standIn() override;

private:
    void handle(const std::shared_ptr<Reply> &reply);
    void handleBlock(const std::shared_ptr<Reply> &reply, const std::string &key);
    void handlePut(const std::shared_ptr<Reply> &reply, const std::string &key);
    void handleGet(const std::shared_ptr<Reply> &reply, const std::string &key);
    void handleManifest(Reply &reply, const std::string &key) const;
    void handleManifests(Reply &reply) const;
    nlohmann::json spaceJson() const;

    BlockStore m_blocks;
    Link m_memoryLink;
    Link m_diskLink;
    StandIn m_standIn;
};

} // namespace auburndrum::standins
