#include "standins/store/storeserver.h"

#include <absl/flags/flag.h>

ABSL_FLAG(std::uint64_t, memory_bytes, 256ULL << 20, "size of the memory tier");
ABSL_FLAG(std::uint64_t, disk_bytes, 4ULL << 30, "size of the disk tier");
ABSL_FLAG(std::uint64_t, memory_bytes_per_s, 0, "speed of the memory tier; 0 means no limit");
ABSL_FLAG(std::uint64_t, disk_bytes_per_s, 200'000'000, "speed of the disk tier; 0 means no limit");

int main(int argc, char **argv)
{
    using namespace auburndrum::standins;
    return runProgram(argc, argv, [] {
        StoreOptions options;
        options.blocks.memoryBytes = absl::GetFlag(FLAGS_memory_bytes);
        options.blocks.diskBytes = absl::GetFlag(FLAGS_disk_bytes);
        options.memoryBytesPerSecond = absl::GetFlag(FLAGS_memory_bytes_per_s);
        options.diskBytesPerSecond = absl::GetFlag(FLAGS_disk_bytes_per_s);
        return std::make_unique<StoreServer>(options);
    });
}
