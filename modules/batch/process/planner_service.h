// Election of the planner and its network side: calls to agents and the store.
#pragma once

#include <QTimer>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "modules/batch/planner/planner.h"
#include "modules/batch/process/call_limit.h"
#include "modules/batch/process/internal_api.h"
#include "modules/batch/process/stable_wall_clock.h"
#include "modules/batch/process/store_keys.h"
#include "modules/core/core.h"
#include "modules/entry/core/planning_ownership.h"
#include "modules/observe/observe.h"
#include "modules/store/store.h"
#include "modules/wire/wire.h"

namespace hemlockdoor::batch {

/// Fixed parameters of the planner service of an entry.
struct PlannerServiceOptions {
  core::EntryId entry;
  /// Internal endpoint of this entry, "ADDRESS:PORT".
  std::string endpoint;
  entry::OwnershipTiming ownership;
  /// Validity of the term that the planner grants to an agent with each answer.
  core::Duration term;
  /// Longest lease that a worker accepts.
  core::Duration max_worker_lease = PlannerOptions().max_worker_lease;
  /// Time for which the records of ended jobs are kept.
  core::Duration retention = PlannerOptions().retention;
  /// Internal endpoints of entries, sent to agents.
  std::vector<std::string> entries;
  /// See `PlannerOptions`.
  OverloadPolicy overload_policy = OverloadPolicy::kPriority;
  core::Duration restore_time = PlannerOptions().restore_time;
  core::Duration stop_time = PlannerOptions().stop_time;
  core::Duration gang_wait = PlannerOptions().gang_wait;
};

/// Where a planner service learns whether the evacuations that it was given are
/// up to date.
struct EvacuationSource {
  /// Returns whether the evacuations have been read since the latest pause of
  /// this process and the latest call of `read_again`.
  std::function<bool(core::TimePoint)> is_confirmed;
  /// Reads the evacuations again.
  std::function<void()> read_again;
};

/// Takes part in the election of the planner. While elected, passes events to
/// the `Planner` and executes its decisions. Belongs to one Qt event loop.
template <store::KeyValueStore Store>
class PlannerService {
 public:
  PlannerService(PlannerServiceOptions service_options, Store& store_adapter)
      : options(std::move(service_options)),
        adapter(store_adapter),
        ownership(options.entry, options.endpoint, options.ownership) {
    QObject::connect(&this->timer, &QTimer::timeout, [this] { this->Tick(); });
    QObject::connect(&this->decide_timer, &QTimer::timeout,
                     [this] { this->Decide(); });
    this->decide_timer.setSingleShot(true);
    this->timer.start(kTickMs);
  }

  /// Returns the planner if it is loaded and this entry holds the planning
  /// lease now; otherwise nullptr.
  Planner* Active() {
    const bool active = this->loaded && this->planner &&
                        this->ownership.HoldsLease(core::Clock::Now());
    return active ? this->planner.get() : nullptr;
  }
  /// Returns the endpoint of the planner as last read from the store; empty
  /// when unknown.
  std::string PlannerEndpoint() const {
    const auto& owner = this->ownership.Owner();
    return owner ? owner->endpoint : std::string();
  }
  /// Returns the planner's summary, or nullptr if there is none or this entry
  /// is not the active planner.
  const RoomSummary* Room() {
    Planner* active = this->Active();
    return active == nullptr ? nullptr : active->Room(core::Clock::Now());
  }
  /// Returns the highest revision of the store that its answers have shown.
  store::ModRevision SeenRevision() const { return this->seen_revision; }
  /// An answer of the store has shown this revision.
  void OnRevisionSeen(store::ModRevision revision) {
    this->seen_revision = std::max(this->seen_revision, revision);
  }
  bool IsSelf(const std::string& endpoint) const {
    return endpoint == this->options.endpoint;
  }

  void SetConfiguration(
      std::shared_ptr<const Configuration> new_configuration) {
    this->configuration = std::move(new_configuration);
    if (this->planner) {
      this->planner->SetConfiguration(this->configuration);
      this->ScheduleDecision();
    }
  }
  /// From now on starts are withheld while the evacuations are not confirmed,
  /// and they are read again at the begin of each term.
  void SetEvacuationSource(EvacuationSource source) {
    this->evacuation_source = std::move(source);
  }
  void SetEvacuations(const EvacuationState& state) {
    this->evacuations = state;
    if (this->planner) {
      this->planner->SetEvacuations(state, core::Clock::Now());
      this->ScheduleDecision();
    }
    this->UpdateEvacuationMetrics();
  }
  /// Handles a record that was stored at `revision`.
  void OnSubmitted(const JobRecord& record, store::ModRevision revision) {
    if (Planner* active = this->Active()) {
      this->AddIfNew(*active, record, revision);
      this->ScheduleDecision();
    }
  }
  void OnCancelled(const core::JobId& job) {
    if (Planner* active = this->Active()) {
      active->CancelJob(job, core::Clock::Now());
      this->ScheduleDecision();
    }
  }
  /// Handles a report of an agent. Returns nothing when this entry is not the
  /// active planner.
  std::optional<ReportAnswer> OnReport(const AgentReport& report) {
    Planner* active = this->Active();
    if (active == nullptr) {
      return std::nullopt;
    }
    ReportAnswer answer = active->OnReport(report, core::Clock::Now());
    answer.entries = this->options.entries;
    this->ScheduleDecision();
    return answer;
  }

  /// Explains what `active`, the planner of this entry, would do with a job
  /// now, at most `kExplanationsPerSecond` times a second.
  core::Expected<Explanation> Explain(const Planner& active,
                                      const ExplainRequest& request) {
    const core::TimePoint now = core::Clock::Now();
    if (!this->explain_limit.Allow(now)) {
      return core::MakeError(core::ErrorCode::kResourceExhausted,
                             "too many calls; the planner explains at most " +
                                 std::to_string(kExplanationsPerSecond) +
                                 " jobs a second");
    }
    return active.Explain(request, now, this->wall.WallMilliseconds(now));
  }

  using StateDone = std::function<void(std::optional<OwnedState>)>;

  /// Looks up the state of the job. When the job may end soon, `done` is called
  /// once it has ended, or after `kStateAnswerTimeout`, so that callers who ask
  /// at the end of the last task need not ask again. `done` gets nothing when
  /// this entry is not the active planner or does not know the job.
  void FindState(const core::JobId& job, StateDone done) {
    Planner* active = this->Active();
    if (active == nullptr || !active->MayEndSoon(job)) {
      done(active == nullptr ? std::nullopt : active->OwnedStateOf(job));
      return;
    }
    this->pending_state_queries.push_back(
        {job, core::Clock::Now() + kStateAnswerTimeout, std::move(done)});
  }

  /// Releases the planning lease immediately and stops taking part in the
  /// election.
  void Resign() {
    this->ownership.Resign();
    this->timer.stop();
    if (this->ownership.IsOwner()) {
      this->Release();
      this->EndTerm("resigned");
    }
  }

 private:
  static constexpr int kTickMs = 50;
  /// Delay between an event and the decision, so that events that arrive
  /// together share one decision.
  static constexpr int kDecideDelayMs = 2;
  /// Most conditions in one store transaction that writes progress: one for
  /// the planning ownership and one for each record.
  static constexpr std::size_t kMaxConditionsPerTransaction = 16;
  static constexpr core::Duration kOrdersTimeout =
      core::Duration::Milliseconds(900);
  static constexpr core::Duration kRetryDelay =
      core::Duration::Milliseconds(200);
  /// Metrics are usually read every 10 s or more rarely.
  static constexpr core::Duration kSpeedExportInterval =
      core::Duration::Seconds(5);
  /// Delay before the records of ended jobs are removed again after a failure;
  /// long, since nobody waits for it.
  static constexpr core::Duration kRemovalRetryDelay =
      core::Duration::Seconds(5);
  /// Two reads of the owner key by the other entries.
  static constexpr core::Duration kRelayedClaimDelay =
      core::Duration::Milliseconds(1500);
  /// Each explanation takes about as long as a decision.
  static constexpr std::size_t kExplanationsPerSecond = 5;
  /// Longest delay of the answer about a job that may end soon. Covers the time
  /// from the end of its last task until the job's end is stored: a worker's
  /// answer, a report and a store write, each of a few milliseconds, with room
  /// for one slow answer.
  static constexpr core::Duration kStateAnswerTimeout =
      core::Duration::Milliseconds(150);

  struct PendingStateQuery {
    core::JobId job;
    core::TimePoint deadline;
    StateDone done;
  };

  /// Answers the pending state queries whose job has ended or whose deadline
  /// has passed; all of them when this entry is not the active planner.
  void AnswerStateQueries() {
    Planner* active = this->Active();
    const core::TimePoint now = core::Clock::Now();
    std::vector<PendingStateQuery> queries =
        std::exchange(this->pending_state_queries, {});
    for (PendingStateQuery& query : queries) {
      const bool keeps_waiting =
          active != nullptr && now < query.deadline &&
          active->StateOf(query.job) == JobState::kRunning;
      if (keeps_waiting) {
        this->pending_state_queries.push_back(std::move(query));
      } else {
        query.done(active == nullptr ? std::nullopt
                                     : active->OwnedStateOf(query.job));
      }
    }
  }

  void Tick() {
    this->RunOwnershipStep();
    this->AnswerStateQueries();
    this->LogRenewalChange();
    if (this->term_running && !this->loaded && !this->loading &&
        core::Clock::Now() >= this->load_retry_at) {
      this->Load();
    }
    if (this->Active() != nullptr) {
      this->ScheduleDecision();
    }
  }

  /// Logs when the renewal of the planning lease becomes overdue and when it
  /// succeeds again. An overdue renewal only suspends planning: if this entry
  /// still owns the lease when the store answers again, the term continues.
  void LogRenewalChange() {
    const bool holds = this->ownership.HoldsLease(core::Clock::Now());
    if (this->term_running && holds == this->renewal_overdue) {
      this->renewal_overdue = !holds;
      observe::Log(
          observe::LogLevel::kWarn,
          holds ? "planning lease renewed; planning resumed"
                : "planning lease not renewed in time; planning suspended",
          {}, {{"event", holds ? "planner_resumed" : "planner_waits"}});
    }
  }

  void RunOwnershipStep() {
    using entry::OwnershipStep;
    const core::TimePoint now = core::Clock::Now();
    switch (this->ownership.NextStep(now)) {
      case OwnershipStep::kNone:
        break;
      case OwnershipStep::kRead:
        this->adapter.List(entry::PlanningOwnership::kPrefix,
                           [this](const auto& listing) {
                             if (listing) {
                               this->OnRevisionSeen(listing->revision);
                             }
                             this->ownership.OnRead(listing, core::Clock::Now(),
                                                    this->ClaimDelay());
                           });
        break;
      case OwnershipStep::kGrant:
        this->adapter.GrantLease(
            this->options.ownership.lease, [this](const auto& granted) {
              this->ownership.OnGranted(granted, core::Clock::Now());
            });
        break;
      case OwnershipStep::kClaim:
        this->adapter.Commit(
            this->ownership.ClaimTransaction(), [this](const auto& claimed) {
              this->ownership.OnClaimed(claimed, core::Clock::Now());
              if (this->ownership.MustRelease()) {
                this->Release();
              }
              this->CheckTerm();
            });
        break;
      case OwnershipStep::kRenew:
        this->adapter.KeepAlive(
            this->ownership.Lease(), [this](const auto& renewed) {
              this->ownership.OnRenewed(renewed, core::Clock::Now());
              this->CheckTerm();
            });
        break;
    }
  }

  /// Returns how long this entry leaves an absent planning lease to others.
  core::Duration ClaimDelay() const {
    if constexpr (requires { this->adapter.IsRelayed(); }) {
      return this->adapter.IsRelayed() ? kRelayedClaimDelay : core::Duration();
    }
    return {};
  }

  void Release() {
    this->adapter.Commit(
        this->ownership.ReleaseTransaction(),
        [](const core::Expected<store::TransactionResult>& released) {
          if (!released) {
            observe::Log(
                observe::LogLevel::kWarn,
                "planning lease not released, it ends when it expires: " +
                    released.error().message,
                {}, {{"event", "release_failed"}});
          }
        });
  }

  void CheckTerm() {
    const bool holds = this->ownership.HoldsLease(core::Clock::Now());
    if (holds && !this->term_running) {
      this->term_running = true;
      this->renewal_overdue = false;
      ++this->term_number;
      observe::Log(
          observe::LogLevel::kInfo, "planning lease acquired", {},
          {{"event", "planner_elected"},
           {"epoch", std::to_string(this->ownership.Epoch().Number())}});
      if (this->evacuation_source) {
        this->evacuation_source->read_again();
      }
      this->Load();
    } else if (!this->ownership.IsOwner() && this->term_running) {
      this->EndTerm("planning lease lost, another entry may hold it");
    }
  }

  void EndTerm(const std::string& reason) {
    if (!this->term_running) {
      return;
    }
    this->term_running = false;
    this->loaded = false;
    this->loading = false;
    ++this->term_number;
    if (this->watch) {
      this->adapter.CancelWatch(*this->watch);
      this->watch.reset();
    }
    this->planner.reset();
    observe::ProcessMetrics().SetWorkerSpeeds({});
    observe::ProcessMetrics().SetWaitingJobs({}, core::Duration());
    this->jobs_read_until = store::ModRevision();
    this->unremoved_jobs.clear();
    this->UpdateEvacuationMetrics();
    observe::Log(observe::LogLevel::kWarn, "planning ended: " + reason, {},
                 {{"event", "planner_ended"}});
    this->AnswerStateQueries();
  }

  /// Wraps a callback so that it is dropped if the current term has ended by
  /// the time it is called.
  template <typename Step>
  auto InTerm(Step step) {
    return [this, term = this->term_number, step](const auto& outcome) {
      if (term == this->term_number && this->term_running) {
        step(outcome);
      }
    };
  }

  void Load() {
    this->loading = true;
    this->adapter.List(
        store_keys::kRootPrefix,
        this->InTerm([this](const core::Expected<store::Listing>& listing) {
          this->loading = false;
          if (!listing) {
            this->load_retry_at = core::Clock::Now() + kRetryDelay;
            observe::Log(observe::LogLevel::kWarn,
                         "jobs not read from the store, trying again: " +
                             listing.error().message,
                         {}, {{"event", "load_failed"}});
            return;
          }
          this->ApplyListing(*listing);
        }));
  }

  void ApplyListing(const store::Listing& listing) {
    const core::TimePoint now = core::Clock::Now();
    const bool is_first = !this->planner;
    std::map<std::string, ProgressRecord> progress;
    std::set<std::string> cancelled;
    std::vector<MemberRecord> members;
    std::vector<JobRecord> records;
    this->revisions.clear();
    for (const store::KeyValue& item : listing.items) {
      this->revisions[item.key] = item.mod_revision;
      this->ReadStoredItem(item, progress, cancelled, members, records);
    }
    if (is_first) {
      PlannerOptions planner_options;
      planner_options.term = this->options.term;
      planner_options.max_worker_lease = this->options.max_worker_lease;
      planner_options.endpoint = this->options.endpoint;
      planner_options.retention = this->options.retention;
      planner_options.overload_policy = this->options.overload_policy;
      planner_options.restore_time = this->options.restore_time;
      planner_options.stop_time = this->options.stop_time;
      planner_options.gang_wait = this->options.gang_wait;
      this->planner = std::make_unique<Planner>(planner_options);
      this->planner->SetConfiguration(this->configuration);
      this->planner->SetEvacuations(this->evacuations, now);
      this->planner->BeginTerm(this->ownership.Epoch(), members, now);
    }
    for (JobRecord& record : records) {
      const core::JobId id = record.spec.id;
      const bool is_cancelled = cancelled.contains(id.Text());
      if (!is_first) {
        this->AddIfNew(*this->planner, std::move(record),
                       this->RevisionOf(store_keys::JobKey(id)));
        if (is_cancelled) {
          this->planner->CancelJob(id, now);
        }
        continue;
      }
      const auto found = progress.find(id.Text());
      this->planner->LoadJob(
          std::move(record), found == progress.end() ? nullptr : &found->second,
          is_cancelled, now, this->wall.WallMilliseconds(now));
    }
    this->loaded = true;
    this->OnJobsRead(listing.revision);
    this->StartWatch(listing.revision);
    this->ScheduleDecision();
  }

  static void LogUnreadable(const std::string& key, const core::Error& error) {
    observe::Log(
        observe::LogLevel::kError,
        "stored item not decoded, ignored: " + error.message, {},
        {{"event", "item_unreadable"}, {"key", key}, {"field", error.path}});
  }

  /// Decodes the record of the job that the key names.
  static core::Expected<JobRecord> ReadJobRecord(const std::string& key,
                                                 const std::string& text) {
    core::Expected<JobRecord> record = JobRecordFromText(text);
    if (record && store_keys::JobKey(record->spec.id) != key) {
      return core::MakeError(core::ErrorCode::kInvalidArgument,
                             "the record is that of another job", "$.spec.id");
    }
    return record;
  }

  void ReadStoredItem(const store::KeyValue& item,
                      std::map<std::string, ProgressRecord>& progress,
                      std::set<std::string>& cancelled,
                      std::vector<MemberRecord>& members,
                      std::vector<JobRecord>& records) {
    if (item.key.starts_with(store_keys::kJobPrefix)) {
      core::Expected<JobRecord> record = ReadJobRecord(item.key, item.value);
      record ? records.push_back(std::move(*record))
             : LogUnreadable(item.key, record.error());
    } else if (item.key.starts_with(store_keys::kCancellationPrefix)) {
      cancelled.insert(
          item.key.substr(std::string(store_keys::kCancellationPrefix).size()));
    } else if (item.key.starts_with(store_keys::kProgressPrefix)) {
      core::Expected<ProgressRecord> record = ProgressFromText(item.value);
      if (record) {
        progress.insert_or_assign(record->job.Text(), std::move(*record));
      } else {
        LogUnreadable(item.key, record.error());
      }
    } else if (item.key == store_keys::kMembersKey) {
      core::Expected<MemberList> list = MembersFromText(item.value);
      if (list) {
        members = std::move(list->members);
        for (const core::Error& error : list->errors) {
          LogUnreadable(item.key, error);
        }
      } else {
        LogUnreadable(item.key, list.error());
      }
    }
  }

  void StartWatch(store::ModRevision revision) {
    if (this->watch) {
      this->adapter.CancelWatch(*this->watch);
    }
    this->watch = this->adapter.Watch(
        store_keys::kIntakePrefix, revision.Next(),
        this->InTerm(
            [this](
                const core::Expected<std::vector<store::WatchEvent>>& events) {
              if (!events) {
                // The new listing contains the changes that the lost watch did
                // not deliver.
                this->watch.reset();
                this->Reload();
                return;
              }
              for (const store::WatchEvent& event : *events) {
                this->ApplyWatchEvent(event);
                this->OnJobsRead(event.mod_revision);
              }
              this->ScheduleDecision();
            }));
  }

  void Reload() {
    wire::RunLater(
        &this->context, kRetryDelay, [this, term = this->term_number] {
          if (term != this->term_number || !this->term_running) {
            return;
          }
          this->adapter.List(
              store_keys::kRootPrefix,
              this->InTerm(
                  [this](const core::Expected<store::Listing>& listing) {
                    if (!listing) {
                      this->Reload();
                      return;
                    }
                    this->ApplyListing(*listing);
                  }));
        });
  }

  void ApplyWatchEvent(const store::WatchEvent& event) {
    const core::TimePoint now = core::Clock::Now();
    if (!event.value) {
      return;
    }
    if (event.key.starts_with(store_keys::kJobPrefix)) {
      core::Expected<JobRecord> record = ReadJobRecord(event.key, *event.value);
      record ? this->AddIfNew(*this->planner, std::move(*record),
                              event.mod_revision)
             : LogUnreadable(event.key, record.error());
    } else if (event.key.starts_with(store_keys::kCancellationPrefix)) {
      const std::size_t start =
          std::string(store_keys::kCancellationPrefix).size();
      this->planner->CancelJob(core::JobId(event.key.substr(start)), now);
    }
  }

  /// Adds a job whose record was stored at `revision`, unless the planner has
  /// read that far. If it does not know the job then, the job has ended and
  /// been forgotten; its progress may have been removed, so that it would run
  /// again.
  void AddIfNew(Planner& active,
                JobRecord record,
                store::ModRevision revision) {
    if (revision > this->jobs_read_until) {
      active.AddJob(std::move(record), core::Clock::Now());
    }
  }
  /// Records that the planner has read all jobs stored up to `revision`.
  void OnJobsRead(store::ModRevision revision) {
    this->jobs_read_until = std::max(this->jobs_read_until, revision);
    this->OnRevisionSeen(revision);
  }

  void ScheduleDecision() {
    if (!this->decide_timer.isActive()) {
      this->decide_timer.start(kDecideDelayMs);
    }
  }

  void Decide() {
    Planner* active = this->Active();
    if (active == nullptr) {
      return;
    }
    const core::TimePoint now = core::Clock::Now();
    const std::int64_t wall_ms = this->wall.WallMilliseconds(now);
    if (this->evacuation_source) {
      active->WithholdStarts(!this->evacuation_source->is_confirmed(now));
    }
    for (AgentOrders& orders : active->Decide(now, wall_ms)) {
      this->SendOrders(std::move(orders));
    }
    for (const DecisionLogEntry& note : active->TakeDecisionLog()) {
      observe::LogContext log_context;
      log_context.job = note.job;
      observe::Log(observe::LogLevel::kInfo, note.detail, log_context,
                   {{"event", note.event}});
    }
    this->UpdateEvacuationMetrics();
    this->ExportSpeeds(*active, now);
    this->ExportWaits(*active);
    this->StoreMembers(*active, now);
    this->StoreProgress(*active, now, wall_ms);
    this->RemoveExpired(*active, now);
  }

  void UpdateEvacuationMetrics() {
    if (!this->evacuation_source) {
      return;
    }
    const EvacuationLoad load =
        this->planner ? this->planner->EvacuatedLoad() : EvacuationLoad();
    observe::ProcessMetrics().SetEvacuation(
        this->evacuations.data_centres.size(),
        static_cast<std::size_t>(load.units), load.remaining);
  }

  void ExportWaits(const Planner& active) {
    std::map<std::string, std::size_t> jobs;
    for (const auto& [reason, count] : active.Waits().jobs) {
      jobs[NameOf(reason)] = count;
    }
    observe::ProcessMetrics().SetWaitingJobs(
        jobs, active.Waits().longest_beside_free_room);
  }

  /// Updates the metrics of the speeds of workers, if they are due.
  void ExportSpeeds(const Planner& active, core::TimePoint now) {
    if (now < this->next_speed_export) {
      return;
    }
    this->next_speed_export = now + kSpeedExportInterval;
    std::vector<observe::WorkerSpeedFigures> workers;
    for (const auto& [agent, view] : active.Agents()) {
      if (view.worker && !view.is_lost) {
        const SpeedEstimate speed = active.Speeds().Of(agent);
        workers.push_back({agent, speed.factor, speed.uncertainty, speed.runs});
      }
    }
    observe::ProcessMetrics().SetWorkerSpeeds(std::move(workers));
  }

  void SendOrders(AgentOrders orders) {
    const core::Expected<wire::Endpoint> endpoint =
        wire::Endpoint::Parse(orders.endpoint);
    if (!endpoint) {
      observe::Log(observe::LogLevel::kError, endpoint.error().message, {},
                   {{"event", "agent_endpoint_invalid"}});
      this->planner->OnOrdersUnanswered(orders.agent, orders.batch.number,
                                        core::Clock::Now());
      return;
    }
    wire::HttpCall call;
    call.endpoint = *endpoint;
    call.method = wire::HttpMethod::kPost;
    call.target = internal_api::kOrders;
    call.body = ToText(orders.batch);
    call.timeout = kOrdersTimeout;
    call.single_send = true;
    this->client.Send(
        call,
        this->InTerm([this, agent = orders.agent, number = orders.batch.number](
                         const core::Expected<wire::HttpResponse>& answer) {
          const core::TimePoint now = core::Clock::Now();
          const core::Expected<AgentReport> report =
              answer && answer->status == wire::http_status::kOk
                  ? ReportFromText(answer->body)
                  : core::MakeError(
                        core::ErrorCode::kTimeout,
                        answer ? "status " + std::to_string(answer->status)
                               : answer.error().message);
          if (!report) {
            observe::Log(
                observe::LogLevel::kWarn,
                "no usable answer to orders: " + report.error().message, {},
                {{"event", "orders_unanswered"}, {"agent", agent.Text()}});
            this->planner->OnOrdersUnanswered(agent, number, now);
          } else {
            // The agent's answer is processed even while the renewal of the
            // planning lease is overdue; only decisions need the lease.
            this->planner->OnOrdersAnswered(agent, number);
            this->planner->OnReport(*report, now);
          }
          this->ScheduleDecision();
        }));
  }

  void StoreMembers(Planner& active, core::TimePoint now) {
    if (this->members_write_in_flight || now < this->members_retry_at) {
      return;
    }
    const std::optional<std::vector<MemberRecord>> members =
        active.TakeMembersWrite();
    if (!members) {
      return;
    }
    this->members_write_in_flight = true;
    store::Transaction transaction = this->OwnedTransaction();
    const std::string key = store_keys::kMembersKey;
    transaction.compares.push_back({key, this->RevisionOf(key)});
    transaction.writes.push_back({key, ToText(*members), std::nullopt});
    this->adapter.Commit(
        transaction,
        [this, term = this->term_number, members = *members,
         key](const core::Expected<store::TransactionResult>& outcome) {
          this->members_write_in_flight = false;
          if (term != this->term_number || !this->planner) {
            return;
          }
          if (outcome && outcome->succeeded) {
            this->OnRevisionSeen(outcome->revision);
            this->revisions[key] = outcome->revision;
            this->planner->OnMembersRecorded(members);
            this->ScheduleDecision();
            return;
          }
          this->members_retry_at = core::Clock::Now() + kRetryDelay;
          this->RefreshRevisions();
        });
  }

  void StoreProgress(Planner& active,
                     core::TimePoint now,
                     std::int64_t wall_ms) {
    if (this->progress_write_in_flight || now < this->progress_retry_at) {
      return;
    }
    const std::vector<ProgressWrite> writes = active.TakeProgressWrites(
        now, wall_ms, kMaxConditionsPerTransaction - 1);
    if (writes.empty()) {
      return;
    }
    this->progress_write_in_flight = true;
    store::Transaction transaction = this->OwnedTransaction();
    std::vector<std::pair<core::JobId, std::uint64_t>> versions;
    for (const ProgressWrite& write : writes) {
      const std::string key = store_keys::ProgressKey(write.record.job);
      transaction.compares.push_back({key, this->RevisionOf(key)});
      transaction.writes.push_back({key, ToText(write.record), std::nullopt});
      versions.emplace_back(write.record.job, write.version);
    }
    this->adapter.Commit(
        transaction,
        [this, term = this->term_number,
         versions](const core::Expected<store::TransactionResult>& outcome) {
          this->progress_write_in_flight = false;
          if (term != this->term_number || !this->planner) {
            return;
          }
          if (!outcome || !outcome->succeeded) {
            this->progress_retry_at = core::Clock::Now() + kRetryDelay;
            observe::Log(
                observe::LogLevel::kWarn,
                outcome ? "progress not stored: conflict with the store"
                        : "progress not stored: " + outcome.error().message,
                {}, {{"event", "progress_failed"}});
            this->RefreshRevisions();
            return;
          }
          this->OnRevisionSeen(outcome->revision);
          for (const auto& [job, version] : versions) {
            this->revisions[store_keys::ProgressKey(job)] = outcome->revision;
            this->planner->OnProgressRecorded(job, version);
          }
          this->AnswerStateQueries();
          this->ScheduleDecision();
        });
  }

  void RemoveExpired(Planner& active, core::TimePoint now) {
    std::vector<core::JobId> expired = active.TakeExpiredJobs(now);
    if (now >= this->removal_retry_at) {
      expired.insert(expired.end(), this->unremoved_jobs.begin(),
                     this->unremoved_jobs.end());
      this->unremoved_jobs.clear();
    }
    for (const core::JobId& job : expired) {
      store::Transaction transaction = this->OwnedTransaction();
      transaction.writes = {
          {store_keys::JobKey(job), std::nullopt, std::nullopt},
          {store_keys::CancellationKey(job), std::nullopt, std::nullopt},
          {store_keys::ProgressKey(job), std::nullopt, std::nullopt}};
      this->revisions.erase(store_keys::ProgressKey(job));
      this->adapter.Commit(
          transaction,
          this->InTerm(
              [this,
               job](const core::Expected<store::TransactionResult>& outcome) {
                if (!outcome) {
                  this->unremoved_jobs.push_back(job);
                  this->removal_retry_at =
                      core::Clock::Now() + kRemovalRetryDelay;
                  observe::Log(observe::LogLevel::kWarn,
                               "expired job not removed, trying again: " +
                                   outcome.error().message,
                               {}, {{"event", "expiry_failed"}});
                }
              }));
    }
  }

  /// Returns a transaction that takes effect only while this entry owns the
  /// planning lease.
  store::Transaction OwnedTransaction() const {
    store::Transaction transaction;
    transaction.compares = {
        {entry::PlanningOwnership::kOwnerKey, this->ownership.OwnerRevision()}};
    return transaction;
  }

  store::ModRevision RevisionOf(const std::string& key) const {
    const auto found = this->revisions.find(key);
    return found == this->revisions.end() ? store::ModRevision()
                                          : found->second;
  }

  /// Reads the revisions of all keys again after a failed write. A write
  /// without an answer may have taken effect or may still do so; the conditions
  /// of the next write detect it.
  void RefreshRevisions() {
    this->adapter.List(
        store_keys::kRootPrefix,
        this->InTerm([this](const core::Expected<store::Listing>& listing) {
          if (!listing) {
            return;
          }
          this->revisions.clear();
          for (const store::KeyValue& item : listing->items) {
            this->revisions[item.key] = item.mod_revision;
          }
        }));
  }

  PlannerServiceOptions options;
  Store& adapter;
  entry::PlanningOwnership ownership;
  std::unique_ptr<Planner> planner;
  std::shared_ptr<const Configuration> configuration =
      std::make_shared<const Configuration>();
  EvacuationState evacuations;
  /// Empty where evacuations are not supported.
  std::optional<EvacuationSource> evacuation_source;
  StableWallClock wall;
  wire::HttpClient client;
  QObject context;
  std::vector<PendingStateQuery> pending_state_queries;
  CallLimit explain_limit{kExplanationsPerSecond, core::Duration::Seconds(1)};
  QTimer timer;
  QTimer decide_timer;
  bool term_running = false;
  bool renewal_overdue = false;
  /// Incremented at the begin and at the end of each term, so that callbacks of
  /// an earlier term can be recognised.
  std::uint64_t term_number = 0;
  bool loading = false;
  bool loaded = false;
  core::TimePoint load_retry_at;
  std::optional<store::WatchId> watch;
  std::map<std::string, store::ModRevision> revisions;
  /// The planner has read all jobs that were stored up to this revision.
  store::ModRevision jobs_read_until;
  store::ModRevision seen_revision;
  /// Ended and forgotten jobs whose records may still be stored.
  std::vector<core::JobId> unremoved_jobs;
  core::TimePoint removal_retry_at;
  bool members_write_in_flight = false;
  core::TimePoint members_retry_at;
  core::TimePoint next_speed_export;
  bool progress_write_in_flight = false;
  core::TimePoint progress_retry_at;
};

}  // namespace hemlockdoor::batch
