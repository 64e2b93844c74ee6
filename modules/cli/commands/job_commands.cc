#include "modules/cli/commands/job_commands.h"

#include <QString>
#include <QStringDecoder>
#include <algorithm>
#include <iostream>
#include <iterator>
#include <random>
#include <utility>

#include "modules/cli/client/api_client.h"
#include "modules/cli/client/job_answer.h"
#include "modules/cli/commands/reports.h"
#include "modules/cli/output/table.h"
#include "modules/settings/settings.h"

namespace hemlockdoor::cli {

namespace {

/// Longest wait asked of an entry in one call; longer waits are polled, so that
/// no connection stays open for hours.
constexpr core::Duration kMaxWaitPerCall = core::Duration::Seconds(30);
constexpr core::Duration kFirstPoll = core::Duration::Milliseconds(100);
constexpr core::Duration kSlowestPoll = core::Duration::Seconds(2);

core::Expected<std::string> ReadPayload(const std::string& file) {
  std::string payload;
  if (file == "-") {
    payload.assign(std::istreambuf_iterator<char>(std::cin), {});
  } else if (!file.empty()) {
    core::Expected<std::string> read =
        settings::ReadTextFile(file, model::kMaxPayloadBytes);
    if (!read) {
      return read;
    }
    payload = std::move(*read);
  }
  const std::string place = file == "-" ? "standard input" : file;
  if (payload.size() > model::kMaxPayloadBytes) {
    return core::MakeError(core::ErrorCode::kTooLarge,
                           "the payload is longer than 8 MB", place);
  }
  QStringDecoder decoder(QStringConverter::Utf8);
  const QString decoded =
      decoder(QByteArrayView(payload.data(), qsizetype(payload.size())));
  if (decoder.hasError() || decoded.contains(QChar::ReplacementCharacter)) {
    return core::MakeError(
        core::ErrorCode::kInvalidArgument,
        "the payload is not UTF-8 text; encode binary data, for example as "
        "base64",
        place);
  }
  return payload;
}

std::string RandomKey() {
  std::random_device source;
  std::string key = "cli";
  constexpr int kNumbers = 4;
  for (int i = 0; i < kNumbers; ++i) {
    key += "-" + std::to_string(source());
  }
  return key;
}

std::string SubmissionBody(const model::JobDescription& job,
                           std::string payload) {
  nlohmann::json document = model::JobDescriptionToJson(job);
  document.erase("id");
  document.erase("organisation");
  document["payload"] = std::move(payload);
  return model::DumpJson(document);
}

std::string JobTarget(const std::string& job) {
  return "/v1/jobs/" + PathSegment(job);
}

ExitCode CodeOf(const JobAnswer& answer) {
  const bool failed =
      answer.outcome.has_value() && *answer.outcome != model::JobOutcome::kDone;
  return failed ? ExitCode::kFailed : ExitCode::kDone;
}

std::string StatusText(const JobAnswer& answer) {
  if (answer.outcome) {
    const std::string name(model::JobOutcomeName(*answer.outcome));
    return answer.error.empty() ? name : name + ": " + answer.error;
  }
  return answer.state;
}

/// One line on a terminal that is rewritten while a job goes on.
class ProgressLine {
 public:
  explicit ProgressLine(Console& target) : console(target) {}
  ~ProgressLine() { this->Clear(); }
  ProgressLine(const ProgressLine&) = delete;
  ProgressLine& operator=(const ProgressLine&) = delete;

  void Show(const JobAnswer& answer, core::Duration elapsed) {
    if (!this->console.err_is_terminal) {
      return;
    }
    constexpr std::int64_t kMsPerSecond = 1000;
    this->console.err << "\r\033[Kjob " << PrintableText(answer.id) << ": "
                      << PrintableText(answer.state) << ", "
                      << elapsed.InMilliseconds() / kMsPerSecond << " s"
                      << std::flush;
    this->shown = true;
  }

  void Clear() {
    if (std::exchange(this->shown, false)) {
      this->console.err << "\r\033[K" << std::flush;
    }
  }

 private:
  Console& console;
  bool shown = false;
};

/// Carries out one `submit`.
class Submission {
 public:
  Submission(Console& target,
             ApiClient& api_client,
             const SubmitCommand& submit)
      : console(target),
        client(api_client),
        command(submit),
        key(submit.idempotency_key.empty() ? RandomKey()
                                           : submit.idempotency_key),
        give_up(core::Clock::Now() + submit.wait) {}

  ExitCode Run(std::string payload) {
    const core::Duration wait = std::min(this->command.wait, kMaxWaitPerCall);
    const auto sent = this->client.Call(this->SubmitCall(
        SubmissionBody(this->command.description, std::move(payload)), wait));
    if (!sent) {
      this->AdviseRetry(sent.error().in_doubt);
      return ReportFailure(this->console, sent.error());
    }
    const core::Expected<JobAnswer> answer = ReadJobAnswer(sent->response);
    const bool is_job = answer && (answer->outcome || !answer->state.empty());
    if (!is_job || !IsSuccess(sent->response)) {
      this->AdviseRetry(sent->earlier_try_in_doubt);
      if (is_job && this->command.client.json) {
        PrintJson(this->console, answer->document);
      }
      return ReportRefusal(this->console, sent->response);
    }
    return answer->outcome || this->command.wait == core::Duration()
               ? this->Report(*answer)
               : this->Poll(*answer);
  }

 private:
  ApiCall SubmitCall(std::string body, core::Duration wait) const {
    constexpr std::int64_t kMsPerSecond = 1000;
    ApiCall call;
    call.method = wire::HttpMethod::kPost;
    call.target = "/v1/jobs";
    call.body = std::move(body);
    call.wait = wait;
    const std::string prefer =
        wait == core::Duration()
            ? "respond-async"
            : "wait=" + std::to_string(wait.InMilliseconds() / kMsPerSecond);
    call.headers = {{"Prefer", prefer}, {"Idempotency-Key", this->key}};
    return call;
  }

  /// Asks for the job until it has ended or the wait is over.
  ExitCode Poll(JobAnswer answer) {
    ProgressLine progress(this->console);
    const core::TimePoint started = core::Clock::Now();
    core::Duration pause = kFirstPoll;
    ApiCall call;
    call.target = JobTarget(answer.id);
    while (!answer.outcome && core::Clock::Now() < this->give_up) {
      progress.Show(answer, core::Clock::Now() - started);
      PauseFor(pause);
      pause = std::min(pause * 2, kSlowestPoll);
      const auto asked = this->client.Call(call);
      if (!asked) {
        // The job goes on without this client; the wait is for its end.
        continue;
      }
      core::Expected<JobAnswer> next = ReadJobAnswer(asked->response);
      const bool is_job = next && (next->outcome || !next->state.empty());
      if (is_job) {
        answer = std::move(*next);
      } else if (asked->response.status == wire::http_status::kNotFound) {
        progress.Clear();
        return ReportRefusal(this->console, asked->response);
      }
    }
    progress.Clear();
    return this->Report(answer);
  }

  ExitCode Report(const JobAnswer& answer) {
    const bool waited_in_vain =
        !answer.outcome && this->command.wait > core::Duration();
    if (this->command.client.json) {
      PrintJson(this->console, answer.document);
    } else if (answer.outcome == model::JobOutcome::kDone) {
      this->console.out << answer.result.value_or(std::string()) << std::flush;
    } else if (!answer.outcome) {
      this->console.out << PrintableText(answer.id) << std::endl;
    }
    std::string text = "job " + answer.id + ": " + StatusText(answer);
    text += waited_in_vain ? "; has not ended within the wait" : "";
    text += answer.durable || answer.outcome
                ? ""
                : "; not durable, it is lost with its entry";
    this->console.err << PrintableText(text) << std::endl;
    return waited_in_vain ? ExitCode::kFailed : CodeOf(answer);
  }

  void AdviseRetry(bool in_doubt) {
    if (in_doubt) {
      this->console.err << "hemlockdoor: an answer was lost; to learn what "
                           "happened, repeat the command with "
                           "--idempotency-key "
                        << PrintableText(this->key) << std::endl;
    }
  }

  Console& console;
  ApiClient& client;
  const SubmitCommand& command;
  std::string key;
  core::TimePoint give_up;
};

const std::vector<TableColumn>& JobColumns() {
  static const std::vector<TableColumn> columns = {
      {"JOB", "/id"},          {"STATE", "/state"},
      {"OUTCOME", "/outcome"}, {"CLASS", "/class"},
      {"SERVICE", "/service"}, {"ATTEMPTS", "/attempts"},
      {"DURABLE", "/durable"}, {"ERROR", "/error"}};
  return columns;
}

const std::vector<TableColumn>& WorkerColumns() {
  static const std::vector<TableColumn> columns = {
      {"WORKER", "/id"},
      {"PLACEABLE", "/placeable"},
      {"DRAINING", "/draining"},
      {"FREE SLOTS", "/free_slots"},
      {"SLOTS", "/shape/slots"},
      {"FREE ACCEL", "/free_accelerators"},
      {"ACCEL", "/shape/accelerators"},
      {"RUNNING", "/running"},
      {"HELD RESULTS", "/held_results"},
      {"DATA CENTRE", "/shape/data_centre"},
      {"RACK", "/shape/rack"},
      {"ENDPOINT", "/endpoint"}};
  return columns;
}

bool IsDenied(const wire::HttpResponse& response) {
  return response.status == wire::http_status::kForbidden ||
         response.status == wire::http_status::kUnauthorized;
}

ExitCode PrintList(Console& console,
                   const wire::HttpResponse& response,
                   const std::string& field,
                   const std::vector<TableColumn>& columns,
                   bool json) {
  constexpr std::size_t kMaxListBytes = std::size_t{64} * 1024 * 1024;
  const core::Expected<nlohmann::json> document =
      model::ParseJson(response.body, {.max_bytes = kMaxListBytes});
  const bool has_list = document && document->is_object() &&
                        document->contains(field) &&
                        document->at(field).is_array();
  if (!has_list) {
    return ReportError(
        console,
        core::Error{core::ErrorCode::kInternal,
                    "the entry's answer has no list of " + field, ""},
        ExitCode::kFailed);
  }
  if (json) {
    PrintJson(console, *document);
  } else if (document->at(field).empty()) {
    console.out << "no " << field << std::endl;
  } else {
    console.out << DrawTable(columns, document->at(field)) << std::flush;
  }
  return ExitCode::kDone;
}

ExitCode ShowOneJob(Console& console,
                    ApiClient& client,
                    const StatusCommand& command) {
  ApiCall call;
  call.target = JobTarget(command.job);
  const auto asked = client.Call(call);
  if (!asked) {
    return ReportFailure(console, asked.error());
  }
  const core::Expected<JobAnswer> answer = ReadJobAnswer(asked->response);
  const bool is_job = answer && (answer->outcome || !answer->state.empty());
  if (!is_job) {
    return ReportRefusal(console, asked->response);
  }
  if (command.client.json) {
    PrintJson(console, answer->document);
  } else {
    console.out << DrawTable(JobColumns(),
                             nlohmann::json::array({answer->document}))
                << std::flush;
  }
  return CodeOf(*answer);
}

}  // namespace

ExitCode RunSubmit(Console& console, const SubmitCommand& command) {
  core::Expected<std::string> payload = ReadPayload(command.payload_file);
  if (!payload) {
    return ReportError(console, payload.error(), ExitCode::kUsage);
  }
  const auto client = ApiClient::Create(command.client);
  if (!client) {
    return ReportError(console, client.error(), ExitCode::kUsage);
  }
  return Submission(console, **client, command).Run(std::move(*payload));
}

ExitCode RunStatus(Console& console, const StatusCommand& command) {
  const auto client = ApiClient::Create(command.client);
  if (!client) {
    return ReportError(console, client.error(), ExitCode::kUsage);
  }
  if (!command.job.empty()) {
    return ShowOneJob(console, **client, command);
  }
  ApiCall call;
  call.target = "/v1/jobs";
  const auto jobs = (*client)->Call(call);
  if (!jobs) {
    return ReportFailure(console, jobs.error());
  }
  if (IsSuccess(jobs->response)) {
    return PrintList(console, jobs->response, "jobs", JobColumns(),
                     command.client.json);
  }
  if (!IsDenied(jobs->response)) {
    return ReportRefusal(console, jobs->response);
  }
  // An operator's token belongs to no organisation; it shows the workers.
  call.target = "/v1/workers";
  const auto workers = (*client)->Call(call);
  if (!workers) {
    return ReportFailure(console, workers.error());
  }
  return IsSuccess(workers->response)
             ? PrintList(console, workers->response, "workers", WorkerColumns(),
                         command.client.json)
             : ReportRefusal(console, jobs->response);
}

ExitCode RunCancel(Console& console, const CancelCommand& command) {
  const auto client = ApiClient::Create(command.client);
  if (!client) {
    return ReportError(console, client.error(), ExitCode::kUsage);
  }
  ApiCall call;
  call.method = wire::HttpMethod::kDelete;
  call.target = JobTarget(command.job);
  const auto asked = (*client)->Call(call);
  if (!asked) {
    return ReportFailure(console, asked.error());
  }
  if (!IsSuccess(asked->response)) {
    return ReportRefusal(console, asked->response);
  }
  const core::Expected<JobAnswer> answer = ReadJobAnswer(asked->response);
  if (!answer) {
    return ReportError(console, answer.error(), ExitCode::kFailed);
  }
  if (command.client.json) {
    PrintJson(console, answer->document);
  } else if (!answer->outcome) {
    console.out << "cancellation requested; see hemlockdoor status"
                << std::endl;
  } else {
    console.out << PrintableText(StatusText(*answer)) << std::endl;
  }
  const bool ended_otherwise =
      answer->outcome && *answer->outcome != model::JobOutcome::kCancelled &&
      *answer->outcome != model::JobOutcome::kNotRun;
  return ended_otherwise ? ExitCode::kFailed : ExitCode::kDone;
}

}  // namespace hemlockdoor::cli
