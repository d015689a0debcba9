#include "fakestore.h"

#include <algorithm>

namespace auburndrum::gateway {

RecordStore FakeStore::hooks()
{
    RecordStore it;
    it.readNewest = [this](const std::string &topic, const std::string & /*afterKey*/, auto done) {
        ++m_calls;
        QTimer::singleShot(0, &m_context, [this, topic, done] {
            if (m_error) {
                done(failure(*m_error));
                return;
            }
            NewestPage page;
            page.endOffset = m_topics[topic].endOffset;
            page.era = m_era;
            for (const auto &[key, record] : m_topics[topic].newest) {
                page.records.push_back(record);
            }
            done(page);
        });
    };
    it.read = [this](const RecordQuery &query, auto done) {
        ++m_calls;
        if (m_error) {
            QTimer::singleShot(0, &m_context, [error = *m_error, done] {
                done(failure(error));
            });
            return;
        }
        const bool isLost = m_losesReads || m_readsToLose > 0;
        m_readsToLose = std::max(0, m_readsToLose - 1);
        const auto pending = std::make_shared<PendingRead>(PendingRead{query, done, isLost});
        m_pendingReads.push_back(pending);
        QTimer::singleShot(query.wait, &m_context, [this, pending] {
            if (pending->done && !pending->isLost) {
                std::exchange(pending->done, {})(batch(pending->query));
            }
        });
        QTimer::singleShot(query.wait + m_callTimeout, &m_context, [pending] {
            if (pending->done) {
                std::exchange(pending->done, {})(failure(StoreError::TimedOut));
            }
        });
        QTimer::singleShot(0, &m_context, [this, topic = query.topic] {
            completeReads(topic);
        });
    };
    it.append = [this](const RecordAppend &records, auto done) {
        ++m_calls;
        QTimer::singleShot(0, &m_context, [this, records, done] {
            if (m_error) {
                done(failure(*m_error));
                return;
            }
            const auto result = append(records);
            if (!m_losesAnswers) {
                QTimer::singleShot(m_appendAnswerDelay, &m_context, [done, result] {
                    done(result);
                });
                return;
            }
            QTimer::singleShot(m_callTimeout, &m_context, [done] {
                done(failure(StoreError::TimedOut));
            });
        });
    };
    it.put = [this](const std::string &topic, const std::string &key, const QByteArray &value, auto done) {
        ++m_calls;
        QTimer::singleShot(0, &m_context, [this, topic, key, value, done] {
            if (m_error) {
                done(failure(*m_error));
                return;
            }
            const std::uint64_t offset = m_topics[topic].endOffset;
            put(topic, key, value);
            done(offset);
        });
    };
    return it;
}

StoreResult<AppendedRecords> FakeStore::append(const RecordAppend &records)
{
    const std::uint64_t offset = m_topics[records.topic].endOffset;
    if (records.at.value_or(offset) != offset) {
        return failure(StoreError::Conflict);
    }
    for (const QByteArray &it : records.records) {
        put(records.topic, {}, it);
    }
    return AppendedRecords{offset, m_era};
}

void FakeStore::put(const std::string &topic, const std::string &key, const std::optional<QByteArray> &value)
{
    Topic &it = m_topics[topic];
    const StoreRecord record{it.endOffset++, key, value};
    it.records.push_back(record);
    if (value) {
        it.newest[key] = record;
    } else {
        it.newest.erase(key);
    }
    completeReads(topic);
}

void FakeStore::forgetHistory(const std::string &topic)
{
    Topic &it = m_topics[topic];
    it.records.clear();
    it.firstOffset = it.endOffset;
}

void FakeStore::restoreCopy()
{
    ++m_era;
    m_topics = m_copy;
    const auto pending = std::exchange(m_pendingReads, {});
    for (const auto &it : pending) {
        if (it->done) {
            std::exchange(it->done, {})(failure(StoreError::Unreachable)); // the connections of an earlier era end with it
        }
    }
}

void FakeStore::setLosesReads(bool loses)
{
    m_losesReads = loses;
    for (const auto &it : m_pendingReads) {
        it->isLost = it->isLost || loses;
    }
}

void FakeStore::loseReads(int n)
{
    m_readsToLose = n;
    for (const auto &it : m_pendingReads) {
        it->isLost = true;
    }
}

RecordBatch FakeStore::batch(const RecordQuery &query)
{
    const Topic &it = m_topics[query.topic];
    RecordBatch batch;
    batch.era = m_era;
    batch.endOffset = it.endOffset;
    batch.hasGap = query.from < it.firstOffset || query.from > it.endOffset;
    batch.nextOffset = batch.hasGap ? it.firstOffset : it.endOffset;
    if (batch.hasGap) {
        return batch;
    }
    std::size_t bytes = 0;
    for (const StoreRecord &record : it.records) {
        if (record.offset < query.from) {
            continue;
        }
        bytes += record.value ? static_cast<std::size_t>(record.value->size()) : 0;
        if (query.maxBytes > 0 && bytes > query.maxBytes && !batch.records.empty()) {
            batch.nextOffset = record.offset;
            break;
        }
        batch.records.push_back(record);
    }
    return batch;
}

void FakeStore::completeReads(const std::string &topic)
{
    const auto pending = m_pendingReads;
    for (const auto &it : pending) {
        const bool hasNewRecords = it->query.from != m_topics[topic].endOffset;
        if (it->query.topic != topic || !it->done || it->isLost || !hasNewRecords) {
            continue;
        }
        const auto done = std::exchange(it->done, {});
        const RecordBatch newRecords = batch(it->query);
        QTimer::singleShot(0, &m_context, [done, newRecords] {
            done(newRecords);
        });
    }
    std::erase_if(m_pendingReads, [](const auto &it) {
        return !it->done;
    });
}

} // namespace auburndrum::gateway
