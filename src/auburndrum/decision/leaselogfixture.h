#pragma once

#include "auburndrum/decision/leaselog.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace auburndrum::decision {

constexpr Instant Begin{std::chrono::seconds(1000)};
constexpr std::uint64_t FirstEra = 1;

inline LeaseLogOptions optionsOf(const std::string &incarnation)
{
    LeaseLogOptions it;
    it.recoveryTime = std::chrono::milliseconds(600);
    it.holder.resource = "orders";
    it.holder.incarnation = incarnation;
    it.holder.newNonce = [incarnation, n = 0]() mutable {
        return incarnation + "/" + std::to_string(++n);
    };
    it.holder.duration = std::chrono::milliseconds(300);
    it.holder.safetyMargin = std::chrono::milliseconds(100);
    it.holder.orderTimeout = std::chrono::milliseconds(0);
    it.holder.appendTimeout = std::chrono::milliseconds(200);
    it.holder.takeoverDelay = std::chrono::milliseconds(20);
    return it;
}

} // namespace auburndrum::decision
