#include "auburndrum/decision/fairqueue.h"

#include <algorithm>

namespace auburndrum::decision {

namespace {

using Seconds = std::chrono::duration<double>;

constexpr std::chrono::milliseconds RateWindow{500};
constexpr double RateSmoothingFactor = 0.3;

} // namespace

FairQueue::FairQueue(const FairQueueOptions &options)
    : m_options(options)
{
}

void FairQueue::setGrant(std::string_view name, const QueueGrant &grant)
{
    findOrAddOrganisation(name).grant = grant;
}

PushResult FairQueue::push(WaitingRequest request, Instant now)
{
    PushResult result;
    const std::chrono::nanoseconds wait = predictedWait(request.organisation);
    const std::chrono::nanoseconds allowed = request.firstTokenDeadline - now;
    result.retryAfter = retryAfter(wait, allowed);
    if (wait > allowed) {
        return result;
    }
    Organisation &own = findOrAddOrganisation(request.organisation);
    const std::uint64_t id = request.id;
    if (own.waiting.empty()) {
        own.virtualStart = virtualStartFor(own);
    }
    if (m_size == 0) {
        m_rateWindowStart = now;
        m_rateWindowCost = 0;
    }
    own.waitingCost += request.cost;
    own.waiting.push_back(std::move(request));
    ++m_size;
    result.queued = true;
    if (m_size <= m_options.maxWaiting) {
        return result;
    }
    Organisation *most = furthestAboveShare();
    const WaitingRequest last = std::move(most->waiting.back());
    most->waiting.pop_back();
    onRemoved(*most, last.cost);
    if (most == &own && last.id == id) {
        result.queued = false;
        return result;
    }
    result.displacedId = last.id;
    return result;
}

std::optional<WaitingRequest> FairQueue::pop(Instant now)
{
    Organisation *chosen = nextToRun();
    if (chosen == nullptr) {
        return std::nullopt;
    }
    m_virtualTimeBeforePop = m_virtualTime;
    m_virtualTime = std::max(m_virtualTime, earliestRunnable()->virtualStart);
    WaitingRequest request = std::move(chosen->waiting.front());
    chosen->waiting.pop_front();
    m_maxRequestCost = std::max(m_maxRequestCost, request.cost);
    chosen->virtualStart += request.cost / chosen->grant.share;
    ++chosen->running;
    onRemoved(*chosen, request.cost);
    updateServiceRate(request.cost, now);
    return request;
}

void FairQueue::putBack(WaitingRequest request)
{
    Organisation &it = findOrAddOrganisation(request.organisation);
    it.virtualStart -= request.cost / it.grant.share;
    m_virtualTime = m_virtualTimeBeforePop;
    it.running -= std::min(it.running, 1U);
    it.waitingCost += request.cost;
    m_rateWindowCost -= request.cost;
    it.waiting.push_front(std::move(request));
    ++m_size;
}

void FairQueue::onFinished(std::string_view name)
{
    Organisation &it = findOrAddOrganisation(name);
    it.running -= std::min(it.running, 1U);
}

bool FairQueue::cancel(std::string_view name, std::uint64_t id)
{
    Organisation &own = findOrAddOrganisation(name);
    const auto it = std::find_if(own.waiting.begin(), own.waiting.end(), [&](const WaitingRequest &request) {
        return request.id == id;
    });
    if (it == own.waiting.end()) {
        return false;
    }
    const double cost = it->cost;
    own.waiting.erase(it);
    onRemoved(own, cost);
    return true;
}

std::vector<WaitingRequest> FairQueue::removeExpired(Instant now)
{
    std::vector<WaitingRequest> expired;
    for (auto &[name, own] : m_organisations) {
        for (auto it = own.waiting.begin(); it != own.waiting.end();) {
            if (it->firstTokenDeadline > now) {
                ++it;
                continue;
            }
            expired.push_back(std::move(*it));
            it = own.waiting.erase(it);
            onRemoved(own, expired.back().cost);
        }
    }
    return expired;
}

std::chrono::nanoseconds FairQueue::predictedWait(std::string_view name) const
{
    if (m_servedCostPerSecond <= 0 || m_size == 0) {
        return std::chrono::nanoseconds(0);
    }
    const auto it = m_organisations.find(name);
    if (it == m_organisations.end()) {
        return std::chrono::nanoseconds(0);
    }
    const Organisation &own = it->second;
    const double shares = waitingShares() + (own.waiting.empty() ? own.grant.share : 0);
    const double newStart = (own.waiting.empty() ? virtualStartFor(own) : own.virtualStart) + own.waitingCost / own.grant.share;
    const Seconds wait(std::max(newStart - m_virtualTime, 0.0) / virtualTimeRate(shares));
    return std::chrono::duration_cast<std::chrono::nanoseconds>(wait);
}

std::size_t FairQueue::size() const
{
    return m_size;
}

FairQueue::Organisation &FairQueue::findOrAddOrganisation(std::string_view name)
{
    if (const auto it = m_organisations.find(name); it != m_organisations.end()) {
        return it->second;
    }
    return m_organisations[name];
}

FairQueue::Organisation *FairQueue::earliestRunnable()
{
    Organisation *best = nullptr;
    for (auto &[name, it] : m_organisations) {
        if (isRunnable(it) && (best == nullptr || it.virtualStart < best->virtualStart)) {
            best = &it;
        }
    }
    return best;
}

FairQueue::Organisation *FairQueue::nextToRun()
{
    Organisation *best = earliestRunnable();
    if (best == nullptr) {
        return nullptr;
    }
    // Priority decides among organisations whose virtual start is at most the largest request after the earliest one.
    const double earliestStart = best->virtualStart;
    for (auto &[name, it] : m_organisations) {
        const bool isNearEarliest = isRunnable(it) && it.virtualStart <= earliestStart + m_maxRequestCost / it.grant.share;
        if (isNearEarliest && it.grant.priority < best->grant.priority) {
            best = &it;
        }
    }
    return best;
}

bool FairQueue::isRunnable(const Organisation &organisation) const
{
    const bool atLimit = organisation.grant.maxConcurrent > 0 && organisation.running >= organisation.grant.maxConcurrent;
    return !organisation.waiting.empty() && !atLimit;
}

void FairQueue::onRemoved(Organisation &organisation, double cost)
{
    organisation.waitingCost = organisation.waiting.empty() ? 0 : organisation.waitingCost - cost;
    --m_size;
}

double FairQueue::waitingShares() const
{
    double shares = 0;
    for (const auto &[name, it] : m_organisations) {
        shares += it.waiting.empty() ? 0 : it.grant.share;
    }
    return shares;
}

double FairQueue::virtualTimeRate(double shares) const
{
    return m_servedCostPerSecond / std::max(shares, 1e-9);
}

double FairQueue::virtualStartFor(const Organisation &organisation) const
{
    const double credit = Seconds(m_options.burstCredit).count() * virtualTimeRate(waitingShares() + organisation.grant.share);
    return std::max(organisation.virtualStart, m_virtualTime - credit);
}

FairQueue::Organisation *FairQueue::furthestAboveShare()
{
    Organisation *most = nullptr;
    for (auto &[name, it] : m_organisations) {
        if (it.waiting.empty()) {
            continue;
        }
        if (most == nullptr || it.waitingCost / it.grant.share > most->waitingCost / most->grant.share) {
            most = &it;
        }
    }
    return most;
}

void FairQueue::updateServiceRate(double cost, Instant now)
{
    m_rateWindowCost += cost;
    const Seconds elapsed = now - m_rateWindowStart;
    if (elapsed < RateWindow) {
        return;
    }
    const double rate = m_rateWindowCost / elapsed.count();
    m_servedCostPerSecond = m_servedCostPerSecond <= 0 ? rate : m_servedCostPerSecond + RateSmoothingFactor * (rate - m_servedCostPerSecond);
    m_rateWindowStart = now;
    m_rateWindowCost = 0;
}

std::chrono::milliseconds FairQueue::retryAfter(std::chrono::nanoseconds wait, std::chrono::nanoseconds allowed) const
{
    const auto over = std::chrono::ceil<std::chrono::milliseconds>(wait - allowed);
    return std::clamp(over, m_options.minRetryAfter, m_options.maxRetryAfter);
}

} // namespace auburndrum::decision
