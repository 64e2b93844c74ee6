// Blocking client of the caller and operator API, for subcommands.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "modules/cli/program/commands.h"
#include "modules/core/core.h"
#include "modules/settings/settings.h"
#include "modules/wire/wire.h"

namespace hemlockdoor::cli {

/// One call, sent to the entries in turn until one answers.
struct ApiCall {
  wire::HttpMethod method = wire::HttpMethod::kGet;
  std::string target;
  std::string body;
  std::vector<wire::HttpHeader> headers;
  /// Time beyond the client's own that the entry may take to answer.
  core::Duration wait;
};

/// An answer, and what happened before it.
struct ApiAnswer {
  wire::HttpResponse response;
  /// True: an earlier try may have reached an entry, but its answer was lost,
  /// so the call may have taken effect before this answer was made.
  bool earlier_try_in_doubt = false;
};

/// How a call without any answer ended.
struct ApiFailure {
  core::Error error;
  /// True: the call may have taken effect.
  bool in_doubt = false;
};

/// Calls entries from a thread with a QCoreApplication.
class ApiClient {
 public:
  /// Checks the endpoints and reads the token. kInvalidArgument when an
  /// endpoint is malformed or there is no token.
  static core::Expected<std::unique_ptr<ApiClient>> Create(
      const ClientOptions& options);

  /// Sends the call to each entry in turn until one gives an answer other than
  /// 502, 503 or 504, twice round with a pause between. Every call is safe to
  /// send again: submissions carry an Idempotency-Key and edits an If-Match.
  tl::expected<ApiAnswer, ApiFailure> Call(const ApiCall& call);

  /// Sends the call to the first entry only, once.
  tl::expected<ApiAnswer, ApiFailure> CallOnce(const ApiCall& call);

  /// Tries at each entry before a call is given up.
  static constexpr int kRounds = 2;
  /// Pause between two rounds.
  static constexpr core::Duration kRoundPause =
      core::Duration::Milliseconds(500);

 private:
  ApiClient(std::vector<wire::Endpoint> entry_endpoints,
            settings::Secret bearer_token,
            core::Duration call_timeout);
  core::Expected<wire::HttpResponse> Exchange(const wire::Endpoint& entry,
                                              const ApiCall& call);

  std::vector<wire::Endpoint> entries;
  settings::Secret token;
  core::Duration timeout;
  wire::HttpClient client;
};

/// Waits on this thread while its event loop runs.
void PauseFor(core::Duration duration);

/// What a refusing answer says to a person: the problem's detail, and when to
/// retry.
std::string DescribeRefusal(const wire::HttpResponse& response);

/// True for 200 to 299.
bool IsSuccess(const wire::HttpResponse& response);

}  // namespace hemlockdoor::cli
