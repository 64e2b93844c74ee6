// Store records of durable jobs and the transactions that write them.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "modules/core/core.h"
#include "modules/entry/core/job_table.h"
#include "modules/model/model.h"
#include "modules/store/store.h"

namespace hemlockdoor::entry {

/// Largest payload that is kept in the store, in bytes. The store accepts
/// values up to 1 MB, and a larger payload would cost several writes. A larger
/// payload stays only in the memory of the entries that hold the job; when
/// these entries die before the job starts, the job ends as not-run.
inline constexpr std::size_t kMaxStoredPayloadBytes = 512U * 1024U;
/// Largest result that is kept in the record, in bytes. A larger result stays
/// on the agent that ran the job.
inline constexpr std::size_t kMaxStoredResultBytes = 64U * 1024U;
/// How long the store keeps a record after the end of its job. All records that
/// end within one `kRetentionPeriod` share the lease that deletes them. While
/// the record exists, a request that repeats the idempotency key gets the first
/// answer.
inline constexpr core::Duration kRecordRetention =
    core::Duration::Seconds(24 * 3600);

/// The store record of a durable job.
struct JobRecord {
  model::JobDescription description;
  std::string body_hash;
  /// Identifies the write that made this version. After a lost answer the
  /// writer compares it to tell whether the write took effect.
  std::string write_id;
  /// Internal endpoint of the entry that places the job; empty when the
  /// planning owner places it.
  std::string holder;
  bool payload_stored = false;
  std::int64_t submitted_wall_ms = 0;
  bool cancel_requested = false;

  /// Number of the last attempt; 0 when there was none.
  core::AttemptNumber attempt;
  std::vector<AttemptMember> members;
  bool may_have_run = false;

  std::optional<model::JobOutcome> outcome;
  std::string error;
  std::string result;
  /// Endpoint of the agent that keeps a result too large for the record.
  std::string result_endpoint;
};

/// Returns "open/ID", the key of the record of a job that has not ended.
std::string OpenKey(const core::JobId& job);
/// Returns "payload/ID", the key of the payload of a job that has not ended.
std::string PayloadKey(const core::JobId& job);
/// Returns "ended/ID", the key of the record of an ended job, which the store
/// keeps for `kRecordRetention`.
std::string EndedKey(const core::JobId& job);
/// Prefix of the keys of all open records.
inline constexpr const char* kOpenPrefix = "open/";

std::string JobRecordToText(const JobRecord& record);
core::Expected<JobRecord> JobRecordFromText(const std::string& text);

/// Returns the transaction that creates a record, with its payload unless
/// `payload` is null. It succeeds only when the job has neither an open nor an
/// ended record.
store::Transaction MakeCreateTransaction(const JobRecord& record,
                                         const std::string* payload);
/// Returns the transaction that replaces an open record. It succeeds only when
/// the record has the version `expected`.
store::Transaction MakeUpdateTransaction(const JobRecord& record,
                                         store::ModRevision expected);
/// Returns the transaction that replaces an open record by an ended one and
/// deletes the payload. It succeeds only when the open record has the version
/// `expected`. The ended record is deleted when the lease `retention` ends.
store::Transaction MakeEndTransaction(const JobRecord& record,
                                      store::ModRevision expected,
                                      std::optional<store::LeaseId> retention);

}  // namespace hemlockdoor::entry
