#pragma once

#include <cstdint>
#include <map>
#include <optional>

namespace auburndrum::decision {

/// Options of a ResponseMemory.
struct ResponseMemoryOptions
{
    std::uint64_t maxTotalBytes = 32 * 1024 * 1024; ///< of all responses together
    std::uint64_t maxResponseBytes = 8 * 1024 * 1024; ///< of one response
};

/// @brief Bounds the memory that responses of backend servers hold before they are passed on, each and all together.
///
/// When all together are too large, the largest has to go, so that one that grows without end costs no other its place. Not thread-safe.
class ResponseMemory
{
public:
    using Id = std::uint64_t;

    explicit ResponseMemory(ResponseMemoryOptions options);

    /// A response begins, which holds nothing yet.
    Id add();
    /// The response holds this many bytes now. Returns the response that must be given up, if one must.
    std::optional<Id> setHeld(Id id, std::uint64_t bytes);
    /// The response has ended. Does nothing for an unknown one.
    void remove(Id id);
    std::uint64_t totalBytes() const
    {
        return m_totalBytes;
    }

private:
    ResponseMemoryOptions m_options;
    std::map<Id, std::uint64_t> m_held;
    std::uint64_t m_totalBytes = 0;
    Id m_last = 0;
};

} // namespace auburndrum::decision
