#pragma once

#include "auburndrum/base/time.h"

#include <nlohmann/json.hpp>

#include <array>
#include <chrono>
#include <cstddef>

namespace auburndrum::gateway {

/// @brief Adds up what the event loop's time goes into.
///
/// Work inside other work is counted for itself only. Lives on the event loop's thread.
class LoopWork
{
public:
    enum class Kind {
        Other,
        Requests, ///< callers' requests, from their last byte until they are sent
        Answers, ///< answers of backend servers and other entry VMs to these
        OperatorRecords, ///< configurations and named weights
        ServerRecords, ///< backend servers' entries
        StoreReads, ///< what else an answer of the store or of the relay takes
        RelayServing, ///< polls of other entry VMs
        PromptStores,
        PeerNews, ///< evidence and limits that entry VMs exchange
        WeightOrders,
    };

    /// Counts the time from its construction to its destruction.
    class Span
    {
    public:
        Span(LoopWork &work, Kind kind);
        ~Span();
        Span(const Span &) = delete;
        Span &operator=(const Span &) = delete;

    private:
        LoopWork &m_work;
        Kind m_outer;
    };

    /// Milliseconds since the last call by kind, without kinds of less than one; `processor`: processor time of the whole process.
    nlohmann::ordered_json take();

private:
    static constexpr std::size_t KindCount = static_cast<std::size_t>(Kind::WeightOrders) + 1;

    /// Counts the time since the last change of kind, and goes on with this one.
    void enter(Kind kind);

    std::array<std::chrono::nanoseconds, KindCount> m_spent{};
    Kind m_kind = Kind::Other;
    Instant m_since{};
    std::chrono::nanoseconds m_processorTime{0}; ///< of the process, at the last take()
};

} // namespace auburndrum::gateway
