// Measures the pure core of claims: recovery of the fold, bytes of its state, appends of the batchers.
// Prints one JSON object a line. Usage: claims_bench [recovery|bytes|appends]

#include "auburndrum/decision/claimbatcher.h"
#include "auburndrum/decision/claimowners.h"
#include "auburndrum/decision/logfold.h"

#include <malloc.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <iostream>
#include <map>
#include <random>
#include <string>
#include <vector>

using namespace auburndrum;
using namespace auburndrum::decision;
using namespace std::chrono_literals;

namespace {

constexpr WallTime WallStart{std::chrono::hours(500000)};
constexpr std::size_t OrganisationCount = 10;

ClaimKey keyOf(std::size_t n)
{
    return {"orders", "organisation-" + std::to_string(n % OrganisationCount), "018bcfe5-6800-7abc-8def-" + std::to_string(100000000000 + n)};
}

Claim claimOf(std::size_t n)
{
    const std::string number = std::to_string(10000000 + n);
    return {keyOf(n), std::string(64, 'f'), "entry-1/0123456789abcdef", "0123456789abcdef01234567" + number, WallStart + 24h};
}

Outcome outcomeOf(std::size_t n)
{
    return {keyOf(n), claimOf(n).nonce, 200, "application/json", R"({"order":"accepted","kitchen":"Kattila 4"})", "", OutcomeSource::Answer};
}

/// One entry of a log in which nine of ten are a claim and its outcome by turns, and the tenth is a publish.
std::string entryOf(std::size_t n)
{
    if (n % 10 == 9) {
        return encodeEntry({PublishRecord{"service/s" + std::to_string(n), 0, std::string(600, 'x'), "r" + std::to_string(n), "ana"}});
    }
    if (n % 2 == 0) {
        return encodeEntry({ClaimBatchRecord{{claimOf(n)}}});
    }
    return encodeEntry({OutcomeBatchRecord{{outcomeOf(n - 1)}}});
}

double secondsOf(const std::function<void()> &work)
{
    const Instant start = monotonicNow();
    work();
    return std::chrono::duration<double>(monotonicNow() - start).count();
}

void print(const nlohmann::json &line)
{
    std::cout << line.dump() << '\n' << std::flush;
}

void measureRecovery(std::size_t records)
{
    std::vector<std::string> log;
    log.reserve(records);
    for (std::size_t it = 0; it < records; ++it) {
        log.push_back(entryOf(it));
    }
    LogFold whole;
    const double foldSeconds = secondsOf([&] {
        for (std::size_t it = 0; it < records; ++it) {
            whole.applyEntry(it + 1, WallStart, log[it]);
        }
    });
    const std::string snapshot = encodeEntry({whole.snapshot()});
    LogFold recovered;
    const double snapshotSeconds = secondsOf([&] {
        recovered.startSnapshotSearch();
        recovered.applyEntry(records + 1, WallStart, snapshot);
    });
    print({{"bench", "recovery"},
           {"records", records},
           {"whole_log_s", foldSeconds},
           {"snapshot_s", snapshotSeconds},
           {"snapshot_bytes", snapshot.size()},
           {"claims", recovered.claims().size()},
           {"documents", recovered.config().documents().size()},
           {"equal", recovered.snapshot() == whole.snapshot()}});
}

std::size_t heapBytes()
{
    return mallinfo2().uordblks + mallinfo2().hblkhd;
}

void measureBytes(const std::string &what, std::size_t n, const std::function<std::string(std::size_t)> &entry)
{
    LogFold fold;
    const std::size_t before = heapBytes();
    for (std::size_t it = 0; it < n; ++it) {
        fold.applyEntry(it + 1, WallStart, entry(it));
    }
    print({{"bench", "bytes"}, {"of", what}, {"n", n}, {"bytes_each", double(heapBytes() - before) / double(n)}});
}

void measureAllBytes()
{
    constexpr std::size_t N = 60000; // past a doubling of the hash table, so neither its best nor its worst fill
    measureBytes("open claim", N, [](std::size_t n) {
        return encodeEntry({ClaimBatchRecord{{claimOf(n)}}});
    });
    measureBytes("settled claim", N, [](std::size_t n) {
        return encodeEntry({ClaimBatchRecord{{claimOf(n)}}, OutcomeBatchRecord{{outcomeOf(n)}}});
    });
    measureBytes("organisation of 300 bytes", 6700, [](std::size_t n) {
        return encodeEntry(
            {PublishRecord{"organisation/o" + std::to_string(n), 0, std::string(300, 'x'), "0123456789abcdef01234567" + std::to_string(n), "ana"}});
    });
    measureBytes("service document of 2,000 bytes", 1000, [](std::size_t n) {
        return encodeEntry({PublishRecord{"service/s" + std::to_string(n), 0, std::string(2000, 'x'), "0123456789abcdef01234567" + std::to_string(n), "ana"}});
    });
}

/// Open loop in virtual time: orders arrive at random entries and go to their region's owners, whose batchers append.
void measureAppends(std::size_t entries, std::size_t regions, double ordersPerSecond)
{
    constexpr auto Duration = 60s;
    std::vector<std::vector<std::string>> owners(regions);
    for (std::size_t region = 0; region < regions; ++region) {
        std::vector<std::string> names;
        for (std::size_t it = region; it < entries; it += regions) {
            names.push_back("entry-" + std::to_string(it));
        }
        owners[region] = selectClaimOwners(names);
    }
    std::size_t count = 0;
    for (const auto &it : owners) {
        count += it.size();
    }
    std::map<std::string, ClaimBatcher> batchers;
    for (const auto &region : owners) {
        for (const std::string &it : region) {
            batchers[it].setBatcherCount(count);
        }
    }
    std::mt19937_64 random(20261203);
    std::exponential_distribution<double> gap(2 * ordersPerSecond); // a claim and an outcome for each order
    const Instant start{1h};
    double next = gap(random);
    std::uint64_t appends = 0;
    std::uint64_t items = 0;
    std::map<std::string, std::vector<Instant>> waiting;
    std::vector<double> waits;
    for (Instant now = start; now < start + Duration; now += 1ms) {
        const double seconds = std::chrono::duration<double>(now - start).count();
        for (; next <= seconds; next += gap(random)) {
            const auto &region = owners[random() % regions];
            const std::string owner = claimOwnerOf(keyOf(items), region);
            batchers[owner].add(claimOf(items++));
            waiting[owner].push_back(now);
        }
        for (auto &[name, batcher] : batchers) {
            if (batcher.takeDueRecords(now).empty()) {
                continue;
            }
            ++appends;
            for (const Instant it : waiting[name]) {
                waits.push_back(std::chrono::duration<double, std::milli>(now - it).count());
            }
            waiting[name].clear();
        }
    }
    std::sort(waits.begin(), waits.end());
    print({{"bench", "appends"},
           {"entries", entries},
           {"regions", regions},
           {"batchers", count},
           {"orders_per_s", ordersPerSecond},
           {"appends_per_s", double(appends) / std::chrono::duration<double>(Duration).count()},
           {"items_per_append", double(items) / double(appends)},
           {"wait_p50_ms", waits[waits.size() / 2]},
           {"wait_p99_ms", waits[waits.size() * 99 / 100]}});
}

} // namespace

int main(int argc, char **argv)
{
    const std::string only = argc > 1 ? argv[1] : "";
    if (only.empty() || only == "recovery") {
        for (const std::size_t records : {1000, 100000, 1000000}) {
            measureRecovery(records);
        }
    }
    if (only.empty() || only == "bytes") {
        measureAllBytes();
    }
    if (only.empty() || only == "appends") {
        for (const double orders : {10.0, 100.0, 300.0, 1000.0}) {
            measureAppends(7, 2, orders);
            measureAppends(340, 9, orders);
        }
    }
    return 0;
}
