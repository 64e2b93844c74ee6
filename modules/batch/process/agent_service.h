// What an agent does over the network: its worker, the planner, orders.
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
  RejectReason reason = RejectReason::kInvalid;
  std::int64_t worker_clock_ms = 0;
};

/// The worker's answer to a stop; nothing: no answer.
struct StopAnswer {
  std::optional<std::int64_t> worker_clock_ms;
};

/// A look at the worker that also extends its lease and acknowledges ends.
struct LookCall {
  core::SchedulingEpoch epoch;
  WorkerIdentity worker;
  std::uint64_t acknowledged = 0;
  std::optional<std::int64_t> deadline_ms;
  /// The worker answers after this at the latest, or when a run ends.
  core::Duration wait;
};

/// Calls to the worker. Callbacks run later on the same thread. A look ends
/// with kStale when the worker has seen a newer epoch.
template <typename T>
concept WorkerPort =
    requires(T worker,
             const StartCall& start,
             const StopCall& stop,
             const LookCall& look,
             std::function<void(StartAnswer)> on_start,
             std::function<void(StopAnswer)> on_stop,
             std::function<void(core::Expected<WorkerListing>)> on_look) {
  worker.Start(start, on_start);
  worker.Stop(stop, on_stop);
  worker.Look(look, on_look);
};

/// Fixed parameters of an agent.
struct AgentServiceOptions {
  core::AgentId agent;
  /// Where it takes orders, "ADDRESS:PORT".
  std::string endpoint;
  core::Incarnation incarnation;
  /// Internal endpoints of entries to begin with.
  std::vector<std::string> entries;
};

/// Runs one `WorkerSupervisor` on an event loop.
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

  /// The worker announced itself.
  void OnAnnouncement(const WorkerDescription& description,
                      std::uint64_t sequence,
                      std::int64_t worker_clock_ms) {
    const auto before = this->supervisor.Worker();
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
    this->LookSoon();
    this->ReportNews();
  }
  void OnDeparture(const WorkerId& id) {
    observe::Log(observe::LogLevel::kInfo, "worker departed", {},
                 {{"event", "worker_departed"}, {"worker", id.Text()}});
    this->supervisor.OnDeparture(id);
    this->ReportNews();
  }

  /// Adds internal endpoints of entries.
  void AddEntries(const std::vector<std::string>& added) {
    for (const std::string& entry : added) {
      if (std::find(this->entries.begin(), this->entries.end(), entry) ==
          this->entries.end()) {
        this->entries.push_back(entry);
      }
    }
  }

  /// Carries out a batch and answers with a report.
  void HandleOrders(const wire::HttpRequest& request,
                    const wire::HttpResponder& responder) {
    wire::HttpResponse refusal;
    const core::Expected<OrderBatch> batch = OrderBatchFromText(request.body);
    if (!batch) {
      refusal.status = wire::http_status::kBadRequest;
      responder.Respond(std::move(refusal));
      return;
    }
    const core::SchedulingEpoch before = this->supervisor.Epoch();
    const core::Expected<BatchCalls> calls =
        this->supervisor.OnOrders(*batch, core::Clock::Now());
    if (!calls) {
      observe::Log(observe::LogLevel::kWarn, calls.error().message, {},
                   {{"event", "orders_refused"},
                    {"epoch", std::to_string(batch->epoch.Number())},
                    {"known_epoch", std::to_string(before.Number())}});
      refusal.status = wire::http_status::kConflict;
      responder.Respond(std::move(refusal));
      return;
    }
    this->planner = batch->planner;
    if (this->supervisor.Epoch() != before) {
      this->OnNewEpoch();
    }
    this->MakeCalls(*calls);
    this->waiting_orders.push_back(
        {responder, core::Clock::Now() + kOrdersPatience});
    this->AnswerOrders();
  }

 private:
  struct WaitingOrders {
    wire::HttpResponder responder;
    core::TimePoint deadline;
  };

  static constexpr int kTickMs = 50;
  /// A report is sent this often without news.
  static constexpr core::Duration kReportPeriod =
      core::Duration::Milliseconds(700);
  static constexpr core::Duration kReportTimeout =
      core::Duration::Milliseconds(700);
  /// Pause after a report that reached no planner.
  static constexpr core::Duration kReportPause =
      core::Duration::Milliseconds(120);
  /// Orders are answered after this although a start is still unanswered.
  static constexpr core::Duration kOrdersPatience =
      core::Duration::Milliseconds(250);
  /// Length of one look; an end is answered at once.
  static constexpr core::Duration kLookWait =
      core::Duration::Milliseconds(1000);
  static constexpr core::Duration kLookPause =
      core::Duration::Milliseconds(150);
  /// Pause between looks while ends wait to be acknowledged: the worker then
  /// answers each look at once.
  static constexpr core::Duration kEndsPause =
      core::Duration::Milliseconds(100);

  void Tick() {
    const core::TimePoint now = core::Clock::Now();
    for (const StopCall& stop : this->supervisor.DueStops(now)) {
      this->SendStop(stop);
    }
    if (!this->waiting_orders.empty()) {
      this->AnswerOrders();
    }
    this->LookSoon();
    if (now >= this->last_report + kReportPeriod) {
      this->Report();
    } else {
      this->ReportNews();
    }
  }

  void OnNewEpoch() {
    this->entry_index = 0;
    observe::Log(
        observe::LogLevel::kInfo, "a new planner gives orders", {},
        {{"event", "epoch_raised"},
         {"epoch", std::to_string(this->supervisor.Epoch().Number())}});
    // Raises the worker's fence without waiting for the look in progress.
    this->Look(core::Duration());
    this->Report();
  }

  void MakeCalls(const BatchCalls& calls) {
    for (const StopCall& stop : calls.stops) {
      this->SendStop(stop);
    }
    for (const StartCall& start : calls.starts) {
      this->SendStart(start);
    }
  }

  void SendStart(const StartCall& start) {
    const RunKey key = start.order.key;
    this->port.Start(start, [this, key](StartAnswer answer) {
      this->supervisor.OnStartAnswer(key, answer.result, answer.reason,
                                     answer.worker_clock_ms,
                                     core::Clock::Now());
      this->LogStart(key, answer);
      for (const StartCall& again :
           this->supervisor.DueStarts(core::Clock::Now())) {
        this->SendStart(again);
      }
      this->AnswerOrders();
      this->ReportNews();
    });
  }

  void LogStart(const RunKey& key, const StartAnswer& answer) {
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
                  {"outcome", outcome}});
  }

  void SendStop(const StopCall& stop) {
    this->port.Stop(stop, [this, key = stop.key](StopAnswer answer) {
      this->supervisor.OnStopAnswer(key, answer.worker_clock_ms.has_value(),
                                    answer.worker_clock_ms.value_or(0),
                                    core::Clock::Now());
    });
  }

  void AnswerOrders() {
    const core::TimePoint now = core::Clock::Now();
    const bool awaits_starts = this->supervisor.AwaitsStarts();
    std::vector<WaitingOrders> kept;
    for (const WaitingOrders& waiting : this->waiting_orders) {
      if (awaits_starts && now < waiting.deadline) {
        kept.push_back(waiting);
        continue;
      }
      wire::HttpResponse response;
      response.body = ToText(this->supervisor.MakeReport(now));
      waiting.responder.Respond(std::move(response));
    }
    this->waiting_orders = std::move(kept);
  }

  void LookSoon() {
    if (!this->long_look_open && this->supervisor.Worker() &&
        core::Clock::Now() >= this->next_look) {
      this->long_look_open = true;
      this->Look(kLookWait);
    }
  }

  void Look(core::Duration wait) {
    const auto& worker = this->supervisor.Worker();
    if (!worker) {
      return;
    }
    LookCall look;
    look.epoch = this->supervisor.Epoch();
    look.worker = worker->identity;
    look.acknowledged = this->supervisor.Acknowledged();
    look.deadline_ms = this->supervisor.BeginLook(core::Clock::Now());
    look.wait = this->supervisor.IsWorkerReachable() ? wait : core::Duration();
    const bool is_long = wait > core::Duration();
    this->port.Look(look,
                    [this, is_long](core::Expected<WorkerListing> listing) {
                      const core::TimePoint now = core::Clock::Now();
                      if (is_long) {
                        this->long_look_open = false;
                      }
                      if (listing) {
                        this->supervisor.OnListing(*listing, now);
                        this->look_failing = false;
                        if (this->supervisor.HasUnacknowledgedEnds()) {
                          this->next_look = now + kEndsPause;
                        }
                      } else {
                        this->OnLookEnded(listing.error(), now);
                      }
                      this->AnswerOrders();
                      this->ReportNews();
                      this->LookSoon();
                    });
  }

  void OnLookEnded(const core::Error& error, core::TimePoint now) {
    this->next_look = now + kLookPause;
    // A refused epoch is an answer: a newer planner is about to call.
    if (error.code != core::ErrorCode::kStale) {
      this->LogLookFailure(error);
      this->supervisor.OnLookFailed(now);
    }
  }

  void LogLookFailure(const core::Error& error) {
    if (!this->look_failing) {
      observe::Log(observe::LogLevel::kWarn,
                   "worker does not answer: " + error.message, {},
                   {{"event", "worker_unreachable"}});
    }
    this->look_failing = true;
  }

  void ReportNews() {
    if (this->supervisor.HasNews()) {
      this->Report();
    }
  }

  std::string NextEntry() {
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
    if (this->report_open || now < this->next_report) {
      return;
    }
    const core::Expected<wire::Endpoint> endpoint =
        wire::Endpoint::Parse(this->NextEntry());
    if (!endpoint) {
      this->planner.clear();
      ++this->entry_index;
      this->next_report = now + kReportPause;
      return;
    }
    this->report_open = true;
    this->last_report = now;
    wire::HttpCall call;
    call.endpoint = *endpoint;
    call.method = wire::HttpMethod::kPost;
    call.target = internal_api::kReport;
    call.body = ToText(this->supervisor.MakeReport(now));
    call.timeout = kReportTimeout;
    this->client.Send(
        call, [this, now](const core::Expected<wire::HttpResponse>& response) {
          this->report_open = false;
          this->OnReportAnswered(response, now);
        });
  }

  void OnReportAnswered(const core::Expected<wire::HttpResponse>& response,
                        core::TimePoint sent) {
    const core::TimePoint now = core::Clock::Now();
    if (response && response->status == wire::http_status::kOk) {
      const core::Expected<ReportAnswer> answer =
          ReportAnswerFromText(response->body);
      if (answer) {
        this->TakeAnswer(*answer, sent);
        return;
      }
    }
    if (response && response->status == internal_api::kNotPlanner &&
        !response->body.empty() && response->body != this->planner) {
      this->planner = response->body;
      this->last_report = core::TimePoint();
      this->next_report = now + kReportPause / 4;
      return;
    }
    if (!this->planner_lost) {
      this->planner_lost = true;
      observe::Log(observe::LogLevel::kWarn,
                   "no planner takes the report: " +
                       (response ? "status " + std::to_string(response->status)
                                 : response.error().message),
                   {}, {{"event", "planner_lost"}});
    }
    this->planner.clear();
    ++this->entry_index;
    this->next_report = now + kReportPause;
    this->last_report = core::TimePoint();
  }

  void TakeAnswer(const ReportAnswer& answer, core::TimePoint sent) {
    if (this->planner_lost) {
      this->planner_lost = false;
      observe::Log(observe::LogLevel::kInfo, "a planner takes the reports", {},
                   {{"event", "planner_found"}});
    }
    const core::SchedulingEpoch before = this->supervisor.Epoch();
    const std::uint64_t acknowledged = this->supervisor.Acknowledged();
    this->supervisor.OnReportAnswer(answer, sent);
    if (this->supervisor.Acknowledged() != acknowledged) {
      this->next_look = core::Clock::Now();
    }
    this->AddEntries(answer.entries);
    if (this->planner.empty() && !this->entries.empty()) {
      this->planner = this->entries[this->entry_index % this->entries.size()];
    }
    if (this->supervisor.Epoch() != before) {
      this->OnNewEpoch();
    }
    this->ReportNews();
    this->LookSoon();
  }

  AgentServiceOptions options;
  Worker& port;
  WorkerSupervisor supervisor;
  wire::HttpClient client;
  QTimer timer;
  std::vector<std::string> entries;
  std::size_t entry_index = 0;
  /// Endpoint of the planner; empty while it is not known.
  std::string planner;
  bool planner_lost = false;
  bool report_open = false;
  core::TimePoint last_report;
  core::TimePoint next_report;
  bool long_look_open = false;
  bool look_failing = false;
  core::TimePoint next_look;
  std::vector<WaitingOrders> waiting_orders;
};

}  // namespace hemlockdoor::batch
