// Planning ownership, handover and gangs across several entries.
#include "modules/entry/core/ownership_service.h"

#include <boost/test/unit_test.hpp>

#include "modules/entry/core/entry_core.h"
#include "modules/entry/testing/core_harness_test.h"

namespace hemlockdoor::entry {

namespace {

using testing::CoreHarness;
using testing::FakeAgent;
using NetworkFault = CoreHarness::NetworkFault;
using wire::HttpMethod;

const nlohmann::json kAccelerated = {{"payload", "p"},
                                     {"accelerators_per_member", 2}};
const nlohmann::json kGang = {{"payload", "p"},
                              {"gang_size", 3},
                              {"accelerators_per_member", 2},
                              {"adjacency", "spread"}};

/// Two entries that share a store, the first of them the planning owner, and
/// three agents.
struct Cluster : CoreHarness {
  Cluster() {
    this->AddEntry("e1");
    this->Advance(100);
    this->AddEntry("e2");
    for (const char* name : {"a1", "a2", "a3"}) {
      this->AddAgent(name, 8, 8);
    }
    this->Advance(4000);
    BOOST_REQUIRE(this->Core(0).IsPlanningOwner());
    BOOST_REQUIRE(!this->Core(1).IsPlanningOwner());
  }
  void FinishEverywhere() {
    for (const char* name : {"a1", "a2", "a3"}) {
      this->FinishAll(name);
    }
  }
  /// Number of members that hold capacity, whether reserved or running.
  std::size_t HeldMembers() const {
    std::size_t count = 0;
    for (const auto& [endpoint, agent] : this->agents) {
      for (const auto& [key, task] : agent.tasks) {
        count += task.ended ? 0 : 1;
      }
    }
    return count;
  }
};

nlohmann::json With(nlohmann::json fields, const char* name, bool value) {
  fields[name] = value;
  return fields;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(OwnershipServiceTest)

// Guards against accelerator jobs that are stuck at, or planned by, an entry
// that is not the planning owner.
BOOST_AUTO_TEST_CASE(OtherEntriesHandWorkToTheOwner) {
  for (const nlohmann::json& fields : {kAccelerated, kGang}) {
    Cluster t;
    const auto job = t.Submit(1, fields);
    t.Advance(500);
    const int members = fields == kGang ? 3 : 1;
    BOOST_TEST(t.Starts() == members);
    t.FinishEverywhere();
    t.Advance(200);
    BOOST_TEST(t.OutcomeOf(job) == "done");
    BOOST_TEST(t.ResultOf(job) == "result of p");
  }
}

// Guards against jobs that are lost when the handover, the message with the
// job's end, or the answer to either is lost.
BOOST_AUTO_TEST_CASE(LostHandoverMessagesAreRepeated) {
  for (const char* path : {"/internal/v1/queued", "/internal/v1/result"}) {
    for (const NetworkFault fault :
         {NetworkFault::kLoseRequest, NetworkFault::kLoseAnswer}) {
      Cluster t;
      int left = 1;
      t.network = [&](const std::string&, const std::string& target) {
        return target == path && left-- > 0 ? fault : NetworkFault::kNone;
      };
      const auto job = t.Submit(1, kAccelerated);
      t.Advance(3000);
      BOOST_TEST(t.Starts() == 1);
      t.FinishEverywhere();
      t.Advance(3000);
      BOOST_TEST(t.OutcomeOf(job) == "done");
      BOOST_TEST(t.ResultOf(job) == "result of p");
    }
  }
}

// Guards against a takeover that is late, keeps the old epoch, or starts jobs
// again that already run.
BOOST_AUTO_TEST_CASE(OwnerDeathMovesPlanningAndKeepsRunningGangs) {
  for (const bool queued : {true, false}) {
    Cluster t;
    if (queued) {
      for (const char* name : {"a1", "a2", "a3"}) {
        t.Agent(name).draining = true;
      }
      t.AnnounceAll();
    }
    const auto job = t.Submit(1, kGang, "k1");
    t.Advance(1000);
    BOOST_TEST(t.Starts() == (queued ? 0 : 3));
    t.Kill(0);
    t.Advance(7000);
    BOOST_TEST(t.Core(1).IsPlanningOwner());
    for (const char* name : {"a1", "a2", "a3"}) {
      t.Agent(name).draining = false;
    }
    t.Advance(4000);
    BOOST_TEST(t.Starts() == 3);
    t.FinishEverywhere();
    t.Advance(1000);
    // The fake agents deliver their results only once, to the dead entry, so
    // the new owner has to query them.
    t.Advance(8000);
    BOOST_TEST(t.OutcomeOf(job) == "done");
    BOOST_TEST(t.Starts() == 3);
  }
}

// Guards against a paused former owner that plans with an old epoch after
// another entry took over.
BOOST_AUTO_TEST_CASE(PausedFormerOwnerDoesNotPlan) {
  Cluster t;
  t.Pause(0, true);
  t.Advance(8000);
  BOOST_REQUIRE(t.Core(1).IsPlanningOwner());
  const auto first = t.Submit(1, kGang, "k1");
  t.Advance(500);
  BOOST_TEST(t.Starts() == 3);
  // The former owner resumes and gets a submission before it learns of the new
  // epoch.
  t.store.SetFaults({false, 0, core::Duration::Milliseconds(300)});
  t.Pause(0, false);
  const auto second = t.Submit(0, kGang, "k2");
  t.Advance(100);
  BOOST_TEST(t.Starts() == 3);
  t.Advance(4000);
  BOOST_TEST(!t.Core(0).IsPlanningOwner());
  BOOST_TEST(t.Core(1).IsPlanningOwner());
  BOOST_TEST(t.Starts() == 6);
  t.FinishEverywhere();
  t.Advance(4000);
  BOOST_TEST(t.OutcomeOf(first) == "done");
  BOOST_TEST(t.OutcomeOf(second) == "done");
}

// Guards against an owner that stops planning, or hangs, while the store is
// down. It may go on planning because no other entry can take the lease during
// the outage.
BOOST_AUTO_TEST_CASE(OwnerPlansRepeatableWorkWhileTheStoreIsDown) {
  Cluster t;
  t.store.SetFaults({true, 0, {}});
  t.Advance(9000);
  BOOST_TEST(t.Core(0).IsPlanningOwner());
  const auto job = t.Submit(1, kAccelerated);
  t.Advance(1000);
  BOOST_TEST(t.Starts() == 1);
  t.FinishEverywhere();
  t.Advance(500);
  BOOST_TEST(t.OutcomeOf(job) == "done");
  // The lease has expired during the outage, so one of the entries claims it
  // again.
  t.store.LapseLeases();
  t.store.SetFaults({});
  t.Advance(3000);
  BOOST_TEST((t.Core(0).IsPlanningOwner() != t.Core(1).IsPlanningOwner()));
}

// Guards against a gang of which only a part is reserved or runs after a
// request to a member, the commit, or the answer to either is lost.
BOOST_AUTO_TEST_CASE(GangStartsCompletelyOrNotAtAll) {
  struct Case {
    const char* path;
    const char* endpoint;
    NetworkFault fault;
    int times;
  };
  const Case cases[] = {
      {"/internal/v1/reserve", "a2:2", NetworkFault::kLoseRequest, 1},
      {"/internal/v1/reserve", "a2:2", NetworkFault::kLoseAnswer, 1},
      {"/internal/v1/reserve", "a2:2", NetworkFault::kLoseAnswer, 3},
      {"/internal/v1/reserve", "a2:2", NetworkFault::kLoseRequest, 3},
      {"/internal/v1/commit", "", NetworkFault::kLoseRequest, 1},
      {"/internal/v1/commit", "", NetworkFault::kLoseAnswer, 1},
      {"/internal/v1/commit", "", NetworkFault::kLoseAnswer, 9},
      {"/internal/v1/commit", "", NetworkFault::kLoseRequest, 3},
  };
  for (const bool repeatable : {true, false}) {
    for (const Case& each : cases) {
      Cluster t;
      int left = each.times;
      t.network = [&](const std::string& endpoint, const std::string& target) {
        const bool hit =
            target == each.path &&
            (std::string(each.endpoint).empty() || endpoint == each.endpoint);
        return hit && left-- > 0 ? each.fault : NetworkFault::kNone;
      };
      const auto job = t.Submit(0, With(kGang, "repeatable", repeatable), "k");
      t.Advance(15'000);
      BOOST_TEST(t.Starts() == 3, each.path);
      BOOST_TEST(t.HeldMembers() == 3U, each.path);
      t.FinishEverywhere();
      t.Advance(2000);
      BOOST_TEST(t.OutcomeOf(job) == "done", each.path);
    }
  }
}

// Guards against reservations that are not released when a member refuses.
BOOST_AUTO_TEST_CASE(RefusedGangReleasesItsReservations) {
  Cluster t;
  t.Agent("a3").refusals = 1;
  const auto job = t.Submit(0, kGang, "k1");
  t.Advance(5000);
  BOOST_TEST(t.Starts() == 3);
  BOOST_TEST(t.HeldMembers() == 3U);
  t.FinishEverywhere();
  t.Advance(500);
  BOOST_TEST(t.OutcomeOf(job) == "done");
}

// Guards against a gang that is lost or runs twice when its owner dies between
// the reservations and the commit. Either the agents start the gang by
// themselves (`rolls_forward`), or the reservations are gone and the new owner
// starts the gang.
BOOST_AUTO_TEST_CASE(OwnerDeathBetweenReserveAndCommit) {
  for (const bool repeatable : {true, false}) {
    for (const bool rolls_forward : {true, false}) {
      Cluster t;
      t.network = [](const std::string&, const std::string& target) {
        return target == "/internal/v1/commit" ? NetworkFault::kLoseRequest
                                               : NetworkFault::kNone;
      };
      const auto job = t.Submit(1, With(kGang, "repeatable", repeatable), "k");
      BOOST_TEST(t.HeldMembers() == 3U);
      t.Kill(0);
      t.network = [](const std::string&, const std::string&) {
        return NetworkFault::kNone;
      };
      for (auto& [endpoint, agent] : t.agents) {
        for (auto& [key, task] : agent.tasks) {
          task.started = rolls_forward;
          agent.starts += rolls_forward ? 1 : 0;
        }
        if (!rolls_forward) {
          agent.tasks.clear();
        }
      }
      t.Advance(15'000);
      BOOST_TEST(t.Starts() == 3);
      t.FinishEverywhere();
      t.Advance(12'000);
      BOOST_TEST(t.OutcomeOf(job) == "done");
      BOOST_TEST(t.Starts() == 3);
    }
  }
}

// Guards against a gang whose failed member leaves the caller without an
// answer, and against a non-repeatable gang that is retried.
BOOST_AUTO_TEST_CASE(FailedMemberEndsTheGang) {
  for (const bool repeatable : {true, false}) {
    Cluster t;
    const auto job = t.Submit(0, With(kGang, "repeatable", repeatable), "k1");
    t.Advance(500);
    t.FinishAll("a2", model::JobOutcome::kFailed);
    t.FinishAll("a1", model::JobOutcome::kCancelled,
                model::ResultCause::kGangStopped);
    t.FinishAll("a3", model::JobOutcome::kCancelled,
                model::ResultCause::kGangStopped);
    t.Advance(3000);
    BOOST_TEST(t.Starts() == (repeatable ? 6 : 3));
    t.FinishEverywhere();
    t.Advance(1000);
    BOOST_TEST(t.OutcomeOf(job) == (repeatable ? "done" : "failed"));
  }
}

// Guards against a drain that aborts running jobs, loses queued durable jobs,
// or keeps the planning lease until it expires.
BOOST_AUTO_TEST_CASE(DrainFinishesRunningJobsAndLeavesQueuedOnesToOthers) {
  Cluster t;
  const auto running = t.Submit(0, {{"payload", "p"}});
  for (const char* name : {"a1", "a2", "a3"}) {
    t.Agent(name).draining = true;
  }
  t.AnnounceAll();
  const auto queued = t.Submit(0, kGang, "k1");
  t.Drain(0);
  const auto refused = t.Submit(0, {{"payload", "p"}});
  t.Advance(1000);
  BOOST_TEST(t.StatusOf(refused) == 503);
  BOOST_TEST(t.StatusOf(queued) == 202);
  BOOST_TEST(t.stopped.empty());
  BOOST_TEST(!t.IsAnswered(running));
  t.FinishEverywhere();
  t.Advance(200);
  BOOST_TEST(t.OutcomeOf(running) == "done");
  BOOST_TEST(t.stopped.contains(0U));
  t.Kill(0);
  t.Advance(1500);
  BOOST_TEST(t.Core(1).IsPlanningOwner());
  for (const char* name : {"a1", "a2", "a3"}) {
    t.Agent(name).draining = false;
  }
  t.Advance(4000);
  BOOST_TEST(
      t.Agent("a1").starts + t.Agent("a2").starts + t.Agent("a3").starts == 4);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hemlockdoor::entry
