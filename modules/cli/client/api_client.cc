#include "modules/cli/client/api_client.h"

#include <QEventLoop>
#include <QTimer>
#include <cstdlib>
#include <utility>

#include "modules/model/model.h"

namespace hemlockdoor::cli {

namespace {

constexpr std::size_t kMaxTokenBytes = 4096;
constexpr const char* kTokenVariable = "HEMLOCKDOOR_TOKEN";

std::string TrimLineEnd(std::string text) {
  while (!text.empty() && (text.back() == '\n' || text.back() == '\r')) {
    text.pop_back();
  }
  return text;
}

core::Expected<settings::Secret> ReadToken(const ClientOptions& options) {
  std::string text;
  if (!options.token_file.empty()) {
    core::Expected<std::string> read =
        settings::ReadTextFile(options.token_file, kMaxTokenBytes);
    if (!read) {
      return tl::unexpected<core::Error>(read.error());
    }
    text = TrimLineEnd(std::move(*read));
  } else if (const char* value = std::getenv(kTokenVariable)) {
    text = value;
  }
  // A header field cannot hold a line end or other control characters.
  const bool usable =
      !text.empty() && text.find_first_of("\r\n\t ") == std::string::npos;
  if (!usable) {
    return core::MakeError(
        core::ErrorCode::kInvalidArgument,
        options.token_file.empty()
            ? "no token: name its file with --token-file or set the "
              "environment variable HEMLOCKDOOR_TOKEN"
            : "the file does not hold one token",
        options.token_file);
  }
  return settings::Secret(std::move(text));
}

/// Answers that another entry may improve on.
bool IsTransient(const wire::HttpResponse& response) {
  return response.status == wire::http_status::kBadGateway ||
         response.status == wire::http_status::kUnavailable ||
         response.status == wire::http_status::kGatewayTimeout;
}

/// Some statuses state the end of the job in their body; another try would not
/// change it.
bool StatesOutcome(const wire::HttpResponse& response) {
  const core::Expected<nlohmann::json> document =
      model::ParseJson(response.body);
  return document && document->is_object() && document->contains("outcome") &&
         document->contains("id");
}

}  // namespace

core::Expected<std::unique_ptr<ApiClient>> ApiClient::Create(
    const ClientOptions& options) {
  std::vector<wire::Endpoint> entries;
  for (const std::string& text : options.entries) {
    const core::Expected<wire::Endpoint> entry = wire::Endpoint::Parse(text);
    if (!entry) {
      core::Error error = entry.error();
      error.path = "--entry";
      return tl::unexpected<core::Error>(std::move(error));
    }
    entries.push_back(*entry);
  }
  if (entries.empty()) {
    return core::MakeError(core::ErrorCode::kInvalidArgument,
                           "name at least one entry as ADDRESS:PORT",
                           "--entry");
  }
  core::Expected<settings::Secret> token = ReadToken(options);
  if (!token) {
    return tl::unexpected<core::Error>(token.error());
  }
  return std::unique_ptr<ApiClient>(
      new ApiClient(std::move(entries), std::move(*token), options.timeout));
}

ApiClient::ApiClient(std::vector<wire::Endpoint> entry_endpoints,
                     settings::Secret bearer_token,
                     core::Duration call_timeout)
    : entries(std::move(entry_endpoints)),
      token(std::move(bearer_token)),
      timeout(call_timeout) {}

core::Expected<wire::HttpResponse> ApiClient::Exchange(
    const wire::Endpoint& entry,
    const ApiCall& call) {
  wire::HttpCall exchange;
  exchange.endpoint = entry;
  exchange.method = call.method;
  exchange.target = call.target;
  exchange.body = call.body;
  exchange.timeout = this->timeout + call.wait;
  // The library must not repeat a request silently: this client decides, and
  // remembers, which tries are in doubt.
  exchange.single_send = !call.body.empty();
  exchange.headers.Add("Authorization", "Bearer " + this->token.Reveal());
  for (const wire::HttpHeader& header : call.headers) {
    exchange.headers.Add(header.name, header.value);
  }
  std::optional<core::Expected<wire::HttpResponse>> answer;
  QEventLoop loop;
  this->client.Send(exchange, [&](core::Expected<wire::HttpResponse> received) {
    answer = std::move(received);
    loop.quit();
  });
  while (!answer) {
    loop.exec();
  }
  return std::move(*answer);
}

tl::expected<ApiAnswer, ApiFailure> ApiClient::Call(const ApiCall& call) {
  ApiFailure failure;
  std::optional<ApiAnswer> last;
  for (int round = 0; round < kRounds; ++round) {
    if (round > 0) {
      PauseFor(kRoundPause);
    }
    for (const wire::Endpoint& entry : this->entries) {
      core::Expected<wire::HttpResponse> answer = this->Exchange(entry, call);
      if (!answer) {
        failure.in_doubt = failure.in_doubt ||
                           answer.error().code == core::ErrorCode::kTimeout;
        failure.error = answer.error();
        failure.error.path = "entry " + entry.ToText();
        continue;
      }
      const bool transient = IsTransient(*answer) && !StatesOutcome(*answer);
      last = ApiAnswer{std::move(*answer), failure.in_doubt};
      if (!transient) {
        return std::move(*last);
      }
    }
  }
  if (last) {
    last->earlier_try_in_doubt = failure.in_doubt;
    return std::move(*last);
  }
  return tl::unexpected<ApiFailure>(std::move(failure));
}

tl::expected<ApiAnswer, ApiFailure> ApiClient::CallOnce(const ApiCall& call) {
  const wire::Endpoint& entry = this->entries.front();
  core::Expected<wire::HttpResponse> answer = this->Exchange(entry, call);
  if (!answer) {
    ApiFailure failure;
    failure.error = answer.error();
    failure.error.path = "entry " + entry.ToText();
    failure.in_doubt = failure.error.code == core::ErrorCode::kTimeout;
    return tl::unexpected<ApiFailure>(std::move(failure));
  }
  return ApiAnswer{std::move(*answer), false};
}

void PauseFor(core::Duration duration) {
  QEventLoop loop;
  QTimer timer;
  timer.setSingleShot(true);
  QObject::connect(&timer, &QTimer::timeout, &loop, [&loop] { loop.quit(); });
  timer.start(static_cast<int>(duration.InMilliseconds()));
  loop.exec();
}

std::string DescribeRefusal(const wire::HttpResponse& response) {
  std::string text = "answer " + std::to_string(response.status);
  const core::Expected<nlohmann::json> document =
      model::ParseJson(response.body);
  if (document && document->is_object()) {
    for (const char* field : {"detail", "error", "title"}) {
      const auto found = document->find(field);
      if (found != document->end() && found->is_string()) {
        text = found->get<std::string>() + " (" + text + ")";
        break;
      }
    }
    const auto outcome = document->find("outcome");
    if (outcome != document->end() && outcome->is_string()) {
      text = outcome->get<std::string>() + ": " + text;
    }
  }
  if (const auto retry_after = response.headers.Find("Retry-After")) {
    text += "; retry after " + *retry_after + " s";
  }
  return text;
}

bool IsSuccess(const wire::HttpResponse& response) {
  constexpr int kFirstSuccess = 200;
  constexpr int kFirstRedirect = 300;
  return response.status >= kFirstSuccess && response.status < kFirstRedirect;
}

}  // namespace hemlockdoor::cli
