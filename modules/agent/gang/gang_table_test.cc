#include "modules/agent/gang/gang_table.h"

#include <boost/test/unit_test.hpp>
#include <set>
#include <string>
#include <vector>

#include "tests/support/agent_cluster.h"

namespace hemlockdoor::agent {

namespace {

using core::Duration;
using testing::AgentCluster;
using testing::AgentNode;

/// How the gang must have ended.
enum class ExpectedOutcome {
  kDone,      ///< Every member ran once and ended with its result.
  kNeverRan,  ///< No member ever started.
  kStopped,   ///< Some members may have run; all were stopped.
};

/// Step of the protocol at which the fault is injected.
enum class FaultPoint {
  kAfterReserve,       ///< All members reserved, no commit.
  kAfterSomeReserves,  ///< One member not reserved, no commit.
  kOnConfirm,          ///< The first confirm message was sent.
  kOnStart,            ///< The first start message was sent.
  kWhileRunning,       ///< All members run.
};

/// The fault that is injected.
enum class Fault {
  kNone,
  kLead,            ///< The lead is killed and restarted after 8 s.
  kMember,          ///< Another agent is killed and restarted after 8 s.
  kLeadPaused,      ///< The lead is paused for `kPauseDuration`.
  kMemberPaused,    ///< Another agent is paused for `kPauseDuration`.
  kMemberUpstream,  ///< Another agent's upstream withdraws.
};

struct Row {
  const char* name;
  std::vector<int> placement;
  FaultPoint fault_point;
  Fault fault;
  ExpectedOutcome expected;
};

constexpr Duration kPauseDuration = Duration::Milliseconds(4500);
/// Longest time for which only some members may run: a gang lease, the retry of
/// an unanswered renewal, and the stop.
constexpr Duration kMaxPartialRun = Duration::Milliseconds(4500);

bool ReachesCommit(FaultPoint fault_point) {
  return fault_point != FaultPoint::kAfterReserve &&
         fault_point != FaultPoint::kAfterSomeReserves;
}

void InjectFault(AgentCluster& cluster, Fault fault) {
  const int index =
      fault == Fault::kLead || fault == Fault::kLeadPaused ? 0 : 1;
  switch (fault) {
    case Fault::kNone:
      return;
    case Fault::kLead:
    case Fault::kMember:
      cluster.Kill(index);
      cluster.At(Duration::Seconds(8),
                 [&cluster, index] { cluster.Boot(index); });
      return;
    case Fault::kMemberUpstream:
      cluster.Give(index, UpstreamWithdrawn{});
      return;
    case Fault::kLeadPaused:
    case Fault::kMemberPaused:
      cluster.Node(index).paused = true;
      cluster.At(kPauseDuration,
                 [&cluster, index] { cluster.Node(index).paused = false; });
      return;
  }
}

/// Longest time in which some but not all members of the gang ran, on agents
/// that were alive and not paused throughout.
Duration LongestPartialRun(AgentCluster& cluster, std::size_t members) {
  Duration longest;
  Duration current;
  const Duration step = Duration::Milliseconds(10);
  for (int elapsed = 0; elapsed < 30'000; elapsed += 10) {
    cluster.RunFor(step);
    int on_healthy = 0;
    for (int index = 0; index < cluster.Count(); ++index) {
      const AgentNode& node = cluster.Node(index);
      for (const auto& [key, task] : node.tasks) {
        const bool runs = task.state == UpstreamTaskState::kRunning;
        on_healthy += runs && node.alive && !node.paused ? 1 : 0;
      }
    }
    const bool whole = cluster.RunningTasks() == static_cast<int>(members);
    const bool all_healthy = on_healthy == cluster.RunningTasks();
    const bool partial = on_healthy > 0 && !(whole && all_healthy);
    current = partial ? current + step : Duration();
    longest = std::max(longest, current);
  }
  return longest;
}

std::set<int> MembersWith(const AgentCluster& cluster,
                          model::JobOutcome outcome) {
  std::set<int> members;
  for (const model::ResultNotice& notice : cluster.results) {
    if (notice.outcome == outcome) {
      members.insert(notice.member);
    }
  }
  return members;
}

void CheckOutcome(AgentCluster& cluster, const Row& row) {
  const auto members = static_cast<int>(row.placement.size());
  const std::set<int> done = MembersWith(cluster, model::JobOutcome::kDone);
  switch (row.expected) {
    case ExpectedOutcome::kDone:
      BOOST_TEST(cluster.Starts() == members);
      BOOST_TEST(static_cast<int>(done.size()) == members);
      break;
    case ExpectedOutcome::kNeverRan:
      BOOST_TEST(cluster.Starts() == 0);
      BOOST_TEST(done.empty());
      break;
    case ExpectedOutcome::kStopped:
      BOOST_TEST(done.empty());
      break;
  }
  // kNotRun applies to the whole job, so no member may have started.
  if (!MembersWith(cluster, model::JobOutcome::kNotRun).empty()) {
    BOOST_TEST(cluster.Starts() == 0);
  }
}

void CheckNothingLeft(AgentCluster& cluster) {
  BOOST_TEST(cluster.RunningTasks() == 0);
  BOOST_TEST(cluster.HeldAccelerators() == 0);
  for (int index = 0; index < cluster.Count(); ++index) {
    BOOST_TEST(cluster.Node(index).core->HeldResultCount() == 0U);
    BOOST_TEST(cluster.Node(index).core->IsReady(cluster.now));
  }
}

void RunRow(const Row& row) {
  AgentCluster cluster(3);
  if (row.expected == ExpectedOutcome::kStopped) {
    // Longer than every fault, so that no task completes before it is stopped.
    cluster.run_time = Duration::Seconds(60);
  }
  bool injected = false;
  const auto inject_once = [&] {
    if (!injected) {
      injected = true;
      cluster.At(Duration(), [&] { InjectFault(cluster, row.fault); });
    }
  };
  cluster.copies = [&](int, int, GangMessageKind kind) {
    const bool on_confirm = row.fault_point == FaultPoint::kOnConfirm &&
                            kind == GangMessageKind::kConfirm;
    const bool on_start = row.fault_point == FaultPoint::kOnStart &&
                          kind == GangMessageKind::kStart;
    if (on_confirm || on_start) {
      inject_once();
    }
    return 1;
  };
  if (row.fault_point == FaultPoint::kAfterSomeReserves) {
    for (std::size_t member = 0; member + 1 < row.placement.size(); ++member) {
      BOOST_TEST(
          cluster
              .Ask<ReserveRequested>(row.placement[member],
                                     cluster.Request("job", row.placement,
                                                     static_cast<int>(member)))
              .granted);
    }
  } else {
    BOOST_TEST(cluster.ReserveAll("job", row.placement) ==
               static_cast<int>(row.placement.size()));
  }
  if (ReachesCommit(row.fault_point)) {
    BOOST_TEST(cluster.Commit("job", row.placement[0]).granted);
  } else {
    inject_once();
  }
  if (row.fault_point == FaultPoint::kWhileRunning) {
    cluster.RunFor(Duration::Seconds(1));
    BOOST_TEST(cluster.RunningTasks() ==
               static_cast<int>(row.placement.size()));
    inject_once();
  }
  const Duration partial = LongestPartialRun(cluster, row.placement.size());
  BOOST_TEST(partial.InMilliseconds() <= kMaxPartialRun.InMilliseconds());
  CheckOutcome(cluster, row);
  CheckNothingLeft(cluster);
}

const std::vector<int> kSpread = {0, 1, 2};
const std::vector<int> kShared = {0, 1, 1, 0, 2};
const std::vector<int> kOneAgent = {0, 0, 0};
const std::vector<int> kLeadTwice = {0, 1, 0};

const std::vector<Row> kRows = {
    {"no fault", kSpread, FaultPoint::kWhileRunning, Fault::kNone,
     ExpectedOutcome::kDone},
    {"several members on an agent", kShared, FaultPoint::kWhileRunning,
     Fault::kNone, ExpectedOutcome::kDone},
    {"lead and members are one agent", kOneAgent, FaultPoint::kWhileRunning,
     Fault::kNone, ExpectedOutcome::kDone},
    {"coordinator dies after all reserves", kSpread, FaultPoint::kAfterReserve,
     Fault::kNone, ExpectedOutcome::kDone},
    {"coordinator dies, shared agents", kShared, FaultPoint::kAfterReserve,
     Fault::kNone, ExpectedOutcome::kDone},
    {"coordinator dies, one agent", kOneAgent, FaultPoint::kAfterReserve,
     Fault::kNone, ExpectedOutcome::kDone},
    {"coordinator dies before the last reserve", kSpread,
     FaultPoint::kAfterSomeReserves, Fault::kNone, ExpectedOutcome::kNeverRan},
    {"coordinator dies before the last reserve, shared agents", kShared,
     FaultPoint::kAfterSomeReserves, Fault::kNone, ExpectedOutcome::kNeverRan},
    {"coordinator dies before the lead's second reserve", kLeadTwice,
     FaultPoint::kAfterSomeReserves, Fault::kNone, ExpectedOutcome::kNeverRan},
    {"coordinator and lead die", kSpread, FaultPoint::kAfterReserve,
     Fault::kLead, ExpectedOutcome::kNeverRan},
    {"coordinator and a member die", kSpread, FaultPoint::kAfterReserve,
     Fault::kMember, ExpectedOutcome::kNeverRan},
    {"lead dies on the first confirm", kSpread, FaultPoint::kOnConfirm,
     Fault::kLead, ExpectedOutcome::kNeverRan},
    {"member dies on the first confirm", kSpread, FaultPoint::kOnConfirm,
     Fault::kMember, ExpectedOutcome::kNeverRan},
    {"lead pauses on the first confirm", kShared, FaultPoint::kOnConfirm,
     Fault::kLeadPaused, ExpectedOutcome::kNeverRan},
    {"member pauses on the first confirm", kShared, FaultPoint::kOnConfirm,
     Fault::kMemberPaused, ExpectedOutcome::kNeverRan},
    {"lead dies on the first start", kSpread, FaultPoint::kOnStart,
     Fault::kLead, ExpectedOutcome::kStopped},
    {"member dies on the first start", kSpread, FaultPoint::kOnStart,
     Fault::kMember, ExpectedOutcome::kStopped},
    {"a member's upstream withdraws on the first start", kSpread,
     FaultPoint::kOnStart, Fault::kMemberUpstream, ExpectedOutcome::kStopped},
    {"a member's upstream withdraws on the first confirm", kSpread,
     FaultPoint::kOnConfirm, Fault::kMemberUpstream, ExpectedOutcome::kStopped},
    {"member pauses on the first start", kShared, FaultPoint::kOnStart,
     Fault::kMemberPaused, ExpectedOutcome::kStopped},
    {"lead dies while running", kSpread, FaultPoint::kWhileRunning,
     Fault::kLead, ExpectedOutcome::kStopped},
    {"member dies while running", kShared, FaultPoint::kWhileRunning,
     Fault::kMember, ExpectedOutcome::kStopped},
    {"lead pauses while running", kSpread, FaultPoint::kWhileRunning,
     Fault::kLeadPaused, ExpectedOutcome::kStopped},
    {"member pauses while running", kSpread, FaultPoint::kWhileRunning,
     Fault::kMemberPaused, ExpectedOutcome::kStopped},
};

constexpr GangMessageKind kMessageKinds[] = {
    GangMessageKind::kConfirm, GangMessageKind::kStart, GangMessageKind::kRenew,
    GangMessageKind::kStop, GangMessageKind::kAsk};

}  // namespace

BOOST_AUTO_TEST_SUITE(GangTableTest)

// Guards against a gang of which only some members run, a member that starts
// twice, and accelerators that stay allocated, after a participant dies, pauses
// or loses its upstream at any step of the protocol.
BOOST_AUTO_TEST_CASE(FaultAtAnyStepLeavesAllOrNoMembersRunning) {
  for (const Row& row : kRows) {
    BOOST_TEST_CONTEXT(row.name) {
      RunRow(row);
    }
  }
}

// Guards against a protocol step that is not repeated or not idempotent. The
// first message of one kind to each receiver is lost, loses its answer or
// arrives twice; each member must still start exactly once and end as done.
BOOST_AUTO_TEST_CASE(LostOrRepeatedMessagesDoNotChangeTheOutcome) {
  for (const bool coordinator_commits : {true, false}) {
    for (const GangMessageKind hit : kMessageKinds) {
      for (const int mode :
           {0, 1, 2}) {  // Message lost, answer lost, duplicated.
        BOOST_TEST_CONTEXT("kind " << static_cast<int>(hit) << " mode " << mode
                                   << " commit " << coordinator_commits) {
          AgentCluster cluster(3);
          std::set<int> hit_before;
          const auto hits = [&](int to, GangMessageKind kind) {
            return kind == hit && hit_before.insert(to).second;
          };
          cluster.copies = [&](int, int to, GangMessageKind kind) {
            if (mode == 1) {
              return 1;
            }
            return hits(to, kind) ? (mode == 0 ? 0 : 2) : 1;
          };
          cluster.loses_answer = [&](int, int to, GangMessageKind kind) {
            return mode == 1 && hits(to, kind);
          };
          BOOST_TEST(cluster.ReserveAll("job", kShared) == 5);
          if (coordinator_commits) {
            BOOST_TEST(cluster.Commit("job", 0).granted);
            BOOST_TEST(cluster.Commit("job", 0).granted);
          }
          const Duration partial = LongestPartialRun(cluster, kShared.size());
          BOOST_TEST(partial.InMilliseconds() <=
                     kMaxPartialRun.InMilliseconds());
          BOOST_TEST(cluster.Starts() == 5);
          BOOST_TEST(MembersWith(cluster, model::JobOutcome::kDone).size() ==
                     5U);
          CheckNothingLeft(cluster);
        }
      }
    }
  }
}

// Guards against members that keep running on either side of a network
// partition: from some time on, all messages to and from one agent are lost.
BOOST_AUTO_TEST_CASE(LostContactStopsBothSides) {
  AgentCluster cluster(3);
  cluster.run_time = Duration::Seconds(60);
  BOOST_TEST(cluster.ReserveAll("job", kSpread) == 3);
  BOOST_TEST(cluster.Commit("job", 0).granted);
  cluster.RunFor(Duration::Seconds(5));
  BOOST_TEST(cluster.RunningTasks() == 3);
  cluster.copies = [](int from, int to, GangMessageKind) {
    return from == 1 || to == 1 ? 0 : 1;
  };
  cluster.RunFor(model::kGangLease + Duration::Milliseconds(1300));
  BOOST_TEST(cluster.RunningTasks() == 0);
  BOOST_TEST(cluster.HeldAccelerators() == 0);
}

// Guards against an aborted gang that starts after all: after `release`, a
// commit and a repeated reserve must be refused and no member may start.
BOOST_AUTO_TEST_CASE(AbortIsFinal) {
  AgentCluster cluster(3);
  BOOST_TEST(cluster.ReserveAll("job", kSpread) == 3);
  BOOST_TEST(
      cluster.Ask<ReleaseRequested>(0, cluster.Reference("job", 0)).granted);
  const model::GrantReply commit = cluster.Commit("job", 0);
  BOOST_TEST(!commit.granted);
  BOOST_TEST(!commit.may_have_started);
  BOOST_TEST((commit.refusal == model::RefusalReason::kCancelled));
  const model::GrantReply again =
      cluster.Ask<ReserveRequested>(0, cluster.Request("job", kSpread, 0));
  BOOST_TEST((again.refusal == model::RefusalReason::kCancelled));
  cluster.RunFor(Duration::Seconds(20));
  BOOST_TEST(cluster.Starts() == 0);
  CheckNothingLeft(cluster);
}

// Guards against a release that undoes a commit.
BOOST_AUTO_TEST_CASE(CommitIsFinal) {
  AgentCluster cluster(3);
  BOOST_TEST(cluster.ReserveAll("job", kSpread) == 3);
  BOOST_TEST(cluster.Commit("job", 0).granted);
  const model::GrantReply release =
      cluster.Ask<ReleaseRequested>(0, cluster.Reference("job", 0));
  BOOST_TEST(!release.granted);
  BOOST_TEST(release.may_have_started);
  cluster.RunFor(Duration::Seconds(20));
  BOOST_TEST(MembersWith(cluster, model::JobOutcome::kDone).size() == 3U);
}

// Guards against a new owner of a job that cannot learn from the lead how the
// recorded attempt was decided, before and after the end of the gang.
BOOST_AUTO_TEST_CASE(NewOwnerLearnsTheDecision) {
  AgentCluster cluster(3);
  const auto ask = [&cluster] {
    model::GangMessage message;
    message.job = core::JobId("job");
    message.attempt = core::AttemptNumber(1);
    message.incarnation = cluster.Node(0).incarnation;
    const CallId call = ++cluster.last_call;
    cluster.Give(0, GangMessageReceived{call, GangMessageKind::kAsk, message});
    return cluster.gang_replies[call].state;
  };
  BOOST_TEST((ask() == model::GangState::kUnknown));
  BOOST_TEST(cluster.ReserveAll("job", kSpread) == 3);
  BOOST_TEST((ask() == model::GangState::kReserved));
  BOOST_TEST(cluster.Commit("job", 0).granted);
  BOOST_TEST((ask() == model::GangState::kCommitted));
  cluster.RunFor(Duration::Seconds(2));
  BOOST_TEST((ask() == model::GangState::kRunning));
  cluster.RunFor(Duration::Seconds(10));
  BOOST_TEST((ask() == model::GangState::kDone));
}

// Guards against members that keep running after one task of the gang failed or
// the gang was cancelled.
BOOST_AUTO_TEST_CASE(EndOfOneMemberStopsTheGang) {
  for (const bool cancels : {false, true}) {
    AgentCluster cluster(3);
    cluster.run_time = Duration::Seconds(60);
    BOOST_TEST(cluster.ReserveAll("job", kShared) == 5);
    BOOST_TEST(cluster.Commit("job", 0).granted);
    cluster.RunFor(Duration::Seconds(2));
    BOOST_TEST(cluster.RunningTasks() == 5);
    if (cancels) {
      BOOST_TEST(
          cluster.Ask<CancelRequested>(0, cluster.Reference("job", 0)).granted);
    } else {
      const TaskKey key{core::JobId("job"), core::AttemptNumber(1), 4};
      cluster.Node(2).tasks[key].state = UpstreamTaskState::kFailed;
      cluster.Give(2,
                   TaskFinished{0, {key, UpstreamTaskState::kFailed, {}, {}}});
    }
    cluster.RunFor(Duration::Seconds(1));
    BOOST_TEST(cluster.RunningTasks() == 0);
    BOOST_TEST(MembersWith(cluster, model::JobOutcome::kDone).empty());
    cluster.RunFor(Duration::Seconds(5));
    CheckNothingLeft(cluster);
  }
}

// Guards against kNotRun for a job of which one member has started. Either an
// upstream refuses the start of a member, or an agent refuses the start message
// while another has not received one yet.
BOOST_AUTO_TEST_CASE(PartlyStartedGangIsNotReportedAsNotRun) {
  for (const bool upstream_refuses : {true, false}) {
    AgentCluster cluster(3);
    cluster.run_time = Duration::Seconds(60);
    cluster.Node(1).upstream_refuses_starts = upstream_refuses;
    cluster.copies = [&](int, int to, GangMessageKind kind) {
      const bool starts = kind == GangMessageKind::kStart;
      if (starts && to == 1 && !upstream_refuses) {
        cluster.At(Duration(), [&] { cluster.Give(1, UpstreamWithdrawn{}); });
      }
      return starts && to == 2 ? 0 : 1;
    };
    BOOST_TEST(cluster.ReserveAll("job", kSpread) == 3);
    BOOST_TEST(cluster.Commit("job", 0).granted);
    cluster.RunFor(Duration::Seconds(10));
    BOOST_TEST(cluster.Starts() == 1);
    BOOST_TEST(MembersWith(cluster, model::JobOutcome::kFailed).size() == 3U);
    BOOST_TEST(MembersWith(cluster, model::JobOutcome::kNotRun).empty());
    CheckNothingLeft(cluster);
  }
}

// Guards against a roll-forward that comes no earlier than the expiry of the
// reservation. Prints how long accelerators stay idle when the coordinator dies
// between reserve and commit, with and without roll-forward.
BOOST_AUTO_TEST_CASE(RollForwardShortensIdleTime) {
  std::int64_t idle_ms[2] = {0, 0};
  for (const bool roll_forward : {false, true}) {
    AgentCluster cluster(3, roll_forward);
    BOOST_TEST(cluster.ReserveAll("job", kSpread) == 3);
    const core::TimePoint died_at = cluster.now;
    while (cluster.HeldAccelerators() > 0 && cluster.RunningTasks() < 3) {
      cluster.RunFor(Duration::Milliseconds(1));
    }
    idle_ms[roll_forward ? 1 : 0] = (cluster.now - died_at).InMilliseconds();
    BOOST_TEST(cluster.Starts() == (roll_forward ? 3 : 0));
  }
  BOOST_TEST_MESSAGE(
      "reservation 6000 ms, 3 agents: accelerators idle after "
      "the coordinator's death "
      << idle_ms[0] << " ms without roll-forward, " << idle_ms[1]
      << " ms with it");
  BOOST_TEST(idle_ms[1] < idle_ms[0]);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hemlockdoor::agent
