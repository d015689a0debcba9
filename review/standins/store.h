#pragma once

#include "http.h"

#include <chrono>
#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;

/// The platform's store: a log with topics of one partition, read with long polls.
///
/// Each entry VM has an address of its own there, its view. Addresses of backend servers differ by view: a host 127.78.0.N in an entry is
/// 127.78.VIEW.N in what that view reads, as if a proxy stood between.
class Store
{
public:
    explicit Store(std::chrono::milliseconds retention);

    void listenOn(const Address &address, int view);
    /// Drops all records; the newest one of each key of a keyed topic stays.
    void forgetHistory();
    /// Sets the newest value of a key in a keyed topic, as the operator or a backend server does.
    void put(const std::string &topic, const std::string &key, const std::string &value);

private:
    struct Record
    {
        std::string bytes;
        Clock::time_point writtenAt;
    };
    struct Topic
    {
        std::uint64_t firstOffset = 0;
        std::deque<Record> records;
        std::map<std::string, std::pair<std::uint64_t, std::string>> newestByKey;
        std::uint64_t endOffset() const
        {
            return firstOffset + records.size();
        }
    };

    Answer handle(const Message &request, int view);
    Answer appendRecords(const Message &request);
    Answer readRecords(const Message &request, int view);
    Answer readNewest(const Message &request, int view);
    void append(const std::string &topic, const std::string &record);
    void dropOld(Topic &topic) const;

    std::chrono::milliseconds m_retention;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Topic> m_topics;
};

} // namespace review
