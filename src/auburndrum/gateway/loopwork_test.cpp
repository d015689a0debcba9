#include "auburndrum/gateway/loopwork.h"

#include <doctest/doctest.h>

#include <thread>

using namespace auburndrum::gateway;
using namespace std::chrono_literals;

// Guards against a line that blames the work around the slow one, or counts its time twice.
TEST_CASE("the time of work inside other work is counted for itself only, and once")
{
    LoopWork work;
    work.take();
    const auto start = auburndrum::monotonicNow();
    {
        const LoopWork::Span outer(work, LoopWork::Kind::StoreReads);
        const LoopWork::Span inner(work, LoopWork::Kind::OperatorRecords);
        std::this_thread::sleep_for(30ms);
    }
    const auto spent = work.take();
    const auto elapsed = std::chrono::ceil<std::chrono::milliseconds>(auburndrum::monotonicNow() - start);
    CHECK(spent.value("operator_records", 0) >= 30);
    CHECK(spent.value("operator_records", 0) + spent.value("store_reads", 0) <= elapsed.count());
    CHECK_FALSE(work.take().contains("operator_records"));
}
