#include "modules/entry/api/answers.h"

#include <algorithm>
#include <utility>

#include "modules/entry/api/large_text.h"

namespace hemlockdoor::entry {

namespace {

namespace status = wire::http_status;

constexpr std::int64_t kMillisecondsPerSecond = 1000;

model::JobState StateOf(const Job& job) {
  switch (job.phase) {
    case JobPhase::kStarting:
    case JobPhase::kRunning:
    case JobPhase::kResolving:
    case JobPhase::kRecordingEnd:
      return model::JobState::kRunning;
    case JobPhase::kEnded:
      return model::JobState::kEnded;
    case JobPhase::kFollowing:
      return job.may_have_run ? model::JobState::kRunning
                              : model::JobState::kQueued;
    default:
      return model::JobState::kQueued;
  }
}

std::string Location(const core::JobId& job) {
  return "/v1/jobs/" + job.Text();
}

}  // namespace

wire::HttpResponse MakeProblemResponse(const Problem& problem) {
  nlohmann::json doc;
  doc["type"] = "urn:hemlockdoor:problem:" + problem.type;
  doc["title"] = problem.type;
  doc["status"] = problem.status;
  doc["detail"] = problem.detail;
  if (problem.outcome) {
    doc["outcome"] = model::JobOutcomeName(*problem.outcome);
  }
  if (!problem.job.IsEmpty()) {
    doc["id"] = problem.job.Text();
  }
  wire::HttpResponse response;
  response.status = problem.status;
  response.content_type = "application/problem+json";
  response.body = model::DumpJson(doc);
  std::int64_t seconds =
      (problem.retry_after.InMilliseconds() + kMillisecondsPerSecond - 1) /
      kMillisecondsPerSecond;
  if (problem.status == status::kTooManyRequests ||
      problem.status == status::kUnavailable) {
    seconds = std::max<std::int64_t>(seconds, 1);
  }
  if (seconds > 0) {
    response.headers.Add("Retry-After", std::to_string(seconds));
  }
  return response;
}

nlohmann::json JobToDocument(const Job& job) {
  nlohmann::json doc;
  doc["id"] = job.description.id.Text();
  doc["class"] = job.description.job_class.Text();
  doc["service"] = job.description.service.Text();
  doc["attempts"] = job.last_attempt.Number();
  doc["durable"] = job.recorded;
  if (!job.outcome || job.phase != JobPhase::kEnded) {
    doc["state"] = model::JobStateName(StateOf(job));
    return doc;
  }
  doc["outcome"] = model::JobOutcomeName(*job.outcome);
  if (!job.error.empty()) {
    doc["error"] = job.error;
  }
  return doc;
}

wire::HttpResponse MakeJobResponse(const Job& job, bool accepted) {
  if (job.phase == JobPhase::kEnded && job.problem_status != 0) {
    return MakeProblemResponse({job.problem_status, job.problem_type, job.error,
                                job.retry_after, job.outcome,
                                job.description.id});
  }
  const bool ended = job.phase == JobPhase::kEnded;
  wire::HttpResponse response;
  response.status = ended || !accepted ? status::kOk : status::kAccepted;
  const nlohmann::json doc = JobToDocument(job);
  response.body = ended && job.result ? DumpWithText(doc, "result", *job.result)
                                      : model::DumpJson(doc);
  if (accepted) {
    response.headers.Add("Location", Location(job.description.id));
  }
  return response;
}

wire::HttpResponse MakeJsonResponse(int status_code,
                                    const nlohmann::json& document) {
  wire::HttpResponse response;
  response.status = status_code;
  response.body = model::DumpJson(document);
  return response;
}

Problem ProblemOfRefusal(const decide::RefuseDecision& refusal) {
  Problem problem;
  problem.retry_after = refusal.retry_after;
  problem.outcome = model::JobOutcome::kNotRun;
  problem.job = refusal.job;
  std::string advice;
  switch (refusal.kind) {
    case decide::RefusalKind::kNeverRunnable:
      problem.status = status::kUnprocessable;
      problem.type = "never-runnable";
      advice = "Submit a job with a shape or service that workers offer.";
      break;
    case decide::RefusalKind::kOverLimit:
      problem.status = status::kTooManyRequests;
      problem.type = "over-limit";
      advice = "Retry when other work of the organisation has ended.";
      break;
    case decide::RefusalKind::kNoEntry:
      problem.status = status::kForbidden;
      problem.type = "no-catalogue-entry";
      advice = "Use a class that the catalogue has for the organisation.";
      break;
    case decide::RefusalKind::kQueueFull:
      problem.status = status::kUnavailable;
      problem.type = "queue-full";
      advice = "Retry after the time in Retry-After.";
      break;
    case decide::RefusalKind::kDeadline:
      problem.status = status::kGatewayTimeout;
      problem.type = "deadline";
      advice = "Retry with a later deadline.";
      break;
    case decide::RefusalKind::kShed:
      problem.status = status::kUnavailable;
      problem.type = "shed";
      advice = "Retry after the time in Retry-After.";
      break;
    case decide::RefusalKind::kFaulty:
      problem.status = status::kUnprocessable;
      problem.type = "faulty-job";
      advice = "Correct the job; it failed on several workers.";
      break;
  }
  problem.detail = "The job was not run: " + refusal.reason + ". " + advice;
  return problem;
}

}  // namespace hemlockdoor::entry
