#include "modules/agent/process/agent_process.h"

#include <malloc.h>

#include <random>
#include <string>
#include <utility>

#include "modules/agent/process/duty_thread.h"
#include "modules/agent/process/http_frontend.h"
#include "modules/agent/process/outgoing_calls.h"
#include "modules/agent/process/state_duty.h"
#include "modules/observe/observe.h"
#include "modules/wire/wire.h"

namespace hemlockdoor::agent {

namespace {

/// Limit on the bytes of large bodies in flight: received, parsed, and being
/// sent. Parsing one body takes up to three times its size. With 12 MB of held
/// results and about 20 MB of an idle agent, the total stays below 64 MB.
constexpr std::size_t kMaxInFlightBytes = 28U * 1024U * 1024U;

core::Incarnation DrawIncarnation() {
  std::random_device device;
  constexpr int kHalfBits = 32;
  const auto high = static_cast<std::uint64_t>(device());
  return core::Incarnation((high << kHalfBits) | device());
}

/// Makes malloc return large buffers to the system as soon as they are freed.
/// By default malloc adapts its mmap and trim thresholds to the largest buffer
/// that was freed, and keeps that much memory in the arena of each thread.
void ConfigureAllocator() {
  constexpr int kMapThresholdBytes = 128 * 1024;
  constexpr int kTrimThresholdBytes = 1024 * 1024;
  constexpr int kMaxArenas = 2;
  mallopt(M_MMAP_THRESHOLD, kMapThresholdBytes);
  mallopt(M_TRIM_THRESHOLD, kTrimThresholdBytes);
  mallopt(M_ARENA_MAX, kMaxArenas);
}

core::Expected<void> CheckSettings(const settings::AgentSettings& settings) {
  if (settings.id.IsEmpty()) {
    return core::MakeError(core::ErrorCode::kInvalidArgument,
                           "the agent's id is not set", "$.id");
  }
  if (settings.common.internal_key.IsEmpty()) {
    return core::MakeError(core::ErrorCode::kInvalidArgument,
                           "the internal key is not set", "$.internal_key");
  }
  for (const std::string& entry : settings.entries) {
    const core::Expected<wire::Endpoint> parsed = wire::Endpoint::Parse(entry);
    if (!parsed) {
      return core::MakeError(parsed.error().code, parsed.error().message,
                             "$.entries");
    }
  }
  return {};
}

AgentCoreOptions CoreOptions(const settings::AgentSettings& settings,
                             std::uint16_t port) {
  AgentCoreOptions options;
  options.id = settings.id;
  options.incarnation = DrawIncarnation();
  const std::string& advertised = settings.common.advertised_endpoint;
  options.endpoint =
      advertised.empty()
          ? wire::Endpoint{settings.common.address, port}.ToText()
          : advertised;
  options.entries = settings.entries;
  options.max_held_result_bytes = settings.max_held_result_bytes;
  options.drain_timeout = settings.common.drain_timeout;
  return options;
}

}  // namespace

class AgentProcess::Threads {
 public:
  SharedMetrics metrics;
  std::shared_ptr<wire::ByteBudget> in_flight =
      std::make_shared<wire::ByteBudget>(kMaxInFlightBytes);
  /// Runs `on_stopped` on the thread that called `Create`.
  std::unique_ptr<wire::Inbox<Stop>> stop_inbox;
  DutyThread<HttpFrontend> http;
  DutyThread<OutgoingCalls> short_calls;
  DutyThread<OutgoingCalls> bulk_calls;
  DutyThread<StateDuty> state;

  core::Expected<void> Start(const settings::AgentSettings& settings,
                             const wire::Endpoint& upstream,
                             std::function<void()> on_stopped);
  ~Threads();

 private:
  core::Expected<void> StartHttp(const settings::AgentSettings& settings,
                                 const wire::Endpoint& upstream);
};

core::Expected<void> AgentProcess::Threads::StartHttp(
    const settings::AgentSettings& settings,
    const wire::Endpoint& upstream) {
  HttpFrontend::Options options;
  options.address = settings.common.address;
  options.port = settings.common.port;
  options.internal_key = settings.common.internal_key.Reveal();
  options.upstream_address = upstream.address;
  options.process_bytes = this->in_flight;
  core::Expected<void> outcome;
  this->http.Start("http", [&]() -> std::unique_ptr<HttpFrontend> {
    core::Expected<std::unique_ptr<HttpFrontend>> frontend =
        HttpFrontend::Listen(options, this->metrics);
    if (!frontend) {
      outcome = tl::unexpected<core::Error>(frontend.error());
      return nullptr;
    }
    return std::move(*frontend);
  });
  return outcome;
}

core::Expected<void> AgentProcess::Threads::Start(
    const settings::AgentSettings& settings,
    const wire::Endpoint& upstream,
    std::function<void()> on_stopped) {
  if (core::Expected<void> listening = this->StartHttp(settings, upstream);
      !listening) {
    return listening;
  }
  const OutgoingCalls::Options call_options{
      upstream, settings.common.internal_key.Reveal(), this->in_flight};
  const auto make_calls = [&] {
    return std::make_unique<OutgoingCalls>(call_options, this->metrics);
  };
  this->short_calls.Start("peers", make_calls);
  this->bulk_calls.Start("bulk", make_calls);
  const AgentCoreOptions core_options =
      CoreOptions(settings, this->http.Get()->Port());
  this->state.Start("state", [&] {
    return std::make_unique<StateDuty>(
        core_options,
        StateDuty::Inboxes{this->http.Get()->Answers(),
                           this->short_calls.Get()->Commands(),
                           this->bulk_calls.Get()->Commands()},
        this->metrics);
  });
  StateDuty* duty = this->state.Get();
  this->stop_inbox = std::make_unique<wire::Inbox<Stop>>(
      1, [callback = std::move(on_stopped)](Stop) { callback(); });
  const auto stopped = [inbox = this->stop_inbox.get()] {
    const bool pushed = inbox->TryPush(Stop{});
    HD_ASSERT(pushed);
  };
  this->short_calls.RunAndWait(
      [&] { this->short_calls.Get()->Open(duty->Outcomes()); });
  this->bulk_calls.RunAndWait(
      [&] { this->bulk_calls.Get()->Open(duty->Outcomes()); });
  this->state.RunAndWait([duty] { duty->Open(); });
  this->http.RunAndWait([&] {
    this->http.Get()->SetStopped(stopped);
    this->http.Get()->Open(duty->Requests());
  });
  return {};
}

AgentProcess::Threads::~Threads() {
  // All duties are closed before any is destroyed, because each may push to the
  // inboxes of the others until it is closed.
  this->http.Close();
  this->short_calls.Close();
  this->bulk_calls.Close();
  this->state.Close();
  this->http.Join();
  this->short_calls.Join();
  this->bulk_calls.Join();
  this->state.Join();
}

AgentProcess::AgentProcess() : threads(std::make_unique<Threads>()) {}

AgentProcess::~AgentProcess() = default;

core::Expected<std::unique_ptr<AgentProcess>> AgentProcess::Create(
    settings::AgentSettings settings,
    std::function<void()> on_stopped) {
  if (core::Expected<void> checked = CheckSettings(settings); !checked) {
    return tl::unexpected<core::Error>(checked.error());
  }
  const core::Expected<wire::Endpoint> upstream =
      wire::Endpoint::Parse(settings.upstream);
  if (!upstream) {
    return core::MakeError(upstream.error().code, upstream.error().message,
                           "$.upstream");
  }
  ConfigureAllocator();
  std::unique_ptr<AgentProcess> process(new AgentProcess());
  core::Expected<void> started =
      process->threads->Start(settings, *upstream, std::move(on_stopped));
  if (!started) {
    return tl::unexpected<core::Error>(started.error());
  }
  return process;
}

std::uint16_t AgentProcess::Port() const {
  return this->threads->http.Get()->Port();
}

void AgentProcess::BeginDrain() {
  StateDuty* duty = this->threads->state.Get();
  // Bypasses the request ring, which may be full.
  this->threads->state.RunAndWait([duty] { duty->Drain(); });
}

AgentMetrics AgentProcess::Metrics() const {
  return this->threads->metrics.Read();
}

}  // namespace hemlockdoor::agent
