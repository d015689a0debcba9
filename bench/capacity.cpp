#include "capacity.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <fmt/core.h>
#include <nlohmann/json.hpp>

#include <QCoreApplication>

ABSL_FLAG(std::vector<std::string>, nodes, (std::vector<std::string>{"7", "28", "112", "340"}), "fleet sizes");
ABSL_FLAG(std::string, mode, "both", "virtual, sockets or both");
ABSL_FLAG(int, settle_s, 60, "longest time given to the join, in seconds; the same time again passes before the measurement");
ABSL_FLAG(int, measure_s, 60, "measured time, in seconds");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of the peers' choices and of the events");

namespace {

using auburndrum::bench::CapacityOptions;
using auburndrum::bench::CapacitySample;

void print(const CapacitySample &it)
{
    const nlohmann::json line{{"bench", "capacity"},
                              {"mode", it.mode},
                              {"nodes", it.nodes},
                              {"bytes_per_s", it.bytesPerSecond},
                              {"cpu_percent", it.cpuPercent},
                              {"memory_kb", it.memoryKilobytes},
                              {"join_s", it.joinSeconds}};
    fmt::print("{}\n", line.dump());
    std::fflush(stdout);
}

void printTable(const std::vector<CapacitySample> &samples)
{
    fmt::print("\n{:<8} {:>6} {:>12} {:>10} {:>12} {:>8}\n", "mode", "nodes", "bytes/s", "cpu %", "memory KB", "join s");
    for (const CapacitySample &it : samples) {
        fmt::print(
            "{:<8} {:>6} {:>12.0f} {:>10.3f} {:>12.0f} {:>8.1f}\n", it.mode, it.nodes, it.bytesPerSecond, it.cpuPercent, it.memoryKilobytes, it.joinSeconds);
    }
}

} // namespace

int main(int argc, char **argv)
{
    absl::ParseCommandLine(argc, argv);
    const QCoreApplication app(argc, argv);
    const std::string mode = absl::GetFlag(FLAGS_mode);
    std::vector<CapacitySample> samples;
    for (const std::string &nodes : absl::GetFlag(FLAGS_nodes)) {
        CapacityOptions options;
        options.nodes = std::stoul(nodes);
        options.settle = std::chrono::seconds(absl::GetFlag(FLAGS_settle_s));
        options.measure = std::chrono::seconds(absl::GetFlag(FLAGS_measure_s));
        options.seed = absl::GetFlag(FLAGS_seed);
        if (mode != "sockets") {
            samples.push_back(auburndrum::bench::measureVirtual(options));
            print(samples.back());
        }
        if (mode != "virtual") {
            samples.push_back(auburndrum::bench::measureSockets(options));
            print(samples.back());
        }
    }
    printTable(samples);
    return 0;
}
