// Network side of an agent: calls its worker, reports to the planner and
// executes the planner's orders.
#pragma once

#include <QTimer>
#include <algorithm>
#include <concepts>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "modules/batch/agent/worker_supervisor.h"
#include "modules/batch/process/internal_api.h"
#include "modules/core/core.h"
#include "modules/observe/observe.h"
#include "modules/wire/wire.h"

namespace hemlockdoor::batch {

/// The worker's answer to a start.
struct StartAnswer {
  StartResult result = StartResult::kUnknown;
  /// Valid only for `StartResult::kRejected`.
  RejectReason reason = RejectReason::kInvalid;
  /// The worker's steady clock at the time of the answer; 0 without an answer.
  std::int64_t worker_clock_ms = 0;
};

/// The worker's answer to a stop.
struct StopAnswer {
  /// Empty when the worker did not answer.
  std::optional<std::int64_t> worker_clock_ms;
};

/// A poll of the worker for its runs. It also extends the worker's lease and
/// acknowledges ends.
struct PollCall {
  FencingToken fence;
  WorkerIdentity worker;
  /// Number of the last acknowledged end.
  std::uint64_t acknowledged = 0;
  /// End of the requested lease, on the worker's clock; empty: no extension.
  std::optional<std::int64_t> deadline_ms;
  /// Longest time for which the worker may delay its answer. It answers earlier
  /// when a run ends; zero: it answers at once.
  core::Duration wait;
};

/// Calls to the worker. Callbacks run asynchronously on the calling thread. A
/// poll fails with kStale when the worker has seen a higher token, and with
/// kNotFound when no process listens at the worker's address.
template <typename T>
concept WorkerPort =
    requires(T worker,
             const StartCall& start,
             const StopCall& stop,
             const PollCall& poll,
             std::function<void(StartAnswer)> on_start,
             std::function<void(StopAnswer)> on_stop,
             std::function<void(core::Expected<WorkerListing>)> on_poll) {
  worker.Start(start, on_start);
  worker.Stop(stop, on_stop);
  worker.Poll(poll, on_poll);
};

/// Fixed parameters of an agent.
struct AgentServiceOptions {
  core::AgentId agent;
  /// Address at which this agent receives orders, "ADDRESS:PORT".
  std::string endpoint;
  core::Incarnation incarnation;
  /// Internal endpoints of the initially known entries. More are learned from
  /// the answers to reports.
  std::vector<std::string> entries;
};

/// Runs one `WorkerSupervisor` on a Qt event loop. All calls are made on the
/// thread of that loop.
template <WorkerPort Worker>
class AgentService {
 public:
  AgentService(AgentServiceOptions service_options, Worker& worker_port)
      : options(std::move(service_options)),
        port(worker_port),
        supervisor(options.agent,
                   options.endpoint,
                   options.incarnation,
                   core::Clock::Now()),
        entries(options.entries) {
    QObject::connect(&this->timer, &QTimer::timeout, [this] { this->Tick(); });
    this->timer.start(kTickMs);
  }

  /// Handles an announcement of the worker.
  void OnAnnouncement(const WorkerDescription& description,
                      std::uint64_t sequence,
                      std::int64_t worker_clock_ms) {
    const auto before = this->supervisor.Worker();
    const FencingToken token_before = this->supervisor.Fence();
    this->supervisor.OnAnnouncement(description, sequence, worker_clock_ms,
                                    core::Clock::Now());
    const auto& after = this->supervisor.Worker();
    const bool changed = !before || before->identity != after->identity ||
                         before->state != after->state;
    if (changed) {
      observe::Log(
          observe::LogLevel::kInfo, "worker announced", {},
          {{"event", "worker_announced"},
           {"worker", after->identity.id.Text()},
           {"born", std::to_string(after->identity.born_wall_ms)},
           {"state",
            after->state == WorkerState::kDraining ? "draining" : "ready"}});
    }
    this->ReportRemovedRuns();
    this->PollWithNewToken(token_before);
    this->PollIfDue();
    this->ReportIfChanged();
  }
  /// Handles the deregistration of the worker.
  void OnDeparture(const WorkerId& id) {
    const FencingToken token_before = this->supervisor.Fence();
    const bool has_departed = this->supervisor.OnDeparture(id);
    observe::Log(
        observe::LogLevel::kInfo,
        has_departed ? "worker departed"
                     : "deregistration ignored: the worker is not draining",
        {},
        {{"event", has_departed ? "worker_departed" : "departure_ignored"},
         {"worker", id.Text()}});
    this->PollWithNewToken(token_before);
    this->ReportRemovedRuns();
    this->ReportIfChanged();
  }

  /// Adds internal endpoints of entries; known ones are ignored.
  void AddEntries(const std::vector<std::string>& added) {
    for (const std::string& entry : added) {
      if (std::find(this->entries.begin(), this->entries.end(), entry) ==
          this->entries.end()) {
        this->entries.push_back(entry);
      }
    }
  }

  /// Executes a batch of orders and answers with a report. Answers 400 when the
  /// batch cannot be read, and 409 when it is outdated or is addressed to
  /// another incarnation of this agent.
  void HandleOrders(const wire::HttpRequest& request,
                    const wire::HttpResponder& responder) {
    wire::HttpResponse refusal;
    const core::Expected<OrderBatch> batch = OrderBatchFromText(request.body);
    if (!batch) {
      refusal.status = wire::http_status::kBadRequest;
      responder.Respond(std::move(refusal));
      return;
    }
    const FencingToken before = this->supervisor.Fence();
    const core::Expected<BatchCalls> calls =
        this->supervisor.OnOrders(*batch, core::Clock::Now());
    if (!calls) {
      observe::Log(
          observe::LogLevel::kWarn, calls.error().message, {},
          {{"event", "orders_refused"},
           {"epoch", std::to_string(batch->epoch.Number())},
           {"session", std::to_string(batch->session.Number())},
           {"known_epoch", std::to_string(before.epoch.Number())},
           {"known_session", std::to_string(before.session.Number())}});
      refusal.status = wire::http_status::kConflict;
      responder.Respond(std::move(refusal));
      return;
    }
    this->planner = batch->planner;
    this->PollWithNewToken(before);
    this->ReportRefusals(*calls);
    this->SendCalls(*calls);
    this->pending_orders.push_back(
        {responder, core::Clock::Now() + kOrdersAnswerTimeout});
    this->AnswerOrders();
  }

 private:
  struct PendingOrders {
    wire::HttpResponder responder;
    core::TimePoint deadline;
  };

  static constexpr int kTickMs = 50;
  /// Interval of the reports while nothing changes.
  static constexpr core::Duration kReportPeriod =
      core::Duration::Milliseconds(700);
  static constexpr core::Duration kReportTimeout =
      core::Duration::Milliseconds(700);
  /// Delay before the next report after one that no planner accepted.
  static constexpr core::Duration kReportRetryDelay =
      core::Duration::Milliseconds(120);
  /// A batch of orders is answered after this time even if the worker has not
  /// answered all starts.
  static constexpr core::Duration kOrdersAnswerTimeout =
      core::Duration::Milliseconds(250);
  /// Longest wait of a long poll; the worker answers earlier when a run ends.
  static constexpr core::Duration kLongPollWait =
      core::Duration::Milliseconds(1000);
  static constexpr core::Duration kPollRetryDelay =
      core::Duration::Milliseconds(150);
  /// Interval of the polls that the worker answers at once: while ends are not
  /// acknowledged, or the lists are not complete. Polls without a pause would
  /// then be a busy loop.
  static constexpr core::Duration kUnacknowledgedPollInterval =
      core::Duration::Milliseconds(100);

  void Tick() {
    const core::TimePoint now = core::Clock::Now();
    this->supervisor.OnTick(now);
    this->ReportRemovedRuns();
    for (const StopCall& stop : this->supervisor.DueStops(now)) {
      this->SendStop(stop);
    }
    if (!this->pending_orders.empty()) {
      this->AnswerOrders();
    }
    const bool listing_due = this->supervisor.AwaitsListing() &&
                             !this->short_poll_in_flight &&
                             now >= this->next_poll;
    if (listing_due) {
      this->Poll(core::Duration());
    }
    this->PollIfDue();
    if (now >= this->last_report + kReportPeriod) {
      this->Report();
    } else {
      this->ReportIfChanged();
    }
  }

  /// Tells the worker the token if it has been raised since `before`, without
  /// waiting for the long poll in flight.
  void PollWithNewToken(const FencingToken& before) {
    const FencingToken fence = this->supervisor.Fence();
    if (fence == before) {
      return;
    }
    const bool is_new_epoch = fence.epoch != before.epoch;
    observe::Log(observe::LogLevel::kInfo,
                 is_new_epoch ? "scheduling epoch raised by a new planner"
                              : "token for calls to the worker raised",
                 {},
                 {{"event", is_new_epoch ? "epoch_raised" : "token_raised"},
                  {"epoch", std::to_string(fence.epoch.Number())},
                  {"session", std::to_string(fence.session.Number())},
                  {"raises", std::to_string(fence.raises)}});
    this->Poll(core::Duration());
    if (is_new_epoch) {
      this->entry_index = 0;
      this->Report();
    }
  }

  void ReportRefusals(const BatchCalls& calls) {
    for (const RunKey& key : calls.refused_evacuated) {
      observe::ProcessMetrics().CountStartRefusedEvacuated();
      observe::LogContext log_context;
      log_context.job = key.task.job;
      observe::Log(observe::LogLevel::kWarn,
                   "start refused: the worker's data centre is evacuated",
                   log_context,
                   {{"event", "start_refused_evacuated"},
                    {"task", key.task.ToText()},
                    {"run", std::to_string(key.run)}});
    }
  }

  /// Logs and counts the runs that are no longer listed although the worker has
  /// not stated their end.
  void ReportRemovedRuns() {
    for (const RemovedRun& removed : this->supervisor.TakeRemovedRuns()) {
      observe::ProcessMetrics().CountRemovedRun(NameOf(removed.reason));
      observe::LogContext log_context;
      log_context.job = removed.key.task.job;
      observe::Log(
          observe::LogLevel::kInfo, "run no longer listed", log_context,
          {{"event", "run_removed"},
           {"task", removed.key.task.ToText()},
           {"run", std::to_string(removed.key.run)},
           {"reason", NameOf(removed.reason)},
           {"worker", removed.worker.id.Text()},
           {"born", std::to_string(removed.worker.born_wall_ms)},
           {"confirmed", removed.confirmed ? "true" : "false"},
           {"unanswered_start", removed.uncertain ? "true" : "false"}});
    }
  }

  void SendCalls(const BatchCalls& calls) {
    for (const StopCall& stop : calls.stops) {
      this->SendStop(stop);
    }
    for (const StartCall& start : calls.starts) {
      this->SendStart(start);
    }
  }

  void SendStart(const StartCall& start) {
    const RunKey key = start.order.key;
    const core::TimePoint sent = core::Clock::Now();
    this->port.Start(
        start, [this, key, sent, addressed = start.worker](StartAnswer answer) {
          this->supervisor.OnStartAnswer(key, addressed, answer.result,
                                         answer.reason, answer.worker_clock_ms,
                                         core::Clock::Now());
          this->LogStart(key, answer, addressed, core::Clock::Now() - sent);
          for (const StartCall& again :
               this->supervisor.DueStarts(core::Clock::Now())) {
            this->SendStart(again);
          }
          this->AnswerOrders();
          this->ReportIfChanged();
        });
  }

  /// Logs the answer to a start. A worker clock below that of an earlier answer
  /// of the addressed incarnation shows that a later one has answered.
  void LogStart(const RunKey& key,
                const StartAnswer& answer,
                const WorkerIdentity& addressed,
                core::Duration took) {
    observe::LogContext log_context;
    log_context.job = key.task.job;
    std::string outcome = "started";
    if (answer.result == StartResult::kRejected) {
      outcome = NameOf(answer.reason);
    } else if (answer.result == StartResult::kUnknown) {
      outcome = "unanswered";
    }
    observe::Log(observe::LogLevel::kInfo, "start answered", log_context,
                 {{"event", "start_answered"},
                  {"task", key.task.ToText()},
                  {"run", std::to_string(key.run)},
                  {"outcome", outcome},
                  {"born", std::to_string(addressed.born_wall_ms)},
                  {"worker_clock_ms", std::to_string(answer.worker_clock_ms)},
                  {"took_ms", std::to_string(took.InMilliseconds())}});
  }

  void SendStop(const StopCall& stop) {
    this->port.Stop(stop, [this, key = stop.key,
                           addressed = stop.worker](StopAnswer answer) {
      this->supervisor.OnStopAnswer(
          key, addressed, answer.worker_clock_ms.has_value(),
          answer.worker_clock_ms.value_or(0), core::Clock::Now());
    });
  }

  void AnswerOrders() {
    const core::TimePoint now = core::Clock::Now();
    const bool has_pending_starts = this->supervisor.HasPendingStarts();
    std::vector<PendingOrders> kept;
    for (const PendingOrders& waiting : this->pending_orders) {
      if (has_pending_starts && now < waiting.deadline) {
        kept.push_back(waiting);
        continue;
      }
      wire::HttpResponse response;
      response.body = ToText(this->supervisor.MakeReport(now));
      waiting.responder.Respond(std::move(response));
    }
    this->pending_orders = std::move(kept);
  }

  void PollIfDue() {
    if (!this->long_poll_in_flight && this->supervisor.PollTarget() &&
        core::Clock::Now() >= this->next_poll) {
      this->Poll(kLongPollWait);
    }
  }

  void Poll(core::Duration wait) {
    const std::optional<WorkerIdentity> worker = this->supervisor.PollTarget();
    if (!worker) {
      return;
    }
    PollCall poll;
    poll.fence = this->supervisor.Fence();
    poll.worker = *worker;
    const core::TimePoint sent = core::Clock::Now();
    poll.acknowledged = this->supervisor.Acknowledged(sent);
    poll.deadline_ms = this->supervisor.BeginPoll(sent);
    const bool may_wait = this->supervisor.Worker() &&
                          this->supervisor.IsWorkerReachable() &&
                          this->supervisor.IsComplete(sent);
    poll.wait = may_wait ? wait : core::Duration();
    const bool is_long = wait > core::Duration();
    (is_long ? this->long_poll_in_flight : this->short_poll_in_flight) = true;
    this->port.Poll(poll, [this, is_long, sent, fence = poll.fence](
                              core::Expected<WorkerListing> listing) {
      (is_long ? this->long_poll_in_flight : this->short_poll_in_flight) =
          false;
      this->OnPollAnswer(std::move(listing), fence, sent);
    });
  }

  void OnPollAnswer(core::Expected<WorkerListing> listing,
                    const FencingToken& fence,
                    core::TimePoint sent) {
    const core::TimePoint now = core::Clock::Now();
    const FencingToken token_before = this->supervisor.Fence();
    if (listing) {
      listing->fence = fence;
      this->LogOtherIncarnation(*listing);
      this->supervisor.OnListing(*listing, sent, now);
      this->poll_failing = false;
      if (this->supervisor.HasUnacknowledgedEnds() ||
          !this->supervisor.IsComplete(now) || !this->supervisor.Worker()) {
        this->next_poll = now + kUnacknowledgedPollInterval;
      }
    } else {
      this->HandlePollFailure(listing.error(), sent, now);
    }
    this->PollWithNewToken(token_before);
    this->ReportRemovedRuns();
    this->AnswerOrders();
    this->ReportIfChanged();
    this->PollIfDue();
  }

  /// Logs once that another incarnation of the worker answered than the one
  /// that the agent knows of.
  void LogOtherIncarnation(const WorkerListing& listing) {
    const auto& worker = this->supervisor.Worker();
    if (!worker || listing.born_wall_ms == 0 ||
        listing.born_wall_ms == worker->identity.born_wall_ms ||
        listing.born_wall_ms == this->logged_incarnation) {
      return;
    }
    this->logged_incarnation = listing.born_wall_ms;
    observe::Log(observe::LogLevel::kWarn,
                 "another incarnation of the worker answered a poll", {},
                 {{"event", "other_incarnation_answered"},
                  {"worker", worker->identity.id.Text()},
                  {"born", std::to_string(listing.born_wall_ms)},
                  {"known_born", std::to_string(worker->identity.born_wall_ms)},
                  {"runs", std::to_string(listing.running.size())}});
  }

  void HandlePollFailure(const core::Error& error,
                         core::TimePoint sent,
                         core::TimePoint now) {
    this->next_poll = now + kPollRetryDelay;
    // A worker that rejects the token is reachable: a newer planner has taken
    // over, or a newer session has begun.
    if (error.code != core::ErrorCode::kStale) {
      this->LogPollFailure(error);
      if (error.code == core::ErrorCode::kNotFound) {
        this->supervisor.OnPollRefused(sent, now);
      } else {
        this->supervisor.OnPollFailed(now);
      }
    }
  }

  void LogPollFailure(const core::Error& error) {
    if (!this->poll_failing) {
      observe::Log(observe::LogLevel::kWarn,
                   "poll of the worker failed: " + error.message, {},
                   {{"event", "worker_unreachable"}});
    }
    this->poll_failing = true;
  }

  void ReportIfChanged() {
    if (this->supervisor.HasUnreportedChange()) {
      this->Report();
    }
  }

  /// Returns the endpoint for the next report: the planner's, or while it is
  /// not known that of the entry whose turn it is; empty when no entry is
  /// known.
  std::string ReportTarget() {
    if (!this->planner.empty()) {
      return this->planner;
    }
    if (this->entries.empty()) {
      return std::string();
    }
    return this->entries[this->entry_index % this->entries.size()];
  }

  void Report() {
    const core::TimePoint now = core::Clock::Now();
    if (this->report_in_flight || now < this->next_report) {
      return;
    }
    const core::Expected<wire::Endpoint> endpoint =
        wire::Endpoint::Parse(this->ReportTarget());
    if (!endpoint) {
      this->planner.clear();
      ++this->entry_index;
      this->next_report = now + kReportRetryDelay;
      return;
    }
    this->report_in_flight = true;
    this->last_report = now;
    wire::HttpCall call;
    call.endpoint = *endpoint;
    call.method = wire::HttpMethod::kPost;
    call.target = internal_api::kReport;
    call.body = ToText(this->supervisor.MakeReport(now));
    call.timeout = kReportTimeout;
    this->client.Send(
        call, [this, now](const core::Expected<wire::HttpResponse>& response) {
          this->report_in_flight = false;
          this->OnReportResponse(response, now);
        });
  }

  void OnReportResponse(const core::Expected<wire::HttpResponse>& response,
                        core::TimePoint sent) {
    const core::TimePoint now = core::Clock::Now();
    if (response && response->status == wire::http_status::kOk) {
      const core::Expected<ReportAnswer> answer =
          ReportAnswerFromText(response->body);
      if (answer) {
        this->ApplyReportAnswer(*answer, sent);
        return;
      }
    }
    if (response && response->status == internal_api::kNotPlanner &&
        !response->body.empty() && response->body != this->planner) {
      this->planner = response->body;
      this->last_report = core::TimePoint();
      this->next_report = now + kReportRetryDelay / 4;
      return;
    }
    if (!this->planner_lost) {
      this->planner_lost = true;
      observe::Log(observe::LogLevel::kWarn,
                   "report not accepted by a planner: " +
                       (response ? "status " + std::to_string(response->status)
                                 : response.error().message),
                   {}, {{"event", "planner_lost"}});
    }
    this->planner.clear();
    ++this->entry_index;
    this->next_report = now + kReportRetryDelay;
    this->last_report = core::TimePoint();
  }

  void ApplyReportAnswer(const ReportAnswer& answer, core::TimePoint sent) {
    if (this->planner_lost) {
      this->planner_lost = false;
      observe::Log(observe::LogLevel::kInfo,
                   "report accepted by a planner again", {},
                   {{"event", "planner_found"}});
    }
    const FencingToken before = this->supervisor.Fence();
    const core::TimePoint now = core::Clock::Now();
    const std::uint64_t acknowledged = this->supervisor.Acknowledged(now);
    this->supervisor.OnReportAnswer(answer, sent, now);
    if (this->supervisor.Acknowledged(now) != acknowledged) {
      this->next_poll = core::Clock::Now();
    }
    this->AddEntries(answer.entries);
    if (this->planner.empty() && !this->entries.empty()) {
      this->planner = this->entries[this->entry_index % this->entries.size()];
    }
    this->PollWithNewToken(before);
    this->ReportIfChanged();
    this->PollIfDue();
  }

  AgentServiceOptions options;
  Worker& port;
  WorkerSupervisor supervisor;
  wire::HttpClient client;
  QTimer timer;
  std::vector<std::string> entries;
  std::size_t entry_index = 0;
  /// Endpoint of the planner; empty while unknown.
  std::string planner;
  bool planner_lost = false;
  bool report_in_flight = false;
  core::TimePoint last_report;
  core::TimePoint next_report;
  bool long_poll_in_flight = false;
  bool short_poll_in_flight = false;
  bool poll_failing = false;
  /// Start time of the incarnation that `LogOtherIncarnation` has logged.
  std::int64_t logged_incarnation = 0;
  core::TimePoint next_poll;
  std::vector<PendingOrders> pending_orders;
};

}  // namespace hemlockdoor::batch
