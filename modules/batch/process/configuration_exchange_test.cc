#include "modules/batch/process/configuration_exchange.h"

#include <QTcpServer>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <vector>

#include "modules/wire/testing/wait_for.h"

namespace hemlockdoor::batch {

namespace {

using wire::testing::WaitFor;

/// An entry that serves its peers, with the version of its configuration as
/// the content.
class ExchangingEntry {
 public:
  ExchangingEntry() {
    auto listening = wire::HttpServer::Listen(
        "127.0.0.1", 0, wire::HttpServerLimits(),
        [this](const wire::HttpRequest& request,
               const wire::HttpResponder& responder) {
          ++this->calls;
          wire::RunLater(
              &this->context, this->answer_delay, [this, request, responder] {
                BOOST_TEST(this->exchange->HandlePeer(request, responder));
              });
        });
    BOOST_REQUIRE(listening.has_value());
    this->server = std::move(*listening);
    this->exchange = std::make_unique<ConfigurationExchange>(
        this->Endpoint(), [this] { return this->peers; },
        ExchangeHandlers{
            [this]() -> const OperatorSnapshot& { return this->snapshot; },
            [this](core::TimePoint) { return this->age; },
            [this](core::TimePoint) { return this->age_at_store; },
            [this](const SnapshotAnswer& answer, core::TimePoint) {
              this->confirmed = true;
              if (answer.content) {
                ++this->contents;
                this->snapshot.OnSnapshot(*answer.content);
              }
            }});
  }

  std::string Endpoint() const {
    return "127.0.0.1:" + std::to_string(this->server->Port());
  }
  /// Takes a version from the store.
  void SetVersion(std::uint64_t version) {
    const store::ModRevision revision(version);
    this->snapshot.OnSnapshot(OperatorSnapshot(
        {{{"config", std::to_string(version), revision}}, revision}));
  }
  std::uint64_t Version() const { return this->snapshot.Revision().Number(); }
  void LoseStore() {
    this->age = core::Duration::Seconds(5);
    this->age_at_store = this->age;
  }

  std::vector<std::string> peers;
  OperatorSnapshot snapshot;
  core::Duration age;
  core::Duration age_at_store;
  bool confirmed = false;
  int calls = 0;
  /// Answers with content that this entry got.
  int contents = 0;
  core::Duration answer_delay;
  std::unique_ptr<ConfigurationExchange> exchange;

 private:
  QObject context;
  std::unique_ptr<wire::HttpServer> server;
};

/// Longest time to learn from a peer that answers.
constexpr int kLearnMs = 600;

}  // namespace

BOOST_AUTO_TEST_SUITE(ConfigurationExchangeTest)

BOOST_AUTO_TEST_CASE(AnEntryWithoutTheStoreAsksItsPeers) {
  ExchangingEntry sound;
  ExchangingEntry late;
  sound.SetVersion(2);
  late.SetVersion(1);
  late.peers = {sound.Endpoint()};
  late.LoseStore();
  BOOST_TEST(WaitFor([&late] { return late.Version() == 2U; }, kLearnMs));
  // The content is the same, and the peer confirms that it is the newest.
  late.confirmed = false;
  BOOST_TEST(WaitFor([&late] { return late.confirmed; }, 2000));
  sound.SetVersion(3);
  BOOST_TEST(WaitFor([&late] { return late.Version() == 3U; }, 2000));
}

// The entry that the store serves calls the one that it does not serve.
BOOST_AUTO_TEST_CASE(AChangeReachesAPeerThatDoesNotAsk) {
  ExchangingEntry sound;
  ExchangingEntry late;
  sound.peers = {late.Endpoint()};
  sound.SetVersion(2);
  late.SetVersion(1);
  sound.exchange->NotifyPeers();
  BOOST_TEST(WaitFor([&late] { return late.Version() == 2U; }, kLearnMs));
}

// Guards against copies of a large configuration from several peers, which
// delay each other on a slow link until none of them arrives in time.
BOOST_AUTO_TEST_CASE(TheContentIsFetchedFromOnePeerAtATime) {
  std::vector<std::unique_ptr<ExchangingEntry>> sound;
  ExchangingEntry late;
  late.SetVersion(1);
  for (int i = 0; i < 4; ++i) {
    sound.push_back(std::make_unique<ExchangingEntry>());
    sound.back()->peers = {late.Endpoint()};
    sound.back()->SetVersion(2);
    sound.back()->answer_delay = core::Duration::Milliseconds(100);
    sound.back()->exchange->NotifyPeers();
  }
  BOOST_TEST(WaitFor([&late] { return late.Version() == 2U; }, kLearnMs));
  WaitFor([] { return false; }, kLearnMs);
  BOOST_TEST(late.contents == 1);
  // One that knew of a later change meanwhile is asked after the transfer.
  sound.front()->exchange->NotifyPeers();
  sound.back()->SetVersion(3);
  sound.back()->exchange->NotifyPeers();
  BOOST_TEST(WaitFor([&late] { return late.Version() == 3U; }, kLearnMs));
}

// Guards against load on the entries while the store serves all of them.
BOOST_AUTO_TEST_CASE(AnEntryThatTheStoreConfirmsAsksNobody) {
  ExchangingEntry first;
  ExchangingEntry second;
  first.peers = {second.Endpoint()};
  BOOST_TEST(!WaitFor([&second] { return second.calls > 0; }, 1000));
}

// Guards against entries whose configured peers are all turned away by the
// store, and which then learn from nobody.
BOOST_AUTO_TEST_CASE(PeersThatHaveCalledAreAskedToo) {
  ExchangingEntry seed;
  ExchangingEntry sound;
  ExchangingEntry late;
  sound.peers = {seed.Endpoint()};
  late.peers = {seed.Endpoint()};
  sound.exchange->NotifyPeers();
  BOOST_TEST(WaitFor([&seed] { return seed.calls > 0; }, kLearnMs));
  seed.LoseStore();
  late.LoseStore();
  sound.SetVersion(2);
  BOOST_TEST(WaitFor([&late] { return late.Version() == 2U; }, 4000));
}

// Guards against a peer that hangs and keeps the others from being asked.
BOOST_AUTO_TEST_CASE(AnEntryThatHangsDoesNotDelayTheOthers) {
  QTcpServer silent;
  silent.listen(QHostAddress::LocalHost);
  ExchangingEntry sound;
  ExchangingEntry late;
  sound.SetVersion(2);
  late.peers = {"127.0.0.1:" + std::to_string(silent.serverPort()),
                sound.Endpoint()};
  late.LoseStore();
  BOOST_TEST(WaitFor([&late] { return late.Version() == 2U; }, kLearnMs));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hemlockdoor::batch
