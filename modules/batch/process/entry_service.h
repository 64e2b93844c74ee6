// Requests of callers and of other instances to an entry.
#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "modules/batch/planner/admission.h"
#include "modules/batch/process/outage_hold.h"
#include "modules/batch/process/planner_service.h"
#include "modules/batch/process/refusal_store.h"
#include "modules/batch/process/refused_jobs.h"
#include "modules/model/model.h"

namespace hemlockdoor::batch {

/// Result of a submission.
enum class SubmitResult {
  kAccepted,   ///< Stored by this submission or an earlier one.
  kNotStored,  ///< Certainly not stored: the job will never run.
  kUnknown,    ///< May be stored; the caller retries with the same id.
  kConflict,   ///< The id belongs to another organisation's job.
  kRejected,   ///< Not admitted and not stored; see `RefusalStore`.
};

/// Result of a cancellation.
enum class CancelResult {
  kCancelled,
  kNoSuchJob,
  kNotAllowed,  ///< The job belongs to others.
  kUnavailable,
};

/// Reason why the state of a job could not be determined.
enum class LookupError { kNoSuchJob, kUnavailable };

/// Executes callers' requests on the store and the planner. Belongs to one Qt
/// event loop; callbacks run on its thread.
template <store::KeyValueStore Store>
class EntryService {
 public:
  EntryService(PlannerServiceOptions options, Store& store_adapter)
      : adapter(store_adapter),
        planning(std::move(options), store_adapter),
        refusals(store_adapter) {}

  PlannerService<Store>& Planning() { return this->planning; }

  /// Decides whether the job is worth accepting. Sets the time of the caller's
  /// first request if this entry has rejected the job before.
  AdmissionDecision Admit(JobRecord& record) {
    const core::TimePoint now = core::Clock::Now();
    if (const RefusedJob* refused =
            this->refused_jobs.Find(record.spec.id, now)) {
      record.first_attempt_wall_ms = refused->first_attempt_wall_ms;
    }
    if (const RoomSummary* own = this->planning.Room()) {
      return DecideAdmission(own, core::Duration(), record);
    }
    return DecideAdmission(this->room ? &*this->room : nullptr,
                           now - this->room_received, record);
  }

  /// Refuses the job as `decision` says, unless it is stored already or the
  /// refusal cannot be stored; then it is submitted. A job that `done` reports
  /// as rejected is not stored, and no earlier request can store it any more.
  void Refuse(std::shared_ptr<const JobRecord> record,
              const AdmissionDecision& decision,
              core::TimePoint deadline,
              std::function<void(SubmitResult)> done) {
    const std::int64_t first_attempt_wall_ms =
        record->first_attempt_wall_ms == 0 ? record->accepted_wall_ms
                                           : record->first_attempt_wall_ms;
    this->refusals.Refuse(
        record->spec.id, first_attempt_wall_ms,
        [this, record, decision, deadline, first_attempt_wall_ms,
         done = std::move(done)](
            const core::Expected<store::TransactionResult>& outcome) {
          if (!outcome || !outcome->succeeded) {
            this->Submit(record, deadline, done);
            return;
          }
          this->planning.OnRevisionSeen(outcome->revision);
          this->refused_jobs.Remember(
              record->spec.id, {first_attempt_wall_ms, outcome->revision},
              core::Clock::Now());
          LogRejection(*record, decision);
          done(SubmitResult::kRejected);
        });
  }

  /// Stores the job. Retries the commit until `deadline` while its outcome is
  /// unknown, and for the time of `OutageHoldEnd` while the store is away. The
  /// commit requires that the job's key does not exist, so at most one attempt
  /// takes effect.
  void Submit(std::shared_ptr<const JobRecord> record,
              core::TimePoint deadline,
              std::function<void(SubmitResult)> done) {
    const core::TimePoint now = core::Clock::Now();
    core::TimePoint hold_end = now;
    if constexpr (requires { this->adapter.OutageDuration(now); }) {
      hold_end =
          OutageHoldEnd(this->adapter.OutageDuration(now), deadline, now);
    }
    const RefusedJob* refused = this->refused_jobs.Find(record->spec.id, now);
    const store::ModRevision refusal =
        refused == nullptr ? store::ModRevision() : refused->revision;
    this->TrySubmit({std::move(record), deadline, hold_end, refusal,
                     this->planning.SeenRevision(), std::move(done)},
                    false);
  }

  using AccessCheck = std::function<bool(const JobOwner&)>;

  /// Stores the cancellation of the job if `may_access` returns true for its
  /// owner. `done` gets kNoSuchJob when the job does not exist.
  void Cancel(const core::JobId& job,
              AccessCheck may_access,
              std::function<void(CancelResult)> done) {
    this->adapter.Get(
        store_keys::JobKey(job),
        [this, job, may_access = std::move(may_access), done = std::move(done)](
            const core::Expected<std::optional<store::KeyValue>>& item) {
          if (!item) {
            done(CancelResult::kUnavailable);
            return;
          }
          if (!*item) {
            done(CancelResult::kNoSuchJob);
            return;
          }
          const core::Expected<JobRecord> record =
              JobRecordFromText((*item)->value);
          if (!record || !may_access(record->Owner())) {
            done(CancelResult::kNotAllowed);
            return;
          }
          this->StoreCancellation(job, done);
        });
  }

  /// Looks up the state of the job at the planner, and in the store when no
  /// planner answers or the planner does not know the job.
  void FindState(
      const core::JobId& job,
      std::function<void(tl::expected<OwnedState, LookupError>)> done) {
    const auto answer =
        [this, job, done = std::move(done)](std::optional<OwnedState> state) {
          if (state) {
            done(*state);
          } else {
            this->ReadState(job, done);
          }
        };
    if (this->planning.Active() != nullptr) {
      this->planning.FindState(job, answer);
      return;
    }
    this->CallRemotePlanner(
        internal_api::kState + std::string("?") + job.Text(),
        [this, answer](std::optional<std::string> text) {
          std::string room_text;
          answer(text ? OwnedStateFromText(*text, room_text) : std::nullopt);
          this->OnRoomReceived(room_text);
        });
  }

  /// Counts the jobs that wait in the queue; `done` gets nothing when no
  /// planner answers.
  void CountWaiting(const QueueName& queue,
                    std::function<void(std::optional<std::size_t>)> done) {
    this->AskPlanner(
        internal_api::kWaiting + std::string("?") + queue.Text(),
        [queue](Planner& planner) -> std::optional<std::string> {
          return std::to_string(planner.CountWaitingJobs(queue));
        },
        [done = std::move(done)](std::optional<std::string> text) {
          done(text ? std::optional<std::size_t>(
                          std::strtoull(text->c_str(), nullptr, 10))
                    : std::nullopt);
        });
  }

  /// Answers a call of another instance. Returns false, without an answer, when
  /// the path is not an internal one.
  bool HandleInternal(const wire::HttpRequest& request,
                      const wire::HttpResponder& responder) {
    wire::HttpResponse response;
    if (request.path == internal_api::kReport) {
      response = this->AnswerReport(request);
    } else if (request.path == internal_api::kSubmitted) {
      const core::Expected<JobRecord> record = JobRecordFromText(request.body);
      if (record) {
        this->planning.OnSubmitted(*record, RevisionFromQuery(request.query));
      }
      response.status =
          record ? wire::http_status::kOk : wire::http_status::kBadRequest;
      response.body = this->RoomTextFor(request);
    } else if (request.path == internal_api::kCancelled) {
      this->planning.OnCancelled(core::JobId(request.body));
    } else if (request.path == internal_api::kState) {
      this->AnswerState(core::JobId(request.query), this->RoomTextFor(request),
                        responder);
      return true;
    } else if (request.path == internal_api::kWaiting) {
      response = this->AnswerFromPlanner(
          [&request](Planner& planner) -> std::optional<std::string> {
            return std::to_string(
                planner.CountWaitingJobs(QueueName(request.query)));
          });
    } else if (request.path == internal_api::kExplain) {
      this->AnswerExplain(request, responder);
      return true;
    } else {
      return false;
    }
    responder.Respond(std::move(response));
    return true;
  }

  static std::string StateText(JobState state) {
    switch (state) {
      case JobState::kQueued:
        return "queued";
      case JobState::kRunning:
        return "running";
      case JobState::kCompleted:
        return "completed";
      case JobState::kFailed:
        return "failed";
      case JobState::kCancelled:
        break;
    }
    return "cancelled";
  }

 private:
  using Query = std::function<std::optional<std::string>(Planner&)>;
  using TextDone = std::function<void(std::optional<std::string>)>;

  /// Timeout of calls to the planner, which answers from memory.
  static constexpr core::Duration kPlannerTimeout =
      core::Duration::Milliseconds(400);
  /// Timeout of a forwarded call for an explanation, which takes the planner
  /// about as long as a decision.
  static constexpr core::Duration kExplainTimeout = core::Duration::Seconds(2);
  /// Shortest time between two requests for a summary.
  static constexpr core::Duration kRoomRequestInterval =
      core::Duration::Seconds(1);
  static constexpr core::Duration kCommitRetryDelay =
      core::Duration::Milliseconds(100);

  static std::optional<JobState> StateFromText(const std::string& text) {
    for (const JobState state :
         {JobState::kQueued, JobState::kRunning, JobState::kCompleted,
          JobState::kFailed, JobState::kCancelled}) {
      if (StateText(state) == text) {
        return state;
      }
    }
    return std::nullopt;
  }

  /// Returns the target of the call that tells the planner of a record that
  /// was stored at `revision`.
  static std::string SubmittedTarget(store::ModRevision revision) {
    return internal_api::kSubmitted + std::string("?") +
           std::to_string(revision.Number());
  }
  /// Returns the revision that `SubmittedTarget` put into the query. Without
  /// one the planner ignores the record, and learns of the job by its watch.
  static store::ModRevision RevisionFromQuery(const std::string& query) {
    return store::ModRevision(std::strtoull(query.c_str(), nullptr, 10));
  }

  /// Encodes and decodes the planner's answer to another entry. An entry that
  /// cannot decode it reads the state from the store.
  static std::string OwnedStateText(const OwnedState& state,
                                    const std::string& room_text) {
    nlohmann::json document = {
        {"state", StateText(state.state)},
        {"organisation", state.owner.organisation.Text()},
        {"queue", state.owner.queue.Text()}};
    if (!room_text.empty()) {
      document["room"] = room_text;
    }
    return model::DumpJson(document);
  }
  /// Sets `room_text` to the summary in the answer, if there is one.
  static std::optional<OwnedState> OwnedStateFromText(const std::string& text,
                                                      std::string& room_text) {
    constexpr std::size_t kMaxRoomBytes = 64U * 1024U;
    const core::Expected<nlohmann::json> document = model::ParseJson(text);
    if (!document || !document->is_object()) {
      return std::nullopt;
    }
    model::JsonReader reader(*document, "$");
    const std::optional<JobState> state =
        StateFromText(reader.RequiredString("state"));
    const core::OrganisationId organisation(
        reader.RequiredString("organisation"));
    const QueueName queue(reader.RequiredString("queue"));
    room_text = reader.OptionalString("room", {}, kMaxRoomBytes);
    if (!state || !reader.FinishLenient()) {
      return std::nullopt;
    }
    return OwnedState{*state, {organisation, queue}};
  }

  struct Submission {
    std::shared_ptr<const JobRecord> record;
    core::TimePoint deadline;
    /// Until this time the commit is tried again although it certainly had no
    /// effect.
    core::TimePoint hold_end;
    /// Revision of the refusal that the request replaces; 0 if none.
    store::ModRevision refusal;
    /// Highest revision of the store that was known when the request arrived.
    store::ModRevision seen_revision;
    std::function<void(SubmitResult)> done;
  };

  void TrySubmit(Submission submission, bool may_be_stored) {
    const std::string key = store_keys::JobKey(submission.record->spec.id);
    store::Transaction transaction;
    const std::string refusal_key =
        store_keys::RefusalKey(submission.record->spec.id);
    transaction.compares = {{key, store::ModRevision()},
                            {refusal_key, submission.refusal}};
    transaction.writes = {{key, ToText(*submission.record), std::nullopt}};
    if (submission.refusal != store::ModRevision()) {
      transaction.writes.push_back({refusal_key, std::nullopt, std::nullopt});
    }
    this->adapter.Commit(
        transaction,
        [this, submission = std::move(submission), may_be_stored](
            const core::Expected<store::TransactionResult>& outcome) mutable {
          if (outcome && outcome->succeeded) {
            this->planning.OnRevisionSeen(outcome->revision);
            const JobRecord& record = *submission.record;
            this->NotifyPlanner(SubmittedTarget(outcome->revision),
                                ToText(record));
            this->planning.OnSubmitted(record, outcome->revision);
            submission.done(SubmitResult::kAccepted);
          } else if (outcome) {
            this->CompareStored(std::move(submission), may_be_stored);
          } else {
            const bool lost = may_be_stored ||
                              outcome.error().code == core::ErrorCode::kTimeout;
            if (lost && !may_be_stored) {
              LogSubmission(*submission.record, "submit_in_doubt",
                            outcome.error().message);
            }
            this->HandleSubmitFailure(std::move(submission), lost,
                                      outcome.error().message);
          }
        });
  }

  static void LogSubmission(const JobRecord& record,
                            const char* event,
                            const std::string& message) {
    observe::LogContext log_context;
    log_context.job = record.spec.id;
    observe::Log(observe::LogLevel::kInfo, message, log_context,
                 {{"event", event}});
  }

  void HandleSubmitFailure(Submission submission,
                           bool may_be_stored,
                           const std::string& failure) {
    const core::TimePoint next = core::Clock::Now() + kCommitRetryDelay;
    const core::TimePoint last =
        may_be_stored ? submission.deadline : submission.hold_end;
    if (next >= last) {
      LogSubmission(*submission.record,
                    may_be_stored ? "submit_unknown" : "submit_not_stored",
                    failure);
      submission.done(may_be_stored ? SubmitResult::kUnknown
                                    : SubmitResult::kNotStored);
      return;
    }
    wire::RunLater(
        &this->context, kCommitRetryDelay,
        [this, submission = std::move(submission), may_be_stored]() mutable {
          this->TrySubmit(std::move(submission), may_be_stored);
        });
  }

  /// Handles a commit whose conditions did not hold: the same job was stored
  /// before, the id belongs to another organisation's job, or the job was
  /// refused.
  void CompareStored(Submission submission, bool may_be_stored) {
    const std::string key = store_keys::JobKey(submission.record->spec.id);
    this->adapter.Get(
        key, [this, submission = std::move(submission), may_be_stored](
                 const core::Expected<std::optional<store::KeyValue>>& item) {
          const auto& [record, done] =
              std::tie(submission.record, submission.done);
          if (!item) {
            done(SubmitResult::kUnknown);
            return;
          }
          if (!*item) {
            this->CompareRefusal(submission, may_be_stored);
            return;
          }
          const core::Expected<JobRecord> stored =
              JobRecordFromText((*item)->value);
          const bool same =
              stored && stored->organisation == record->organisation;
          LogSubmission(*record, "submit_read_back",
                        same ? "the job was stored before"
                             : "the id belongs to another organisation");
          done(same ? SubmitResult::kAccepted : SubmitResult::kConflict);
        });
  }

  /// Handles a commit whose conditions did not hold although the job is not
  /// stored. A refusal that was stored before the request arrived is replaced:
  /// the caller asks again. A later one holds: the caller left this entry and
  /// was told elsewhere that the job was refused.
  void CompareRefusal(Submission submission, bool may_be_stored) {
    const std::string key = store_keys::RefusalKey(submission.record->spec.id);
    this->adapter.Get(
        key, [this, submission = std::move(submission), may_be_stored](
                 const core::Expected<std::optional<store::KeyValue>>&
                     item) mutable {
          if (!item) {
            submission.done(SubmitResult::kUnknown);
            return;
          }
          const store::ModRevision refusal =
              *item ? (*item)->mod_revision : store::ModRevision();
          if (*item && refusal > submission.seen_revision) {
            LogSubmission(*submission.record, "submit_refused_meanwhile",
                          "the job was refused while its request was handled");
            submission.done(SubmitResult::kRejected);
            return;
          }
          this->Resubmit(std::move(submission), *item, may_be_stored);
        });
  }

  /// Submits the job again in place of the refusal, and with the age that the
  /// refusal states. `refusal` is empty if it has expired.
  void Resubmit(Submission submission,
                const std::optional<store::KeyValue>& refusal,
                bool may_be_stored) {
    if (core::Clock::Now() >= submission.deadline) {
      submission.done(SubmitResult::kUnknown);
      return;
    }
    submission.refusal = store::ModRevision();
    if (refusal) {
      submission.refusal = refusal->mod_revision;
      auto record = std::make_shared<JobRecord>(*submission.record);
      record->first_attempt_wall_ms = FirstAttemptFrom(*refusal);
      submission.record = std::move(record);
    }
    this->TrySubmit(std::move(submission), may_be_stored);
  }

  /// Returns the time that `RefusalStore` stored; 0 if it cannot be read.
  static std::int64_t FirstAttemptFrom(const store::KeyValue& refusal) {
    constexpr int kDecimal = 10;
    return std::max<std::int64_t>(
        0, std::strtoll(refusal.value.c_str(), nullptr, kDecimal));
  }

  static void LogRejection(const JobRecord& record,
                           const AdmissionDecision& decision) {
    observe::ProcessMetrics().CountRefusal(
        decision.reason == AdmissionReason::kTooLate
            ? observe::RefusalLabel::kDeadline
            : observe::RefusalLabel::kNeverRunnable);
    observe::LogContext log_context;
    log_context.job = record.spec.id;
    const auto text = [](core::Duration duration) {
      return std::to_string(duration.InMilliseconds());
    };
    observe::Log(observe::LogLevel::kInfo, NameOf(decision.reason), log_context,
                 {{"event", "job_rejected"},
                  {"queue", record.queue.Text()},
                  {"expected_ms", text(decision.expected)},
                  {"objective_ms", text(decision.objective)},
                  {"job_age_ms", text(record.AgeWhenAccepted())},
                  {"summary_age_ms", text(decision.summary_age)},
                  {"retry_after_ms", text(decision.retry_after)}});
  }

  /// Returns the planner's summary if the request asks for it; otherwise an
  /// empty text.
  std::string RoomTextFor(const wire::HttpRequest& request) {
    const bool is_wanted =
        request.headers.Find(internal_api::kWantsRoomHeader).has_value();
    const RoomSummary* summary = is_wanted ? this->planning.Room() : nullptr;
    return summary == nullptr ? std::string() : ToText(*summary);
  }
  /// Adds to a call to the planner, if it is about a submission or a state,
  /// that its answer should have a summary; at most once in
  /// `kRoomRequestInterval`.
  void RequestRoom(wire::HttpCall& call) {
    const core::TimePoint now = core::Clock::Now();
    const bool is_possible =
        call.target.starts_with(internal_api::kSubmitted) ||
        call.target.starts_with(internal_api::kState);
    if (is_possible && now >= this->next_room_request) {
      this->next_room_request = now + kRoomRequestInterval;
      call.headers.Add(internal_api::kWantsRoomHeader, "1");
    }
  }
  /// Keeps the summary of a planner's answer. One that cannot be decoded is as
  /// good as none.
  void OnRoomReceived(const std::string& text) {
    if (text.empty()) {
      return;
    }
    core::Expected<RoomSummary> summary = RoomSummaryFromText(text);
    if (!summary) {
      observe::Log(
          observe::LogLevel::kWarn,
          "summary not decoded: " + summary.error().message, {},
          {{"event", "room_unreadable"}, {"field", summary.error().path}});
      return;
    }
    this->room = std::move(*summary);
    this->room_received = core::Clock::Now();
  }

  void StoreCancellation(const core::JobId& job,
                         const std::function<void(CancelResult)>& done) {
    store::Transaction transaction;
    transaction.writes = {
        {store_keys::CancellationKey(job), "1", std::nullopt}};
    this->adapter.Commit(
        transaction,
        [this, job, done](const core::Expected<store::TransactionResult>& end) {
          if (!end) {
            done(CancelResult::kUnavailable);
            return;
          }
          this->NotifyPlanner(internal_api::kCancelled, job.Text());
          this->planning.OnCancelled(job);
          done(CancelResult::kCancelled);
        });
  }

  /// Notifies the planner on another entry immediately. A lost notification is
  /// harmless, since the planner also watches the store.
  void NotifyPlanner(const std::string& target, const std::string& body) {
    const std::string planner = this->planning.PlannerEndpoint();
    const core::Expected<wire::Endpoint> endpoint =
        wire::Endpoint::Parse(planner);
    if (!endpoint || this->planning.IsSelf(planner)) {
      return;
    }
    wire::HttpCall call;
    call.endpoint = *endpoint;
    call.method = wire::HttpMethod::kPost;
    call.target = target;
    call.body = body;
    call.timeout = kPlannerTimeout;
    this->RequestRoom(call);
    this->client.Send(
        call, [this](const core::Expected<wire::HttpResponse>& end) {
          if (end && end->status == wire::http_status::kOk) {
            this->OnRoomReceived(end->body);
          } else if (!end) {
            observe::Log(observe::LogLevel::kWarn,
                         "planner not notified: " + end.error().message, {},
                         {{"event", "announce_failed"}});
          }
        });
  }

  void AskPlanner(const std::string& target,
                  const Query& query,
                  TextDone done) {
    if (Planner* active = this->planning.Active()) {
      done(query(*active));
      return;
    }
    this->CallRemotePlanner(target, std::move(done));
  }

  /// Queries the planner on another entry.
  void CallRemotePlanner(const std::string& target, TextDone done) {
    const std::string planner = this->planning.PlannerEndpoint();
    const core::Expected<wire::Endpoint> endpoint =
        wire::Endpoint::Parse(planner);
    if (!endpoint || this->planning.IsSelf(planner)) {
      done(std::nullopt);
      return;
    }
    wire::HttpCall call;
    call.endpoint = *endpoint;
    call.target = target;
    call.timeout = kPlannerTimeout;
    this->RequestRoom(call);
    this->client.Send(call, [done = std::move(done)](
                                const core::Expected<wire::HttpResponse>& end) {
      const bool ok = end && end->status == wire::http_status::kOk;
      done(ok ? std::optional(end->body) : std::nullopt);
    });
  }

  void ReadState(
      const core::JobId& job,
      const std::function<void(tl::expected<OwnedState, LookupError>)>& done) {
    this->adapter.Get(
        store_keys::JobKey(job),
        [this, job,
         done](const core::Expected<std::optional<store::KeyValue>>& item) {
          if (!item || !*item) {
            done(tl::unexpected(item ? LookupError::kNoSuchJob
                                     : LookupError::kUnavailable));
            return;
          }
          // The planner may have missed the job; a repeated notification has no
          // effect.
          this->NotifyPlanner(SubmittedTarget((*item)->mod_revision),
                              (*item)->value);
          const core::Expected<JobRecord> record =
              JobRecordFromText((*item)->value);
          if (!record) {
            done(tl::unexpected(LookupError::kUnavailable));
            return;
          }
          this->ReadProgress(job, record->Owner(), done);
        });
  }

  void ReadProgress(
      const core::JobId& job,
      const JobOwner& owner,
      const std::function<void(tl::expected<OwnedState, LookupError>)>& done) {
    this->adapter.Get(
        store_keys::ProgressKey(job),
        [owner,
         done](const core::Expected<std::optional<store::KeyValue>>& item) {
          if (!item) {
            done(tl::unexpected(LookupError::kUnavailable));
            return;
          }
          if (!*item) {
            done(OwnedState{JobState::kQueued, owner});
            return;
          }
          const core::Expected<ProgressRecord> progress =
              ProgressFromText((*item)->value);
          done(OwnedState{
              progress ? StateOfOutcome(progress->outcome) : JobState::kRunning,
              owner});
        });
  }

  static JobState StateOfOutcome(JobOutcome outcome) {
    switch (outcome) {
      case JobOutcome::kOpen:
        break;
      case JobOutcome::kCompleted:
        return JobState::kCompleted;
      case JobOutcome::kFailed:
        return JobState::kFailed;
      case JobOutcome::kCancelled:
        return JobState::kCancelled;
    }
    return JobState::kRunning;
  }

  wire::HttpResponse AnswerReport(const wire::HttpRequest& request) {
    const core::Expected<AgentReport> report = ReportFromText(request.body);
    wire::HttpResponse response;
    if (!report) {
      response.status = wire::http_status::kBadRequest;
      return response;
    }
    const std::optional<ReportAnswer> answer = this->planning.OnReport(*report);
    if (!answer) {
      return this->NotPlanner();
    }
    response.body = ToText(*answer);
    return response;
  }

  void AnswerState(const core::JobId& job,
                   const std::string& room_text,
                   const wire::HttpResponder& responder) {
    if (this->planning.Active() == nullptr) {
      responder.Respond(this->NotPlanner());
      return;
    }
    this->planning.FindState(
        job, [responder, room_text](std::optional<OwnedState> state) {
          wire::HttpResponse response;
          response.status =
              state ? wire::http_status::kOk : wire::http_status::kNotFound;
          response.body = state ? OwnedStateText(*state, room_text) : "";
          responder.Respond(std::move(response));
        });
  }

  /// Explains a job at the planner, here or on another entry.
  void AnswerExplain(const wire::HttpRequest& request,
                     const wire::HttpResponder& responder) {
    if (request.method != wire::HttpMethod::kPost) {
      wire::HttpResponse response;
      response.status = wire::http_status::kMethodNotAllowed;
      responder.Respond(std::move(response));
      return;
    }
    const core::Expected<ExplainRequest> query =
        ExplainRequestFromText(request.body);
    if (!query) {
      responder.Respond(ExplainRefusal(query.error()));
      return;
    }
    if (Planner* active = this->planning.Active()) {
      const core::Expected<Explanation> explained =
          this->planning.Explain(*active, *query);
      wire::HttpResponse response;
      if (explained) {
        response.body = ToText(*explained);
      } else {
        response = ExplainRefusal(explained.error());
      }
      responder.Respond(std::move(response));
      return;
    }
    const std::string planner = this->planning.PlannerEndpoint();
    const core::Expected<wire::Endpoint> endpoint =
        wire::Endpoint::Parse(planner);
    if (!endpoint || this->planning.IsSelf(planner) ||
        request.headers.Find(internal_api::kForwardedHeader)) {
      responder.Respond(ExplainRefusal(
          {core::ErrorCode::kUnavailable, "there is no planner now", {}}));
      return;
    }
    this->ForwardExplain(*endpoint, request.body, responder);
  }

  void ForwardExplain(const wire::Endpoint& planner,
                      const std::string& body,
                      const wire::HttpResponder& responder) {
    wire::HttpCall call;
    call.endpoint = planner;
    call.method = wire::HttpMethod::kPost;
    call.target = internal_api::kExplain;
    call.body = body;
    call.timeout = kExplainTimeout;
    call.headers.Add(internal_api::kForwardedHeader, "1");
    this->client.Send(
        call, [responder](const core::Expected<wire::HttpResponse>& end) {
          if (!end) {
            responder.Respond(ExplainRefusal(
                {core::ErrorCode::kUnavailable,
                 "the planner does not answer: " + end.error().message,
                 {}}));
            return;
          }
          wire::HttpResponse response;
          response.status = end->status;
          response.body = end->body;
          if (const auto after = end->headers.Find("Retry-After")) {
            response.headers.Add("Retry-After", *after);
          }
          responder.Respond(std::move(response));
        });
  }

  static wire::HttpResponse ExplainRefusal(const core::Error& error) {
    wire::HttpResponse response;
    switch (error.code) {
      case core::ErrorCode::kNotFound:
        response.status = wire::http_status::kNotFound;
        break;
      case core::ErrorCode::kUnavailable:
        response.status = wire::http_status::kUnavailable;
        break;
      case core::ErrorCode::kResourceExhausted:
        response.status = wire::http_status::kTooManyRequests;
        response.headers.Add("Retry-After", "1");
        break;
      default:
        response.status = wire::http_status::kBadRequest;
        break;
    }
    nlohmann::json document = {{"detail", error.message}};
    if (!error.path.empty()) {
      document["path"] = error.path;
    }
    response.body = model::DumpJson(document);
    return response;
  }

  wire::HttpResponse AnswerFromPlanner(const Query& query) {
    Planner* active = this->planning.Active();
    if (active == nullptr) {
      return this->NotPlanner();
    }
    const std::optional<std::string> text = query(*active);
    wire::HttpResponse response;
    response.status =
        text ? wire::http_status::kOk : wire::http_status::kNotFound;
    response.body = text.value_or("");
    return response;
  }

  wire::HttpResponse NotPlanner() {
    wire::HttpResponse response;
    response.status = internal_api::kNotPlanner;
    response.body = this->planning.PlannerEndpoint();
    return response;
  }

  Store& adapter;
  PlannerService<Store> planning;
  RefusalStore<Store> refusals;
  RefusedJobs refused_jobs;
  /// Latest summary of the planner on another entry, and when it arrived.
  std::optional<RoomSummary> room;
  core::TimePoint room_received;
  core::TimePoint next_room_request;
  wire::HttpClient client;
  QObject context;
};

}  // namespace hemlockdoor::batch
