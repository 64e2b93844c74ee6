// An entry on a hosting platform, as a separate process, with odd entries in
// the platform's store.
#include <sys/socket.h>

#include <QDir>
#include <QTcpSocket>
#include <QTemporaryDir>
#include <boost/test/unit_test.hpp>
#include <cstdint>
#include <deque>
#include <optional>
#include <random>
#include <set>
#include <string>

#include "modules/model/testing/odd_json.h"
#include "modules/wire/wire.h"
#include "platform/testing/store_standin.h"
#include "tests/support/child_process.h"

namespace hemlockdoor {

namespace {

using platform::testing::StoreStandIn;
using test_support::ChildProcess;
using test_support::WaitUntil;

constexpr core::Duration kLimit = core::Duration::Seconds(10);

/// A port of loopback on which a process can listen that is told its number.
/// It lies below the range from which Linux by default takes the ports of
/// connections and of servers that ask for any port, and outside that of
/// `review::FreePort`, so none of them gets it. A socket that does not listen
/// holds it, so that it is reserved only once.
class ReservedPort {
 public:
  ReservedPort() {
    constexpr int kFirst = 10000;
    constexpr int kLast = 19999;
    constexpr int kMaxAttempts = 1000;
    std::random_device device;
    std::uniform_int_distribution<std::uint16_t> any(kFirst, kLast);
    bool is_bound = false;
    for (int i = 0; i < kMaxAttempts && !is_bound; ++i) {
      is_bound =
          this->socket.bind(QHostAddress(QHostAddress::LocalHost), any(device),
                            QAbstractSocket::DontShareAddress);
    }
    BOOST_REQUIRE(is_bound);
    // From now on a server may listen on the port. Before, the option would
    // have let two sockets reserve the same port.
    const int enabled = 1;
    BOOST_REQUIRE(
        ::setsockopt(static_cast<int>(this->socket.socketDescriptor()),
                     SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled)) == 0);
  }
  std::uint16_t Number() const { return this->socket.localPort(); }

 private:
  QTcpSocket socket;
};

wire::HttpServer::Handler IgnoreRequests() {
  return [](const wire::HttpRequest&, const wire::HttpResponder&) {};
}

/// Returns the status of a GET request, or 0 without a response.
int StatusOf(std::uint16_t port,
             const std::string& target,
             const std::string& host) {
  wire::HttpClient client;
  wire::HttpCall call;
  call.endpoint = {"127.0.0.1", port};
  call.target = target;
  call.headers.Add("Host", host);
  std::optional<int> status;
  client.Send(call, [&status](const core::Expected<wire::HttpResponse>& end) {
    status = end ? end->status : 0;
  });
  BOOST_REQUIRE(WaitUntil([&status] { return status.has_value(); }, kLimit));
  return *status;
}

/// Ports of an entry that runs as a separate process.
struct EntryPorts {
  ReservedPort callers;
  ReservedPort readiness;
  ReservedPort internal;
};

/// Writes the settings of an entry.
void WriteSettings(const std::string& file,
                   const std::string& node,
                   const EntryPorts& ports,
                   const StoreStandIn& store) {
  const auto address = [](std::uint16_t port) {
    return "\"127.0.0.1:" + std::to_string(port) + "\"";
  };
  test_support::WriteFile(
      file, "{\"node\":\"" + node +
                R"(","data_centre":"d","address":"127.0.0.1",
        "entries":[],"min_store_lease_ms":1000,"max_worker_lease_ms":6000,
        "stop_grace_s":6,"caller_endpoint":)" +
                address(ports.callers.Number()) +
                ",\"readiness_endpoint\":" + address(ports.readiness.Number()) +
                ",\"internal_endpoint\":" + address(ports.internal.Number()) +
                ",\"store_endpoint\":" + address(store.Endpoint().port) + "}");
}

}  // namespace

BOOST_AUTO_TEST_SUITE(HostedEntryTest)

// Guards against an entry of these tests that cannot listen, because one of its
// ports is also that of another endpoint or of a server of another test.
BOOST_AUTO_TEST_CASE(ReservedPortsAreGivenToNoOtherSocket) {
  // Enough that draws without reservation would repeat some port almost
  // certainly: from 10000 ports, or from the 7000 that Linux chooses from when
  // a server asks for any.
  constexpr int kPorts = 400;
  std::deque<ReservedPort> ports(kPorts);
  std::set<std::uint16_t> reserved;
  for (const ReservedPort& port : ports) {
    reserved.insert(port.Number());
  }
  BOOST_TEST(reserved.size() == kPorts);
  for (const std::uint16_t port : reserved) {
    const auto any = wire::HttpServer::Listen(
        "127.0.0.1", 0, wire::HttpServerLimits(), IgnoreRequests());
    BOOST_REQUIRE(any.has_value());
    BOOST_TEST(!reserved.contains((*any)->Port()));
    const auto told = wire::HttpServer::Listen(
        "127.0.0.1", port, wire::HttpServerLimits(), IgnoreRequests());
    BOOST_TEST(told.has_value(), (told ? "" : told.error().message));
  }
}

BOOST_AUTO_TEST_CASE(AnEntryOutlivesOddEntriesAndFollowsLaterChanges) {
  StoreStandIn store;
  int number = 0;
  for (const std::string& odd : model::testing::OddValues()) {
    const std::string id = std::to_string(++number);
    store.Put("hd/in/job/" + id, odd);
    store.Put("hd/progress/" + id, odd);
    store.Put("hd/" + id, odd);
    store.AddOddItem("{\"key\":\"hd/in/job/x\",\"value\":7,\"revision\":-1}");
  }
  store.Put("hd/members", R"([7,{"agent":"a","endpoint":"127.0.0.1:99999"}])");
  store.PutConfiguration(1, "first.example");
  const EntryPorts ports;
  const QTemporaryDir folder;
  const std::string settings = folder.filePath("entry.jsonc").toStdString();
  WriteSettings(settings, "n", ports, store);
  ChildProcess entry("hemlockdoor", {"hosted-entry", "--settings", settings},
                     folder.filePath("entry.log").toStdString());
  const auto finds_queue = [&ports](const std::string& host) {
    constexpr int kUnknownKey = 401;
    return StatusOf(ports.callers.Number(), "/q/", host) == kUnknownKey;
  };
  BOOST_TEST(WaitUntil([&] { return finds_queue("first.example"); }, kLimit));
  BOOST_TEST(StatusOf(ports.readiness.Number(), "/-/ready", "n") == 200);
  BOOST_TEST(WaitUntil([&store] { return store.Contains("owner"); }, kLimit));
  for (const std::string& odd : model::testing::OddValues()) {
    store.PutConfigurationText(odd);
    store.Put("hd/in/job/later", odd);
  }
  store.PutConfiguration(2, "second.example");
  BOOST_TEST(WaitUntil([&] { return finds_queue("second.example"); }, kLimit));
  BOOST_TEST(entry.IsRunning());
  entry.Terminate();
  BOOST_TEST((entry.WaitForExit(kLimit) == std::optional<int>(0)));
}

// Guards against an internal endpoint that does not serve `explain`, and an
// entry that is not the planner and does not forward it.
BOOST_AUTO_TEST_CASE(EachEntryAnswersTheExplainCommand) {
  StoreStandIn store;
  store.PutConfiguration(1, "first.example");
  const QTemporaryDir folder;
  const auto path = [&folder](const char* name) {
    return folder.filePath(name).toStdString();
  };
  const EntryPorts first_ports;
  const EntryPorts second_ports;
  WriteSettings(path("first.jsonc"), "first", first_ports, store);
  WriteSettings(path("second.jsonc"), "second", second_ports, store);
  const ChildProcess first("hemlockdoor",
                           {"hosted-entry", "--settings", path("first.jsonc")},
                           path("first.log"));
  const ChildProcess second(
      "hemlockdoor", {"hosted-entry", "--settings", path("second.jsonc")},
      path("second.log"));
  test_support::WriteFile(path("job.jsonc"),
                          R"({"queue":"q","organisation":"t","steps":[{}]})");
  const auto explain = [&path](const EntryPorts& ports,
                               const std::string& option,
                               const std::string& value) {
    ChildProcess command(
        "hemlockdoor",
        {"explain", "--entry",
         "127.0.0.1:" + std::to_string(ports.internal.Number()), option, value},
        path("explain.log"));
    return command.WaitForExit(kLimit).value_or(-1);
  };
  for (const EntryPorts* ports : {&first_ports, &second_ports}) {
    BOOST_TEST(WaitUntil(
        [&] { return explain(*ports, "--file", path("job.jsonc")) == 0; },
        kLimit));
    BOOST_TEST(explain(*ports, "--job", "none") == 1);
    BOOST_TEST(test_support::ReadFile(path("explain.log"))
                   .find("does not know the job") != std::string::npos);
  }
  BOOST_TEST(explain(first_ports, "--file", path("missing.jsonc")) == 2);
  // The example of the documentation is valid, but for a queue that is not
  // configured here.
  const std::string example =
      QDir(qEnvironmentVariable("HEMLOCKDOOR_BIN"))
          .filePath("../docs/examples/explain-job.jsonc")
          .toStdString();
  BOOST_TEST(explain(first_ports, "--file", example) == 1);
  BOOST_TEST(
      test_support::ReadFile(path("explain.log")).find("unknown queue") !=
      std::string::npos);
  BOOST_TEST(first.IsRunning(), test_support::ReadFile(path("first.log")));
  BOOST_TEST(second.IsRunning(), test_support::ReadFile(path("second.log")));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hemlockdoor
