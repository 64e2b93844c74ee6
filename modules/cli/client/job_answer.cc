#include "modules/cli/client/job_answer.h"

#include <utility>

namespace hemlockdoor::cli {

namespace {

std::string TextField(const nlohmann::json& document, const char* name) {
  const auto found = document.find(name);
  return found != document.end() && found->is_string()
             ? found->get<std::string>()
             : std::string();
}

}  // namespace

core::Expected<JobAnswer> ReadJobAnswer(const wire::HttpResponse& response) {
  // A result of the largest size may double when its characters are escaped.
  constexpr std::size_t kMaxAnswerBytes = 6 * model::kMaxPayloadBytes;
  core::Expected<nlohmann::json> document =
      model::ParseJson(response.body, {.max_bytes = kMaxAnswerBytes});
  if (!document || !document->is_object()) {
    return core::MakeError(core::ErrorCode::kInternal,
                           "the entry's answer " +
                               std::to_string(response.status) +
                               " is not a JSON object");
  }
  JobAnswer answer;
  answer.id = TextField(*document, "id");
  answer.outcome = model::JobOutcomeFromName(TextField(*document, "outcome"));
  answer.state = TextField(*document, "state");
  answer.error = TextField(*document, "error");
  if (answer.error.empty()) {
    answer.error = TextField(*document, "detail");
  }
  if (const auto result = document->find("result");
      result != document->end() && result->is_string()) {
    answer.result = result->get<std::string>();
  }
  const auto durable = document->find("durable");
  answer.durable = durable == document->end() || *durable != false;
  answer.document = std::move(*document);
  return answer;
}

}  // namespace hemlockdoor::cli
