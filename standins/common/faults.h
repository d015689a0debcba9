#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace auburndrum::standins {

/// One kind of misbehaviour that a test can switch on. docs/PEERS.md says what each does.
enum class FaultMode {
    Refuse,
    Reset,
    Hang,
    HalfOpen,
    Slow,
    LoseReply,
    ApplyLate,
    EventGap,
    StaleLoad,
    IgnoreFencing,
    IgnoreVersion,
    WrongAttempt,
    PartialBlock,
    Full,
};

/// Returns the mode with this wire name, or nothing when there is none.
std::optional<FaultMode> faultModeByName(std::string_view name);

/// Whether the mode changes how a connection behaves, rather than what an answer says.
bool isConnectionFault(FaultMode mode);

/// One fault that is switched on.
struct Fault
{
    FaultMode mode = FaultMode::Refuse;
    std::uint32_t count = 0; ///< requests still to meet it; 0 means until cleared
    std::chrono::milliseconds delay{0};
    std::string pathPrefix; ///< only requests whose path starts with it
    std::string method; ///< only requests of this method; empty means any
};

/// The faults that are switched on in one stand-in.
class FaultSwitches
{
public:
    void set(const Fault &fault);
    void clear();

    /// Takes the first fault of this mode that matches the path, and uses up one of its count.
    std::optional<Fault> take(FaultMode mode, std::string_view path);

    /// Takes the first matching fault that changes how the connection behaves.
    std::optional<Fault> takeConnectionFault(std::string_view method, std::string_view path);

private:
    std::optional<Fault> takeAt(std::vector<Fault>::iterator it);

    std::vector<Fault> m_faults;
};

} // namespace auburndrum::standins
