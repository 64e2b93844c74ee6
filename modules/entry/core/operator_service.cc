#include "modules/entry/core/operator_service.h"

#include <algorithm>
#include <utility>

#include "modules/entry/core/entry_metrics.h"
#include "modules/entry/core/ownership_service.h"

namespace hemlockdoor::entry {

namespace {

namespace status = wire::http_status;

std::string EntityTag(core::CatalogueRevision revision) {
  return "\"" + std::to_string(revision.Number()) + "\"";
}

Problem NoCatalogue() {
  return {status::kUnavailable,
          "no-catalogue",
          "No catalogue is loaded yet. Retry after the time in Retry-After.",
          core::Duration::Seconds(1),
          std::nullopt,
          {}};
}

Problem ProblemOfEdit(const core::Error& error) {
  const std::string place = error.path.empty() ? "" : error.path + ": ";
  Problem problem;
  problem.detail = place + error.message;
  switch (error.code) {
    case core::ErrorCode::kNotFound:
      problem.status = status::kNotFound;
      problem.type = "unknown-catalogue-entry";
      break;
    case core::ErrorCode::kConflict:
    case core::ErrorCode::kStale:
      problem.status = status::kPreconditionFailed;
      problem.type = "catalogue-changed";
      problem.detail += ". Read the catalogue and repeat the edit.";
      break;
    case core::ErrorCode::kTimeout:
      problem.status = status::kGatewayTimeout;
      problem.type = "edit-in-doubt";
      break;
    case core::ErrorCode::kUnavailable:
    case core::ErrorCode::kResourceExhausted:
      problem.status = status::kUnavailable;
      problem.type = "edit-not-possible-now";
      problem.detail += ". Nothing was changed; retry later.";
      break;
    default:
      problem.status = status::kUnprocessable;
      problem.type = "invalid-catalogue";
      problem.detail += ". Nothing was changed.";
      break;
  }
  return problem;
}

}  // namespace

wire::HttpResponse MakeEditResponse(
    const core::Expected<core::CatalogueRevision>& outcome) {
  if (!outcome) {
    return MakeProblemResponse(ProblemOfEdit(outcome.error()));
  }
  wire::HttpResponse response =
      MakeJsonResponse(status::kOk, {{"revision", outcome->Number()}});
  response.headers.Add("ETag", EntityTag(*outcome));
  return response;
}

void OperatorService::OnReadCatalogue(const ReadCatalogue& event) {
  if (!this->context.catalogue) {
    this->context.AnswerProblem(event.request, NoCatalogue());
    return;
  }
  const model::Catalogue& catalogue = *this->context.catalogue;
  wire::HttpResponse response;
  if (event.name) {
    const auto place = catalogue.entries.find(*event.name);
    if (place == catalogue.entries.end()) {
      this->context.AnswerProblem(
          event.request,
          ProblemOfEdit({core::ErrorCode::kNotFound,
                         "there is no catalogue entry " + event.name->Text(),
                         {}}));
      return;
    }
    response = MakeJsonResponse(status::kOk,
                                model::CatalogueEntryToJson(place->second));
  } else {
    response = MakeJsonResponse(status::kOk, model::CatalogueToJson(catalogue));
  }
  response.headers.Add("ETag", EntityTag(catalogue.revision));
  this->context.Answer(event.request, std::move(response));
}

void OperatorService::OnEditCatalogue(const EditCatalogue& event) {
  if (!this->context.catalogue) {
    this->context.AnswerProblem(event.request, NoCatalogue());
    return;
  }
  const model::Catalogue& present = *this->context.catalogue;
  if (!event.check_only && event.if_match < present.revision) {
    this->context.AnswerProblem(
        event.request,
        ProblemOfEdit({core::ErrorCode::kConflict,
                       "the current catalogue has revision " +
                           std::to_string(present.revision.Number()),
                       {}}));
    return;
  }
  core::Expected<model::Catalogue> candidate =
      ChangedCatalogue(present, event.change);
  core::Expected<void> checked;
  if (!candidate) {
    checked = tl::unexpected<core::Error>(candidate.error());
  } else {
    checked = this->context.scheduler.CheckGuarantees(*candidate);
  }
  if (!checked) {
    this->context.AnswerProblem(event.request, ProblemOfEdit(checked.error()));
    return;
  }
  if (event.check_only) {
    this->context.Answer(event.request,
                         MakeJsonResponse(status::kOk, {{"valid", true}}));
    return;
  }
  this->context.WriteCatalogue(event);
}

void OperatorService::OnCatalogueChanged(const CatalogueChanged& event) {
  const bool newer = event.catalogue->revision > this->context.Revision();
  if (!newer) {
    return;
  }
  this->context.catalogue = event.catalogue;
  this->context.scheduler.ApplyCatalogue(*event.catalogue, this->context.now);
  PublishCatalogueNames(*event.catalogue);
  this->context.plan_needed = true;
  this->context.Log(observe::LogLevel::kInfo,
                    "catalogue revision " +
                        std::to_string(event.catalogue->revision.Number()) +
                        " is in force");
  this->NotifyAgents();
}

void OperatorService::OnRevisionSeen(core::CatalogueRevision seen) {
  if (seen <= this->context.seen_revision) {
    return;
  }
  this->context.seen_revision = seen;
  if (seen > this->context.Revision()) {
    this->context.ReportRevision(seen);
  }
}

void OperatorService::NotifyAgents() {
  const auto& agents = this->context.agents.All();
  if (agents.size() > kMaxRevisionNotifications) {
    return;
  }
  nlohmann::json doc;
  doc["epoch"] = std::to_string(this->context.ownership.Epoch().Number());
  doc["revision"] = std::to_string(this->context.Revision().Number());
  for (const auto& [id, agent] : agents) {
    this->context.Call({agent.last_announcement.endpoint,
                        wire::HttpMethod::kPost, "/internal/v1/revision"},
                       model::DumpJson(doc),
                       [](const core::Expected<wire::HttpResponse>&) {});
  }
}

void OperatorService::OnQuery(const OperatorQuery& event) {
  switch (event.kind) {
    case OperatorQueryKind::kWorkers:
      this->context.Answer(event.request, this->WorkersDocument());
      return;
    case OperatorQueryKind::kReservations:
      this->context.Answer(event.request, this->ReservationsDocument());
      return;
    case OperatorQueryKind::kQuarantine:
      this->context.Answer(event.request, this->QuarantineDocument());
      return;
  }
}

wire::HttpResponse OperatorService::WorkersDocument() const {
  nlohmann::json doc;
  doc["workers"] = nlohmann::json::array();
  for (const auto& [id, known] : this->context.agents.All()) {
    nlohmann::json worker;
    worker["id"] = id.Text();
    worker["endpoint"] = known.last_announcement.endpoint;
    worker["placeable"] =
        this->context.agents.MayPlaceOn(id, this->context.now);
    worker["draining"] =
        known.last_announcement.draining || known.operator_drain;
    worker["free_slots"] = known.last_announcement.free_slots;
    worker["free_accelerators"] =
        known.last_announcement.free_accelerators.Count();
    worker["running"] = known.last_announcement.running.size();
    worker["held_results"] = known.last_announcement.held_results.size();
    worker["epoch"] = std::to_string(known.last_announcement.epoch.Number());
    worker["revision"] =
        std::to_string(known.last_announcement.revision.Number());
    if (known.last_announcement.shape) {
      worker["shape"] =
          model::WorkerShapeToJson(*known.last_announcement.shape);
    }
    doc["workers"].push_back(std::move(worker));
  }
  return MakeJsonResponse(status::kOk, doc);
}

wire::HttpResponse OperatorService::ReservationsDocument() const {
  nlohmann::json doc;
  doc["planning_owner"] = this->context.ownership.IsOwner();
  doc["reservations"] = nlohmann::json::array();
  for (const auto& [id, job] : this->context.jobs.All()) {
    if (!job.attempt || job.phase == JobPhase::kEnded) {
      continue;
    }
    nlohmann::json reservation = JobToDocument(job);
    reservation["organisation"] = job.description.organisation.Text();
    reservation["members"] = nlohmann::json::array();
    for (const AttemptMember& member : job.attempt->members) {
      reservation["members"].push_back(
          {{"worker", member.place.agent.Text()},
           {"accelerators", member.place.accelerators.Count()}});
    }
    doc["reservations"].push_back(std::move(reservation));
  }
  doc["short_guarantees"] = nlohmann::json::array();
  for (const decide::UnmetGuarantee& guarantee :
       this->context.scheduler.UnmetGuarantees()) {
    doc["short_guarantees"].push_back(
        {{"entry", guarantee.entry.Text()},
         {"missing_gangs", guarantee.missing_gangs},
         {"detail", guarantee.text}});
  }
  return MakeJsonResponse(status::kOk, doc);
}

wire::HttpResponse OperatorService::QuarantineDocument() const {
  nlohmann::json doc;
  doc["quarantined"] = nlohmann::json::array();
  for (const decide::QuarantinedWorker& worker :
       this->context.scheduler.Quarantined()) {
    const core::Duration left = worker.next_trial - this->context.now;
    doc["quarantined"].push_back({{"worker", worker.agent.Text()},
                                  {"reason", worker.reason},
                                  {"next_trial_ms", left.InMilliseconds()}});
  }
  return MakeJsonResponse(status::kOk, doc);
}

void OperatorService::OnDrainWorker(const DrainWorker& event) {
  const KnownAgent* agent = this->context.agents.Find(event.agent);
  if (agent == nullptr) {
    this->context.AnswerProblem(event.request,
                                {status::kNotFound,
                                 "unknown-worker",
                                 "No announced worker has this id. GET "
                                 "/v1/workers lists the workers.",
                                 {},
                                 std::nullopt,
                                 {}});
    return;
  }
  this->context.agents.MarkDraining(event.agent);
  this->context.owners->UpsertWorker(*agent);
  this->context.Call(
      {agent->last_announcement.endpoint, wire::HttpMethod::kPost,
       "/internal/v1/drain"},
      "{}", [this, event](const core::Expected<wire::HttpResponse>& answer) {
        if (answer && answer->status < status::kBadRequest) {
          this->context.Answer(
              event.request,
              MakeJsonResponse(status::kAccepted, {{"draining", true}}));
          return;
        }
        this->context.AnswerProblem(
            event.request,
            {status::kUnavailable,
             "worker-not-reachable",
             "This entry places no new jobs on the worker, but the worker did "
             "not confirm the drain. Repeat the request.",
             core::Duration::Seconds(1),
             std::nullopt,
             {}});
      });
}

}  // namespace hemlockdoor::entry
