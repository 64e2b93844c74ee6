#include "modules/batch/planner/explanation.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "modules/batch/model/messages.h"
#include "modules/model/model.h"

namespace hemlockdoor::batch {

namespace {

constexpr std::size_t kMaxRequestBytes = 256U * 1024U;

std::string PathOf(const std::string& object, const std::string& field) {
  return object + "." + field;
}

/// Checks that `value` has the fields of `form` only, each of the same type.
/// Numbers must be integers, as all numbers of a step are.
core::Expected<void> CheckForm(const nlohmann::json& value,
                               const nlohmann::json& form,
                               const std::string& path) {
  const bool same_type = form.is_number() ? value.is_number_integer()
                                          : value.type() == form.type();
  if (!same_type) {
    return core::MakeError(
        core::ErrorCode::kInvalidArgument,
        std::string("expected ") +
            (form.is_number() ? "an integer" : form.type_name()) + ", got " +
            value.type_name(),
        path);
  }
  if (!value.is_object()) {
    return {};
  }
  for (const auto& [name, field] : value.items()) {
    const auto known = form.find(name);
    if (known == form.end()) {
      return core::MakeError(core::ErrorCode::kInvalidArgument, "unknown field",
                             PathOf(path, name));
    }
    if (auto checked = CheckForm(field, *known, PathOf(path, name)); !checked) {
      return checked;
    }
  }
  return {};
}

/// Decodes steps in the form of a stored job record.
core::Expected<std::vector<StepSpec>> StepsFrom(const nlohmann::json* steps) {
  if (steps == nullptr || !steps->is_array()) {
    return core::MakeError(core::ErrorCode::kInvalidArgument,
                           "expected an array of steps", "$.steps");
  }
  JobRecord record;
  record.spec.id = core::JobId("job");
  record.spec.steps = {StepSpec()};
  core::Expected<nlohmann::json> document = model::ParseJson(ToText(record));
  if (!document) {
    return tl::unexpected<core::Error>(document.error());
  }
  const nlohmann::json form = (*document)["spec"]["steps"][0];
  for (std::size_t i = 0; i < steps->size(); ++i) {
    const core::Expected<void> checked =
        CheckForm((*steps)[i], form, "$.steps[" + std::to_string(i) + "]");
    if (!checked) {
      return tl::unexpected<core::Error>(checked.error());
    }
  }
  (*document)["spec"]["steps"] = *steps;
  core::Expected<JobRecord> decoded =
      JobRecordFromText(model::DumpJson(*document));
  if (!decoded) {
    core::Error error = decoded.error();
    if (error.path.empty()) {
      error.path = "$.steps";
    }
    return tl::unexpected<core::Error>(std::move(error));
  }
  return std::move(decoded->spec.steps);
}

nlohmann::json ToJson(const AdmissionDecision& decision) {
  return {{"accepted", decision.IsAccepted()},
          {"reason", NameOf(decision.reason)},
          {"expected_ms", decision.expected.InMilliseconds()},
          {"objective_ms", decision.objective.InMilliseconds()},
          {"retry_after_ms", decision.retry_after.InMilliseconds()},
          {"summary_age_ms", decision.summary_age.InMilliseconds()}};
}

nlohmann::json ToJson(const ChosenWorker& chosen) {
  return {{"worker", chosen.worker.Text()},
          {"data_centre", chosen.data_centre.Text()},
          {"rack", chosen.rack.Text()},
          {"tasks", chosen.tasks}};
}

nlohmann::json ToJson(const PreemptedWork& work) {
  return {{"job", work.job.Text()},
          {"organisation", work.organisation.Text()},
          {"priority", work.priority},
          {"tasks", work.tasks},
          {"loss_core_seconds", work.loss}};
}

nlohmann::json ToJson(const JobAhead& ahead) {
  return {{"job", ahead.job.Text()},
          {"organisation", ahead.organisation.Text()},
          {"priority", ahead.priority},
          {"units", ahead.units},
          {"rule", ahead.rule}};
}

nlohmann::json ToJson(const StepExplanation& step);

template <typename T>
nlohmann::json ToList(const std::vector<T>& items) {
  nlohmann::json list = nlohmann::json::array();
  for (const T& item : items) {
    list.push_back(ToJson(item));
  }
  return list;
}

nlohmann::json ToJson(const StepExplanation& step) {
  nlohmann::json document = {{"step", step.step},
                             {"outcome", NameOf(step.outcome)},
                             {"tasks", step.tasks},
                             {"reasons", step.reasons}};
  if (step.worker_count > 0) {
    document["workers"] = ToList(step.workers);
    document["worker_count"] = step.worker_count;
  }
  if (step.expected_start) {
    document["expected_start_ms"] = step.expected_start->InMilliseconds();
  }
  if (step.expected_end) {
    document["expected_end_ms"] = step.expected_end->InMilliseconds();
  }
  if (step.preempted_count > 0) {
    document["preempted"] = ToList(step.preempted);
    document["preempted_count"] = step.preempted_count;
    document["loss_core_seconds"] = step.loss;
    document["loss_bound_core_seconds"] =
        step.loss_bound ? nlohmann::json(*step.loss_bound) : nlohmann::json();
  }
  return document;
}

}  // namespace

core::Expected<ExplainRequest> ExplainRequestFromText(const std::string& text) {
  model::JsonLimits limits;
  limits.max_bytes = kMaxRequestBytes;
  const core::Expected<nlohmann::json> document =
      model::ParseJson(text, limits);
  if (!document) {
    return tl::unexpected<core::Error>(document.error());
  }
  if (!document->is_object()) {
    return core::MakeError(core::ErrorCode::kInvalidArgument,
                           "expected an object", "$");
  }
  model::JsonReader reader(*document, "$");
  ExplainRequest request;
  if (document->contains("job")) {
    request.job = core::JobId(reader.RequiredString("job"));
    if (request.job.IsEmpty()) {
      reader.Fail("job", "expected an id");
    }
  } else {
    request.queue = QueueName(reader.RequiredString("queue"));
    request.organisation =
        core::OrganisationId(reader.OptionalString("organisation"));
    const nlohmann::json* steps = reader.Raw("steps");
    core::Expected<std::vector<StepSpec>> decoded = StepsFrom(steps);
    if (!decoded) {
      return tl::unexpected<core::Error>(decoded.error());
    }
    request.steps = std::move(*decoded);
  }
  if (const core::Expected<void> finished = reader.Finish(); !finished) {
    return tl::unexpected<core::Error>(finished.error());
  }
  return request;
}

std::string ToText(const Explanation& explanation) {
  nlohmann::json document = {
      {"epoch", explanation.epoch.Number()},
      {"oldest_report_ms", explanation.oldest_report.InMilliseconds()},
      {"steps", ToList(explanation.steps)},
      {"ahead", ToList(explanation.ahead)},
      {"jobs_ahead", explanation.jobs_ahead},
      {"units_ahead", explanation.units_ahead}};
  if (explanation.admission) {
    document["admission"] = ToJson(*explanation.admission);
  }
  return model::DumpJson(document);
}

std::string NameOf(StepOutcome outcome) {
  switch (outcome) {
    case StepOutcome::kStarts:
      return "starts";
    case StepOutcome::kWaits:
      return "waits";
    case StepOutcome::kPreempts:
      return "preempts";
    case StepOutcome::kNever:
      return "never";
    case StepOutcome::kRunning:
      return "running";
    case StepOutcome::kDone:
      break;
  }
  return "done";
}

}  // namespace hemlockdoor::batch
