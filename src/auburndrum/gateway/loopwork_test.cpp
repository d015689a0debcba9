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
    {
        const LoopWork::Span outer(work, LoopWork::Kind::StoreReads);
        const LoopWork::Span inner(work, LoopWork::Kind::OperatorRecords);
        std::this_thread::sleep_for(30ms);
    }
    const auto spent = work.take();
    CHECK(spent.value("operator_records", 0) >= 30);
    CHECK_FALSE(spent.contains("store_reads"));
    CHECK_FALSE(work.take().contains("operator_records"));
}
