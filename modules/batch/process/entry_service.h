// Requests of callers and of other instances to an entry.
#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "modules/batch/process/outage_hold.h"
#include "modules/batch/process/planner_service.h"
#include "modules/model/model.h"

namespace hemlockdoor::batch {

/// Result of a submission.
enum class SubmitResult {
  kAccepted,   ///< Stored by this submission or an earlier one.
  kNotStored,  ///< Certainly not stored: the job will never run.
  kUnknown,    ///< May be stored; the caller retries with the same id.
  kConflict,   ///< The id belongs to another organisation's job.
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
      : adapter(store_adapter), planning(std::move(options), store_adapter) {}

  PlannerService<Store>& Planning() { return this->planning; }

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
    this->TrySubmit({std::move(record), deadline, hold_end, std::move(done)},
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
        [answer](std::optional<std::string> text) {
          answer(text ? OwnedStateFromText(*text) : std::nullopt);
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
    } else if (request.path == internal_api::kCancelled) {
      this->planning.OnCancelled(core::JobId(request.body));
    } else if (request.path == internal_api::kState) {
      this->AnswerState(core::JobId(request.query), responder);
      return true;
    } else if (request.path == internal_api::kWaiting) {
      response = this->AnswerFromPlanner(
          [&request](Planner& planner) -> std::optional<std::string> {
            return std::to_string(
                planner.CountWaitingJobs(QueueName(request.query)));
          });
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
  static std::string OwnedStateText(const OwnedState& state) {
    return model::DumpJson(
        nlohmann::json{{"state", StateText(state.state)},
                       {"organisation", state.owner.organisation.Text()},
                       {"queue", state.owner.queue.Text()}});
  }
  static std::optional<OwnedState> OwnedStateFromText(const std::string& text) {
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
    std::function<void(SubmitResult)> done;
  };

  void TrySubmit(Submission submission, bool may_be_stored) {
    const std::string key = store_keys::JobKey(submission.record->spec.id);
    store::Transaction transaction;
    transaction.compares = {{key, store::ModRevision()}};
    transaction.writes = {{key, ToText(*submission.record), std::nullopt}};
    this->adapter.Commit(
        transaction,
        [this, submission = std::move(submission), may_be_stored](
            const core::Expected<store::TransactionResult>& outcome) mutable {
          if (outcome && outcome->succeeded) {
            const JobRecord& record = *submission.record;
            this->NotifyPlanner(SubmittedTarget(outcome->revision),
                                ToText(record));
            this->planning.OnSubmitted(record, outcome->revision);
            submission.done(SubmitResult::kAccepted);
          } else if (outcome) {
            this->CompareStored(submission.record, std::move(submission.done));
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

  /// Handles a commit that failed because the key exists: either the same job
  /// was stored before, or the id belongs to another organisation's job.
  void CompareStored(std::shared_ptr<const JobRecord> record,
                     std::function<void(SubmitResult)> done) {
    this->adapter.Get(
        store_keys::JobKey(record->spec.id),
        [record, done = std::move(done)](
            const core::Expected<std::optional<store::KeyValue>>& item) {
          if (!item || !*item) {
            done(SubmitResult::kUnknown);
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
    this->client.Send(call, [](const core::Expected<wire::HttpResponse>& end) {
      if (!end) {
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
                   const wire::HttpResponder& responder) {
    if (this->planning.Active() == nullptr) {
      responder.Respond(this->NotPlanner());
      return;
    }
    this->planning.FindState(job, [responder](std::optional<OwnedState> state) {
      wire::HttpResponse response;
      response.status =
          state ? wire::http_status::kOk : wire::http_status::kNotFound;
      response.body = state ? OwnedStateText(*state) : "";
      responder.Respond(std::move(response));
    });
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
  wire::HttpClient client;
  QObject context;
};

}  // namespace hemlockdoor::batch
