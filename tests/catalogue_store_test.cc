// The catalogue service over the etcd adapter, with a store that restarts.
#include <QElapsedTimer>
#include <QEventLoop>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <memory>
#include <optional>

#include "modules/entry/catalogue/catalogue_service.h"
#include "modules/store/store.h"
#include "tests/support/store_standin_process.h"

namespace hemlockdoor::entry {

namespace {

using Outcome = core::Expected<core::CatalogueRevision>;

/// One entry process with a store adapter of its own.
struct EntryFake {
  EntryFake(const wire::Endpoint& endpoint, const std::string& name) {
    store::EtcdOptions options;
    options.endpoint = endpoint;
    options.first_backoff = core::Duration::Milliseconds(20);
    options.longest_backoff = core::Duration::Milliseconds(200);
    this->store = std::move(*store::EtcdGatewayStore::Create(options));
    this->service = std::make_unique<CatalogueService<store::EtcdGatewayStore>>(
        *this->store, CatalogueServiceOptions{.edit_id_prefix = name},
        [this](const model::Catalogue& catalogue) {
          this->went_back =
              this->went_back ||
              (this->loaded && catalogue.revision <= this->revision);
          this->revision = catalogue.revision;
          this->loaded = true;
        },
        [](const model::Catalogue&) { return core::Expected<void>(); });
  }

  std::unique_ptr<store::EtcdGatewayStore> store;
  std::unique_ptr<CatalogueService<store::EtcdGatewayStore>> service;
  core::CatalogueRevision revision;
  bool loaded = false;
  bool went_back = false;
};

/// Two entries and their event loop.
struct Entries {
  explicit Entries(const wire::Endpoint& endpoint)
      : first(endpoint, "a"), second(endpoint, "b") {}

  bool RunUntil(const std::function<bool()>& condition) {
    constexpr int kStuckMilliseconds = 20'000;
    QElapsedTimer timer;
    timer.start();
    while (!condition()) {
      if (timer.elapsed() > kStuckMilliseconds) {
        return false;
      }
      this->first.service->Tick(core::Clock::Now());
      this->second.service->Tick(core::Clock::Now());
      QEventLoop loop;
      wire::RunLater(&loop, core::Duration::Milliseconds(5),
                     [&loop] { loop.quit(); });
      loop.exec();
    }
    return true;
  }

  Outcome Put(const std::string& name) {
    model::CatalogueEntry entry;
    entry.name = core::CatalogueEntryName(name);
    entry.owner = core::OrganisationId("org-" + name);
    entry.job_class = core::JobClass("batch");
    auto outcome = std::make_shared<std::optional<Outcome>>();
    this->first.service->Edit(PutCatalogueEntry{entry}, this->first.revision,
                              [outcome](Outcome done) { *outcome = done; });
    BOOST_REQUIRE(this->RunUntil([&] { return outcome->has_value(); }));
    return **outcome;
  }

  EntryFake first;
  EntryFake second;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(CatalogueStoreTest)

// Guards against edits that are lost or doubled between the service and the
// adapter, and against going back when the store restarts without its data.
BOOST_AUTO_TEST_CASE(EditsSurviveLostAnswersAndAnEmptyStore) {
  auto standin = std::make_unique<testing::StoreStandinProcess>();
  const wire::Endpoint endpoint = standin->Endpoint();
  Entries entries(endpoint);
  BOOST_REQUIRE(entries.RunUntil(
      [&] { return entries.first.loaded && entries.second.loaded; }));
  for (int i = 1; i <= 3; ++i) {
    standin->Control({{"lose_next_answers", 1}});
    const Outcome outcome = entries.Put("e" + std::to_string(i));
    BOOST_REQUIRE(outcome.has_value());
    BOOST_TEST(outcome->Number() == static_cast<std::uint64_t>(i));
  }
  BOOST_TEST(
      entries.RunUntil([&] { return entries.second.revision.Number() == 3; }));
  standin.reset();
  const Outcome refused = entries.Put("while-down");
  BOOST_REQUIRE(!refused.has_value());
  BOOST_TEST((refused.error().code == core::ErrorCode::kUnavailable));
  standin = std::make_unique<testing::StoreStandinProcess>(endpoint.port);
  std::optional<EntryFake> restarted;
  BOOST_TEST(entries.RunUntil([&] {
    return standin->Counts()["txn"] >= 1 &&
           entries.first.service->Status().condition ==
               CatalogueCondition::kInSync;
  }));
  restarted.emplace(endpoint, "c");
  BOOST_TEST(entries.RunUntil([&] {
    restarted->service->Tick(core::Clock::Now());
    return restarted->revision.Number() == 3;
  }));
  BOOST_TEST(restarted->service->Current()->entries.size() == 3U);
  BOOST_TEST(!entries.first.went_back);
  BOOST_TEST(!entries.second.went_back);
  BOOST_TEST(entries.Put("after").has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hemlockdoor::entry
