#include "modules/cli/commands/explain_command.h"

#include <QEventLoop>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "modules/batch/batch.h"
#include "modules/cli/client/api_client.h"
#include "modules/cli/commands/reports.h"
#include "modules/cli/output/table.h"
#include "modules/model/model.h"
#include "modules/settings/settings.h"
#include "modules/wire/wire.h"

namespace hemlockdoor::cli {

namespace {

constexpr std::size_t kMaxFileBytes = 256U * 1024U;

/// Returns the body of the call.
core::Expected<std::string> RequestBody(const ExplainCommand& command) {
  if (command.file.empty()) {
    return model::DumpJson({{"job", command.job}});
  }
  const core::Expected<std::string> text =
      settings::ReadTextFile(command.file, kMaxFileBytes);
  if (!text) {
    return tl::unexpected<core::Error>(text.error());
  }
  const core::Expected<nlohmann::json> document =
      settings::ParseDocument(*text, command.file);
  if (!document) {
    return tl::unexpected<core::Error>(document.error());
  }
  return model::DumpJson(*document);
}

core::Expected<wire::HttpResponse> Exchange(const wire::HttpCall& call) {
  wire::HttpClient client;
  std::optional<core::Expected<wire::HttpResponse>> answer;
  QEventLoop loop;
  client.Send(call, [&](core::Expected<wire::HttpResponse> received) {
    answer = std::move(received);
    loop.quit();
  });
  while (!answer) {
    loop.exec();
  }
  return std::move(*answer);
}

/// Returns the text of a field, or "-" if it is absent.
std::string Field(const nlohmann::json& object, const std::string& name) {
  if (!object.is_object() || !object.contains(name) || object[name].is_null()) {
    return "-";
  }
  const nlohmann::json& value = object[name];
  return PrintableText(value.is_string() ? value.get<std::string>()
                                         : model::DumpJson(value));
}

bool Has(const nlohmann::json& object, const std::string& name) {
  return object.is_object() && object.contains(name);
}

/// Returns an array field, or an empty array.
nlohmann::json List(const nlohmann::json& object, const std::string& name) {
  return Has(object, name) && object[name].is_array() ? object[name]
                                                      : nlohmann::json::array();
}

void PrintTable(Console& console,
                const std::vector<TableColumn>& columns,
                const nlohmann::json& rows,
                const std::string& total) {
  if (rows.empty()) {
    return;
  }
  console.out << DrawTable(columns, rows);
  if (total != "-" && total != std::to_string(rows.size())) {
    console.out << "(the first " << rows.size() << " of " << total << ")\n";
  }
}

void PrintAdmission(Console& console, const nlohmann::json& admission) {
  console.out << "admission: " << Field(admission, "reason");
  for (const auto& [name, label] :
       std::vector<std::pair<std::string, std::string>>{
           {"expected_ms", "expected"},
           {"objective_ms", "objective"},
           {"retry_after_ms", "retry after"}}) {
    const std::string value = Field(admission, name);
    if (value != "-" && value != "0") {
      console.out << ", " << label << " " << value << " ms";
    }
  }
  console.out << "\n";
}

void PrintStep(Console& console, const nlohmann::json& step) {
  console.out << "\nstep " << Field(step, "step") << ": "
              << Field(step, "outcome") << " (tasks: " << Field(step, "tasks")
              << ")";
  if (Has(step, "expected_start_ms")) {
    console.out << ", expected start in " << Field(step, "expected_start_ms")
                << " ms";
  }
  if (Has(step, "expected_end_ms")) {
    console.out << ", expected end in " << Field(step, "expected_end_ms")
                << " ms";
  }
  console.out << "\n";
  for (const nlohmann::json& reason : List(step, "reasons")) {
    if (reason.is_string()) {
      console.out << "  " << PrintableText(reason.get<std::string>()) << "\n";
    }
  }
  PrintTable(console,
             {{"WORKER", "/worker"},
              {"DATA CENTRE", "/data_centre"},
              {"RACK", "/rack"},
              {"TASKS", "/tasks"}},
             List(step, "workers"), Field(step, "worker_count"));
  if (!Has(step, "loss_core_seconds")) {
    return;
  }
  const std::string bound = Field(step, "loss_bound_core_seconds");
  console.out << "preempts, lost core-seconds: "
              << Field(step, "loss_core_seconds")
              << ", bound for one unit: " << (bound == "-" ? "none" : bound)
              << "\n";
  PrintTable(console,
             {{"JOB", "/job"},
              {"ORGANISATION", "/organisation"},
              {"PRIORITY", "/priority"},
              {"TASKS", "/tasks"},
              {"LOST CORE-SECONDS", "/loss_core_seconds"}},
             List(step, "preempted"), Field(step, "preempted_count"));
}

void PrintText(Console& console, const nlohmann::json& answer) {
  console.out << "planner epoch " << Field(answer, "epoch")
              << ", oldest report " << Field(answer, "oldest_report_ms")
              << " ms old\n";
  if (Has(answer, "admission")) {
    PrintAdmission(console, answer["admission"]);
  }
  for (const nlohmann::json& step : List(answer, "steps")) {
    PrintStep(console, step);
  }
  console.out << "\nahead in the start order: " << Field(answer, "units_ahead")
              << " units of " << Field(answer, "jobs_ahead") << " jobs\n";
  PrintTable(console,
             {{"JOB", "/job"},
              {"ORGANISATION", "/organisation"},
              {"PRIORITY", "/priority"},
              {"UNITS", "/units"},
              {"RULE", "/rule"}},
             List(answer, "ahead"), Field(answer, "jobs_ahead"));
  console.out << std::flush;
}

/// Names the invalid field, which is a place in the file or in the request.
core::Error RefusalOf(const wire::HttpResponse& response) {
  core::Error error{
      core::ErrorCode::kUnavailable, DescribeRefusal(response), {}};
  const core::Expected<nlohmann::json> document =
      model::ParseJson(response.body);
  if (document && Has(*document, "path") && (*document)["path"].is_string()) {
    error.path = (*document)["path"].get<std::string>();
  }
  return error;
}

}  // namespace

ExitCode RunExplain(Console& console, const ExplainCommand& command) {
  const core::Expected<wire::Endpoint> entry =
      wire::Endpoint::Parse(command.entry);
  if (!entry) {
    core::Error error = entry.error();
    error.path = "--entry";
    return ReportError(console, error, ExitCode::kUsage);
  }
  core::Expected<std::string> body = RequestBody(command);
  if (!body) {
    return ReportError(console, body.error(), ExitCode::kUsage);
  }
  wire::HttpCall call;
  call.endpoint = *entry;
  call.method = wire::HttpMethod::kPost;
  call.target = batch::internal_api::kExplain;
  call.body = std::move(*body);
  call.timeout = command.timeout;
  const core::Expected<wire::HttpResponse> response = Exchange(call);
  if (!response) {
    core::Error error = response.error();
    error.path = "entry " + entry->ToText();
    return ReportError(console, error, ExitCode::kFailed);
  }
  if (!IsSuccess(*response)) {
    return ReportError(console, RefusalOf(*response), ExitCode::kFailed);
  }
  const core::Expected<nlohmann::json> answer =
      model::ParseJson(response->body);
  if (!answer || !Has(*answer, "steps")) {
    return ReportError(
        console,
        {core::ErrorCode::kInternal, "the answer is not an explanation",
         "entry " + entry->ToText()},
        ExitCode::kFailed);
  }
  if (command.json) {
    PrintJson(console, *answer);
  } else {
    PrintText(console, *answer);
  }
  return ExitCode::kDone;
}

}  // namespace hemlockdoor::cli
