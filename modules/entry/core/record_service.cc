#include "modules/entry/core/record_service.h"

#include <algorithm>
#include <utility>

#include "modules/entry/core/attempt_runner.h"
#include "modules/entry/core/caller_service.h"
#include "modules/entry/core/ownership_service.h"

namespace hemlockdoor::entry {

namespace {

namespace status = wire::http_status;

/// Maximum number of times that `kRecordRetryDelay` is doubled between creates.
constexpr int kMaxDelayDoublings = 4;

/// Parses the record in `item`. Returns nothing when `item` is empty, and an
/// error when the record is malformed.
core::Expected<std::optional<FoundRecord>> ParseFound(
    const std::optional<store::KeyValue>& item,
    bool ended) {
  if (!item) {
    return std::optional<FoundRecord>();
  }
  core::Expected<JobRecord> record = JobRecordFromText(item->value);
  if (!record) {
    return tl::unexpected<core::Error>(record.error());
  }
  return std::optional<FoundRecord>(
      FoundRecord{std::move(*record), ended, item->mod_revision});
}

/// Returns true for an error that means that the write took no effect.
bool IsCertainFailure(const core::Error& error) {
  return error.code == core::ErrorCode::kUnavailable ||
         error.code == core::ErrorCode::kResourceExhausted;
}

}  // namespace

std::string RecordService::NewWriteId() {
  return this->context.options.id.Text() + "." +
         std::to_string(this->context.options.incarnation.Number()) + "." +
         std::to_string(++this->writes);
}

bool RecordService::IsOwnWrite(const std::string& write_id) const {
  return write_id.starts_with(
      this->context.options.id.Text() + "." +
      std::to_string(this->context.options.incarnation.Number()) + ".");
}

JobRecord RecordService::MakeRecord(const Job& job,
                                    std::string write_id) const {
  JobRecord record;
  record.description = job.description;
  record.body_hash = job.body_hash;
  record.write_id = std::move(write_id);
  record.holder =
      NeedsOwner(job.description) ? "" : this->context.options.endpoint;
  record.payload_stored = job.payload_stored;
  record.submitted_wall_ms = job.submitted_wall_ms;
  record.cancel_requested = job.cancel_requested;
  record.may_have_run = job.may_have_run;
  record.attempt = job.last_attempt;
  if (job.attempt) {
    record.members = job.attempt->members;
  }
  if (job.outcome) {
    record.outcome = job.outcome;
    record.error = job.error;
    record.result_endpoint = job.result_endpoint;
    if (job.result && job.result->size() <= kMaxStoredResultBytes) {
      record.result = *job.result;
    }
  }
  return record;
}

void RecordService::Create(Job& job) {
  job.phase = JobPhase::kCreatingRecord;
  job.record.write_id = this->NewWriteId();
  this->RenewRetention();
  job.payload_stored =
      job.payload && job.payload->size() <= kMaxStoredPayloadBytes;
  this->SendCreate(job);
}

void RecordService::SendCreate(Job& job) {
  job.record.write_in_flight = true;
  ++job.record.create_attempts;
  ++this->context.record_writes;
  const core::JobId id = job.description.id;
  this->context.Commit(
      MakeCreateTransaction(this->MakeRecord(job, job.record.write_id),
                            job.payload_stored ? job.payload.get() : nullptr),
      [this, id](const core::Expected<store::TransactionResult>& outcome) {
        Job* current = this->context.jobs.Find(id);
        if (current == nullptr) {
          return;
        }
        current->record.write_in_flight = false;
        if (!outcome) {
          this->OnCreateFailed(*current, outcome.error());
          return;
        }
        if (outcome->succeeded) {
          this->OnCreated(*current, outcome->revision);
          return;
        }
        this->Lookup(id, [this, id](const auto& found) {
          Job* again = this->context.jobs.Find(id);
          if (again == nullptr) {
            return;
          }
          if (!found || !*found) {
            this->OnCreateFailed(
                *again, core::Error{core::ErrorCode::kTimeout,
                                    "the store record could not be read",
                                    {}});
            return;
          }
          this->OnRecordExists(*again, **found);
        });
      });
}

void RecordService::OnCreated(Job& job, store::ModRevision revision) {
  job.recorded = true;
  job.record.revision = revision;
  if (job.phase == JobPhase::kCreatingRecord) {
    const core::JobId id = job.description.id;
    this->context.owners->Dispatch(job);
    this->context.callers->AnswerDueWaiters(id);
  } else if (job.phase == JobPhase::kEnded) {
    // The job ended while it was not known whether its record exists, so its
    // end must be recorded now.
    this->SendEnd(job);
  }
}

void RecordService::OnCreateFailed(Job& job, const core::Error& error) {
  const bool took_no_effect = IsCertainFailure(error) && !job.record.in_doubt;
  job.record.in_doubt = job.record.in_doubt || !IsCertainFailure(error);
  const int doublings =
      std::min(job.record.create_attempts, kMaxDelayDoublings);
  job.record.retry_at =
      this->context.now + kRecordRetryDelay * (std::int64_t{1} << doublings);
  if (job.phase != JobPhase::kCreatingRecord) {
    return;
  }
  if (took_no_effect && !job.description.repeatable) {
    job.durable = false;
    this->context.attempts->Refuse(
        job, {status::kUnavailable, "store-unavailable",
              "The job was not run: the store is not available, and a job with "
              "\"repeatable\": false needs a store record. Retry with the same "
              "Idempotency-Key after the time in Retry-After.",
              core::Duration::Seconds(2), model::JobOutcome::kNotRun,
              job.description.id});
    // The caller may use the idempotency key again at once.
    this->context.jobs.Remove(core::JobId(job.description.id));
    return;
  }
  if (took_no_effect || job.record.create_attempts >= kMaxCreateAttempts) {
    if (job.description.repeatable) {
      // `OnTick` retries the create until the store answers.
      this->DispatchWithoutRecord(job);
      return;
    }
    this->context.callers->AnswerWaiters(
        job,
        MakeProblemResponse(
            {status::kUnavailable, "acceptance-in-doubt",
             "The store did not confirm whether it recorded the job. Repeat "
             "the same request with the same Idempotency-Key to find out.",
             core::Duration::Seconds(2), std::nullopt, job.description.id}));
  }
}

void RecordService::OnRecordExists(Job& job, const FoundRecord& found) {
  const JobRecord& record = found.record;
  if (!found.ended && record.write_id == job.record.write_id) {
    this->OnCreated(job, found.revision);
    return;
  }
  if (job.phase != JobPhase::kCreatingRecord) {
    // Another entry created the record while this entry ran the job without
    // one.
    job.durable = false;
    return;
  }
  if (record.body_hash != job.body_hash ||
      record.description.organisation != job.description.organisation) {
    this->context.callers->AnswerWaiters(
        job, MakeProblemResponse(
                 {status::kUnprocessable,
                  "idempotency-key-reused",
                  "The Idempotency-Key was used before with a different "
                  "request body. Use a new key for a new job.",
                  {},
                  std::nullopt,
                  {}}));
    this->context.jobs.Remove(core::JobId(job.description.id));
    return;
  }
  job.recorded = true;
  job.record.revision = found.revision;
  if (found.ended) {
    this->FinalizeFromRecord(job, record);
  } else {
    job.last_attempt = record.attempt;
    job.may_have_run = record.may_have_run || record.attempt.Number() > 0;
    this->context.owners->Follow(job, record.holder);
  }
}

void RecordService::FinalizeFromRecord(Job& job, const JobRecord& record) {
  job.outcome = record.outcome.value_or(model::JobOutcome::kUnknown);
  job.error = record.error;
  job.last_attempt = record.attempt;
  job.result_endpoint = record.result_endpoint;
  job.recorded = true;
  this->context.attempts->RemoveFromScheduler(job, *job.outcome, std::nullopt);
  if (job.outcome == model::JobOutcome::kDone &&
      record.result_endpoint.empty()) {
    if (!this->context.jobs.AttachResult(
            job, std::make_shared<const std::string>(record.result))) {
      job.result_in_store = true;
    }
  }
  if (job.phase != JobPhase::kEnded) {
    this->context.attempts->Finalize(job);
  }
}

void RecordService::RecordAttempt(
    Job& job,
    std::function<void(const core::JobId&)> next) {
  job.phase = JobPhase::kRecordingAttempt;
  job.record.write_id = this->NewWriteId();
  this->RenewRetention();
  this->SendAttempt(job, std::move(next));
}

void RecordService::SendAttempt(Job& job,
                                std::function<void(const core::JobId&)> next) {
  job.record.write_in_flight = true;
  ++this->context.record_writes;
  const core::JobId id = job.description.id;
  const core::AttemptNumber number = job.last_attempt;
  this->context.Commit(
      MakeUpdateTransaction(this->MakeRecord(job, job.record.write_id),
                            job.record.revision.value_or(store::ModRevision())),
      [this, id, number, next = std::move(next)](
          const core::Expected<store::TransactionResult>& outcome) {
        Job* current = this->context.jobs.Find(id);
        if (current == nullptr) {
          return;
        }
        current->record.write_in_flight = false;
        const bool is_current = AttemptRunner::IsCurrent(
            current, number, JobPhase::kRecordingAttempt);
        if (outcome && outcome->succeeded) {
          current->record.revision = outcome->revision;
          if (is_current) {
            next(id);
          }
          return;
        }
        if (!is_current) {
          return;
        }
        if (outcome || outcome.error().code == core::ErrorCode::kTimeout) {
          this->OnAttemptConflict(*current, next);
        } else if (current->description.repeatable) {
          // While the store is down, no other entry can take over the record,
          // so the attempt may start.
          next(id);
        } else {
          // Nothing was written and nothing was sent to an agent. The job is
          // queued again to wait for the store.
          this->context.attempts->RemoveFromScheduler(
              *current, model::JobOutcome::kNotRun, std::nullopt);
          this->context.attempts->Requeue(*current, kRecordRetryDelay);
        }
      });
}

void RecordService::OnAttemptConflict(
    Job& job,
    std::function<void(const core::JobId&)> next) {
  const core::JobId id = job.description.id;
  const core::AttemptNumber number = job.last_attempt;
  this->Lookup(id, [this, id, number,
                    next = std::move(next)](const auto& found) {
    Job* current = this->context.jobs.Find(id);
    if (!AttemptRunner::IsCurrent(current, number,
                                  JobPhase::kRecordingAttempt)) {
      return;
    }
    if (!found) {
      // The write may have taken effect, but nothing was sent to an agent yet,
      // so the job may be queued again.
      this->context.attempts->RemoveFromScheduler(
          *current, model::JobOutcome::kNotRun, std::nullopt);
      this->context.attempts->Requeue(*current, kRecordRetryDelay);
      return;
    }
    if (!*found) {
      this->context.Log(observe::LogLevel::kError,
                        "the store record of a placed job was removed",
                        current);
      this->context.attempts->RemoveFromScheduler(
          *current, model::JobOutcome::kNotRun, std::nullopt);
      current->recorded = false;
      this->context.attempts->End(*current, model::JobOutcome::kNotRun,
                                  "its store record was removed before the job "
                                  "started");
      return;
    }
    const FoundRecord& present = **found;
    if (present.ended) {
      this->FinalizeFromRecord(*current, present.record);
    } else if (present.record.write_id == current->record.write_id) {
      current->record.revision = present.revision;
      next(id);
    } else if (current->record.revision == present.revision ||
               this->IsOwnWrite(present.record.write_id)) {
      // The write took no effect, or an earlier write of this entry did whose
      // answer was lost.
      current->record.revision = present.revision;
      this->context.attempts->RemoveFromScheduler(
          *current, model::JobOutcome::kNotRun, std::nullopt);
      this->context.attempts->Requeue(*current, kRecordRetryDelay);
    } else {
      // Another entry has taken the job over.
      this->context.attempts->RemoveFromScheduler(
          *current, model::JobOutcome::kNotRun, std::nullopt);
      current->attempt.reset();
      current->record.revision = present.revision;
      this->context.owners->Follow(*current, present.record.holder);
    }
  });
}

void RecordService::RecordEnd(Job& job) {
  job.record.write_id = this->NewWriteId();
  if (job.record.write_in_flight) {
    // An earlier write is still in flight. Its answer provides the version to
    // compare with.
    job.record.retry_at = this->context.now;
    return;
  }
  this->SendEnd(job);
}

void RecordService::SendEnd(Job& job) {
  this->RenewRetention();
  if (!this->retention) {
    // A record without a lease would never be deleted.
    job.record.retry_at = this->context.now;
    return;
  }
  if (job.result && job.result->size() > kMaxStoredResultBytes && job.attempt) {
    job.result_endpoint = job.attempt->members.front().place.endpoint;
  }
  job.record.write_in_flight = true;
  ++this->context.record_writes;
  const core::JobId id = job.description.id;
  this->context.Commit(
      MakeEndTransaction(this->MakeRecord(job, job.record.write_id),
                         job.record.revision.value_or(store::ModRevision()),
                         this->retention),
      [this, id](const core::Expected<store::TransactionResult>& outcome) {
        Job* current = this->context.jobs.Find(id);
        if (current == nullptr) {
          return;
        }
        current->record.write_in_flight = false;
        if (outcome && outcome->succeeded) {
          if (current->phase == JobPhase::kRecordingEnd) {
            this->context.attempts->Finalize(*current);
          }
          return;
        }
        if (!outcome && outcome.error().code == core::ErrorCode::kNotFound) {
          this->DropRetention();
        }
        if (current->phase != JobPhase::kRecordingEnd) {
          return;
        }
        if (outcome || outcome.error().code == core::ErrorCode::kTimeout) {
          this->OnEndConflict(*current);
          return;
        }
        current->record.retry_at = this->context.now + kRecordRetryDelay;
        this->AnswerBeforeEndIsRecorded(*current);
      });
}

void RecordService::AnswerBeforeEndIsRecorded(Job& job) {
  // The end is known and the agent keeps the result until the record is
  // written, so callers need not wait for the store.
  const JobPhase phase = std::exchange(job.phase, JobPhase::kEnded);
  this->context.callers->AnswerWaiters(job);
  job.phase = phase;
  for (const RequestId request : job.result_requests) {
    this->context.AnswerProblem(
        request, {status::kUnavailable,
                  "not-recorded",
                  "The end of the job is not recorded yet; keep the result.",
                  core::Duration::Seconds(1),
                  std::nullopt,
                  {}});
  }
  job.result_requests.clear();
}

void RecordService::OnEndConflict(Job& job) {
  const core::JobId id = job.description.id;
  job.record.write_in_flight = true;
  this->Lookup(id, [this, id](const auto& found) {
    Job* current = this->context.jobs.Find(id);
    if (current == nullptr) {
      return;
    }
    current->record.write_in_flight = false;
    if (current->phase != JobPhase::kRecordingEnd) {
      return;
    }
    current->record.retry_at = this->context.now + kRecordRetryDelay;
    if (!found) {
      this->AnswerBeforeEndIsRecorded(*current);
      return;
    }
    if (!*found) {
      // There is neither an open nor an ended record, so there is nothing left
      // to record.
      this->context.attempts->Finalize(*current);
      return;
    }
    const FoundRecord& present = **found;
    if (!present.ended) {
      current->record.revision = present.revision;
      current->record.retry_at = this->context.now;
    } else if (present.record.write_id == current->record.write_id) {
      this->context.attempts->Finalize(*current);
    } else {
      // The first recorded end wins, so that all callers get the same outcome.
      this->context.jobs.DropResult(*current);
      this->FinalizeFromRecord(*current, present.record);
    }
  });
}

void RecordService::Lookup(const core::JobId& id, OnFound done) {
  ++this->context.record_reads;
  this->context.Read(
      OpenKey(id), [this, id, done = std::move(done)](const auto& open) {
        if (!open) {
          done(tl::unexpected<core::Error>(open.error()));
          return;
        }
        if (open->has_value()) {
          done(ParseFound(*open, false));
          return;
        }
        ++this->context.record_reads;
        this->context.Read(EndedKey(id), [done](const auto& ended) {
          if (!ended) {
            done(tl::unexpected<core::Error>(ended.error()));
            return;
          }
          done(ParseFound(*ended, true));
        });
      });
}

void RecordService::LoadPayload(Job& job) {
  const core::JobId id = job.description.id;
  const core::AttemptNumber number = job.last_attempt;
  job.phase = JobPhase::kLoadingPayload;
  ++this->context.record_reads;
  this->context.Read(PayloadKey(id), [this, id, number](const auto& item) {
    Job* current = this->context.jobs.Find(id);
    if (!AttemptRunner::IsCurrent(current, number, JobPhase::kLoadingPayload)) {
      return;
    }
    if (item && !item->has_value()) {
      this->context.attempts->Refuse(
          *current,
          {status::kUnavailable, "payload-lost",
           "The job was not run: its payload was lost with the entry "
           "that accepted it. Submit it again with a new "
           "Idempotency-Key.",
           core::Duration::Seconds(1), model::JobOutcome::kNotRun, id});
      return;
    }
    const bool attached =
        item &&
        this->context.jobs.AttachPayload(
            *current, std::make_shared<const std::string>((*item)->value));
    if (attached) {
      this->context.attempts->ContinueStart(*current);
      return;
    }
    this->context.attempts->RemoveFromScheduler(
        *current, model::JobOutcome::kNotRun, std::nullopt);
    this->context.attempts->Requeue(*current, kRecordRetryDelay);
  });
}

void RecordService::RenewRetention() {
  if (this->retention_call_open || this->context.now < this->retention_until) {
    return;
  }
  this->retention_call_open = true;
  this->context.Grant(kRecordRetention + kRetentionPeriod,
                      [this](const core::Expected<store::LeaseId>& lease) {
                        this->retention_call_open = false;
                        if (lease) {
                          this->retention = *lease;
                          this->retention_until =
                              this->context.now + kRetentionPeriod;
                        }
                      });
}

void RecordService::DropRetention() {
  this->retention.reset();
  this->retention_until = core::TimePoint();
}

void RecordService::DispatchWithoutRecord(Job& job) {
  const core::JobId id = job.description.id;
  this->context.owners->Dispatch(job);
  this->context.callers->AnswerDueWaiters(id);
}

void RecordService::OnTick(Job& job) {
  const bool waits_for_store = job.phase == JobPhase::kCreatingRecord &&
                               job.description.urgent &&
                               job.description.repeatable;
  if (waits_for_store &&
      this->context.now >= job.submitted_at + kUrgentRecordTimeout) {
    this->DispatchWithoutRecord(job);
    return;
  }
  if (job.record.write_in_flight || this->context.now < job.record.retry_at) {
    return;
  }
  if (job.phase == JobPhase::kRecordingEnd) {
    this->SendEnd(job);
    return;
  }
  const bool create_due = job.durable && !job.recorded &&
                          job.phase != JobPhase::kEnded &&
                          job.record.create_attempts > 0;
  if (create_due) {
    this->SendCreate(job);
  }
}

}  // namespace hemlockdoor::entry
