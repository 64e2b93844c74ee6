#include "tests/support/http.h"

#include <QEventLoop>
#include <optional>
#include <utility>

namespace hemlockdoor::test_support {

core::Expected<wire::HttpResponse> Exchange(const wire::HttpCall& call) {
  wire::HttpClient client;
  QEventLoop loop;
  std::optional<core::Expected<wire::HttpResponse>> answer;
  client.Send(call, [&](core::Expected<wire::HttpResponse> received) {
    answer = std::move(received);
    loop.quit();
  });
  loop.exec();
  return *answer;
}

wire::HttpCall MakeCall(std::uint16_t port,
                        wire::HttpMethod method,
                        const std::string& target,
                        const std::string& body,
                        const std::string& token) {
  wire::HttpCall call;
  call.endpoint = {"127.0.0.1", port};
  call.method = method;
  call.target = target;
  call.body = body;
  call.timeout = core::Duration::Seconds(30);
  call.headers.Add("Authorization", "Bearer " + token);
  return call;
}

}  // namespace hemlockdoor::test_support
