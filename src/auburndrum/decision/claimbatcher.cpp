#include "auburndrum/decision/claimbatcher.h"

#include <algorithm>
#include <utility>

namespace auburndrum::decision {

namespace {

/// Groups items into one record of each kind. Outcomes and releases come before claims: a release frees its key for a claim in the same entry.
class BatchBuilder
{
public:
    void add(Claim claim)
    {
        m_claims.claims.push_back(std::move(claim));
    }

    void add(Outcome outcome)
    {
        m_outcomes.outcomes.push_back(std::move(outcome));
    }

    void add(Release release)
    {
        m_releases.releases.push_back(std::move(release));
    }

    std::vector<LogRecord> build()
    {
        std::vector<LogRecord> records;
        if (!m_outcomes.outcomes.empty()) {
            records.emplace_back(std::move(m_outcomes));
        }
        if (!m_releases.releases.empty()) {
            records.emplace_back(std::move(m_releases));
        }
        if (!m_claims.claims.empty()) {
            records.emplace_back(std::move(m_claims));
        }
        return records;
    }

private:
    ClaimBatchRecord m_claims;
    OutcomeBatchRecord m_outcomes;
    ReleaseRecord m_releases;
};

} // namespace

ClaimBatcher::ClaimBatcher(ClaimBatcherOptions options)
    : m_options(options)
{
}

void ClaimBatcher::setBatcherCount(std::size_t n)
{
    m_batcherCount = std::max<std::size_t>(n, 1);
}

bool ClaimBatcher::add(BatchItem item)
{
    // A refused claim is safe: its call is not run. A refused outcome or release would be lost.
    const bool isClaim = std::holds_alternative<Claim>(item);
    if (isClaim && m_items.size() >= m_options.maxQueuedItems) {
        return false;
    }
    m_items.push_back(std::move(item));
    return true;
}

std::optional<Instant> ClaimBatcher::nextAppendTime() const
{
    if (m_items.empty()) {
        return std::nullopt;
    }
    return m_nextAppendTime;
}

std::vector<LogRecord> ClaimBatcher::takeDueRecords(Instant now)
{
    if (m_items.empty() || now < m_nextAppendTime) {
        return {};
    }
    m_nextAppendTime = now + appendInterval();
    const std::size_t n = std::min(m_items.size(), m_options.maxBatchItems);
    BatchBuilder builder;
    for (std::size_t it = 0; it < n; ++it) {
        std::visit(
            [&builder](auto &item) {
                builder.add(std::move(item));
            },
            m_items[it]);
    }
    m_items.erase(m_items.begin(), m_items.begin() + std::ptrdiff_t(n));
    return builder.build();
}

void ClaimBatcher::pauseUntil(Instant until)
{
    m_nextAppendTime = std::max(m_nextAppendTime, until);
}

std::chrono::nanoseconds ClaimBatcher::appendInterval() const
{
    const std::chrono::duration<double> seconds(double(m_batcherCount) / m_options.fleetAppendsPerSecond);
    return std::chrono::ceil<std::chrono::nanoseconds>(seconds);
}

std::size_t ClaimBatcher::queuedItems() const
{
    return m_items.size();
}

} // namespace auburndrum::decision
