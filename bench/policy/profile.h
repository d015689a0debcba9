#pragma once

#include "auburndrum/decision/servicedocument.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace auburndrum::bench {

/// One availability zone of a user.
struct ZoneProfile
{
    std::string name;
    std::string region;
    std::uint32_t workers = 0;
    std::uint32_t entries = 0;
};

/// One user's sizes, from the brief, and what is assumed beside them.
struct Profile
{
    std::string name;
    std::vector<ZoneProfile> zones;
    std::string storeRegion;
    decision::RoutingCostWeights weights;
    std::chrono::nanoseconds regionDelay{}; ///< one way, between zones of a region
    std::chrono::nanoseconds linkDelay = std::chrono::milliseconds(12);
    double linkBytesPerSecond = 30e6 / 8; ///< each way
    std::uint32_t minPromptTokens = 4000; ///< sizes are log-uniform
    std::uint32_t maxPromptTokens = 16000;
    std::uint32_t questionTokens = 200; ///< new text at the end of each prompt
    std::uint32_t answerTokens = 200;
    std::chrono::nanoseconds tokenGap = std::chrono::milliseconds(30);
    std::chrono::nanoseconds minGap = std::chrono::minutes(3); ///< of a context's returns, log-uniform over contexts
    std::chrono::nanoseconds maxGap = std::chrono::hours(48);
    double utilisation = 0.7; ///< of all workers if every prompt were computed whole
    std::chrono::nanoseconds deadline = std::chrono::seconds(5); ///< of the first token
    double roaming = 0.05; ///< share of requests that come in through a zone other than the context's own
    std::uint32_t organisations = 10; ///< a few large: sizes fall off as 1/n
    double prefillTokensPerSecond = 8000;
    std::uint32_t cacheTokens = 300'000; ///< of one worker
    std::uint32_t bytesPerToken = 16'000; ///< of KV cache
    double storeMemoryBytesPerSecond = 2.5e9;
    double storeDiskBytesPerSecond = 1e9;
    double storeWriteBytesPerSecond = 2e9;
    std::uint64_t storeMemoryBytes = 128'000'000'000;
    std::uint64_t storeDiskBytes = 2'000'000'000'000;

    std::uint32_t workers() const;
    double meanPromptTokens() const;
    double requestsPerSecond() const; ///< at load factor 1
};

Profile lounasverkko();
Profile asociacion();

} // namespace auburndrum::bench
