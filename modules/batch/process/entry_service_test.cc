#include "modules/batch/process/entry_service.h"

#include <boost/test/unit_test.hpp>
#include <memory>
#include <optional>

#include "modules/batch/testing/fixtures.h"
#include "modules/wire/testing/wait_for.h"

namespace hemlockdoor::batch {

namespace {

using testing::MakeJob;
using testing::MakeStep;
using wire::testing::WaitFor;

constexpr core::Duration kPatience = core::Duration::Milliseconds(600);

PlannerServiceOptions Options() {
  PlannerServiceOptions options;
  options.entry = core::EntryId("entry");
  options.endpoint = "127.0.0.1:1";
  options.term = core::Duration::Seconds(5);
  return options;
}

struct Entry {
  Entry() : service(Options(), store) { this->store.DriveByTimer(); }

  void SetFaults(bool down, int lost_answers) {
    store::MemoryStoreFaults faults;
    faults.down = down;
    faults.lose_next_answers = lost_answers;
    this->store.SetFaults(faults);
  }
  SubmitResult Submit() {
    std::optional<SubmitResult> result;
    this->service.Submit(std::make_shared<const JobRecord>(
                             MakeJob("j", {MakeStep(1, {1000, 1000, 1})})),
                         core::Clock::Now() + kPatience,
                         [&result](SubmitResult outcome) { result = outcome; });
    BOOST_REQUIRE(WaitFor([&result] { return result.has_value(); }));
    return *result;
  }
  bool HoldsJob() {
    std::optional<bool> found;
    this->store.Get(
        store_keys::JobKey(core::JobId("j")),
        [&found](const auto& item) { found = item && item->has_value(); });
    BOOST_REQUIRE(WaitFor([&found] { return found.has_value(); }));
    return *found;
  }

  store::MemoryStore store;
  EntryService<store::MemoryStore> service;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(EntryServiceTest)

// The store carries out the write and its answer is lost: the job will run, so
// the caller is never told that it was not accepted.
BOOST_AUTO_TEST_CASE(ALostAnswerIsNeverTakenForARefusal) {
  constexpr int kMany = 1000;
  for (const int lost : {1, 2, kMany}) {
    Entry entry;
    entry.SetFaults(false, lost);
    const SubmitResult result = entry.Submit();
    BOOST_TEST_CONTEXT("lost answers " << lost) {
      BOOST_TEST((result != SubmitResult::kNotStored));
      BOOST_TEST((result != SubmitResult::kConflict));
      entry.SetFaults(false, 0);
      BOOST_TEST(entry.HoldsJob());
      // The caller asks again with the same id.
      BOOST_TEST((entry.Submit() == SubmitResult::kAccepted));
    }
  }
}

BOOST_AUTO_TEST_CASE(ARefusedJobIsNotStoredLater) {
  Entry entry;
  entry.SetFaults(true, 0);
  BOOST_TEST((entry.Submit() == SubmitResult::kNotStored));
  entry.SetFaults(false, 0);
  BOOST_TEST(!entry.HoldsJob());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hemlockdoor::batch
