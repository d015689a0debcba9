#pragma once

#include "auburndrum/base/time.h"

#include <boost/outcome.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <tuple>
#include <utility>
#include <variant>
#include <vector>

namespace auburndrum::decision {

/// Place of an entry in the platform's log. The first one is 1; 0 means none.
using Offset = std::uint64_t;

/// Format of the entries that this build writes. Entries of a higher format are skipped.
constexpr std::uint32_t LogFormatVersion = 1;

/// An operator's new text of one document.
struct PublishRecord
{
    std::string document; ///< "service/NAME", "organisation/NAME" or "team/NAME"
    Offset baseVersion = 0; ///< version that this one replaces; 0 for a new document
    std::string body; ///< empty withdraws the document
    std::string requestId; ///< found again by it when the append's reply was lost
    std::string author;
    bool operator==(const PublishRecord &) const = default;
};

/// What a claim is about. Equal keys of two organisations or services are independent.
struct ClaimKey
{
    std::string service;
    std::string organisation;
    std::string key; ///< the caller's Idempotency-Key
    bool operator==(const ClaimKey &) const = default;

    bool operator<(const ClaimKey &other) const
    {
        return std::tie(service, organisation, key) < std::tie(other.service, other.organisation, other.key);
    }

    template<typename H>
    friend H AbslHashValue(H state, const ClaimKey &it) // NOLINT(readability-identifier-naming): the library's name
    {
        return H::combine(std::move(state), it.service, it.organisation, it.key);
    }
};

/// Announces that one process wants to run the call of a key.
struct Claim
{
    ClaimKey key;
    std::string fingerprint; ///< of the request's body
    std::string incarnation; ///< of the process that claims
    std::string nonce; ///< unique to this claim
    WallTime deadline; ///< a claim that the log takes later than this is void
    bool operator==(const Claim &) const = default;
};

/// Claims of several calls in one append, decided in their order.
struct ClaimBatchRecord
{
    std::vector<Claim> claims;
    bool operator==(const ClaimBatchRecord &) const = default;
};

/// Who found an outcome.
enum class OutcomeSource {
    Answer, ///< the backend server's answer to the call itself
    Lookup, ///< the service's look-up call
    Operator, ///< an operator who looked into the matter
};

/// The answer of a call, kept so that later requests with its key get the same one.
struct Outcome
{
    ClaimKey key;
    std::string nonce; ///< of the claim that it settles
    std::uint32_t status = 0; ///< HTTP status
    std::string contentType;
    std::string body; ///< empty when only the digest is kept
    std::string digest; ///< SHA-256 of a body too large to keep; empty otherwise
    OutcomeSource source = OutcomeSource::Answer;
    bool operator==(const Outcome &) const = default;
};

/// Outcomes of several calls in one append.
struct OutcomeBatchRecord
{
    std::vector<Outcome> outcomes;
    bool operator==(const OutcomeBatchRecord &) const = default;
};

/// Gives up a claim whose call was never sent.
struct Release
{
    ClaimKey key;
    std::string nonce; ///< of the claim that it gives up
    bool operator==(const Release &) const = default;
};

/// Releases of several claims in one append.
struct ReleaseRecord
{
    std::vector<Release> releases;
    bool operator==(const ReleaseRecord &) const = default;
};

/// Takes or renews the right to give orders. Its offset is the fencing number.
struct LeaseRecord
{
    std::string resource; ///< such as "orders/SERVICE"
    std::string holder; ///< incarnation of the process
    std::string nonce; ///< unique to this record
    Offset replaces = 0; ///< offset of the lease record that it follows; 0 for none
    std::chrono::milliseconds duration{0};
    bool operator==(const LeaseRecord &) const = default;
};

/// One document within a snapshot.
struct SnapshotDocument
{
    std::string document;
    Offset version = 0;
    std::string body;
    bool operator==(const SnapshotDocument &) const = default;
};

/// What became of one publish within a snapshot.
struct SnapshotRequest
{
    std::string requestId;
    Offset version = 0; ///< the version made, or the one that stood in the way
    bool accepted = false;
    WallTime at; ///< log time
    bool operator==(const SnapshotRequest &) const = default;
};

/// One claim within a snapshot, with its outcome when there is one.
struct SnapshotClaim
{
    Claim claim;
    Offset offset = 0;
    WallTime at; ///< log time
    std::vector<Outcome> outcome; ///< none or one
    bool operator==(const SnapshotClaim &) const = default;
};

/// One lease within a snapshot.
struct SnapshotLease
{
    LeaseRecord lease;
    Offset offset = 0;
    bool operator==(const SnapshotLease &) const = default;
};

/// The whole fold at one offset, so that older entries may be cut.
struct SnapshotRecord
{
    Offset covers = 0; ///< the last offset folded in
    WallTime at; ///< highest log time folded in
    std::vector<SnapshotDocument> documents;
    std::vector<SnapshotRequest> requests;
    std::vector<SnapshotClaim> claims;
    std::vector<SnapshotLease> leases;
    bool operator==(const SnapshotRecord &) const = default;
};

using LogRecord = std::variant<PublishRecord, ClaimBatchRecord, OutcomeBatchRecord, ReleaseRecord, LeaseRecord, SnapshotRecord>;

/// Why an entry of the log can't be read.
enum class RecordError {
    Unreadable, ///< not JSON, cut short, or not an entry of ours
    NewerFormat, ///< written by a newer build
};

template<typename T>
using RecordResult = boost::outcome_v2::result<T, RecordError, boost::outcome_v2::policy::all_narrow>;

/// The records of one log entry. All of them have the entry's offset.
struct LogEntry
{
    std::vector<LogRecord> records;
    std::size_t unreadableRecords = 0; ///< records skipped because a field is missing or wrong
    std::size_t newerRecords = 0; ///< records skipped because their kind is unknown
};

/// Text of one log entry with these records, which take effect together and in order.
std::string encodeEntry(const std::vector<LogRecord> &records);

/// Reads one log entry. Records that can't be read are counted, the others returned.
RecordResult<LogEntry> decodeEntry(const std::string &text);

/// Whether the text may hold a snapshot. Much faster than decoding, never wrong about a text without one.
bool mayContainSnapshot(const std::string &text);

} // namespace auburndrum::decision
