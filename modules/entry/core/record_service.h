// Writes the store records of durable jobs and resolves lost store answers.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "modules/core/core.h"
#include "modules/entry/core/entry_context.h"
#include "modules/entry/core/job_record.h"

namespace hemlockdoor::entry {

/// How long an urgent repeatable job waits for the creation of its record
/// before it is planned without the record. A slow or unresponsive store must
/// not use up the 5.7 s within which the job has to start.
inline constexpr core::Duration kUrgentRecordTimeout =
    core::Duration::Milliseconds(400);
/// Delay before a failed store write is retried. Creates are retried with
/// exponential backoff based on this delay.
inline constexpr core::Duration kRecordRetryDelay =
    core::Duration::Milliseconds(500);
/// Number of creates without a known outcome after which a repeatable job is
/// planned without its record, and the caller of a non-repeatable job is told
/// that acceptance is in doubt.
inline constexpr int kMaxCreateAttempts = 3;
/// Period within which all records that end share one retention lease.
inline constexpr core::Duration kRetentionPeriod = core::Duration::Seconds(600);

/// A record that was read from the store.
struct FoundRecord {
  JobRecord record;
  /// True for an ended record, false for an open one.
  bool ended = false;
  store::ModRevision revision;
};

/// Reads and writes the store records of jobs. Each write has its own id. When
/// a compare fails or an answer is lost, the record is read back, and the id
/// shows whether the write took effect.
class RecordService {
 public:
  using OnFound =
      std::function<void(const core::Expected<std::optional<FoundRecord>>&)>;

  explicit RecordService(EntryContext& shared) : context(shared) {}

  /// Creates the record of a new job, then dispatches the job.
  void Create(Job& job);
  /// Records the current attempt, then calls `next`.
  void RecordAttempt(Job& job, std::function<void(const core::JobId&)> next);
  /// Records the end of a job, then finalizes the job.
  void RecordEnd(Job& job);
  /// Reads a job's record, open or ended. `done` receives nothing when there is
  /// none, and an error when the store fails or the record is malformed.
  void Lookup(const core::JobId& id, OnFound done);
  /// Reads the payload of a placed job from the store, then continues its
  /// start. Refuses the job when the store does not have the payload.
  void LoadPayload(Job& job);
  /// Retries a failed create or end write of a job, and dispatches an urgent
  /// job whose record takes too long to create.
  void OnTick(Job& job);
  /// Applies the outcome of an ended record to a job and finalizes the job.
  void FinalizeFromRecord(Job& job, const JobRecord& record);

 private:
  /// Dispatches a job although its record is not known to be in the store.
  void DispatchWithoutRecord(Job& job);
  JobRecord MakeRecord(const Job& job, std::string write_id) const;
  std::string NewWriteId();
  bool IsOwnWrite(const std::string& write_id) const;
  void SendCreate(Job& job);
  void OnCreateFailed(Job& job, const core::Error& error);
  void OnRecordExists(Job& job, const FoundRecord& found);
  void OnCreated(Job& job, store::ModRevision revision);
  void SendAttempt(Job& job, std::function<void(const core::JobId&)> next);
  void OnAttemptConflict(Job& job,
                         std::function<void(const core::JobId&)> next);
  void SendEnd(Job& job);
  void OnEndConflict(Job& job);
  void AnswerBeforeEndIsRecorded(Job& job);
  void RenewRetention();
  /// Forgets the retention lease when the store no longer has it, for example
  /// because it expired during an outage. The store would reject every end
  /// write that uses it.
  void DropRetention();

  EntryContext& context;
  std::uint64_t writes = 0;
  std::optional<store::LeaseId> retention;
  core::TimePoint retention_until;
  bool retention_call_open = false;
};

}  // namespace hemlockdoor::entry
