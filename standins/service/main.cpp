#include "standins/service/serviceserver.h"

#include <absl/flags/flag.h>
#include <absl/time/time.h>

ABSL_FLAG(std::uint64_t, incarnation, 0, "number of this start of the server; 0 takes the time");
ABSL_FLAG(absl::Duration, call_time, absl::ZeroDuration(), "from the effect of a call to its answer");

int main(int argc, char **argv)
{
    using namespace auburndrum::standins;
    return runProgram(argc, argv, [] {
        ServiceOptions options;
        options.incarnation = absl::GetFlag(FLAGS_incarnation);
        if (options.incarnation == 0) {
            options.incarnation = static_cast<std::uint64_t>(auburndrum::wallNow().time_since_epoch().count());
        }
        options.callTime = absl::ToChronoMilliseconds(absl::GetFlag(FLAGS_call_time));
        return std::make_unique<ServiceServer>(options);
    });
}
