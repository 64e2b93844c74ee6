// A few agents' state machines joined by a message queue with a virtual clock.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <utility>
#include <vector>

#include "modules/agent/core/agent_core.h"

namespace hemlockdoor::testing {

using agent::AgentCore;
using agent::CallId;
using agent::Command;
using agent::Event;
using agent::GangMessageKind;
using agent::TaskKey;
using agent::TaskRequestKind;
using agent::UpstreamTask;
using agent::UpstreamTaskState;
using core::Duration;
using core::TimePoint;

/// A task on a fake upstream.
struct FakeTask {
  UpstreamTaskState state = UpstreamTaskState::kRunning;
  std::string context;
  TimePoint started_at;
  std::optional<TimePoint> ended_at;
};

/// One agent with its upstream. Starts, ends and results are recorded for the
/// assertions of tests.
struct AgentNode {
  std::unique_ptr<AgentCore> core;
  core::Incarnation incarnation;
  bool alive = false;
  /// While true, this agent handles nothing and sends nothing.
  bool paused = false;
  bool upstream_alive = true;
  /// Names the upstream's process; a test changes it for a restart.
  std::string upstream_instance = "first";
  bool upstream_ignores_stop = false;
  /// Answers of the upstream to starts are lost; the start takes effect.
  bool lose_start_answers = false;
  bool upstream_refuses_starts = false;
  /// Starts are lost before the upstream sees them.
  bool lose_starts = false;
  std::map<TaskKey, FakeTask> tasks;
  int starts = 0;
};

/// Joins agents by messages that take 1 ms. Faults are set by tests through
/// the public members.
class AgentCluster {
 public:
  explicit AgentCluster(int agents, bool roll_forward = true)
      : rolls_forward(roll_forward), nodes(static_cast<std::size_t>(agents)) {
    for (int index = 0; index < agents; ++index) {
      this->Boot(index);
    }
    this->RunFor(Duration::Milliseconds(1500));
  }

  /// Starts an agent, or a successor of one that was killed.
  void Boot(int index) {
    AgentNode& node = this->Node(index);
    node.incarnation = core::Incarnation(++this->last_incarnation);
    agent::AgentCoreOptions options;
    options.id = this->IdOf(index);
    options.incarnation = node.incarnation;
    options.endpoint = options.id.Text();
    options.entries = {"entry"};
    options.max_held_result_bytes = std::int64_t{20} * 1024 * 1024;
    options.roll_forward = this->rolls_forward;
    node.core = std::make_unique<AgentCore>(options, this->now);
    node.alive = true;
    this->KeepTicking(index, node.incarnation);
    this->KeepAnnouncing(index, node.incarnation);
  }

  void Kill(int index) { this->Node(index).alive = false; }

  /// Passes an event to an agent now and runs what follows.
  void Give(int index, Event event) {
    AgentNode& node = this->Node(index);
    if (!node.alive) {
      return;
    }
    if (node.paused) {
      this->At(
          Duration::Milliseconds(10),
          [this, index, kept = std::move(event)] { this->Give(index, kept); });
      return;
    }
    for (Command& command : node.core->Handle(std::move(event), this->now)) {
      std::visit([this, index](auto& one) { this->Do(index, one); }, command);
    }
  }

  /// Sends a request to an agent and calls `done` with its answer.
  template <typename Request, typename Message>
  model::GrantReply Ask(int index, Message message) {
    const CallId call = ++this->last_call;
    Request request;
    request.call = call;
    this->SetMessage(request, std::move(message));
    this->Give(index, std::move(request));
    const model::GrantReply reply = this->grants[call];
    this->grants.erase(call);
    return reply;
  }

  void RunFor(Duration length) {
    const TimePoint until = this->now + length;
    while (!this->queue.empty() && this->queue.top().at <= until) {
      Entry next = this->queue.top();
      this->queue.pop();
      this->now = next.at;
      next.work();
    }
    this->now = until;
  }

  void At(Duration delay, std::function<void()> work) {
    this->queue.push({this->now + delay, ++this->last_entry, std::move(work)});
  }

  /// The request that reserves member `member` of a gang whose member i is on
  /// agent `placement[i]`, with accelerator i of that agent.
  model::ReservationRequest Request(const std::string& job,
                                    const std::vector<int>& placement,
                                    int member) {
    model::ReservationRequest request;
    const int index = placement[static_cast<std::size_t>(member)];
    request.reservation =
        core::ReservationId(job + "/" + std::to_string(member));
    request.incarnation = this->Node(index).incarnation;
    request.job.id = core::JobId(job);
    request.job.organisation = core::OrganisationId("north");
    request.job.job_class = core::JobClass("batch");
    request.job.service = core::ServiceName("echo");
    request.job.shape.gang_size = static_cast<int>(placement.size());
    request.job.shape.accelerators_per_member = 1;
    request.attempt = core::AttemptNumber(1);
    request.payload = "payload";
    request.start_not_after = this->now + this->reservation_time;
    request.member = member;
    for (std::size_t i = 0; i < placement.size(); ++i) {
      const core::AgentId id = this->IdOf(placement[i]);
      request.members.push_back({id, this->Node(placement[i]).incarnation,
                                 id.Text(),
                                 model::AcceleratorSet(std::uint64_t{1} << i)});
    }
    request.reply_to = "entry";
    return request;
  }

  /// Reserves every member; returns how many were granted.
  int ReserveAll(const std::string& job, const std::vector<int>& placement) {
    int granted = 0;
    for (std::size_t member = 0; member < placement.size(); ++member) {
      const model::GrantReply reply = this->Ask<agent::ReserveRequested>(
          placement[member],
          this->Request(job, placement, static_cast<int>(member)));
      granted += reply.granted ? 1 : 0;
    }
    return granted;
  }

  model::AttemptReference Reference(const std::string& job, int index) {
    model::AttemptReference reference;
    reference.job = core::JobId(job);
    reference.attempt = core::AttemptNumber(1);
    reference.incarnation = this->Node(index).incarnation;
    reference.start_not_after = this->now + this->reservation_time;
    return reference;
  }

  model::GrantReply Commit(const std::string& job, int lead) {
    return this->Ask<agent::CommitRequested>(lead, this->Reference(job, lead));
  }

  AgentNode& Node(int index) {
    return this->nodes[static_cast<std::size_t>(index)];
  }
  int Count() const { return static_cast<int>(this->nodes.size()); }
  core::AgentId IdOf(int index) const {
    return core::AgentId("agent-" + std::to_string(index));
  }

  /// Tasks that run on all upstreams, also on those of dead agents.
  int RunningTasks() const {
    int running = 0;
    for (const AgentNode& node : this->nodes) {
      for (const auto& [key, task] : node.tasks) {
        running += task.state == UpstreamTaskState::kRunning ? 1 : 0;
      }
    }
    return running;
  }

  int Starts() const {
    int starts = 0;
    for (const AgentNode& node : this->nodes) {
      starts += node.starts;
    }
    return starts;
  }

  /// Accelerators that living agents hold.
  int HeldAccelerators() const {
    int held = 0;
    for (const AgentNode& node : this->nodes) {
      if (node.alive) {
        held += kAccelerators - node.core->FreeAccelerators().Count();
      }
    }
    return held;
  }

  static constexpr int kAccelerators = 8;
  static constexpr int kSlots = 8;

  bool rolls_forward;
  TimePoint now = TimePoint::FromMilliseconds(10'000);
  Duration reservation_time = Duration::Seconds(6);
  Duration run_time = Duration::Seconds(5);
  /// Fate of a gang message: how many copies arrive (0: lost).
  std::function<int(int from, int to, GangMessageKind kind)> copies =
      [](int, int, GangMessageKind) { return 1; };
  /// True: the answer to a gang message is lost.
  std::function<bool(int from, int to, GangMessageKind kind)> loses_answer =
      [](int, int, GangMessageKind) { return false; };
  bool entry_answers = true;
  std::vector<model::ResultNotice> results;
  std::map<CallId, model::GrantReply> grants;
  std::map<CallId, model::GangReply> gang_replies;
  std::map<CallId, agent::AnswerPlain::Kind> plain_answers;
  std::map<CallId, model::TaskStatus> statuses;
  std::map<int, model::Announcement> announcements;
  CallId last_call = 0;

 private:
  struct Entry {
    TimePoint at;
    std::uint64_t order = 0;
    std::function<void()> work;
    bool operator<(const Entry& other) const {
      return other.at < this->at ||
             (other.at == this->at && other.order < this->order);
    }
  };

  static constexpr Duration kHop = Duration::Milliseconds(1);
  static constexpr Duration kCallTimeout = Duration::Seconds(1);

  template <typename Request, typename Message>
  static void SetMessage(Request& request, Message message) {
    if constexpr (requires { request.request = message; }) {
      request.request = std::move(message);
    } else {
      request.attempt = std::move(message);
    }
  }

  void KeepTicking(int index, core::Incarnation incarnation) {
    if (!this->Node(index).alive ||
        this->Node(index).incarnation != incarnation) {
      return;
    }
    if (!this->Node(index).paused) {
      this->Give(index, agent::Tick{});
    }
    this->At(agent::kTickPeriod, [this, index, incarnation] {
      this->KeepTicking(index, incarnation);
    });
  }

  void KeepAnnouncing(int index, core::Incarnation incarnation) {
    AgentNode& node = this->Node(index);
    if (!node.alive || node.incarnation != incarnation) {
      return;
    }
    if (node.upstream_alive) {
      model::WorkerShape shape;
      shape.slots = kSlots;
      shape.connections = 64;
      shape.accelerators = kAccelerators;
      shape.services = {core::ServiceName("echo")};
      this->Give(index, agent::UpstreamAnnounced{++this->last_call, shape,
                                                 node.upstream_instance});
    }
    this->At(Duration::Seconds(1), [this, index, incarnation] {
      this->KeepAnnouncing(index, incarnation);
    });
  }

  int IndexOf(const std::string& endpoint) const {
    for (int index = 0; index < this->Count(); ++index) {
      if (this->IdOf(index).Text() == endpoint) {
        return index;
      }
    }
    return -1;
  }

  /// Gives an event to the incarnation that made the call, later.
  void Return(int index, Duration delay, Event event) {
    this->At(delay, [this, index, incarnation = this->Node(index).incarnation,
                     kept = std::move(event)] {
      if (this->Node(index).incarnation == incarnation) {
        this->Give(index, kept);
      }
    });
  }

  void Do(int /*index*/, const agent::AnswerGrant& command) {
    this->grants[command.call] = command.reply;
  }
  void Do(int /*index*/, const agent::AnswerGang& command) {
    this->gang_replies[command.call] = command.reply;
  }
  void Do(int /*index*/, const agent::AnswerStatus& command) {
    this->statuses[command.call] = command.status;
  }
  void Do(int /*index*/, const agent::AnswerPlain& command) {
    this->plain_answers[command.call] = command.kind;
  }
  void Do(int index, const agent::SendAnnouncement& command) {
    this->announcements[index] = command.message;
    this->Return(index, kHop,
                 agent::AnnounceAnswered{command.endpoint, std::nullopt});
  }
  void Do(int /*index*/, const agent::LogRecord& /*command*/) {}
  void Do(int /*index*/, const agent::Stop& /*command*/) {}

  void Do(int index, const agent::StartTask& command) {
    AgentNode& node = this->Node(index);
    agent::StartAnswered answer;
    answer.key = command.start.key;
    if (!node.upstream_alive || node.lose_starts) {
      this->Return(index, kCallTimeout, answer);
      return;
    }
    if (node.upstream_refuses_starts) {
      answer.outcome = agent::StartOutcome::kRefused;
      this->Return(index, kHop, answer);
      return;
    }
    ++node.starts;
    FakeTask task;
    task.context = agent::TaskContextToText(command.start.context);
    task.started_at = this->now;
    node.tasks[answer.key] = task;
    this->At(this->run_time, [this, index, key = answer.key] {
      this->EndTask(index, key, UpstreamTaskState::kDone);
    });
    if (!node.lose_start_answers) {
      answer.outcome = agent::StartOutcome::kAccepted;
    }
    this->Return(index, node.lose_start_answers ? kCallTimeout : kHop, answer);
  }

  void Do(int index, const agent::ListTasks& command) {
    AgentNode& node = this->Node(index);
    agent::TasksListed listing{command.asked_at, std::nullopt};
    if (!node.upstream_alive) {
      this->Return(index, kCallTimeout, listing);
      return;
    }
    listing.tasks.emplace();
    for (const auto& [key, task] : node.tasks) {
      listing.tasks->push_back({key, task.state, {}, task.context});
    }
    this->Return(index, kHop, listing);
  }

  void Do(int index, const agent::RequestTask& command) {
    AgentNode& node = this->Node(index);
    agent::TaskReported report;
    report.key = command.key;
    report.kind = command.kind;
    if (!node.upstream_alive) {
      this->Return(index, kCallTimeout, report);
      return;
    }
    const bool stops = command.kind == TaskRequestKind::kStop;
    const bool known = node.tasks.contains(command.key);
    if (stops && !known) {
      node.tasks[command.key].state = UpstreamTaskState::kNeverStarted;
    } else if (stops && !node.upstream_ignores_stop) {
      this->EndTask(index, command.key, UpstreamTaskState::kStopped);
    }
    report.outcome = known || stops ? agent::ReportOutcome::kReported
                                    : agent::ReportOutcome::kNotKnown;
    if (known || stops) {
      report.task = {command.key,
                     node.tasks[command.key].state,
                     {},
                     {},
                     node.upstream_instance};
    }
    this->Return(index, kHop, report);
  }

  void Do(int index, const agent::DeliverResult& command) {
    if (this->entry_answers) {
      this->results.push_back(*command.notice);
    }
    const model::ResultNotice& notice = *command.notice;
    this->Return(
        index, kHop,
        agent::ResultDelivered{{notice.job, notice.attempt, notice.member},
                               this->entry_answers});
  }

  void Do(int index, const agent::SendGangMessage& command) {
    const int target = this->IndexOf(command.endpoint);
    agent::GangMessageAnswered answer;
    answer.kind = command.kind;
    answer.attempt = {command.message.job, command.message.attempt};
    answer.receiver = command.receiver;
    answer.sent_at = command.sent_at;
    const int arriving = this->copies(index, target, command.kind);
    const bool lost = arriving == 0 || !this->Node(target).alive ||
                      this->Node(target).paused ||
                      this->loses_answer(index, target, command.kind);
    if (lost) {
      this->Return(index, kCallTimeout, answer);
    }
    for (int copy = 0; copy < arriving; ++copy) {
      this->At(kHop, [this, index, target, command, answer, lost] {
        const CallId call = ++this->last_call;
        this->Give(target, agent::GangMessageReceived{call, command.kind,
                                                      command.message});
        const auto reply = this->gang_replies.find(call);
        if (!lost && reply != this->gang_replies.end()) {
          agent::GangMessageAnswered answered = answer;
          answered.reply = reply->second;
          this->Return(index, kHop, answered);
        }
      });
    }
  }

  void EndTask(int index, const TaskKey& key, UpstreamTaskState state) {
    AgentNode& node = this->Node(index);
    const auto found = node.tasks.find(key);
    if (found == node.tasks.end() || !node.upstream_alive ||
        found->second.state != UpstreamTaskState::kRunning) {
      return;
    }
    found->second.state = state;
    found->second.ended_at = this->now;
    this->ReportEnd(index, key);
  }

  /// Reports the end until the agent takes it, as the contract asks.
  void ReportEnd(int index, const TaskKey& key) {
    this->At(kHop, [this, index, key] {
      AgentNode& node = this->Node(index);
      if (!node.tasks.contains(key) || !node.upstream_alive) {
        return;
      }
      const CallId call = ++this->last_call;
      const std::string result = "result of " + key.job.Text();
      this->Give(index, agent::TaskFinished{
                            call, {key, node.tasks[key].state, result, {}}});
      const auto answer = this->plain_answers.find(call);
      const bool taken = answer != this->plain_answers.end() &&
                         answer->second == agent::AnswerPlain::Kind::kOk;
      if (taken) {
        return;
      }
      this->At(Duration::Milliseconds(500),
               [this, index, key] { this->ReportEnd(index, key); });
    });
  }

  std::vector<AgentNode> nodes;
  std::priority_queue<Entry> queue;
  std::uint64_t last_entry = 0;
  std::uint64_t last_incarnation = 100;
};

}  // namespace hemlockdoor::testing
