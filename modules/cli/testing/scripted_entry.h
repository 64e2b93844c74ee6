// An entry for tests of commands: answers each request as the test says.
#pragma once

#include <boost/test/unit_test.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <sstream>
#include <string>
#include <vector>

#include "modules/cli/output/console.h"
#include "modules/cli/program/commands.h"
#include "modules/wire/wire.h"

namespace hemlockdoor::cli::testing {

/// Keeps the requests it gets. A script that returns nothing leaves the request
/// without an answer.
class ScriptedEntry {
 public:
  using Script = std::function<std::optional<wire::HttpResponse>(
      const wire::HttpRequest&)>;

  explicit ScriptedEntry(Script answer_script)
      : script(std::move(answer_script)) {
    auto listening = wire::HttpServer::Listen(
        "127.0.0.1", 0, {},
        [this](wire::HttpRequest request, wire::HttpResponder responder) {
          this->requests.push_back(request);
          const auto response = this->script(request);
          if (response) {
            responder.Respond(*response);
          } else {
            this->unanswered.push_back(std::move(responder));
          }
        });
    BOOST_REQUIRE(listening.has_value());
    this->server = std::move(*listening);
  }

  std::string Endpoint() const {
    return "127.0.0.1:" + std::to_string(this->server->Port());
  }

  std::vector<wire::HttpRequest> requests;

 private:
  Script script;
  std::vector<wire::HttpResponder> unanswered;
  std::unique_ptr<wire::HttpServer> server;
};

inline wire::HttpResponse Answer(int status, std::string body) {
  wire::HttpResponse response;
  response.status = status;
  response.body = std::move(body);
  return response;
}

/// A console that keeps what is written.
struct CapturedConsole {
  std::ostringstream out;
  std::ostringstream err;
  Console console{out, err, false};
};

/// Options that call `entries` with a token, and give up quickly.
inline ClientOptions OptionsFor(std::vector<std::string> entries) {
  qputenv("HEMLOCKDOOR_TOKEN", "test-token");
  ClientOptions options;
  options.entries = std::move(entries);
  options.timeout = core::Duration::Milliseconds(300);
  return options;
}

/// An endpoint that refuses connections: its port was free a moment ago.
inline std::string ClosedEndpoint() {
  return ScriptedEntry([](const wire::HttpRequest&) { return std::nullopt; })
      .Endpoint();
}

}  // namespace hemlockdoor::cli::testing
