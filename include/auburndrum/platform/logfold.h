#pragma once

#include "auburndrum/decision/claimledger.h"
#include "auburndrum/decision/configfold.h"
#include "auburndrum/platform/logclient.h"

#include <functional>
#include <string>

namespace auburndrum::platform {

/// Hooks of a LogFold, run in log order.
struct LogFoldHooks
{
    std::function<void(const std::string &document)> onDocument; ///< a document changed
    std::function<void(const decision::ClaimDecision &)> onClaim;
    std::function<void(const std::string &nonce)> onSettled; ///< the claim with this nonce has its outcome or was released
};

/// @brief Everything that this process knows from the platform's log, as a fold over its records.
class LogFold
{
public:
    LogFold(decision::ClaimLedgerOptions options, LogFoldHooks hooks);

    /// Folds in the next record. Records that can't be read are counted and skipped.
    void apply(const StoredRecord &record);

    const decision::ConfigFold &config() const
    {
        return m_config;
    }
    const decision::ClaimLedger &ledger() const
    {
        return m_ledger;
    }
    std::uint64_t offset() const
    {
        return m_offset;
    }
    std::uint64_t skipped() const
    {
        return m_skipped;
    }

private:
    void apply(const StoredRecord &stored, const decision::LogRecord &record);
    void take(const decision::SnapshotRecord &snapshot);

    decision::ConfigFold m_config;
    decision::ClaimLedger m_ledger;
    LogFoldHooks m_hooks;
    std::uint64_t m_offset = 0;
    std::uint64_t m_skipped = 0;
};

} // namespace auburndrum::platform
