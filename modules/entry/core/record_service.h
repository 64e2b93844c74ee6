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

/// Urgent repeatable work is planned without its record after so long, since a
/// slow or silent store must not use up the 5.7 s in which it has to start.
inline constexpr core::Duration kUrgentRecordPatience =
    core::Duration::Milliseconds(400);
/// Delay before a store write that failed is tried again.
inline constexpr core::Duration kRecordRetryDelay =
    core::Duration::Milliseconds(500);
/// Tries of a create whose answers were lost before the caller is told that
/// acceptance is in doubt.
inline constexpr int kMaxCreateTries = 3;
/// Period in which all records that end share one retention lease.
inline constexpr core::Duration kRetentionPeriod = core::Duration::Seconds(600);

/// A record as found in the store.
struct FoundRecord {
  JobRecord record;
  /// True when it was found among the ended ones.
  bool ended = false;
  store::ModRevision revision;
};

/// Record steps. Each write carries an id of its own; a compare that fails
/// after a lost answer is resolved by reading that id back.
class RecordService {
 public:
  using OnFound =
      std::function<void(const core::Expected<std::optional<FoundRecord>>&)>;

  explicit RecordService(EntryContext& shared) : context(shared) {}

  /// Creates the record of a new job.
  void Create(Job& job);
  /// Records the present attempt, then goes on with `next`.
  void RecordAttempt(Job& job, std::function<void(const core::JobId&)> next);
  /// Records the end, then finalizes the job.
  void RecordEnd(Job& job);
  /// Reads a job's record, open or ended.
  void Lookup(const core::JobId& id, OnFound done);
  /// Reads a job's payload from the store.
  void LoadPayload(Job& job);
  /// Repeats writes that failed.
  void OnTick(Job& job);
  /// Takes over what an ended record says.
  void FinalizeFromRecord(Job& job, const JobRecord& record);

 private:
  /// Plans a job whose record is not, or not yet, in the store.
  void GoOnWithoutRecord(Job& job);
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
  void AnswerBeforeRecord(Job& job);
  void RenewRetention();
  /// Forgets a lease that the store no longer has, as after an outage that it
  /// did not survive; no end could be recorded under it.
  void DropRetention();

  EntryContext& context;
  std::uint64_t writes = 0;
  std::optional<store::LeaseId> retention;
  core::TimePoint retention_until;
  bool retention_call_open = false;
};

}  // namespace hemlockdoor::entry
