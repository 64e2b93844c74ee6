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

/// State of a job in this entry.
enum class JobPhase {
  kCreatingRecord,    ///< The store record is being created.
  kDelayed,           ///< Is submitted to the scheduler at `resume_at`.
  kQueued,            ///< Waits in the scheduler's queue.
  kLoadingPayload,    ///< Placed; the payload is read from the store.
  kRecordingAttempt,  ///< Placed; the attempt is written to the store.
  kReserving,         ///< Gang: `reserve` was sent to members.
  kReleasing,         ///< Gang: reservations are being released.
  kStarting,          ///< `run` or `commit` was sent; no answer yet.
  kRunning,           ///< The attempt has started.
  kResolving,         ///< An agent is queried about the attempt.
  kRecordingEnd,      ///< The end is being written to the store.
  kFollowing,         ///< Another entry holds the job; this one follows it.
  kEnded,             ///< The outcome is final.
};

/// One member of an attempt.
struct AttemptMember {
  model::GangMember place;
  /// Latest start time, on the agent's clock.
  core::TimePoint start_not_after;
  /// Time on this entry's clock at which the agent's clock has certainly passed
  /// `start_not_after`.
  core::TimePoint cannot_start_after;
  /// Number of times that `run` or `reserve` was sent.
  int sends = 0;
  /// A copy of the request may still be in flight or in effect.
  bool in_doubt = false;
  bool granted = false;
  bool released = false;
  /// The end of this member was reported.
  bool ended = false;
};

/// One attempt to run a job.
struct Attempt {
  core::AttemptNumber number;
  std::vector<AttemptMember> members;
  /// `commit` was sent to the lead of a gang, or `run` to the agent of a single
  /// task.
  bool start_sent = false;
  /// Result of member 0; null until it is reported.
  SharedBody result;
  /// The agent to which a refusal, failure or loss is attributed, if any.
  std::optional<core::AgentId> failed_agent;
  /// Reset to 0 when the queries about the attempt begin. Queries without an
  /// answer are not counted at present.
  int failed_queries = 0;
  /// When the agent was found to be lost.
  std::optional<core::TimePoint> agent_lost_since;
  core::TimePoint started_at;
};

/// A request that waits for the end of a job.
struct Waiter {
  RequestId request;
  /// Time at which the request is answered 202 when the job has not ended.
  core::TimePoint until;
};

/// State of the writes to the store record of a job.
struct RecordState {
  /// Version of `open/ID`; nothing while no write is known to have succeeded.
  std::optional<store::ModRevision> revision;
  /// Identifies the last write, to recognise it in the store after a lost
  /// answer.
  std::string write_id;
  /// A write, or the read that resolves a failed end write, is in flight.
  bool write_in_flight = false;
  /// Number of create requests sent.
  int create_attempts = 0;
  /// The answer to a create was lost, so the record may exist.
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
  /// The caller gave an idempotency key and may repeat the request with it.
  bool has_key = false;
  JobPhase phase = JobPhase::kQueued;
  core::TimePoint submitted_at;
  /// Wall clock time of the submission, for records.
  std::int64_t submitted_wall_ms = 0;
  /// Deadline on this entry's clock, if the job has one.
  std::optional<core::TimePoint> deadline;
  core::TimePoint resume_at;

  /// The job has, or is to get, a store record.
  bool durable = false;
  /// The record is known to exist.
  bool recorded = false;
  /// The store has the payload.
  bool payload_stored = false;
  RecordState record;
  /// Internal endpoint of the entry that handed the job over and waits for its
  /// end; empty when there is none.
  std::string reply_to;
  /// In phase `kFollowing`: endpoint of the entry that holds the job; empty
  /// when it is unknown.
  std::string followed_endpoint;
  bool follow_call_open = false;
  int follow_failures = 0;
  /// The planning owner answered the handover with 202.
  bool handed_over = false;
  /// A handover got no answer, so the planning owner may have accepted it.
  bool handover_in_doubt = false;

  std::optional<Attempt> attempt;
  core::AttemptNumber last_attempt;
  /// An attempt has started or may have started.
  bool may_have_run = false;
  int refusals = 0;
  /// Number of attempts that started and failed.
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
  /// Requests that delivered the result. They are answered when the end is
  /// recorded.
  std::vector<RequestId> result_requests;
  std::optional<model::JobOutcome> outcome;
  /// HTTP status, problem type and text of an outcome other than kDone.
  int problem_status = 0;
  std::string problem_type;
  std::string error;
  core::Duration retry_after;
  /// Result of outcome kDone, when this entry holds it.
  SharedBody result;
  std::size_t result_bytes = 0;
  /// A caller or another entry has received the result.
  bool delivered = false;
  /// Endpoint of the agent that keeps the result, when the result is too large
  /// for this entry's byte budget or for the record.
  std::string result_endpoint;
  /// The result did not fit into the byte budget of this entry; the record
  /// contains it.
  bool result_in_store = false;
  /// Members whose agents get an acknowledgement when they may drop the result.
  std::vector<AttemptMember> unacknowledged;
  core::AttemptNumber ended_attempt;
  core::TimePoint ended_at;
};

/// Limits of a job table.
struct JobTableLimits {
  /// Maximum number of jobs that have not ended.
  std::size_t max_open = 20'000;
  /// Maximum number of ended jobs that are kept for queries.
  std::size_t max_ended = 20'000;
  /// Maximum total bytes of payloads and results.
  std::size_t max_bytes = 12U * 1024U * 1024U;
};

/// All jobs of one entry, with limits on their number and their bytes.
class JobTable {
 public:
  explicit JobTable(const JobTableLimits& table_limits)
      : limits(table_limits), bytes(table_limits.max_bytes) {}

  /// Adds a job and takes the bytes of its payload from the budget. Fails with
  /// kResourceExhausted when the table or the byte budget is full, and with
  /// kConflict when the id is in use. The pointer stays valid until the job is
  /// removed.
  core::Expected<Job*> Add(Job job);
  /// Returns the job, or null.
  Job* Find(const core::JobId& id);
  /// Sets the payload of a job, replacing a previous one. Returns false, and
  /// leaves the job without a payload, when the byte budget has no room.
  bool AttachPayload(Job& job, SharedBody payload);
  /// Returns true when a result of this job fits once the job's payload has
  /// been dropped. Drops delivered results of ended jobs to make room, oldest
  /// job first.
  bool MakeRoomForResult(const Job& job, std::size_t result_bytes);
  /// Sets the result of a job, replacing a previous one. Returns false, and
  /// leaves the job without a result, when the byte budget has no room.
  bool AttachResult(Job& job, SharedBody result);
  /// Drops the payload, which no further attempt may need, and frees its bytes.
  void DropPayload(Job& job);
  void DropResult(Job& job);
  /// Marks the result as received by a caller or another entry, so that it may
  /// be dropped to make room.
  void MarkDelivered(Job& job);
  /// Marks a job as ended. It counts towards the limit on ended jobs from then
  /// on.
  void MarkEnded(Job& job, core::TimePoint now);
  void Remove(const core::JobId& id);

  /// Returns the ids of all jobs that have not ended, in ascending order.
  std::vector<core::JobId> OpenIds() const;
  /// Returns the ids of jobs that ended before `limit`, and of the oldest ended
  /// jobs in excess of `JobTableLimits::max_ended`.
  std::vector<core::JobId> Removable(core::TimePoint limit) const;
  std::size_t OpenCount() const { return this->jobs.size() - this->ended; }
  std::size_t HeldBytes() const { return this->bytes.Held(); }
  /// Returns the bytes of payloads and of results that have not been delivered.
  /// They cannot be freed by dropping delivered results.
  std::size_t UnevictableBytes() const {
    return this->bytes.Held() - this->delivered_bytes;
  }
  const std::unordered_map<core::JobId, Job>& All() const { return this->jobs; }

 private:
  /// Drops delivered results until `wanted_bytes` fit into the byte budget.
  /// Returns false when they still do not fit.
  bool MakeRoom(std::size_t wanted_bytes);

  JobTableLimits limits;
  ByteBudget bytes;
  std::unordered_map<core::JobId, Job> jobs;
  std::size_t ended = 0;
  std::size_t delivered_bytes = 0;
};

}  // namespace hemlockdoor::entry
