#include "standins/engine/engineserver.h"

#include <absl/flags/flag.h>
#include <absl/time/time.h>

#include <string>

ABSL_FLAG(double, prefill_tokens_per_s, 20'000, "prompt tokens computed a second");
ABSL_FLAG(absl::Duration, decode_step, absl::Milliseconds(10), "from one token of a run to its next");
ABSL_FLAG(std::uint32_t, max_running, 16, "runs in the batch");
ABSL_FLAG(std::uint32_t, max_queued, 64, "prompts that may wait");
ABSL_FLAG(std::uint64_t, cache_tokens, 200'000, "tokens that the prefix cache holds");
ABSL_FLAG(std::uint32_t, piece_tokens, 2000, "tokens of one cache piece");
ABSL_FLAG(std::uint64_t, kv_bytes_per_token, 64, "size of the exported state of one token");
ABSL_FLAG(absl::Duration, load_lag, absl::Milliseconds(200), "age of the load report");
ABSL_FLAG(absl::Duration, load_time, absl::Milliseconds(800), "one load of weights when there is no weight store");
ABSL_FLAG(std::string, weight_store, "", "IP:PORT of the platform, for loads of weights");
ABSL_FLAG(std::string, weight_version, "v1", "weight version at the start");
ABSL_FLAG(std::uint64_t, incarnation, 0, "number of this start of the server; 0 takes the time");

int main(int argc, char **argv)
{
    using namespace auburndrum::standins;
    return runProgram(argc, argv, [] {
        EngineOptions options;
        options.scheduler.prefillTokensPerSecond = absl::GetFlag(FLAGS_prefill_tokens_per_s);
        options.scheduler.decodeStep = absl::ToChronoNanoseconds(absl::GetFlag(FLAGS_decode_step));
        options.scheduler.maxRunning = absl::GetFlag(FLAGS_max_running);
        options.scheduler.maxQueued = absl::GetFlag(FLAGS_max_queued);
        options.cacheTokens = absl::GetFlag(FLAGS_cache_tokens);
        options.pieceTokens = absl::GetFlag(FLAGS_piece_tokens);
        options.kvBytesPerToken = absl::GetFlag(FLAGS_kv_bytes_per_token);
        options.loadLag = absl::ToChronoMilliseconds(absl::GetFlag(FLAGS_load_lag));
        options.loadTime = absl::ToChronoMilliseconds(absl::GetFlag(FLAGS_load_time));
        options.weightStore = auburndrum::net::parseAddress(absl::GetFlag(FLAGS_weight_store));
        options.version = absl::GetFlag(FLAGS_weight_version);
        options.incarnation = absl::GetFlag(FLAGS_incarnation);
        if (options.incarnation == 0) {
            options.incarnation = static_cast<std::uint64_t>(auburndrum::wallNow().time_since_epoch().count());
        }
        return std::make_unique<EngineServer>(options);
    });
}
