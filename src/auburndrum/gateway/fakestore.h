#pragma once

#include "auburndrum/gateway/recordstore.h"

#include <QTimer>

#include <map>
#include <vector>

namespace auburndrum::gateway {

/// An in-memory store that responds asynchronously through the event loop, and fails on demand.
class FakeStore
{
public:
    RecordStore hooks();

    /// Adds a record; no value drops the key.
    void put(const std::string &topic, const std::string &key, const std::optional<QByteArray> &value);
    /// Deletes all records; the newest of each key stays readable.
    void forgetHistory(const std::string &topic);
    /// Remembers the present records; restoreCopy() returns to them, as a store does that lost what was written since, and begins a new era.
    void makeCopy()
    {
        m_copy = m_topics;
    }
    void restoreCopy();
    /// Responses name no era from now on.
    void setNamesNoEra()
    {
        m_era = 0;
    }
    /// Every call fails with this error from now on; nothing: calls succeed again.
    void setError(std::optional<StoreError> error)
    {
        m_error = error;
    }
    /// Appends are executed but their responses are lost, so the caller sees a timeout.
    void setLosesAnswers(bool loses)
    {
        m_losesAnswers = loses;
    }
    /// Appends are executed at once, but answered only after this time.
    void setAppendAnswerDelay(std::chrono::milliseconds delay)
    {
        m_appendAnswerDelay = delay;
    }
    /// No read that is pending now, or sent while this holds, is ever answered, so the caller sees a timeout.
    void setLosesReads(bool loses);
    /// No read that is pending now, nor the next `n` reads, are ever answered.
    void loseReads(int n);
    /// After this time, and the one for which it may wait, a call without a response fails.
    void setCallTimeout(std::chrono::milliseconds timeout)
    {
        m_callTimeout = timeout;
    }
    const std::vector<StoreRecord> &records(const std::string &topic)
    {
        return m_topics[topic].records;
    }
    int calls() const
    {
        return m_calls;
    }

private:
    struct Topic
    {
        std::vector<StoreRecord> records;
        std::map<std::string, StoreRecord> newest;
        std::uint64_t firstOffset = 0; ///< offset of the oldest record that is still there
        std::uint64_t endOffset = 0;
    };

    struct PendingRead
    {
        RecordQuery query;
        std::function<void(StoreResult<RecordBatch>)> done;
        bool isLost = false; ///< never answered
    };

    StoreResult<AppendedRecords> append(const RecordAppend &records);
    RecordBatch batch(const RecordQuery &query);
    void completeReads(const std::string &topic);

    std::map<std::string, Topic> m_topics;
    std::map<std::string, Topic> m_copy;
    std::uint64_t m_era = 1;
    std::vector<std::shared_ptr<PendingRead>> m_pendingReads;
    std::optional<StoreError> m_error;
    bool m_losesAnswers = false;
    std::chrono::milliseconds m_appendAnswerDelay{0};
    bool m_losesReads = false;
    int m_readsToLose = 0;
    std::chrono::milliseconds m_callTimeout{50};
    int m_calls = 0;
    QObject m_context;
};

} // namespace auburndrum::gateway
