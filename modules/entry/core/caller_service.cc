#include "modules/entry/core/caller_service.h"

#include <algorithm>
#include <utility>

#include "modules/entry/api/large_text.h"
#include "modules/entry/core/attempt_runner.h"
#include "modules/entry/core/job_id.h"
#include "modules/entry/core/ownership_service.h"

namespace hemlockdoor::entry {

namespace {

namespace status = wire::http_status;

/// Wait time of a request for a short job that does not give a wait time.
constexpr core::Duration kDefaultWait = core::Duration::Seconds(30);
/// Longest wait time of a request.
constexpr core::Duration kMaxWait = core::Duration::Seconds(300);
/// Maximum number of jobs in the answer to a list request.
constexpr std::size_t kMaxListedJobs = 1000;

std::string PeerTarget(const core::JobId& job,
                       const core::OrganisationId& organisation,
                       JobQueryKind kind) {
  const char* part = kind == JobQueryKind::kResult ? "/result" : "";
  return "/internal/v1/jobs/" + job.Text() + part +
         "?organisation=" + organisation.Text();
}

bool IsWaiting(JobPhase phase) {
  return phase != JobPhase::kEnded && phase != JobPhase::kCreatingRecord;
}

/// Returns the result of a job's newest attempt among the results that an agent
/// holds, or null. The result of a gang is that of member 0.
const model::ResultNotice* NewestResult(const model::TaskStatus& task,
                                        const core::JobId& job) {
  const model::ResultNotice* newest = nullptr;
  for (const model::ResultNotice& each : task.results) {
    const bool counts = each.job == job && each.member == 0;
    if (counts && (newest == nullptr || newest->attempt < each.attempt)) {
      newest = &each;
    }
  }
  return newest;
}

wire::HttpResponse RawResult(const std::string& body) {
  wire::HttpResponse response;
  response.content_type = "application/octet-stream";
  response.body = body;
  return response;
}

}  // namespace

std::optional<model::TaskStatus> ReadTaskStatus(
    const wire::HttpResponse& response) {
  core::Expected<model::TaskStatus> task =
      model::FromText<&model::TaskStatusFromJson>(response.body);
  const bool is_status =
      response.status == status::kOk || response.status == status::kNotFound;
  if (!task || !is_status) {
    return std::nullopt;
  }
  return std::move(*task);
}

bool CallerService::RefuseSubmission(const SubmitJob& event) {
  Problem problem;
  problem.outcome = model::JobOutcome::kNotRun;
  if (this->context.draining) {
    problem.status = status::kUnavailable;
    problem.type = "draining";
    problem.detail =
        "The job was not run: this entry is stopping. Retry; the load "
        "balancer sends the request to another entry.";
  } else if (!this->context.catalogue) {
    problem.status = status::kUnavailable;
    problem.type = "no-catalogue";
    problem.detail =
        "The job was not run: no catalogue is loaded yet. Retry after the "
        "time in Retry-After.";
  } else if (!event.description.repeatable && !event.idempotency_key) {
    problem.status = status::kBadRequest;
    problem.type = "idempotency-key-required";
    problem.detail =
        "The job was not run: work with \"repeatable\": false needs an "
        "Idempotency-Key header. Add one and submit again.";
  } else if (this->context.catalogue->FindFor(
                 event.organisation, event.description.job_class) == nullptr) {
    problem = ProblemOfRefusal({{},
                                decide::RefusalKind::kNoEntry,
                                "no catalogue entry covers class \"" +
                                    event.description.job_class.Text() + "\"",
                                {}});
  } else {
    return false;
  }
  this->context.AnswerProblem(event.request, problem);
  return true;
}

core::JobId CallerService::NewJobId(const SubmitJob& event) {
  if (event.idempotency_key) {
    return MakeJobId(event.organisation, "key:" + *event.idempotency_key);
  }
  const EntryOptions& options = this->context.options;
  return MakeJobId(event.organisation,
                   "number:" + options.id.Text() + ":" +
                       std::to_string(options.incarnation.Number()) + ":" +
                       std::to_string(++this->submissions));
}

void CallerService::OnSubmit(const SubmitJob& event) {
  if (this->RefuseSubmission(event)) {
    return;
  }
  const core::JobId id = this->NewJobId(event);
  if (Job* existing = this->context.jobs.Find(id)) {
    const bool may_run_again = existing->phase == JobPhase::kEnded &&
                               !existing->recorded &&
                               existing->outcome == model::JobOutcome::kNotRun;
    if (!may_run_again) {
      this->JoinJob(*existing, event);
      return;
    }
    this->context.jobs.Remove(id);
  }
  Job fresh;
  fresh.description = event.description;
  fresh.description.id = id;
  fresh.description.organisation = event.organisation;
  fresh.payload = event.payload;
  fresh.body_hash = event.body_hash;
  fresh.traceparent = event.traceparent;
  fresh.has_key = event.idempotency_key.has_value();
  fresh.submitted_at = this->context.now;
  fresh.durable = NeedsRecord(event.description);
  if (event.description.deadline) {
    fresh.deadline = this->context.now + *event.description.deadline;
  }
  const core::Expected<Job*> added = this->context.jobs.Add(std::move(fresh));
  if (!added) {
    this->context.AnswerProblem(
        event.request, {status::kUnavailable,
                        "entry-full",
                        "The job was not run: " + added.error().message +
                            ". Retry after the time in Retry-After.",
                        core::Duration::Seconds(1),
                        model::JobOutcome::kNotRun,
                        {}});
    return;
  }
  Job& job = **added;
  this->AddWaiter(job, event);
  if (job.durable) {
    this->context.records->Create(job);
  } else {
    this->context.owners->Dispatch(job);
    this->AnswerDueWaiters(id);
  }
}

void CallerService::AddWaiter(Job& job, const SubmitJob& event) {
  const bool is_long =
      NeedsRecord(event.description) && NeedsOwner(event.description);
  const core::Duration default_wait = is_long ? core::Duration() : kDefaultWait;
  const core::Duration wait =
      std::min(event.wait.value_or(default_wait), kMaxWait);
  job.waiters.push_back({event.request, this->context.now + wait});
  this->waiting[event.request] = job.description.id;
}

void CallerService::JoinJob(Job& job, const SubmitJob& event) {
  if (job.body_hash != event.body_hash) {
    this->context.AnswerProblem(
        event.request,
        {status::kUnprocessable,
         "idempotency-key-reused",
         "The Idempotency-Key was used before with a different request body. "
         "Use a new key for a new job.",
         {},
         std::nullopt,
         {}});
    return;
  }
  if (job.phase == JobPhase::kEnded) {
    QueryJob query;
    query.request = event.request;
    query.organisation = event.organisation;
    query.job = job.description.id;
    this->AnswerQuery(job, query);
    return;
  }
  this->AddWaiter(job, event);
  this->AnswerDueWaiters(job.description.id);
}

void CallerService::AnswerWaiters(Job& job) {
  if (!job.waiters.empty()) {
    this->AnswerWaiters(job, MakeJobResponse(job, true));
  }
}

void CallerService::AnswerWaiters(Job& job,
                                  const wire::HttpResponse& response) {
  for (const Waiter& waiter : job.waiters) {
    this->context.Answer(waiter.request, response);
    this->waiting.erase(waiter.request);
  }
  job.waiters.clear();
}

void CallerService::AnswerDueWaiters(const core::JobId& id) {
  Job* job = this->context.jobs.Find(id);
  if (job == nullptr || !IsWaiting(job->phase)) {
    return;
  }
  std::erase_if(job->waiters, [this, job](const Waiter& waiter) {
    if (this->context.now < waiter.until) {
      return false;
    }
    this->context.Answer(waiter.request, MakeJobResponse(*job, true));
    this->waiting.erase(waiter.request);
    return true;
  });
}

void CallerService::OnTick() {
  std::vector<core::JobId> ids;
  for (const auto& [request, job] : this->waiting) {
    ids.push_back(job);
  }
  for (const core::JobId& id : ids) {
    this->AnswerDueWaiters(id);
  }
}

void CallerService::OnClientDisconnected(const ClientDisconnected& event) {
  const auto place = this->waiting.find(event.request);
  if (place == this->waiting.end()) {
    return;
  }
  Job* job = this->context.jobs.Find(place->second);
  this->waiting.erase(place);
  if (job == nullptr) {
    return;
  }
  std::erase_if(job->waiters, [&event](const Waiter& waiter) {
    return waiter.request == event.request;
  });
  // No caller knows the id of a job that was submitted without an idempotency
  // key, so nobody could query its result.
  const bool is_orphaned =
      job->waiters.empty() && !job->durable && !job->has_key &&
      job->reply_to.empty() &&
      (job->phase == JobPhase::kQueued || job->phase == JobPhase::kDelayed);
  if (is_orphaned) {
    this->context.attempts->Cancel(*job);
  }
}

void CallerService::OnHandedOver(const JobHandedOver& event) {
  if (!this->context.ownership.IsOwner() || this->context.draining) {
    this->context.AnswerProblem(event.request,
                                {status::kConflict,
                                 "not-owner",
                                 "This entry is not the planning owner.",
                                 {},
                                 std::nullopt,
                                 {}});
    return;
  }
  const core::JobId& id = event.description.id;
  Job* job = this->context.jobs.Find(id);
  if (job == nullptr) {
    Job fresh;
    fresh.description = event.description;
    fresh.payload = event.payload;
    fresh.body_hash = event.body_hash;
    fresh.traceparent = event.traceparent;
    fresh.has_key = true;
    fresh.submitted_at = this->context.now;
    if (event.description.deadline) {
      fresh.deadline = this->context.now + *event.description.deadline;
    }
    fresh.recorded = event.record_revision != store::ModRevision();
    fresh.durable = fresh.recorded;
    fresh.payload_stored = event.payload_stored;
    fresh.record.revision = event.record_revision;
    const core::Expected<Job*> added = this->context.jobs.Add(std::move(fresh));
    if (!added) {
      this->context.AnswerProblem(event.request, {status::kUnavailable,
                                                  "entry-full",
                                                  added.error().message,
                                                  core::Duration::Seconds(1),
                                                  std::nullopt,
                                                  {}});
      return;
    }
    (*added)->reply_to = event.reply_to;
    this->context.owners->Dispatch(**added);
  } else {
    job->reply_to = event.reply_to;
    if (!job->payload && job->phase != JobPhase::kEnded &&
        !job->payload_stored) {
      // When the byte budget has no room, the sender offers the payload again
      // with its next handover.
      static_cast<void>(this->context.jobs.AttachPayload(*job, event.payload));
    }
    if (job->phase == JobPhase::kEnded) {
      this->context.owners->PushEnd(*job);
    }
  }
  this->context.Answer(event.request,
                       MakeJsonResponse(status::kAccepted, {{"taken", true}}));
}

void CallerService::OnQuery(const QueryJob& event) {
  if (!IsJobOf(event.job, event.organisation)) {
    this->AnswerNotFound(event.request);
    return;
  }
  const Job* job = this->context.jobs.Find(event.job);
  if (job != nullptr) {
    this->AnswerQuery(*job, event);
  } else if (event.from_peer) {
    this->AnswerNotFound(event.request);
  } else {
    this->SearchAgents(event);
  }
}

void CallerService::AnswerQuery(const Job& job, const QueryJob& query) {
  const bool done =
      job.phase == JobPhase::kEnded && job.outcome == model::JobOutcome::kDone;
  if (done && !job.result && !job.result_endpoint.empty()) {
    this->FetchResult(query, job.result_endpoint);
    return;
  }
  if (done && !job.result) {
    if (job.recorded && !query.from_peer) {
      this->SearchStore(query);
      return;
    }
    this->context.AnswerProblem(query.request,
                                {status::kNotFound,
                                 "result-dropped",
                                 "The job is done, but its result is no longer "
                                 "available. Submit the job again if it may be "
                                 "repeated.",
                                 {},
                                 model::JobOutcome::kDone,
                                 query.job});
    return;
  }
  if (query.kind == JobQueryKind::kStatus) {
    this->context.Answer(query.request, MakeJobResponse(job, false));
    if (done) {
      this->AcknowledgeHeld(query.job);
    }
  } else if (done) {
    this->context.Answer(query.request, RawResult(*job.result));
    this->AcknowledgeHeld(query.job);
  } else {
    const bool ended = job.phase == JobPhase::kEnded;
    this->context.AnswerProblem(
        query.request, {status::kConflict, ended ? "no-result" : "not-ended",
                        ended ? "The job ended without a result: " + job.error
                              : "The job has not ended. Ask again later.",
                        ended ? core::Duration() : core::Duration::Seconds(1),
                        ended ? job.outcome : std::nullopt, query.job});
  }
}

void CallerService::AcknowledgeHeld(const core::JobId& id) {
  if (Job* job = this->context.jobs.Find(id)) {
    this->context.jobs.MarkDelivered(*job);
    this->context.attempts->Acknowledge(*job);
  }
}

void CallerService::SearchAgents(const QueryJob& query) {
  if (const KnownAgent* holder =
          this->context.agents.FindResultHolder(query.job)) {
    this->FetchResult(query, holder->last_announcement.endpoint);
    return;
  }
  const KnownAgent* runner = this->context.agents.FindRunning(query.job);
  if (runner != nullptr && query.kind == JobQueryKind::kStatus) {
    this->context.Answer(
        query.request, MakeJsonResponse(status::kOk, {{"id", query.job.Text()},
                                                      {"state", "running"}}));
    return;
  }
  this->SearchStore(query);
}

void CallerService::FetchResult(const QueryJob& query,
                                const std::string& endpoint) {
  this->context.Call(
      {endpoint, wire::HttpMethod::kGet,
       "/internal/v1/tasks/" + query.job.Text()},
      {},
      [this, query,
       endpoint](const core::Expected<wire::HttpResponse>& answer) {
        const std::optional<model::TaskStatus> task =
            answer ? ReadTaskStatus(*answer) : std::nullopt;
        const model::ResultNotice* notice =
            task ? NewestResult(*task, query.job) : nullptr;
        if (notice == nullptr) {
          this->context.AnswerProblem(
              query.request,
              {status::kUnavailable, "result-not-reachable",
               "The worker that holds the result did not answer. Ask again "
               "after the time in Retry-After.",
               core::Duration::Seconds(1), std::nullopt, query.job});
          return;
        }
        this->AnswerEnd(query, *notice);
        this->AcknowledgeFetched(*notice, endpoint);
      });
}

void CallerService::AnswerEnd(const QueryJob& query,
                              const model::ResultNotice& notice) {
  const bool done = notice.outcome == model::JobOutcome::kDone;
  if (query.kind == JobQueryKind::kResult && done) {
    this->context.Answer(query.request, RawResult(notice.body));
    return;
  }
  nlohmann::json doc;
  doc["id"] = query.job.Text();
  doc["outcome"] = model::JobOutcomeName(notice.outcome);
  wire::HttpResponse response;
  response.body = DumpWithText(doc, done ? "result" : "error", notice.body);
  this->context.Answer(query.request, std::move(response));
}

void CallerService::AcknowledgeFetched(const model::ResultNotice& notice,
                                       const std::string& endpoint) {
  if (this->context.jobs.Find(notice.job) != nullptr) {
    return;
  }
  // While the record of a job is open, its end is not recorded and the planning
  // owner will query the agent for the result, so the agent must keep it.
  this->context.records->Lookup(notice.job, [this, notice,
                                             endpoint](const auto& found) {
    const bool may_drop = found && !found->has_value();
    if (!may_drop) {
      return;
    }
    model::AttemptReference reference;
    reference.job = notice.job;
    reference.attempt = notice.attempt;
    if (const KnownAgent* agent = this->context.agents.Find(notice.agent)) {
      reference.incarnation = agent->last_announcement.incarnation;
    }
    this->context.Call({endpoint, wire::HttpMethod::kPost, "/internal/v1/ack"},
                       model::DumpJson(model::ToJson(reference)),
                       [](const core::Expected<wire::HttpResponse>&) {});
  });
}

void CallerService::SearchStore(const QueryJob& query) {
  this->context.records->Lookup(query.job, [this, query](const auto& found) {
    if (!found || !*found) {
      auto search = std::make_shared<Search>();
      search->query = query;
      this->SearchPeers(search);
      return;
    }
    const JobRecord& record = (*found)->record;
    if (record.description.organisation != query.organisation) {
      this->AnswerNotFound(query.request);
      return;
    }
    const bool done = record.outcome == model::JobOutcome::kDone;
    if (done && !record.result_endpoint.empty()) {
      this->FetchResult(query, record.result_endpoint);
      return;
    }
    if ((*found)->ended) {
      model::ResultNotice end;
      end.job = query.job;
      end.outcome = record.outcome.value_or(model::JobOutcome::kUnknown);
      end.body = done ? record.result : record.error;
      this->AnswerEnd(query, end);
      return;
    }
    const bool may_run = record.attempt.Number() > 0;
    this->context.Answer(
        query.request,
        MakeJsonResponse(status::kOk,
                         {{"id", query.job.Text()},
                          {"durable", true},
                          {"attempts", record.attempt.Number()},
                          {"state", may_run ? "running" : "queued"}}));
  });
}

void CallerService::SearchPeers(const std::shared_ptr<Search>& search) {
  const std::vector<std::string>& peers = this->context.options.peers;
  if (search->next_peer >= peers.size()) {
    this->AnswerNotFound(search->query.request);
    return;
  }
  const std::string& peer = peers.at(search->next_peer++);
  const QueryJob& query = search->query;
  this->context.Call(
      {peer, wire::HttpMethod::kGet,
       PeerTarget(query.job, query.organisation, query.kind)},
      {}, [this, search](const core::Expected<wire::HttpResponse>& answer) {
        if (answer && answer->status != status::kNotFound) {
          this->context.Answer(search->query.request, *answer);
        } else {
          this->SearchPeers(search);
        }
      });
}

void CallerService::AnswerNotFound(RequestId request) {
  this->context.AnswerProblem(
      request,
      {status::kNotFound,
       "unknown-job",
       "This organisation has no known job with this id. A job without "
       "Idempotency-Key is removed some time after its end.",
       {},
       std::nullopt,
       {}});
}

void CallerService::OnList(const ListJobs& event) {
  nlohmann::json doc;
  doc["jobs"] = nlohmann::json::array();
  for (const auto& [id, job] : this->context.jobs.All()) {
    if (job.description.organisation == event.organisation &&
        doc["jobs"].size() < kMaxListedJobs) {
      doc["jobs"].push_back(JobToDocument(job));
    }
  }
  for (const auto& [agent, known] : this->context.agents.All()) {
    for (const model::RunningTask& task : known.last_announcement.running) {
      const bool listed = this->context.jobs.Find(task.job) != nullptr;
      if (task.organisation == event.organisation && !listed &&
          task.member == 0 && doc["jobs"].size() < kMaxListedJobs) {
        doc["jobs"].push_back({{"id", task.job.Text()}, {"state", "running"}});
      }
    }
  }
  this->context.Answer(event.request, MakeJsonResponse(status::kOk, doc));
}

void CallerService::OnCancel(const CancelJob& event) {
  if (!IsJobOf(event.job, event.organisation)) {
    this->AnswerNotFound(event.request);
    return;
  }
  Job* job = this->context.jobs.Find(event.job);
  if (job == nullptr) {
    if (event.from_peer) {
      this->AnswerNotFound(event.request);
    } else {
      this->CancelThroughPeers(event, 0);
    }
    return;
  }
  if (job->phase == JobPhase::kFollowing) {
    this->CancelFollowed(*job);
  } else {
    this->context.attempts->Cancel(*job);
  }
  job = this->context.jobs.Find(event.job);
  const bool ended = job != nullptr && job->phase == JobPhase::kEnded;
  this->context.Answer(
      event.request, MakeJsonResponse(ended ? status::kOk : status::kAccepted,
                                      job == nullptr ? nlohmann::json::object()
                                                     : JobToDocument(*job)));
}

void CallerService::CancelFollowed(Job& job) {
  job.cancel_requested = true;
  const bool never_sent = !job.handed_over && !job.handover_in_doubt &&
                          !job.follow_call_open && NeedsOwner(job.description);
  if (never_sent && !job.recorded) {
    this->context.attempts->End(job, model::JobOutcome::kCancelled,
                                "cancelled by request");
    return;
  }
  if (job.followed_endpoint.empty()) {
    return;
  }
  this->context.Call(
      {job.followed_endpoint, wire::HttpMethod::kDelete,
       PeerTarget(job.description.id, job.description.organisation,
                  JobQueryKind::kStatus)},
      {}, [](const core::Expected<wire::HttpResponse>&) {});
}

void CallerService::CancelThroughPeers(const CancelJob& event,
                                       std::size_t next_peer) {
  const std::vector<std::string>& peers = this->context.options.peers;
  if (next_peer < peers.size()) {
    this->context.Call(
        {peers.at(next_peer), wire::HttpMethod::kDelete,
         PeerTarget(event.job, event.organisation, JobQueryKind::kStatus)},
        {},
        [this, event,
         next_peer](const core::Expected<wire::HttpResponse>& answer) {
          if (answer && answer->status != status::kNotFound) {
            this->context.Answer(event.request, *answer);
          } else {
            this->CancelThroughPeers(event, next_peer + 1);
          }
        });
    return;
  }
  // No entry holds the job. Its task may have outlived its entry, so the cancel
  // request goes to the agents that announce the task.
  bool found = false;
  for (const auto& [id, known] : this->context.agents.All()) {
    for (const model::RunningTask& task : known.last_announcement.running) {
      if (task.job != event.job) {
        continue;
      }
      found = true;
      model::AttemptReference reference;
      reference.job = task.job;
      reference.attempt = task.attempt;
      reference.incarnation = known.last_announcement.incarnation;
      this->context.Call({known.last_announcement.endpoint,
                          wire::HttpMethod::kPost, "/internal/v1/cancel"},
                         model::DumpJson(model::ToJson(reference)),
                         [](const core::Expected<wire::HttpResponse>&) {});
    }
  }
  if (!found) {
    this->AnswerNotFound(event.request);
    return;
  }
  this->context.Answer(
      event.request,
      MakeJsonResponse(status::kAccepted,
                       {{"id", event.job.Text()}, {"state", "running"}}));
}

}  // namespace hemlockdoor::entry
