#pragma once

#include "auburndrum/base/errors.h"
#include "auburndrum/decision/traffic/storedprompts.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace auburndrum::gateway {

/// What an engine reports of itself when asked.
struct EngineReport
{
    std::map<std::string, std::uint64_t> weightVersions; ///< by model
    bool isExecutingOrder = false;
    std::uint64_t ordersAccepted = 0;
};

/// An order to load weights.
struct WeightOrder
{
    std::string address; ///< IP:PORT of the engine
    std::string serverId; ///< any other backend server refuses it
    std::string model;
    std::uint64_t version = 0;
    std::string holder; ///< this entry VM
    std::uint64_t fencing = 0;
    std::uint64_t expectedOrders = 0; ///< the engine refuses it when it has accepted another number of orders
};

/// How an engine answered an order.
enum class OrderAnswer {
    Accepted,
    AlreadyHolds,
    Conflict, ///< another order is under way, or it has accepted others
    StaleFencing,
    OtherServer, ///< the address belongs to another backend server
    Refused, ///< the order is not understood
    Unknown, ///< no answer: it may be carried out, also later
};

const char *toText(OrderAnswer answer);

/// Why a store of cached prompts gave no report.
enum class KeptError {
    NoAnswer, ///< nothing that can be used
    TooManyReaders, ///< it is well, but as many as it allows read from it
};

using KeptAnswer = Result<decision::PromptStoreUpdate, KeptError>;

/// Calls to engines and stores of cached prompts, beside requests. Every hook must be set.
struct EngineControl
{
    /// Nothing when the engine doesn't answer.
    std::function<void(const std::string &address, std::function<void(const std::optional<EngineReport> &)>)> readReport;
    std::function<void(const WeightOrder &, std::function<void(OrderAnswer)>)> order;
    /// Waits up to `wait` for changes since number `since`.
    std::function<void(const std::string &address, std::uint64_t since, std::chrono::milliseconds wait, std::function<void(const KeptAnswer &)>)>
        readKeptChanges;
    /// Reads all that is kept.
    std::function<void(const std::string &address, std::function<void(const KeptAnswer &)>)> readKept;
    /// Frees parts of a store in one incarnation; `done` tells whether it was carried out.
    std::function<void(
        const std::string &address, std::uint64_t incarnation, const std::vector<decision::StoredPromptChange> &parts, std::function<void(bool)> done)>
        freeKept;
};

} // namespace auburndrum::gateway
