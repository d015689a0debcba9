#include "statustext.h"

#include <fmt/format.h>

namespace auburndrum::cli {

namespace {

constexpr std::string_view Red = "\x1b[31m";
constexpr std::string_view Green = "\x1b[32m";
constexpr std::string_view Plain = "\x1b[0m";

std::string marked(bool isGood, std::string_view good, std::string_view bad, bool isColoured)
{
    const std::string_view text = isGood ? good : bad;
    if (!isColoured) {
        return std::string(text);
    }
    return fmt::format("{}{}{}", isGood ? Green : Red, text, Plain);
}

std::string headText(const Json &status, bool isColoured)
{
    const bool isReady = status.value("ready", false);
    std::string text = fmt::format("{} zone {} region {} at {}: {}, {}\n",
                                   status.value("name", ""),
                                   status.value("zone", ""),
                                   status.value("region", ""),
                                   status.value("address", ""),
                                   status.value("phase", ""),
                                   marked(isReady, "ready", "not ready", isColoured));
    for (const Json &it : status.value("not_ready", Json::array())) {
        text += fmt::format("  because: {}\n", it.is_string() ? it.get<std::string>() : it.dump());
    }
    const std::uint64_t doubts = status.value("claims_in_doubt", 0ULL);
    text += fmt::format("platform {}, configuration at offset {}, read {} ms ago\n",
                        marked(status.value("platform_up", false), "up", "down", isColoured),
                        status.value("config_offset", 0ULL),
                        status.value("config_age_ms", 0LL));
    text += fmt::format(
        "{} open requests, {} claims in doubt\n", status.value("open_requests", 0ULL), marked(doubts == 0, "no", std::to_string(doubts), isColoured));
    return text;
}

std::string peerText(const Json &peer, bool isColoured)
{
    return fmt::format("  {:<12} {:<22} {:<12} {:<8} offset {}\n",
                       peer.value("name", ""),
                       peer.value("address", ""),
                       peer.value("zone", ""),
                       marked(peer.value("live", false), "live", "lost", isColoured),
                       peer.value("config_offset", 0ULL));
}

std::string backendText(const Json &backend, bool isColoured)
{
    const bool isLeaving = backend.value("leaving", false);
    return fmt::format("  {:<22} {:<20} {:<12} {:<8} running {} queued {} {}\n",
                       backend.value("address", ""),
                       backend.value("service", ""),
                       backend.value("zone", ""),
                       marked(backend.value("live", false) && !isLeaving, "live", isLeaving ? "leaving" : "lost", isColoured),
                       backend.value("running", 0U),
                       backend.value("queued", 0U),
                       backend.value("version", ""));
}

} // namespace

std::string statusText(const Json &status, bool isColoured)
{
    std::string text = headText(status, isColoured);
    text += "entry VMs:\n";
    for (const Json &it : status.value("peers", Json::array())) {
        text += peerText(it, isColoured);
    }
    text += "backend servers:\n";
    for (const Json &it : status.value("backends", Json::array())) {
        text += backendText(it, isColoured);
    }
    return text;
}

} // namespace auburndrum::cli
