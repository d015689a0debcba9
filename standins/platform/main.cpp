#include "standins/platform/platformserver.h"

#include <absl/flags/flag.h>
#include <absl/time/time.h>

ABSL_FLAG(std::uint32_t, appends_per_s, 400, "appends a second that the log takes");
ABSL_FLAG(std::uint64_t, retention_records, 100'000, "records that the log keeps");
ABSL_FLAG(absl::Duration, retention_time, absl::Hours(24), "how long the log keeps a record");
ABSL_FLAG(absl::Duration, vm_lag, absl::Milliseconds(500), "how late the VM list shows a change");
ABSL_FLAG(absl::Duration, load_time, absl::Milliseconds(800), "one load of weights at full speed");

int main(int argc, char **argv)
{
    using namespace auburndrum::standins;
    return runProgram(argc, argv, [] {
        PlatformOptions options;
        options.log.appendsPerSecond = absl::GetFlag(FLAGS_appends_per_s);
        options.log.retentionRecords = absl::GetFlag(FLAGS_retention_records);
        options.log.retentionTime = absl::ToChronoMilliseconds(absl::GetFlag(FLAGS_retention_time));
        options.vmLag = absl::ToChronoMilliseconds(absl::GetFlag(FLAGS_vm_lag));
        options.weights.loadTime = absl::ToChronoMilliseconds(absl::GetFlag(FLAGS_load_time));
        return std::make_unique<PlatformServer>(options);
    });
}
