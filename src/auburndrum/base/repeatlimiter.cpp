#include "auburndrum/base/repeatlimiter.h"

#include <utility>

namespace auburndrum {

RepeatLimiter::RepeatLimiter(RepeatLimit limit)
    : m_limit(limit)
{
}

std::optional<std::uint64_t> RepeatLimiter::admit(const std::string &key, Instant now)
{
    const std::lock_guard lock(m_mutex);
    auto it = m_windows.find(key);
    if (it == m_windows.end()) {
        if (m_windows.size() >= m_limit.maxKeys) {
            return 0;
        }
        it = m_windows.emplace(key, Window{.start = now}).first;
    }
    Window &window = it->second;
    if (now - window.start >= m_limit.window) {
        window.start = now;
        window.admitted = 0;
    }
    if (window.admitted >= m_limit.messages) {
        ++window.suppressed;
        return std::nullopt;
    }
    ++window.admitted;
    return std::exchange(window.suppressed, 0);
}

} // namespace auburndrum
