#include "modules/agent/process/state_duty.h"

#include <utility>

#include "modules/observe/observe.h"

namespace hemlockdoor::agent {

namespace {

constexpr std::size_t kMaxRequests = 512;

observe::LogLevel LevelOf(RecordLevel level) {
  switch (level) {
    case RecordLevel::kInfo:
      return observe::LogLevel::kInfo;
    case RecordLevel::kWarn:
      return observe::LogLevel::kWarn;
    case RecordLevel::kError:
      break;
  }
  return observe::LogLevel::kError;
}

}  // namespace

StateDuty::StateDuty(const AgentCoreOptions& options,
                     Inboxes duty_inboxes,
                     SharedMetrics& shared_metrics)
    : metrics(shared_metrics),
      inboxes(duty_inboxes),
      core(options, core::Clock::Now()),
      requests(kMaxRequests,
               [this](Event event) { this->Handle(std::move(event)); }),
      outcomes(OutgoingCalls::kMaxOutstanding,
               [this](Event event) { this->OnOutcome(std::move(event)); }) {}

void StateDuty::Open() {
  this->timer = std::make_unique<QTimer>();
  QObject::connect(this->timer.get(), &QTimer::timeout, this->timer.get(),
                   [this] { this->OnTick(); });
  this->timer->start(static_cast<int>(kTickPeriod.InMilliseconds()));
  this->OnTick();
}

void StateDuty::Close() {
  this->closed = true;
  this->timer.reset();
}

void StateDuty::OnTick() {
  for (Event& event : std::exchange(this->unsent_outcomes, {})) {
    this->Handle(std::move(event));
  }
  this->Handle(Tick{});
}

void StateDuty::OnOutcome(Event event) {
  --this->outstanding;
  this->Handle(std::move(event));
}

void StateDuty::Handle(Event event) {
  if (this->closed) {
    return;
  }
  const core::TimePoint now = core::Clock::Now();
  Commands commands = this->core.Handle(std::move(event), now);
  this->metrics.Publish(this->core, this->core.IsReady(now));
  for (Command& command : commands) {
    this->Dispatch(std::move(command));
  }
}

void StateDuty::Dispatch(Command command) {
  if (const auto* record = std::get_if<LogRecord>(&command)) {
    observe::LogContext context;
    context.job = record->job;
    observe::Log(LevelOf(record->level), record->text, context);
    return;
  }
  if (OutcomeOfUnsent(command)) {
    this->DispatchCall(std::move(command));
    return;
  }
  // Cannot fail: the ring has room for the answers to all requests that the
  // frontend keeps pending, and for `Stop`.
  const bool pushed = this->inboxes.answers.TryPush(std::move(command));
  HD_ASSERT(pushed);
}

void StateDuty::DispatchCall(Command command) {
  Event failure = *OutcomeOfUnsent(command);
  wire::Inbox<Command>& ring = IsBulkCall(command) ? this->inboxes.bulk_calls
                                                   : this->inboxes.short_calls;
  const bool has_room = this->outstanding < OutgoingCalls::kMaxOutstanding;
  if (has_room && ring.TryPush(std::move(command))) {
    ++this->outstanding;
    return;
  }
  this->unsent_outcomes.push_back(std::move(failure));
}

}  // namespace hemlockdoor::agent
