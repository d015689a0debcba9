#include "auburndrum/decision/linkbudget.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace auburndrum::decision {

namespace {

using Seconds = std::chrono::duration<double>;

// Background transfers wait this long after an interactive one received less than it requested.
constexpr std::chrono::milliseconds BackgroundPause{200};
constexpr double UsageDecayPerSecond = 2.0;

std::uint64_t slotWeight(const std::string &entry, std::size_t slot)
{
    return XXH3_64bits_withSeed(entry.data(), entry.size(), slot);
}

} // namespace

LinkBudget::LinkBudget(const LinkBudgetOptions &options)
    : m_options(options)
{
}

void LinkBudget::setLiveEntries(const std::vector<std::string> &entries, Instant now)
{
    // While this process was paused others may have owned its slots, so the settle time starts again for all of them.
    const bool wasFresh = hasFreshView(now);
    refill(now);
    for (std::size_t slot = 0; slot < SlotCount; ++slot) {
        const std::uint64_t own = slotWeight(m_options.entryName, slot);
        const bool owned = std::none_of(entries.begin(), entries.end(), [&](const std::string &it) {
            return it != m_options.entryName && slotWeight(it, slot) > own;
        });
        Slot &it = m_slots.at(slot);
        if (owned && (!it.owned || !wasFresh)) {
            it.ownedSince = now;
        }
        it.owned = owned;
    }
    m_lastView = now;
    m_hasView = true;
    refill(now);
}

std::uint64_t LinkBudget::acquire(std::uint64_t bytes, TransferClass transferClass, Instant now)
{
    if (!hasFreshView(now)) {
        return 0;
    }
    refill(now);
    const bool interactive = transferClass == TransferClass::Interactive;
    if (!interactive && m_hasShortfall && now - m_lastShortfall < BackgroundPause) {
        return 0;
    }
    // Half of the burst is reserved for the next interactive transfer.
    const double reserved = interactive ? 0 : rate(now) * Seconds(m_options.burstTime).count() / 2;
    const auto granted = std::min(bytes, static_cast<std::uint64_t>(std::max(m_availableBytes - reserved, 0.0)));
    if (interactive && granted < bytes) {
        m_lastShortfall = now;
        m_hasShortfall = true;
    }
    m_availableBytes -= static_cast<double>(granted);
    m_usedBytesPerSecond += static_cast<double>(granted) * UsageDecayPerSecond;
    return granted;
}

double LinkBudget::lend(double bytesPerSecond, std::chrono::nanoseconds duration, Instant now)
{
    refill(now);
    const double lent = std::clamp(bytesPerSecond, 0.0, rate(now));
    m_loans.push_back({-lent, now + duration + m_options.loanMargin});
    refill(now);
    return lent;
}

void LinkBudget::borrow(double bytesPerSecond, std::chrono::nanoseconds duration, Instant now)
{
    refill(now);
    m_loans.push_back({bytesPerSecond, now + duration});
}

double LinkBudget::rate(Instant now) const
{
    double sum = ownedRate(now);
    for (const Loan &it : m_loans) {
        sum += now < it.until ? it.bytesPerSecond : 0;
    }
    return std::max(sum, 0.0);
}

double LinkBudget::utilisation() const
{
    const double current = rate(m_lastRefill);
    return current > 0 ? std::min(m_usedBytesPerSecond / current, 1.0) : 0;
}

double LinkBudget::ownedRate(Instant now) const
{
    const auto held = std::count_if(m_slots.begin(), m_slots.end(), [&](const Slot &it) {
        return it.owned && now - it.ownedSince >= m_options.settleTime;
    });
    return m_options.bytesPerSecond / m_options.zones * static_cast<double>(held) / SlotCount;
}

void LinkBudget::refill(Instant now)
{
    const Seconds elapsed = std::max(now - m_lastRefill, std::chrono::nanoseconds(0));
    const double current = rate(now);
    // A rate that increased since the last refill must not be credited for the time before the increase.
    const double credited = std::min(current, rate(m_lastRefill)) * elapsed.count();
    m_availableBytes = std::min(m_availableBytes + credited, current * Seconds(m_options.burstTime).count());
    m_usedBytesPerSecond *= std::exp(-elapsed.count() * UsageDecayPerSecond);
    m_lastRefill = std::max(m_lastRefill, now);
    std::erase_if(m_loans, [&](const Loan &it) {
        return it.until <= now;
    });
}

bool LinkBudget::hasFreshView(Instant now) const
{
    return m_hasView && now - m_lastView <= m_options.maxViewAge;
}

} // namespace auburndrum::decision
