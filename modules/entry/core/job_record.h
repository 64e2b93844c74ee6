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

/// Largest payload kept in the store. A larger one stays with the entries that
/// hold the job: the store accepts values up to 1 MB, and a larger payload
/// would cost several writes. When these entries die before the job starts,
/// it ends as not-run.
inline constexpr std::size_t kMaxStoredPayloadBytes = 512U * 1024U;
/// Largest result kept in the record; a larger one stays with its agent.
inline constexpr std::size_t kMaxStoredResultBytes = 64U * 1024U;
/// How long the store keeps a record after the end of its job, by a lease that
/// all records ended in one period share. Within it a reused idempotency key
/// finds the first answer.
inline constexpr core::Duration kRecordRetention =
    core::Duration::Seconds(24 * 3600);

/// What the store keeps of a durable job.
struct JobRecord {
  model::JobDescription description;
  std::string body_hash;
  /// Names the write that made this version, so that its author can tell after
  /// a lost answer that it took effect.
  std::string write_id;
  /// Internal endpoint of the entry that places it; empty: the planning owner.
  std::string holder;
  bool payload_stored = false;
  std::int64_t submitted_wall_ms = 0;
  bool cancel_requested = false;

  /// Last attempt; 0 when there was none.
  core::AttemptNumber attempt;
  std::vector<AttemptMember> members;
  bool may_have_run = false;

  std::optional<model::JobOutcome> outcome;
  std::string error;
  std::string result;
  /// Endpoint of the agent that keeps a result too large for the record.
  std::string result_endpoint;
};

/// "open/ID": a job that has not ended.
std::string OpenKey(const core::JobId& job);
/// "payload/ID": its payload.
std::string PayloadKey(const core::JobId& job);
/// "ended/ID": its end, until `kRecordRetention` has passed.
std::string EndedKey(const core::JobId& job);
/// Prefix of all open records.
inline constexpr const char* kOpenPrefix = "open/";

std::string JobRecordToText(const JobRecord& record);
core::Expected<JobRecord> JobRecordFromText(const std::string& text);

/// Creates a record when neither an open nor an ended one exists.
store::Transaction MakeCreate(const JobRecord& record,
                              const std::string* payload);
/// Replaces an open record of the given version.
store::Transaction MakeUpdate(const JobRecord& record,
                              store::ModRevision expected);
/// Turns an open record into an ended one and drops its payload.
store::Transaction MakeEnd(const JobRecord& record,
                           store::ModRevision expected,
                           std::optional<store::LeaseId> retention);

}  // namespace hemlockdoor::entry
