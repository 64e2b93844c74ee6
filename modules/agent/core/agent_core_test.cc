#include "modules/agent/core/agent_core.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "tests/support/agent_cluster.h"

namespace hemlockdoor::agent {

namespace {

using core::Duration;
using model::JobOutcome;
using model::RefusalReason;
using testing::AgentCluster;

/// A cluster of one agent, for tasks outside gangs.
struct SingleAgent : AgentCluster {
  SingleAgent() : AgentCluster(1) {}

  model::ReservationRequest Single(const std::string& job) {
    return this->Request(job, {0}, 0);
  }
  model::GrantReply Run(model::ReservationRequest request) {
    return this->Ask<RunRequested>(0, std::move(request));
  }
  static TaskKey Key(const std::string& job) {
    return {core::JobId(job), core::AttemptNumber(1), 0};
  }
  AnswerPlain::Kind Finish(const std::string& job,
                           const std::string& result,
                           UpstreamTaskState state = UpstreamTaskState::kDone) {
    const CallId call = ++this->last_call;
    this->Give(0, TaskFinished{call, {Key(job), state, result, {}}});
    return this->plain_answers[call];
  }
  /// Returns the result of a job as the entry received it; fails unless there
  /// is exactly one.
  model::ResultNotice ResultOf(const std::string& job) {
    std::vector<model::ResultNotice> found;
    for (const model::ResultNotice& notice : this->results) {
      if (notice.job == core::JobId(job)) {
        found.push_back(notice);
      }
    }
    BOOST_REQUIRE(found.size() == 1);
    return found.front();
  }
  testing::AgentNode& Agent() { return this->Node(0); }
};

struct RefusalRow {
  const char* name;
  RefusalReason reason;
  void (*prepare)(SingleAgent& agent, model::ReservationRequest& request);
};

const std::vector<RefusalRow> kRefusals = {
    {"other incarnation", RefusalReason::kWrongIncarnation,
     [](SingleAgent&, model::ReservationRequest& request) {
       request.incarnation = request.incarnation.Next();
     }},
    {"member of another agent", RefusalReason::kWrongIncarnation,
     [](SingleAgent&, model::ReservationRequest& request) {
       request.members[0].agent = core::AgentId("other");
     }},
    {"old epoch", RefusalReason::kStaleEpoch,
     [](SingleAgent& agent, model::ReservationRequest&) {
       agent.Give(0, RevisionRequested{0, core::SchedulingEpoch(7), {}});
     }},
    {"old revision", RefusalReason::kStaleRevision,
     [](SingleAgent& agent, model::ReservationRequest&) {
       agent.Give(0, RevisionRequested{0, {}, core::CatalogueRevision(3)});
     }},
    {"start limit passed", RefusalReason::kExpired,
     [](SingleAgent& agent, model::ReservationRequest& request) {
       request.start_not_after = agent.now - Duration::Milliseconds(1);
     }},
    {"start limit too far ahead", RefusalReason::kExpired,
     [](SingleAgent& agent, model::ReservationRequest& request) {
       request.start_not_after =
           agent.now + AgentCore::kMaxStartHorizon + Duration::Seconds(1);
     }},
    {"draining", RefusalReason::kDraining,
     [](SingleAgent& agent, model::ReservationRequest&) {
       agent.Give(0, DrainRequested{});
     }},
    {"upstream withdrew", RefusalReason::kNotReady,
     [](SingleAgent& agent, model::ReservationRequest&) {
       agent.Give(0, UpstreamWithdrawn{});
     }},
    {"upstream silent", RefusalReason::kNotReady,
     [](SingleAgent& agent, model::ReservationRequest& request) {
       agent.Agent().upstream_alive = false;
       agent.RunFor(Duration::Milliseconds(3500));
       request.start_not_after = agent.now + Duration::Seconds(5);
     }},
    {"accelerators in use", RefusalReason::kNoCapacity,
     [](SingleAgent& agent, model::ReservationRequest&) {
       BOOST_TEST(agent.Run(agent.Single("other")).granted);
     }},
    {"service not offered", RefusalReason::kNoCapacity,
     [](SingleAgent&, model::ReservationRequest& request) {
       request.job.service = core::ServiceName("absent");
     }},
    {"accelerators beyond the worker", RefusalReason::kNoCapacity,
     [](SingleAgent&, model::ReservationRequest& request) {
       request.members[0].accelerators =
           model::AcceleratorSet(std::uint64_t{1} << 40);
     }},
    {"fewer accelerators than the job needs", RefusalReason::kNoCapacity,
     [](SingleAgent&, model::ReservationRequest& request) {
       request.members[0].accelerators = {};
     }},
    {"cancelled before", RefusalReason::kCancelled,
     [](SingleAgent& agent, model::ReservationRequest&) {
       const model::GrantReply reply =
           agent.Ask<CancelRequested>(0, agent.Reference("job", 0));
       BOOST_TEST(reply.granted);
       BOOST_TEST(!reply.may_have_started);
     }},
    {"all attempts cancelled before", RefusalReason::kCancelled,
     [](SingleAgent& agent, model::ReservationRequest&) {
       model::AttemptReference reference = agent.Reference("job", 0);
       reference.attempt = core::AttemptNumber();
       BOOST_TEST(agent.Ask<CancelRequested>(0, reference).granted);
     }},
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(AgentCoreTest, SingleAgent)

// Guards against a grant where the request must be refused, a refusal that
// starts a task, and a refusal without the agent's own incarnation, epoch and
// revision.
BOOST_AUTO_TEST_CASE(RefusesWithTheReason) {
  for (const RefusalRow& row : kRefusals) {
    BOOST_TEST_CONTEXT(row.name) {
      SingleAgent agent;
      model::ReservationRequest request = agent.Single("job");
      row.prepare(agent, request);
      const int starts = agent.Starts();
      const model::GrantReply reply = agent.Run(request);
      BOOST_TEST(!reply.granted);
      BOOST_TEST(!reply.may_have_started);
      BOOST_REQUIRE(reply.refusal.has_value());
      BOOST_TEST(model::RefusalReasonName(*reply.refusal) ==
                 model::RefusalReasonName(row.reason));
      BOOST_TEST((reply.incarnation == agent.Agent().incarnation));
      if (row.reason == RefusalReason::kStaleEpoch) {
        BOOST_TEST(reply.epoch.Number() == 7U);
      }
      if (row.reason == RefusalReason::kStaleRevision) {
        BOOST_TEST(reply.revision.Number() == 3U);
      }
      BOOST_TEST(agent.Starts() == starts);
    }
  }
}

// Guards against a refusal for an old epoch of a single task without
// accelerators, which any entry may place.
BOOST_AUTO_TEST_CASE(TaskWithoutAcceleratorsNeedsNoEpoch) {
  this->Give(0, RevisionRequested{0, core::SchedulingEpoch(7), {}});
  model::ReservationRequest request = this->Single("job");
  request.job.shape.accelerators_per_member = 0;
  request.members[0].accelerators = {};
  BOOST_TEST(this->Run(request).granted);
}

// Guards against a second start by a repeated request, while the task runs and
// after its end, and by another reservation for the same attempt.
BOOST_AUTO_TEST_CASE(RepeatedReservationStartsOnce) {
  const model::ReservationRequest request = this->Single("job");
  for (const int wait_ms : {0, 100, 5400}) {
    this->RunFor(Duration::Milliseconds(wait_ms));
    const model::GrantReply reply = this->Run(request);
    BOOST_TEST(reply.granted);
    BOOST_TEST(reply.may_have_started);
  }
  BOOST_TEST(this->ResultOf("job").body == "result of job");
  model::ReservationRequest other = request;
  other.reservation = core::ReservationId("other");
  const model::GrantReply reply = this->Run(other);
  BOOST_TEST(!reply.granted);
  BOOST_TEST(reply.may_have_started);
  // After the start limit, and once the attempt is removed from the history,
  // the answer must still say that it may have started.
  this->RunFor(Duration::Seconds(10));
  BOOST_TEST(this->Run(request).may_have_started);
  this->RunFor(AttemptHistory::kExtraRetention);
  const model::GrantReply late = this->Run(request);
  BOOST_TEST((late.refusal == RefusalReason::kExpired));
  BOOST_TEST(late.may_have_started);
  BOOST_TEST(this->Ask<CancelRequested>(0,
                                        [&] {
                                          model::AttemptReference reference =
                                              this->Reference("job", 0);
                                          reference.start_not_after =
                                              request.start_not_after;
                                          return reference;
                                        }())
                 .may_have_started);
  BOOST_TEST(this->Starts() == 1);
}

// Guards against slots or accelerators that are granted twice or not released.
BOOST_AUTO_TEST_CASE(GrantsEachSlotOnce) {
  int granted = 0;
  for (int index = 0; index < 12; ++index) {
    model::ReservationRequest request =
        this->Single("job-" + std::to_string(index));
    request.job.shape.accelerators_per_member = 0;
    request.members[0].accelerators = {};
    granted += this->Run(request).granted ? 1 : 0;
  }
  BOOST_TEST(granted == AgentCluster::kSlots);
  this->RunFor(this->run_time + Duration::Seconds(1));
  BOOST_TEST(this->results.size() == 8U);
  BOOST_TEST(this->Run(this->Single("after")).granted);
}

// Guards against kNotRun for a task that has started: the upstream accepted the
// start, but its answer was lost.
BOOST_AUTO_TEST_CASE(LostStartAnswerIsResolvedAsRunning) {
  this->Agent().lose_start_answers = true;
  BOOST_TEST(this->Run(this->Single("job")).granted);
  this->RunFor(Duration::Seconds(3));
  BOOST_TEST(this->results.empty());
  this->RunFor(Duration::Seconds(4));
  BOOST_TEST((this->ResultOf("job").outcome == JobOutcome::kDone));
  BOOST_TEST(this->Starts() == 1);
}

// Guards against a delayed start that the upstream accepts after the task was
// reported as kNotRun: the upstream must be told to refuse the start before.
BOOST_AUTO_TEST_CASE(LostStartIsFencedBeforeItCountsAsNotRun) {
  this->Agent().lose_starts = true;
  BOOST_TEST(this->Run(this->Single("job")).granted);
  this->RunFor(Duration::Seconds(3));
  BOOST_TEST((this->ResultOf("job").outcome == JobOutcome::kNotRun));
  BOOST_TEST((this->Agent().tasks.at(Key("job")).state ==
              UpstreamTaskState::kNeverStarted));
  BOOST_TEST(this->HeldAccelerators() == 0);
}

// Guards against kNotRun on the word of a restarted upstream, which knows
// nothing of starts before its restart. A start without an answer may have run
// there, and the entry would run again a job that must not be repeated.
BOOST_AUTO_TEST_CASE(RestartedUpstreamCannotProveThatNothingRan) {
  this->Agent().lose_starts = true;
  model::ReservationRequest request = this->Single("job");
  request.job.repeatable = false;
  BOOST_TEST(this->Run(request).granted);
  this->Agent().upstream_instance = "second";
  this->RunFor(Duration::Seconds(4));
  BOOST_TEST((this->ResultOf("job").outcome == JobOutcome::kUnknown));
}

// Guards against a wrong outcome when the upstream dies before or after its
// answer to the start: kUnknown if the job must not be repeated, else kFailed.
BOOST_AUTO_TEST_CASE(UpstreamLossEndsTasksAsFailedOrUnknown) {
  for (const bool repeatable : {true, false}) {
    for (const bool start_answered : {true, false}) {
      SingleAgent agent;
      agent.Agent().lose_start_answers = !start_answered;
      model::ReservationRequest request = agent.Single("job");
      request.job.repeatable = repeatable;
      BOOST_TEST(agent.Run(request).granted);
      agent.RunFor(Duration::Milliseconds(500));
      agent.Agent().upstream_alive = false;
      agent.RunFor(Duration::Milliseconds(4500));
      const model::ResultNotice notice = agent.ResultOf("job");
      BOOST_TEST((notice.outcome ==
                  (repeatable ? JobOutcome::kFailed : JobOutcome::kUnknown)));
      BOOST_TEST((notice.cause == model::ResultCause::kUpstreamLost));
      BOOST_TEST(!agent.announcements[0].shape.has_value());
      BOOST_TEST(agent.announcements[0].free_slots == 0);
    }
  }
}

// Guards against new work beside tasks that still run on an upstream that was
// lost and answers again: they must be stopped before anything is granted.
BOOST_AUTO_TEST_CASE(RecoveredUpstreamIsClearedBeforeNewWork) {
  this->run_time = Duration::Seconds(60);
  BOOST_TEST(this->Run(this->Single("job")).granted);
  this->RunFor(Duration::Milliseconds(500));
  this->Agent().upstream_alive = false;
  this->RunFor(Duration::Seconds(5));
  BOOST_TEST(this->RunningTasks() == 1);
  this->Agent().upstream_ignores_stop = true;
  this->Agent().upstream_alive = true;
  this->RunFor(Duration::Seconds(3));
  BOOST_TEST(
      (this->Run(this->Single("next")).refusal == RefusalReason::kNotReady));
  this->Agent().upstream_ignores_stop = false;
  this->RunFor(Duration::Seconds(3));
  BOOST_TEST(this->RunningTasks() == 0);
  BOOST_TEST(this->Run(this->Single("next")).granted);
}

// Guards against a restarted agent that grants capacity which tasks of the
// earlier process hold, or that loses their results.
BOOST_AUTO_TEST_CASE(SuccessorAdoptsSingleTasks) {
  BOOST_TEST(this->Run(this->Single("job")).granted);
  this->RunFor(Duration::Milliseconds(500));
  this->Kill(0);
  this->Boot(0);
  BOOST_TEST(
      (this->Run(this->Single("early")).refusal == RefusalReason::kNotReady));
  this->RunFor(Duration::Milliseconds(100));
  BOOST_TEST(this->HeldAccelerators() == 1);
  const model::GrantReply reply = this->Run(this->Single("clash"));
  BOOST_TEST((reply.refusal == RefusalReason::kNoCapacity));
  this->RunFor(Duration::Seconds(6));
  const model::ResultNotice notice = this->ResultOf("job");
  BOOST_TEST((notice.outcome == JobOutcome::kDone));
  BOOST_TEST(notice.body == "result of job");
}

// Guards against a lost result of a task that ended while no agent process was
// running.
BOOST_AUTO_TEST_CASE(SuccessorCollectsEndedTasks) {
  BOOST_TEST(this->Run(this->Single("job")).granted);
  this->RunFor(Duration::Milliseconds(500));
  this->Kill(0);
  this->RunFor(Duration::Seconds(6));
  this->Boot(0);
  // Before the first listing the report may concern a task to adopt.
  BOOST_TEST((this->Finish("job", "early") == AnswerPlain::Kind::kRetryLater));
  this->RunFor(Duration::Seconds(2));
  BOOST_TEST((this->ResultOf("job").outcome == JobOutcome::kDone));
}

// Guards against reports that are applied to another task or twice. They arrive
// out of order, duplicated, for unknown tasks and for another attempt.
BOOST_AUTO_TEST_CASE(ReportsMatchTheirOwnTask) {
  for (const std::string job : {"a", "b", "c"}) {
    model::ReservationRequest request = this->Single(job);
    request.job.shape.accelerators_per_member = 0;
    request.members[0].accelerators = {};
    BOOST_TEST(this->Run(request).granted);
  }
  this->RunFor(Duration::Milliseconds(200));
  const CallId call = ++this->last_call;
  TaskKey other_attempt = Key("a");
  other_attempt.attempt = core::AttemptNumber(2);
  this->Give(
      0, TaskFinished{call,
                      {other_attempt, UpstreamTaskState::kDone, "wrong", {}}});
  this->Finish("unknown", "nobody's");
  for (const std::string job : {"c", "c", "b", "a", "b"}) {
    BOOST_TEST((this->Finish(job, "of " + job) == AnswerPlain::Kind::kOk));
  }
  this->RunFor(Duration::Milliseconds(200));
  BOOST_TEST(this->results.size() == 3U);
  for (const std::string job : {"a", "b", "c"}) {
    BOOST_TEST(this->ResultOf(job).body == "of " + job);
  }
}

// Guards against the loss of a result when the `finished` report arrives before
// the answer to the start.
BOOST_AUTO_TEST_CASE(ReportMayOvertakeTheStartAnswer) {
  this->Agent().lose_start_answers = true;
  BOOST_TEST(this->Run(this->Single("job")).granted);
  this->RunFor(Duration::Milliseconds(10));
  this->Finish("job", "fast");
  this->RunFor(Duration::Seconds(3));
  BOOST_TEST(this->ResultOf("job").body == "fast");
}

// Guards against results that are dropped when the byte bound is reached: the
// upstream has to keep results without room, and new work is refused earlier.
BOOST_AUTO_TEST_CASE(HeldResultsStayWithinTheirBound) {
  this->entry_answers = false;
  const std::string large(8U * 1024U * 1024U, 'x');
  for (const std::string job : {"a", "b", "c", "d"}) {
    model::ReservationRequest request = this->Single(job);
    request.job.shape.accelerators_per_member = 0;
    request.members[0].accelerators = {};
    BOOST_TEST(this->Run(request).granted);
  }
  this->RunFor(Duration::Milliseconds(100));
  BOOST_TEST((this->Finish("a", large) == AnswerPlain::Kind::kOk));
  BOOST_TEST((this->Finish("b", large) == AnswerPlain::Kind::kOk));
  BOOST_TEST(
      (this->Run(this->Single("late")).refusal == RefusalReason::kNoCapacity));
  BOOST_TEST((this->Finish("c", large) == AnswerPlain::Kind::kRetryLater));
  this->RunFor(Duration::Milliseconds(1500));
  BOOST_TEST(this->announcements[0].free_slots == 0);
  BOOST_TEST(this->announcements[0].held_results.size() == 2U);
  this->entry_answers = true;
  this->RunFor(Duration::Seconds(10));
  BOOST_TEST(this->Agent().core->HeldResultCount() == 0U);
  for (const std::string job : {"a", "b"}) {
    BOOST_TEST(this->ResultOf(job).body.size() == large.size());
  }
  BOOST_TEST((this->ResultOf("c").outcome == JobOutcome::kDone));
}

// Guards against a result that is never delivered because the entry that asked
// for it is gone.
BOOST_AUTO_TEST_CASE(ResultGoesToAnotherEntry) {
  AgentCoreOptions options;
  options.id = this->IdOf(0);
  EntryDirectory entries({"entry-a", "entry-b"}, this->now);
  BOOST_TEST(entries.TargetFor("gone", 0) == "gone");
  BOOST_TEST(entries.TargetFor("gone", 1) == "entry-a");
  BOOST_TEST(entries.TargetFor("gone", 2) == "entry-b");
  entries.EndAnnouncement("entry-a", false, this->now);
  BOOST_TEST(entries.TargetFor("gone", 1) == "entry-b");
}

// Guards against a task that keeps running after its time limit, its checkpoint
// grace period, a stop or a cancellation, and against a wrong outcome or cause.
BOOST_AUTO_TEST_CASE(TasksAreStoppedForTheirCause) {
  struct Row {
    const char* name;
    model::ResultCause cause;
    JobOutcome outcome;
    int after_ms;
  };
  const std::vector<Row> rows = {
      {"limit", model::ResultCause::kRunTimeExceeded, JobOutcome::kFailed,
       1200},
      {"checkpoint", model::ResultCause::kPreempted, JobOutcome::kFailed, 1200},
      {"stop", model::ResultCause::kPreempted, JobOutcome::kFailed, 50},
      {"cancel", model::ResultCause::kCancelled, JobOutcome::kCancelled, 50},
  };
  for (const Row& row : rows) {
    BOOST_TEST_CONTEXT(row.name) {
      SingleAgent agent;
      agent.run_time = Duration::Seconds(60);
      const std::string kind = row.name;
      model::ReservationRequest request = agent.Single("job");
      if (kind == "limit") {
        request.max_run = Duration::Seconds(1);
      }
      BOOST_TEST(agent.Run(request).granted);
      agent.RunFor(Duration::Milliseconds(100));
      model::PreemptRequest preempt;
      preempt.job = core::JobId("job");
      preempt.attempt = core::AttemptNumber(1);
      preempt.incarnation = agent.Agent().incarnation;
      preempt.grace = Duration::Seconds(1);
      if (kind == "checkpoint" || kind == "stop") {
        preempt.action = kind == "stop" ? model::PreemptAction::kStop
                                        : model::PreemptAction::kCheckpoint;
        BOOST_TEST(agent.Ask<PreemptRequested>(0, preempt).granted);
      } else if (kind == "cancel") {
        const model::GrantReply reply =
            agent.Ask<CancelRequested>(0, agent.Reference("job", 0));
        BOOST_TEST(reply.may_have_started);
      }
      agent.RunFor(Duration::Milliseconds(row.after_ms));
      const model::ResultNotice notice = agent.ResultOf("job");
      BOOST_TEST((notice.cause == row.cause));
      BOOST_TEST((notice.outcome == row.outcome));
      BOOST_TEST(agent.HeldAccelerators() == 0);
    }
  }
}

// Guards against capacity that is released while a task that ignores its stop
// still uses it.
BOOST_AUTO_TEST_CASE(IgnoredStopKeepsTheCapacity) {
  this->run_time = Duration::Seconds(10);
  this->Agent().upstream_ignores_stop = true;
  BOOST_TEST(this->Run(this->Single("job")).granted);
  this->RunFor(Duration::Milliseconds(100));
  BOOST_TEST(this->Ask<CancelRequested>(0, this->Reference("job", 0)).granted);
  this->RunFor(Duration::Seconds(5));
  BOOST_TEST(this->HeldAccelerators() == 1);
  BOOST_TEST(this->results.empty());
  this->RunFor(Duration::Seconds(6));
  BOOST_TEST(this->HeldAccelerators() == 0);
  BOOST_TEST((this->ResultOf("job").outcome == JobOutcome::kDone));
}

// Guards against an agent that waits forever for a task that its upstream no
// longer knows.
BOOST_AUTO_TEST_CASE(TaskUnknownToItsUpstreamEnds) {
  this->run_time = Duration::Seconds(60);
  model::ReservationRequest request = this->Single("job");
  request.job.repeatable = false;
  BOOST_TEST(this->Run(request).granted);
  this->RunFor(Duration::Milliseconds(100));
  this->Agent().tasks.clear();
  this->RunFor(Duration::Seconds(3));
  BOOST_TEST((this->ResultOf("job").outcome == JobOutcome::kUnknown));
}

// Guards against a drain that ends while a task still runs, and against one
// that does not end at the drain timeout.
BOOST_AUTO_TEST_CASE(DrainEndsWithTheWork) {
  this->run_time = Duration::Seconds(60);
  AgentCore& core = *this->Agent().core;
  BOOST_TEST(this->Run(this->Single("job")).granted);
  this->RunFor(Duration::Milliseconds(100));
  const auto stops = [&core](Event event, core::TimePoint at) {
    bool stopped = false;
    for (const Command& command : core.Handle(std::move(event), at)) {
      stopped = stopped || std::holds_alternative<Stop>(command);
    }
    return stopped;
  };
  BOOST_TEST(!stops(DrainRequested{}, this->now));
  BOOST_TEST(!core.IsReady(this->now));
  BOOST_TEST(!stops(Tick{}, this->now + Duration::Seconds(2)));
  BOOST_TEST(stops(Tick{}, this->now + Duration::Seconds(31)));
}

// Guards against announcements that omit running tasks or their run time, or
// count their capacity as free.
BOOST_AUTO_TEST_CASE(AnnouncesRunningTasksWithUsage) {
  BOOST_TEST(this->Run(this->Single("job")).granted);
  this->RunFor(Duration::Milliseconds(2500));
  const model::Announcement& message = this->announcements[0];
  BOOST_REQUIRE(message.running.size() == 1);
  BOOST_TEST(message.running[0].run_time.InMilliseconds() >= 1000);
  BOOST_TEST(message.free_slots == AgentCluster::kSlots - 1);
  BOOST_TEST(message.free_accelerators.Mask() == 0xfeU);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hemlockdoor::agent
