#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace auburndrum::decision {

/// How the ids of a service's events grew within single runs.
struct EventIdSteps
{
    std::uint64_t byOne = 0;
    std::uint64_t others = 0;

    /// Whether an id that is not the next number shows that events are missing.
    bool areConsecutive() const
    {
        return byOne > 0 && others == 0;
    }
};

/// @brief Decides for each event of a stream whether it follows those that the caller has, also where another server goes on with the stream.
///
/// Ids are whole numbers that increase. Events of the run that began the stream may lack ids; those of a run that goes on with it must show that they follow.
class EventSequence
{
public:
    /// @param steps of the service, which this sequence adds to; must outlive it
    explicit EventSequence(EventIdSteps &steps);

    /// Whether an event with this id follows the last one, and may be passed on.
    /// @param id empty for an event without one
    /// @param isTakenUp whether the run that sent it goes on with a stream that another run began
    bool accept(std::optional<std::string_view> id, bool isTakenUp);

    /// Id of the last event that the caller has; empty before the first one.
    const std::string &lastId() const
    {
        return m_lastId;
    }
    /// Sets that id for a stream that the caller takes up.
    void setLastId(std::string id);

private:
    EventIdSteps &m_steps;
    std::string m_lastId;
    std::optional<std::uint64_t> m_lastNumber;
};

} // namespace auburndrum::decision
