#pragma once

#include "auburndrum/base/time.h"

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace auburndrum::standins {

/// A connection of limited speed that carries one transfer after another.
class Link
{
public:
    /// @param bytesPerSecond speed; 0 means no limit
    explicit Link(std::uint64_t bytesPerSecond)
        : m_bytesPerSecond(bytesPerSecond)
    {
    }

    /// Queues a transfer and returns how long until its last byte is through.
    std::chrono::milliseconds reserve(std::uint64_t bytes, Instant now)
    {
        if (m_bytesPerSecond == 0) {
            return std::chrono::milliseconds(0);
        }
        const std::chrono::duration<double> work(static_cast<double>(bytes) / static_cast<double>(m_bytesPerSecond));
        m_freeAt = std::max(m_freeAt, now) + std::chrono::duration_cast<std::chrono::nanoseconds>(work);
        return std::chrono::ceil<std::chrono::milliseconds>(m_freeAt - now);
    }

private:
    std::uint64_t m_bytesPerSecond;
    Instant m_freeAt{};
};

} // namespace auburndrum::standins
