#include "modules/entry/process/entry_process.h"

#include <malloc.h>

#include <QAbstractEventDispatcher>
#include <QObject>
#include <QTimer>
#include <algorithm>
#include <atomic>
#include <deque>
#include <map>
#include <mutex>
#include <random>
#include <utility>
#include <variant>

#include "modules/entry/api/answers.h"
#include "modules/entry/api/request_router.h"
#include "modules/entry/core/entry_core.h"
#include "modules/entry/core/operator_service.h"
#include "modules/entry/process/duty_thread.h"
#include "modules/entry/process/peer_caller.h"
#include "modules/entry/process/store_duty.h"
#include "modules/observe/observe.h"
#include "modules/wire/wire.h"

namespace hemlockdoor::entry {

namespace {

namespace status = wire::http_status;

/// Events that may wait for the state machine. An announcement or submission
/// that finds the ring full is answered 503.
constexpr std::size_t kEventRing = 8192;
/// Answers that may wait for the HTTP thread: more than connections exist.
constexpr std::size_t kAnswerRing = 4096;
constexpr std::size_t kCallRing = 4096;
constexpr std::size_t kBulkRing = 64;
constexpr std::size_t kStoreRing = 1024;
constexpr std::size_t kReadRing = 64;
/// Body size from which a request is read, and work is sent, on the bulk
/// thread.
constexpr std::size_t kBulkBytes = 64U * 1024U;
constexpr std::size_t kCallsInProgress = 64;
/// Each call that carries a payload needs up to three copies of it.
constexpr std::size_t kBulkCallsInProgress = 1;
/// An 8 MB payload as a JSON text, with escapes.
constexpr std::size_t kMaxBodyBytes = 9U * 1024U * 1024U;
constexpr int kClosedCheckPeriodMs = 500;
/// Delay before an event that found the ring full is offered again.
constexpr core::Duration kOfferAgainDelay = core::Duration::Milliseconds(5);

using SharedEvent = std::shared_ptr<Event>;

std::uint64_t DrawIncarnation() {
  std::random_device device;
  const std::uint64_t high = device();
  return (high << 32U) | device();
}

/// An entry that is no longer ready goes on serving for so long: balancers ask
/// about each second, and send requests until they have seen the answer.
constexpr core::Duration kDrainNotice = core::Duration::Seconds(1);
/// The notice takes at most this part of the drain timeout.
constexpr std::int64_t kNoticeShare = 10;

/// Reads the initial catalogue; an empty name means none.
core::Expected<std::optional<model::Catalogue>> LoadCatalogue(
    const std::string& file) {
  if (file.empty()) {
    return std::optional<model::Catalogue>();
  }
  const core::Expected<std::string> text =
      settings::ReadTextFile(file, kMaxBodyBytes);
  if (!text) {
    return tl::unexpected<core::Error>(text.error());
  }
  core::Expected<model::Catalogue> catalogue = model::CatalogueFromText(*text);
  if (!catalogue) {
    core::Error error = catalogue.error();
    error.path = file + ": " + error.path;
    return tl::unexpected<core::Error>(std::move(error));
  }
  return std::optional<model::Catalogue>(std::move(*catalogue));
}

}  // namespace

class EntryProcess::Shell {
 public:
  Shell(settings::EntrySettings entry_settings, std::function<void()> stopped)
      : settings(std::move(entry_settings)), on_stopped(std::move(stopped)) {}
  ~Shell() { this->Shutdown(); }
  Shell(const Shell&) = delete;
  Shell& operator=(const Shell&) = delete;

  core::Expected<void> Start();
  std::uint16_t Port() const { return this->port; }
  void BeginDrain();

 private:
  /// A request that waits to be read on the bulk thread.
  struct LargeRequest {
    RequestId id;
    wire::HttpRequest request;
  };

  core::Expected<void> Listen();
  core::Expected<void> OpenStore(std::optional<model::Catalogue> initial);
  StoreDutyCallbacks MakeStoreCallbacks();
  core::Expected<void> StartCore();
  void StartCallers();
  void Shutdown();

  // On the HTTP thread.
  void OnRequest(wire::HttpRequest request,
                 const wire::HttpResponder& responder);
  void OnAnswer(const Answer& answer);
  void FindClosed();

  // On any thread.
  void Deliver(RequestId id, Routed routed);
  void PostAnswer(Answer answer);
  void Offer(const SharedEvent& event);
  std::shared_ptr<const RoutingState> Routing() const;
  void UpdateRouting(const std::function<void(RoutingState&)>& change);

  // On the state machine's thread.
  void HandleEvent(const Event& event);
  void RunCommand(Command command);
  void SendWorkToPeer(SendWork work);
  void CallStore(StoreCall call);
  void WriteEdit(WriteCatalogueEdit edit);
  void FailCall(CallId call);

  settings::EntrySettings settings;
  std::function<void()> on_stopped;
  std::uint16_t port = 0;

  mutable std::mutex routing_mutex;
  std::shared_ptr<const RoutingState> routing;

  DutyThread http{"http"};
  DutyThread decide{"decide"};
  DutyThread peers{"peers"};
  DutyThread bulk{"bulk"};
  DutyThread store_duty{"store"};

  std::unique_ptr<wire::Inbox<Answer>> answers;
  std::unique_ptr<wire::Inbox<SharedEvent>> events;
  std::unique_ptr<wire::Inbox<PeerCaller::Message>> calls;
  std::unique_ptr<wire::Inbox<PeerCaller::Message>> bulk_calls;
  std::unique_ptr<wire::Inbox<LargeRequest>> large_requests;
  std::unique_ptr<wire::Inbox<StoreMessage>> store_calls;

  std::unique_ptr<wire::HttpServer> server;
  std::map<RequestId, wire::HttpResponder> responders;
  std::unique_ptr<QTimer> closed_timer;
  std::uint64_t last_request = 0;

  std::unique_ptr<EntryCore> core;
  std::unique_ptr<QTimer> tick_timer;
  /// Ends of calls that could not be sent; taken after the present event.
  std::deque<Event> failed_calls;
  bool handling = false;

  std::unique_ptr<PeerCaller> peer_caller;
  std::unique_ptr<PeerCaller> bulk_caller;
  std::unique_ptr<StoreDuty<store::MemoryStore>> memory_store;
  std::unique_ptr<StoreDuty<store::EtcdGatewayStore>> etcd_store;
  std::atomic<bool> drain_begun = false;
  /// Receives the end of the drain notice; lives on the creating thread.
  QObject drain_context;
  /// Bytes that the state machine holds and needs.
  std::atomic<std::size_t> needed_bytes = 0;
};

core::Expected<void> EntryProcess::Shell::Start() {
  core::Expected<std::optional<model::Catalogue>> loaded =
      LoadCatalogue(this->settings.initial_catalogue);
  if (!loaded) {
    return tl::unexpected<core::Error>(loaded.error());
  }
  auto state = std::make_shared<RoutingState>();
  state->internal_key = this->settings.common.internal_key.Reveal();
  this->routing = std::move(state);
  // The inbox of the state machine exists before any other part adds to it.
  this->decide.RunAndWait([this] {
    this->events = std::make_unique<wire::Inbox<SharedEvent>>(
        kEventRing,
        [this](const SharedEvent& event) { this->HandleEvent(*event); });
  });
  this->StartCallers();
  if (core::Expected<void> listening = this->Listen(); !listening) {
    return listening;
  }
  if (core::Expected<void> opened = this->OpenStore(std::move(*loaded));
      !opened) {
    return opened;
  }
  return this->StartCore();
}

void EntryProcess::Shell::StartCallers() {
  const std::string key = this->settings.common.internal_key.Reveal();
  const auto ended = [this](CallEnded event) {
    this->Offer(std::make_shared<Event>(std::move(event)));
  };
  this->peers.RunAndWait([this, key, ended] {
    this->peer_caller =
        std::make_unique<PeerCaller>(key, kCallsInProgress, ended);
    this->calls = std::make_unique<wire::Inbox<PeerCaller::Message>>(
        kCallRing, [this](PeerCaller::Message message) {
          if (this->peer_caller) {
            this->peer_caller->Take(std::move(message));
          }
        });
  });
  this->bulk.RunAndWait([this, key, ended] {
    this->bulk_caller =
        std::make_unique<PeerCaller>(key, kBulkCallsInProgress, ended);
    this->bulk_calls = std::make_unique<wire::Inbox<PeerCaller::Message>>(
        kBulkRing, [this](PeerCaller::Message message) {
          if (this->bulk_caller) {
            this->bulk_caller->Take(std::move(message));
          }
        });
    this->large_requests = std::make_unique<wire::Inbox<LargeRequest>>(
        kReadRing, [this](LargeRequest large) {
          this->Deliver(large.id, RouteRequest(std::move(large.request),
                                               large.id, *this->Routing()));
        });
  });
}

StoreDutyCallbacks EntryProcess::Shell::MakeStoreCallbacks() {
  StoreDutyCallbacks callbacks;
  callbacks.on_event = [this](Event event) {
    this->Offer(std::make_shared<Event>(std::move(event)));
  };
  callbacks.on_answer = [this](Answer answer) {
    this->PostAnswer(std::move(answer));
  };
  callbacks.on_catalogue =
      [this](std::shared_ptr<const model::Catalogue> catalogue) {
        this->UpdateRouting([&catalogue](RoutingState& state) {
          state.tokens = TokenDirectory::FromCatalogue(*catalogue);
          state.has_catalogue = true;
        });
        this->Offer(
            std::make_shared<Event>(CatalogueChanged{std::move(catalogue)}));
      };
  return callbacks;
}

core::Expected<void> EntryProcess::Shell::OpenStore(
    std::optional<model::Catalogue> initial) {
  core::Expected<void> outcome;
  this->store_duty.RunAndWait([this, &outcome, &initial] {
    StoreDutyOptions duty_options;
    duty_options.edit_id_prefix =
        this->settings.id.Text() + "-" + std::to_string(DrawIncarnation());
    duty_options.initial = std::move(initial);
    duty_options.seed = DrawIncarnation();
    if (this->settings.store.empty()) {
      auto memory = std::make_unique<store::MemoryStore>();
      memory->DriveByTimer();
      this->memory_store = std::make_unique<StoreDuty<store::MemoryStore>>(
          std::move(memory), std::move(duty_options),
          this->MakeStoreCallbacks());
    } else {
      const core::Expected<wire::Endpoint> endpoint =
          wire::Endpoint::Parse(this->settings.store);
      if (!endpoint) {
        outcome = tl::unexpected<core::Error>(endpoint.error());
        return;
      }
      store::EtcdOptions options;
      options.endpoint = *endpoint;
      options.seed = DrawIncarnation();
      core::Expected<std::unique_ptr<store::EtcdGatewayStore>> created =
          store::EtcdGatewayStore::Create(options);
      if (!created) {
        outcome = tl::unexpected<core::Error>(created.error());
        return;
      }
      this->etcd_store = std::make_unique<StoreDuty<store::EtcdGatewayStore>>(
          std::move(*created), std::move(duty_options),
          this->MakeStoreCallbacks());
    }
    this->store_calls = std::make_unique<wire::Inbox<StoreMessage>>(
        kStoreRing, [this](StoreMessage message) {
          if (this->memory_store) {
            this->memory_store->Take(std::move(message));
          } else if (this->etcd_store) {
            this->etcd_store->Take(std::move(message));
          }
        });
  });
  return outcome;
}

core::Expected<void> EntryProcess::Shell::Listen() {
  core::Expected<void> outcome;
  this->http.RunAndWait([this, &outcome] {
    wire::HttpServerLimits limits;
    limits.max_body_bytes = kMaxBodyBytes;
    // One large body at a time in each direction: reading and writing one
    // needs further copies of it, and an entry stays under 64 MB.
    limits.max_request_bytes = kMaxBodyBytes;
    limits.max_response_bytes = kMaxBodyBytes;
    core::Expected<std::unique_ptr<wire::HttpServer>> listening =
        wire::HttpServer::Listen(
            this->settings.common.address, this->settings.common.port, limits,
            [this](wire::HttpRequest request,
                   const wire::HttpResponder& responder) {
              this->OnRequest(std::move(request), responder);
            });
    if (!listening) {
      outcome = tl::unexpected<core::Error>(listening.error());
      return;
    }
    this->server = std::move(*listening);
    this->port = this->server->Port();
    this->answers = std::make_unique<wire::Inbox<Answer>>(
        kAnswerRing, [this](const Answer& answer) { this->OnAnswer(answer); });
    this->closed_timer = std::make_unique<QTimer>();
    QObject::connect(this->closed_timer.get(), &QTimer::timeout,
                     [this] { this->FindClosed(); });
    this->closed_timer->start(kClosedCheckPeriodMs);
  });
  return outcome;
}

core::Expected<void> EntryProcess::Shell::StartCore() {
  EntryOptions options;
  options.id = this->settings.id;
  options.incarnation = core::Incarnation(DrawIncarnation());
  const std::string& advertised = this->settings.common.advertised_endpoint;
  options.endpoint = advertised.empty() ? this->settings.common.address + ":" +
                                              std::to_string(this->port)
                                        : advertised;
  options.peers = this->settings.peers;
  options.drain_timeout = this->settings.common.drain_timeout;
  options.seed = DrawIncarnation();
  core::Expected<void> outcome;
  this->decide.RunAndWait([this, &options, &outcome] {
    core::Expected<std::unique_ptr<EntryCore>> created =
        EntryCore::Create(options);
    if (!created) {
      outcome = tl::unexpected<core::Error>(created.error());
      return;
    }
    this->core = std::move(*created);
    this->tick_timer = std::make_unique<QTimer>();
    QObject::connect(this->tick_timer.get(), &QTimer::timeout,
                     [this] { this->HandleEvent(Tick{}); });
    this->tick_timer->start(static_cast<int>(kTickPeriod.InMilliseconds()));
  });
  return outcome;
}

void EntryProcess::Shell::Shutdown() {
  // Network objects and timers end on their own threads; the rings stay until
  // no thread runs any more, since another thread may still add to them.
  this->http.RunAndWait([this] {
    this->closed_timer.reset();
    this->responders.clear();
    this->server.reset();
  });
  this->decide.RunAndWait([this] {
    this->tick_timer.reset();
    this->core.reset();
  });
  this->peers.RunAndWait([this] { this->peer_caller.reset(); });
  this->bulk.RunAndWait([this] { this->bulk_caller.reset(); });
  this->store_duty.RunAndWait([this] {
    this->memory_store.reset();
    this->etcd_store.reset();
  });
  this->http.Stop();
  this->decide.Stop();
  this->peers.Stop();
  this->bulk.Stop();
  this->store_duty.Stop();
}

void EntryProcess::Shell::BeginDrain() {
  if (this->drain_begun.exchange(true)) {
    return;
  }
  this->UpdateRouting([](RoutingState& state) { state.draining = true; });
  const core::Duration notice = std::min(
      kDrainNotice, this->settings.common.drain_timeout / kNoticeShare);
  wire::RunLater(&this->drain_context, notice, [this] {
    this->Offer(std::make_shared<Event>(DrainRequested{}));
  });
}

std::shared_ptr<const RoutingState> EntryProcess::Shell::Routing() const {
  const std::lock_guard<std::mutex> lock(this->routing_mutex);
  return this->routing;
}

void EntryProcess::Shell::UpdateRouting(
    const std::function<void(RoutingState&)>& change) {
  const std::lock_guard<std::mutex> lock(this->routing_mutex);
  auto changed = std::make_shared<RoutingState>(*this->routing);
  change(*changed);
  this->routing = std::move(changed);
}

void EntryProcess::Shell::OnRequest(wire::HttpRequest request,
                                    const wire::HttpResponder& responder) {
  if (request.path == "/metrics" && request.method == wire::HttpMethod::kGet) {
    responder.Respond(observe::ProcessMetrics().ToResponse());
    return;
  }
  const RequestId id(++this->last_request);
  this->responders.emplace(id, responder);
  if (request.body.size() < kBulkBytes) {
    this->Deliver(id, RouteRequest(std::move(request), id, *this->Routing()));
    return;
  }
  // A submission that will not fit is refused before it is parsed, since
  // parsing needs several times its size.
  const bool is_submission = request.path == "/v1/jobs";
  const bool fits =
      this->needed_bytes + request.body.size() <= JobTableLimits().max_bytes;
  if ((is_submission && !fits) ||
      !this->large_requests->TryPush({id, std::move(request)})) {
    this->OnAnswer(
        {id, MakeProblemResponse({status::kUnavailable,
                                  "busy",
                                  "The request was not taken: too many large "
                                  "requests wait. Retry after the time in "
                                  "Retry-After.",
                                  core::Duration::Seconds(1),
                                  model::JobOutcome::kNotRun,
                                  {}})});
  }
}

void EntryProcess::Shell::Deliver(RequestId id, Routed routed) {
  if (auto* response = std::get_if<wire::HttpResponse>(&routed)) {
    this->PostAnswer({id, std::move(*response)});
    return;
  }
  const bool drains =
      std::holds_alternative<DrainRequested>(std::get<Event>(routed));
  if (drains) {
    this->drain_begun = true;
    this->UpdateRouting([](RoutingState& state) { state.draining = true; });
  }
  auto event = std::make_shared<Event>(std::get<Event>(std::move(routed)));
  if (!this->events->TryPush(std::move(event))) {
    this->PostAnswer(
        {id, MakeProblemResponse(
                 {status::kUnavailable,
                  "busy",
                  "The request was not taken: too many events wait. Retry "
                  "after the time in Retry-After.",
                  core::Duration::Seconds(1),
                  model::JobOutcome::kNotRun,
                  {}})});
  }
}

void EntryProcess::Shell::PostAnswer(Answer answer) {
  if (!this->answers->TryPush(std::move(answer))) {
    observe::Log(observe::LogLevel::kError,
                 "an answer was lost: the ring to the HTTP thread is full");
  }
}

void EntryProcess::Shell::Offer(const SharedEvent& event) {
  if (this->events->TryPush(event)) {
    return;
  }
  // The end of a call must not be lost, and waiting must not block the thread.
  wire::RunLater(QAbstractEventDispatcher::instance(), kOfferAgainDelay,
                 [this, event] { this->Offer(event); });
}

void EntryProcess::Shell::OnAnswer(const Answer& answer) {
  const auto place = this->responders.find(answer.request);
  if (place == this->responders.end()) {
    return;
  }
  place->second.Respond(answer.response);
  this->responders.erase(place);
}

void EntryProcess::Shell::FindClosed() {
  std::erase_if(this->responders, [this](const auto& each) {
    if (each.second.IsOpen()) {
      return false;
    }
    static_cast<void>(this->events->TryPush(
        std::make_shared<Event>(ClientDisconnected{each.first})));
    return true;
  });
}

void EntryProcess::Shell::HandleEvent(const Event& event) {
  if (!this->core) {
    return;
  }
  Commands commands = this->core->Handle(event, core::Clock::Now());
  this->needed_bytes = this->core->UnevictableBytes();
  for (Command& command : commands) {
    this->RunCommand(std::move(command));
  }
  if (this->handling) {
    return;
  }
  this->handling = true;
  while (!this->failed_calls.empty()) {
    const Event failed = std::move(this->failed_calls.front());
    this->failed_calls.pop_front();
    this->HandleEvent(failed);
  }
  this->handling = false;
}

void EntryProcess::Shell::FailCall(CallId call) {
  this->failed_calls.emplace_back(
      CallEnded{call, core::MakeError(core::ErrorCode::kResourceExhausted,
                                      "too many calls wait; it was not sent")});
}

void EntryProcess::Shell::RunCommand(Command command) {
  if (auto* answer = std::get_if<Answer>(&command)) {
    this->PostAnswer(std::move(*answer));
  } else if (auto* call = std::get_if<CallPeer>(&command)) {
    const CallId id = call->call;
    if (!this->calls->TryPush(std::move(*call))) {
      this->FailCall(id);
    }
  } else if (auto* work = std::get_if<SendWork>(&command)) {
    this->SendWorkToPeer(std::move(*work));
  } else if (auto* read = std::get_if<ReadKey>(&command)) {
    this->CallStore(std::move(*read));
  } else if (auto* list = std::get_if<ReadPrefix>(&command)) {
    this->CallStore(std::move(*list));
  } else if (auto* commit = std::get_if<CommitTransaction>(&command)) {
    this->CallStore(std::move(*commit));
  } else if (auto* grant = std::get_if<GrantLease>(&command)) {
    this->CallStore(*grant);
  } else if (auto* keep = std::get_if<RenewLease>(&command)) {
    this->CallStore(*keep);
  } else if (auto* edit = std::get_if<WriteCatalogueEdit>(&command)) {
    this->WriteEdit(std::move(*edit));
  } else if (auto* seen = std::get_if<NoteRevision>(&command)) {
    // When the ring is full, a later announcement tells it again.
    static_cast<void>(this->store_calls->TryPush(*seen));
  } else if (auto* log = std::get_if<WriteLog>(&command)) {
    observe::Log(log->level, log->message, log->context);
  } else if (std::holds_alternative<Stop>(command)) {
    this->on_stopped();
  }
}

void EntryProcess::Shell::SendWorkToPeer(SendWork work) {
  const CallId id = work.call;
  const bool large = work.payload && work.payload->size() >= kBulkBytes;
  wire::Inbox<PeerCaller::Message>& ring =
      large ? *this->bulk_calls : *this->calls;
  if (!ring.TryPush(std::move(work))) {
    this->FailCall(id);
  }
}

void EntryProcess::Shell::WriteEdit(WriteCatalogueEdit edit) {
  const RequestId request = edit.edit.request;
  if (!this->store_calls->TryPush(std::move(edit))) {
    this->PostAnswer({request, MakeEditResponse(core::MakeError(
                                   core::ErrorCode::kResourceExhausted,
                                   "too many store calls wait"))});
  }
}

void EntryProcess::Shell::CallStore(StoreCall call) {
  const StoreCall copy = call;
  if (!this->store_calls->TryPush(std::move(call))) {
    this->failed_calls.push_back(FailStoreCall(copy));
  }
}

namespace {

/// Returns freed payloads to the kernel. By default the allocator raises its
/// thresholds after the first large free and keeps one heap a thread, and an
/// entry then stays at the largest size it ever had.
void BoundFreeMemory() {
  constexpr int kMapThresholdBytes = 128 * 1024;
  constexpr int kTrimThresholdBytes = 256 * 1024;
  constexpr int kHeaps = 2;
  mallopt(M_MMAP_THRESHOLD, kMapThresholdBytes);
  mallopt(M_TRIM_THRESHOLD, kTrimThresholdBytes);
  mallopt(M_ARENA_MAX, kHeaps);
}

}  // namespace

core::Expected<std::unique_ptr<EntryProcess>> EntryProcess::Create(
    settings::EntrySettings settings,
    std::function<void()> on_stopped) {
  BoundFreeMemory();
  auto shell =
      std::make_unique<Shell>(std::move(settings), std::move(on_stopped));
  if (core::Expected<void> started = shell->Start(); !started) {
    return tl::unexpected<core::Error>(started.error());
  }
  return std::unique_ptr<EntryProcess>(new EntryProcess(std::move(shell)));
}

EntryProcess::EntryProcess(std::unique_ptr<Shell> initial_shell)
    : shell(std::move(initial_shell)) {}

EntryProcess::~EntryProcess() = default;

std::uint16_t EntryProcess::Port() const {
  return this->shell->Port();
}

void EntryProcess::BeginDrain() {
  this->shell->BeginDrain();
}

}  // namespace hemlockdoor::entry
