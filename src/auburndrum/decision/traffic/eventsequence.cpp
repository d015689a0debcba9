#include "auburndrum/decision/traffic/eventsequence.h"

#include <charconv>

namespace auburndrum::decision {

namespace {

std::optional<std::uint64_t> numberOf(std::string_view id)
{
    std::uint64_t number = 0;
    const auto [end, ec] = std::from_chars(id.data(), id.data() + id.size(), number);
    return ec == std::errc() && end == id.data() + id.size() ? std::optional(number) : std::nullopt;
}

} // namespace

EventSequence::EventSequence(EventIdSteps &steps)
    : m_steps(steps)
{
}

void EventSequence::setLastId(std::string id)
{
    m_lastNumber = numberOf(id);
    m_lastId = std::move(id);
}

bool EventSequence::accept(std::optional<std::string_view> id, bool isTakenUp)
{
    if (!id || id->empty()) {
        return !isTakenUp;
    }
    const auto number = numberOf(*id);
    if (number && m_lastNumber) {
        const bool isNext = *number > *m_lastNumber && *number - *m_lastNumber == 1;
        if (*number <= *m_lastNumber || (isTakenUp && !isNext && m_steps.areConsecutive())) {
            return false;
        }
        if (!isTakenUp) {
            ++(isNext ? m_steps.byOne : m_steps.others);
        }
    } else if (isTakenUp && (m_lastNumber || *id == m_lastId)) {
        return false;
    }
    setLastId(std::string(*id));
    return true;
}

} // namespace auburndrum::decision
