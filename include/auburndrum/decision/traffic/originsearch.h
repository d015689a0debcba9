#pragma once

#include "auburndrum/decision/traffic/streamorigins.h"

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace auburndrum::decision {

/// Options of an OriginSearch.
struct OriginSearchOptions
{
    std::size_t firstAsked = 3; ///< holders asked at once: those to which an origin is sent
    std::size_t mostAsked = 16; ///< VMs asked in all, should the VM that recorded the origin have known others, or those asked first have lost it
    std::chrono::milliseconds widenAfter{50}; ///< the further VMs are asked after this time without an origin; two round trips between regions
    std::chrono::milliseconds repeatInterval{120}; ///< VMs that did not answer are asked again, since messages may be lost
    std::chrono::milliseconds timeout{450}; ///< a VM that has not answered by then is frozen or gone
};

/// @brief Decides which entry VMs are asked for the origin of one stream, and when the answer is known.
///
/// Without an origin the software that began the stream is unknown, however many servers of one version are listed now. All times are on the clock that counts
/// suspension. Not thread-safe.
class OriginSearch
{
public:
    /// @p ranked are the other VMs as rankHolders() returns them.
    OriginSearch(std::vector<std::string> ranked, Instant now, OriginSearchOptions options = {});

    /// A VM answered; no origin: it knows none.
    void onAnswer(std::string_view vm, const std::optional<StreamOrigin> &origin);
    /// The VMs to ask now; calling it again later asks those again that did not answer.
    std::vector<std::string> vmsToAsk(Instant now);

    const std::optional<StreamOrigin> &origin() const
    {
        return m_origin;
    }
    /// Whether nothing more can be learned.
    bool isDone(Instant now) const;
    /// Whether a VM that did not answer may know the origin, and tell it later.
    bool isOpen() const;
    /// When vmsToAsk() and isDone() may next say something else.
    Instant nextStep(Instant now) const;
    std::size_t asked() const
    {
        return m_asked;
    }
    std::size_t answered() const;

private:
    struct Vm
    {
        std::string name;
        std::optional<Instant> askedAt;
        bool hasAnswered = false;
    };

    OriginSearchOptions m_options;
    std::vector<Vm> m_vms;
    Instant m_begunAt;
    std::size_t m_asked = 0; ///< the first so many of m_vms
    std::optional<StreamOrigin> m_origin;
};

} // namespace auburndrum::decision
