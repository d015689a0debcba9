#include "auburndrum/gateway/loopwork.h"

#include <ctime>
#include <utility>

namespace auburndrum::gateway {

namespace {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;

// In the order of Kind; the time of the first is that in which the loop waits, too, and is not told.
constexpr std::array KindNames
    = {"", "requests", "answers", "operator_records", "server_records", "store_reads", "relay_serving", "prompt_stores", "peer_news", "weight_orders"};

nanoseconds processorTime()
{
    timespec now{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
    return std::chrono::seconds(now.tv_sec) + nanoseconds(now.tv_nsec);
}

} // namespace

LoopWork::Span::Span(LoopWork &work, Kind kind)
    : m_work(work)
    , m_outer(work.m_kind)
{
    m_work.enter(kind);
}

LoopWork::Span::~Span()
{
    m_work.enter(m_outer);
}

void LoopWork::enter(Kind kind)
{
    const Instant now = monotonicNow();
    m_spent[static_cast<std::size_t>(m_kind)] += now - m_since;
    m_since = now;
    m_kind = kind;
}

nlohmann::ordered_json LoopWork::take()
{
    static_assert(KindNames.size() == KindCount);
    enter(m_kind);
    const nanoseconds now = processorTime();
    nlohmann::ordered_json spent = {{"processor", std::chrono::floor<milliseconds>(now - std::exchange(m_processorTime, now)).count()}};
    for (std::size_t n = 1; n < KindCount; ++n) {
        const auto time = std::chrono::floor<milliseconds>(std::exchange(m_spent[n], nanoseconds(0)));
        if (time.count() > 0) {
            spent[KindNames[n]] = time.count();
        }
    }
    return spent;
}

} // namespace auburndrum::gateway
