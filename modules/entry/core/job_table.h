// Jobs that an entry holds, with their attempts and waiting callers.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "modules/core/core.h"
#include "modules/entry/core/byte_budget.h"
#include "modules/entry/core/events.h"
#include "modules/entry/core/job_spans.h"
#include "modules/model/model.h"
#include "modules/store/store.h"

namespace hemlockdoor::entry {

/// Where a job is in this entry.
enum class JobPhase {
  kCreatingRecord,    ///< The store record is being created.
  kDelayed,           ///< Submitted to the scheduler at `resume_at`.
  kQueued,            ///< Waits in the scheduler.
  kLoadingPayload,    ///< Placed; the payload is read from the store.
  kRecordingAttempt,  ///< Placed; the attempt is written to the store.
  kReserving,         ///< Gang: members are asked for reservations.
  kReleasing,         ///< Gang: reservations are given back.
  kStarting,          ///< `run` or `commit` was sent, no answer yet.
  kRunning,           ///< Started.
  kResolving,         ///< The agent is asked what became of the attempt.
  kRecordingEnd,      ///< The end is written to the store.
  kFollowing,         ///< Another entry holds it; this one waits for the end.
  kEnded,             ///< The outcome is final.
};

/// One member of an attempt.
struct AttemptMember {
  model::GangMember place;
  /// Latest start on the agent's clock.
  core::TimePoint start_not_after;
  /// This entry's time at which the agent's clock is past that for certain.
  core::TimePoint cannot_start_after;
  /// Times that `run` or `reserve` was sent.
  int sends = 0;
  /// A copy of the request may still be under way or in effect.
  bool in_doubt = false;
  bool granted = false;
  bool released = false;
  /// The member's end was reported.
  bool ended = false;
};

/// One attempt to run a job.
struct Attempt {
  core::AttemptNumber number;
  std::vector<AttemptMember> members;
  /// The lead was told to commit, or a single task was told to run.
  bool start_sent = false;
  /// Result of member 0, once it was reported.
  SharedBody result;
  /// The agent that refused or failed first.
  std::optional<core::AgentId> failed_agent;
  /// Times that the agent was asked in vain for what became of it.
  int failed_queries = 0;
  /// Since when the agent has been gone.
  std::optional<core::TimePoint> agent_lost_since;
  core::TimePoint started_at;
};

/// A caller that waits for the end of a job.
struct Waiter {
  RequestId request;
  /// Then it is answered 202.
  core::TimePoint until;
};

/// The store record's place in its life.
struct RecordState {
  /// Version of `open/ID`; nothing when not known to be written.
  std::optional<store::ModRevision> revision;
  /// Names the last write, to recognise it after a lost answer.
  std::string write_id;
  /// A write is under way.
  bool busy = false;
  /// Creates sent so far.
  int tries = 0;
  /// The answer to a create was lost: the record may exist.
  bool in_doubt = false;
  core::TimePoint retry_at;
};

/// One job.
struct Job {
  model::JobDescription description;
  SharedBody payload;
  std::size_t payload_bytes = 0;
  std::string body_hash;
  std::string traceparent;
  JobSpans spans;
  /// The caller gave an idempotency key and may ask again with it.
  bool has_key = false;
  JobPhase phase = JobPhase::kQueued;
  core::TimePoint submitted_at;
  /// Wall clock, for records.
  std::int64_t submitted_wall_ms = 0;
  /// Own clock; passes => late.
  std::optional<core::TimePoint> deadline;
  core::TimePoint resume_at;

  /// Has, or shall have, a store record.
  bool durable = false;
  /// The record exists for certain.
  bool recorded = false;
  /// The store has the payload.
  bool payload_stored = false;
  RecordState record;
  /// Internal endpoint of the entry that waits for the end besides this one.
  std::string reply_to;
  /// Endpoint of the entry that holds the job, while following.
  std::string followed;
  bool follow_call_open = false;
  int follow_failures = 0;
  /// A handover was answered 202.
  bool handed_over = false;
  /// A handover got no answer; the owner may have taken it.
  bool handover_in_doubt = false;

  std::optional<Attempt> attempt;
  core::AttemptNumber last_attempt;
  /// Some attempt started, or may have.
  bool may_have_run = false;
  int refusals = 0;
  /// Attempts that started and failed.
  int failures = 0;
  std::string last_error;
  bool in_scheduler = false;
  bool preempting = false;
  bool cancel_requested = false;
  bool deadline_passed = false;
  bool cancel_open = false;
  core::TimePoint next_cancel_at;
  core::TimePoint next_query_at;

  std::vector<Waiter> waiters;
  /// Deliveries of the result that are answered when the end is recorded.
  std::vector<RequestId> result_requests;
  std::optional<model::JobOutcome> outcome;
  /// Status, problem type and text of an outcome that is not kDone.
  int problem_status = 0;
  std::string problem_type;
  std::string error;
  core::Duration retry_after;
  /// Result of kDone when it is held here.
  SharedBody result;
  std::size_t result_bytes = 0;
  /// A caller or another entry got the result.
  bool delivered = false;
  /// Endpoint of the agent that holds the result for this entry.
  std::string result_endpoint;
  /// The result was not kept here for lack of room; the record has it.
  bool result_in_store = false;
  /// Agents to acknowledge when the result may be dropped there.
  std::vector<AttemptMember> unacknowledged;
  core::AttemptNumber ended_attempt;
  core::TimePoint ended_at;
};

/// Bounds of a job table.
struct JobTableLimits {
  /// Jobs that have not ended.
  std::size_t max_open = 20'000;
  /// Ended jobs that are kept for questions.
  std::size_t max_ended = 20'000;
  /// Payload and result bytes in all.
  std::size_t max_bytes = 12U * 1024U * 1024U;
};

/// All jobs of one entry, bounded in number and bytes.
class JobTable {
 public:
  explicit JobTable(const JobTableLimits& table_limits)
      : limits(table_limits), bytes(table_limits.max_bytes) {}

  /// Adds a job and counts its payload; kResourceExhausted when the table or
  /// the byte budget is full, kConflict when the id is taken.
  core::Expected<Job*> Add(Job job);
  /// The job, or null.
  Job* Find(const core::JobId& id);
  /// Sets the payload of a job that was added without; false when the budget
  /// has no room.
  bool AttachPayload(Job& job, SharedBody payload);
  /// Tells whether a result of this job fits, when the payload makes room for
  /// it. Drops results that were delivered already, the oldest first.
  bool MakeRoomForResult(const Job& job, std::size_t result_bytes);
  /// Keeps a result; false when the budget has no room.
  bool AttachResult(Job& job, SharedBody result);
  /// Gives back the payload when no attempt can need it any more.
  void DropPayload(Job& job);
  void DropResult(Job& job);
  /// A caller or another entry got the result: it may be dropped for room.
  void MarkDelivered(Job& job);
  /// Marks a job as ended, for the bound on ended jobs.
  void MarkEnded(Job& job, core::TimePoint now);
  void Remove(const core::JobId& id);

  /// Ids of all jobs that have not ended.
  std::vector<core::JobId> OpenIds() const;
  /// Ids of ended jobs that ended before `limit`, and of the oldest ones above
  /// the bound.
  std::vector<core::JobId> Removable(core::TimePoint limit) const;
  std::size_t OpenCount() const { return this->jobs.size() - this->ended; }
  std::size_t HeldBytes() const { return this->bytes.Held(); }
  /// Held bytes that cannot be dropped for room.
  std::size_t UnevictableBytes() const {
    return this->bytes.Held() - this->delivered_bytes;
  }
  const std::unordered_map<core::JobId, Job>& All() const { return this->jobs; }

 private:
  /// Drops delivered results until so many bytes fit; false when they do not.
  bool MakeRoom(std::size_t wanted_bytes);

  JobTableLimits limits;
  ByteBudget bytes;
  std::unordered_map<core::JobId, Job> jobs;
  std::size_t ended = 0;
  std::size_t delivered_bytes = 0;
};

}  // namespace hemlockdoor::entry
