#include "profile.h"

#include <cmath>

namespace auburndrum::bench {

using namespace std::chrono_literals;

std::uint32_t Profile::workers() const
{
    std::uint32_t count = 0;
    for (const ZoneProfile &it : zones) {
        count += it.workers;
    }
    return count;
}

double Profile::meanPromptTokens() const
{
    const double ratio = static_cast<double>(maxPromptTokens) / minPromptTokens;
    return (maxPromptTokens - minPromptTokens) / std::log(ratio) + questionTokens;
}

double Profile::requestsPerSecond() const
{
    return utilisation * workers() * prefillTokensPerSecond / meanPromptTokens();
}

Profile lounasverkko()
{
    Profile it;
    it.name = "lounasverkko";
    it.zones = {{"uusimaa-a", "uusimaa", 4, 3}, {"uusimaa-b", "uusimaa", 3, 2}, {"pirkanmaa-a", "pirkanmaa", 3, 2}};
    it.storeRegion = "uusimaa";
    it.weights = {1.0, 0.01, 0.02};
    it.regionDelay = 1500us;
    return it;
}

Profile asociacion()
{
    Profile it;
    it.name = "asociacion";
    it.zones = {{"cantabrico-a", "cantabrico", 4, 3}, {"cantabrico-b", "cantabrico", 4, 2}, {"meseta-norte-a", "meseta-norte", 4, 2}};
    it.storeRegion = "cantabrico";
    it.weights = {0.3, 0.1, 1.0};
    it.regionDelay = 500us;
    it.minPromptTokens = 8000;
    it.maxPromptTokens = 48000;
    it.deadline = 15s; // the longest prompt alone takes 6 s to compute
    return it;
}

} // namespace auburndrum::bench
