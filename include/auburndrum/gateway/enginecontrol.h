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

/// State that an engine reports when polled.
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
    std::uint64_t expectedOrders = 0; ///< the engine refuses the order when it has accepted another number of orders
    std::function<bool()> mayLeave; ///< optional; asked when the connection has opened, false ends the order with OrderAnswer::Refused before it is sent
};

/// Result of an order to an engine.
enum class OrderAnswer {
    Accepted,
    AlreadyHolds,
    Conflict, ///< another order is in progress, or the engine has accepted others since
    StaleFencing,
    OtherServer, ///< the address belongs to another backend server
    Refused, ///< the order is not understood
    Unknown, ///< no response: the order may be executed, also later
};

const char *toText(OrderAnswer answer);

/// Why a prompt store returned no update.
enum class PromptStoreError {
    NoAnswer, ///< no usable response
    TooManyReaders, ///< the store works, but as many readers as it allows are connected
};

using PromptStoreResult = Result<decision::PromptStoreUpdate, PromptStoreError>;

/// Calls to engines and prompt stores other than forwarded requests. Every hook must be set.
struct EngineControl
{
    /// Passes nothing to the callback when the engine doesn't respond.
    std::function<void(const std::string &address, std::function<void(const std::optional<EngineReport> &)>)> readReport;
    std::function<void(const WeightOrder &, std::function<void(OrderAnswer)>)> sendOrder;
    /// Waits up to `wait` for changes since number `since`.
    std::function<void(const std::string &address, std::uint64_t since, std::chrono::milliseconds wait, std::function<void(const PromptStoreResult &)>)>
        readStoreChanges;
    /// Reads everything that the store holds.
    std::function<void(const std::string &address, std::function<void(const PromptStoreResult &)>)> readStoreContents;
    /// Frees parts of a store in one incarnation; `done` receives whether they were freed.
    std::function<void(
        const std::string &address, std::uint64_t incarnation, const std::vector<decision::StoredPromptChange> &parts, std::function<void(bool)> done)>
        freeStoredParts;
};

} // namespace auburndrum::gateway
