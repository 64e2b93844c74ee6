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
#include "modules/entry/process/event_loop_thread.h"
#include "modules/entry/process/peer_caller.h"
#include "modules/entry/process/store_service.h"
#include "modules/observe/observe.h"
#include "modules/wire/wire.h"

namespace hemlockdoor::entry {

namespace {

namespace status = wire::http_status;

/// Capacity of the state machine's inbox. A request that finds it full is
/// answered 503.
constexpr std::size_t kEventInboxCapacity = 8192;
/// Capacity of the HTTP thread's inbox of answers; larger than the number of
/// connections.
constexpr std::size_t kAnswerInboxCapacity = 4096;
constexpr std::size_t kCallInboxCapacity = 4096;
constexpr std::size_t kBulkCallInboxCapacity = 64;
constexpr std::size_t kStoreInboxCapacity = 1024;
constexpr std::size_t kLargeRequestInboxCapacity = 64;
/// Requests and payloads of at least this size are parsed and sent on the bulk
/// thread.
constexpr std::size_t kMinBulkBytes = kMinLargeBytes;
/// Limit on the bytes of large bodies in flight: received, parsed, queued for
/// the state machine, being sent to an agent or to a caller. It has room for
/// one body of the largest size while it is parsed.
constexpr std::size_t kMaxInFlightBytes = 20U * 1024U * 1024U;
/// Bytes that parsing a body takes beyond the body, per byte of it, when
/// `CutText` can read its payload.
constexpr std::size_t kParseFactor = 1;
constexpr core::Duration kParseRetryDelay = core::Duration::Milliseconds(5);
/// A large request that finds no room to be parsed within this time gets 503.
constexpr core::Duration kMaxParseWait = core::Duration::Seconds(10);
constexpr std::size_t kMaxCallsInFlight = 64;
/// Each call that carries a payload needs up to three copies of it.
constexpr std::size_t kMaxBulkCallsInFlight = 1;
/// Bound for an 8 MB payload as a JSON string with some escapes.
constexpr std::size_t kMaxBodyBytes = 9U * 1024U * 1024U;
constexpr int kClosedCheckPeriodMs = 500;
/// Delay before an event that found the inbox full is posted again.
constexpr core::Duration kPostRetryDelay = core::Duration::Milliseconds(5);

using SharedEvent = std::shared_ptr<Event>;

std::uint64_t RandomNumber() {
  std::random_device device;
  const std::uint64_t high = device();
  return (high << 32U) | device();
}

/// How long a draining entry reports not ready before it stops accepting jobs.
/// Load balancers probe about once a second, and send requests until they have
/// seen the new state.
constexpr core::Duration kDrainNotice = core::Duration::Seconds(1);
/// The notice takes at most the drain timeout divided by this number.
constexpr std::int64_t kDrainNoticeDivisor = 10;

wire::HttpResponse LargeRequestRefusal() {
  return MakeProblemResponse(
      {status::kUnavailable,
       "busy",
       "The request was not taken: too many large requests wait. Retry after "
       "the time in Retry-After.",
       core::Duration::Seconds(1),
       model::JobOutcome::kNotRun,
       {}});
}

/// Reads the initial catalogue from `file`; nothing when `file` is empty.
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

class EntryProcess::Impl {
 public:
  Impl(settings::EntrySettings entry_settings, std::function<void()> stopped)
      : settings(std::move(entry_settings)), on_stopped(std::move(stopped)) {}
  ~Impl() { this->Shutdown(); }
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  core::Expected<void> Start();
  std::uint16_t Port() const { return this->port; }
  void BeginDrain();

 private:
  /// A request to be parsed on the bulk thread.
  struct LargeRequest {
    RequestId id;
    wire::HttpRequest request;
    core::TimePoint received_at;
  };

  core::Expected<void> Listen();
  core::Expected<void> OpenStore(std::optional<model::Catalogue> initial);
  StoreServiceCallbacks MakeStoreCallbacks();
  core::Expected<void> StartCore();
  void StartCallers();
  void Shutdown();

  // On the HTTP thread.
  void OnRequest(wire::HttpRequest request,
                 const wire::HttpResponder& responder);
  void OnAnswer(Answer answer);
  void ReportClosedConnections();

  // On the bulk thread.
  void ParseLarge(const std::shared_ptr<LargeRequest>& large);

  // On any thread.
  /// Passes on the outcome of a parsed request. `share` is kept until the state
  /// machine has handled the event.
  void Deliver(RequestId id, Routed routed, wire::ByteShare share = nullptr);
  void PostAnswer(Answer answer);
  void PostEvent(const SharedEvent& event);
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
  std::shared_ptr<wire::ByteBudget> in_flight =
      std::make_shared<wire::ByteBudget>(kMaxInFlightBytes);

  mutable std::mutex routing_mutex;
  std::shared_ptr<const RoutingState> routing;

  EventLoopThread http_thread{"http"};
  EventLoopThread core_thread{"decide"};
  EventLoopThread calls_thread{"peers"};
  EventLoopThread bulk_thread{"bulk"};
  EventLoopThread store_thread{"store"};

  std::unique_ptr<wire::Inbox<Answer>> answers;
  std::unique_ptr<wire::Inbox<SharedEvent>> events;
  std::unique_ptr<wire::Inbox<PeerCaller::Message>> calls;
  std::unique_ptr<wire::Inbox<PeerCaller::Message>> bulk_calls;
  std::unique_ptr<wire::Inbox<LargeRequest>> large_requests;
  std::unique_ptr<wire::Inbox<StoreMessage>> store_calls;

  std::unique_ptr<wire::HttpServer> server;
  std::map<RequestId, wire::HttpResponder> responders;
  std::unique_ptr<QTimer> closed_check_timer;
  std::uint64_t last_request = 0;

  std::unique_ptr<EntryCore> core;
  std::unique_ptr<QTimer> tick_timer;
  /// Outcomes of calls that could not be sent; handled after the current event.
  std::deque<Event> failed_calls;
  bool handling_failed_calls = false;

  std::unique_ptr<PeerCaller> peer_caller;
  std::unique_ptr<PeerCaller> bulk_caller;
  std::unique_ptr<StoreService<store::MemoryStore>> memory_store;
  std::unique_ptr<StoreService<store::EtcdGatewayStore>> etcd_store;
  std::atomic<bool> drain_begun = false;
  /// Context of the timer that ends the drain notice; lives on the thread that
  /// created the entry.
  QObject drain_context;
  /// `EntryCore::NeededBytes` after the last event; read by the HTTP thread.
  std::atomic<std::size_t> needed_bytes = 0;
};

core::Expected<void> EntryProcess::Impl::Start() {
  core::Expected<std::optional<model::Catalogue>> loaded =
      LoadCatalogue(this->settings.initial_catalogue);
  if (!loaded) {
    return tl::unexpected<core::Error>(loaded.error());
  }
  auto state = std::make_shared<RoutingState>();
  state->internal_key = this->settings.common.internal_key.Reveal();
  this->routing = std::move(state);
  // The state machine's inbox must exist before any other thread pushes to it.
  this->core_thread.RunAndWait([this] {
    this->events = std::make_unique<wire::Inbox<SharedEvent>>(
        kEventInboxCapacity,
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

void EntryProcess::Impl::StartCallers() {
  const std::string key = this->settings.common.internal_key.Reveal();
  const auto ended = [this](CallEnded event) {
    this->PostEvent(std::make_shared<Event>(std::move(event)));
  };
  this->calls_thread.RunAndWait([this, key, ended] {
    this->peer_caller = std::make_unique<PeerCaller>(key, kMaxCallsInFlight,
                                                     this->in_flight, ended);
    this->calls = std::make_unique<wire::Inbox<PeerCaller::Message>>(
        kCallInboxCapacity, [this](PeerCaller::Message message) {
          if (this->peer_caller) {
            this->peer_caller->Send(std::move(message));
          }
        });
  });
  this->bulk_thread.RunAndWait([this, key, ended] {
    this->bulk_caller = std::make_unique<PeerCaller>(key, kMaxBulkCallsInFlight,
                                                     this->in_flight, ended);
    this->bulk_calls = std::make_unique<wire::Inbox<PeerCaller::Message>>(
        kBulkCallInboxCapacity, [this](PeerCaller::Message message) {
          if (this->bulk_caller) {
            this->bulk_caller->Send(std::move(message));
          }
        });
    this->large_requests = std::make_unique<wire::Inbox<LargeRequest>>(
        kLargeRequestInboxCapacity, [this](LargeRequest large) {
          this->ParseLarge(std::make_shared<LargeRequest>(std::move(large)));
        });
  });
}

StoreServiceCallbacks EntryProcess::Impl::MakeStoreCallbacks() {
  StoreServiceCallbacks callbacks;
  callbacks.on_event = [this](Event event) {
    this->PostEvent(std::make_shared<Event>(std::move(event)));
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
        this->PostEvent(
            std::make_shared<Event>(CatalogueChanged{std::move(catalogue)}));
      };
  return callbacks;
}

core::Expected<void> EntryProcess::Impl::OpenStore(
    std::optional<model::Catalogue> initial) {
  core::Expected<void> outcome;
  this->store_thread.RunAndWait([this, &outcome, &initial] {
    StoreServiceOptions service_options;
    service_options.edit_id_prefix =
        this->settings.id.Text() + "-" + std::to_string(RandomNumber());
    service_options.initial = std::move(initial);
    service_options.seed = RandomNumber();
    if (this->settings.store.empty()) {
      auto memory = std::make_unique<store::MemoryStore>();
      memory->DriveByTimer();
      this->memory_store = std::make_unique<StoreService<store::MemoryStore>>(
          std::move(memory), std::move(service_options),
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
      options.seed = RandomNumber();
      core::Expected<std::unique_ptr<store::EtcdGatewayStore>> created =
          store::EtcdGatewayStore::Create(options);
      if (!created) {
        outcome = tl::unexpected<core::Error>(created.error());
        return;
      }
      this->etcd_store =
          std::make_unique<StoreService<store::EtcdGatewayStore>>(
              std::move(*created), std::move(service_options),
              this->MakeStoreCallbacks());
    }
    this->store_calls = std::make_unique<wire::Inbox<StoreMessage>>(
        kStoreInboxCapacity, [this](StoreMessage message) {
          if (this->memory_store) {
            this->memory_store->Handle(std::move(message));
          } else if (this->etcd_store) {
            this->etcd_store->Handle(std::move(message));
          }
        });
  });
  return outcome;
}

core::Expected<void> EntryProcess::Impl::Listen() {
  core::Expected<void> outcome;
  this->http_thread.RunAndWait([this, &outcome] {
    wire::HttpServerLimits limits;
    limits.max_body_bytes = kMaxBodyBytes;
    // One large body at a time in each direction: reading and writing one
    // needs further copies of it, and an entry stays under 64 MB.
    limits.max_request_bytes = kMaxBodyBytes;
    limits.max_response_bytes = kMaxBodyBytes;
    limits.process_bytes = this->in_flight;
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
        kAnswerInboxCapacity,
        [this](Answer answer) { this->OnAnswer(std::move(answer)); });
    this->closed_check_timer = std::make_unique<QTimer>();
    QObject::connect(this->closed_check_timer.get(), &QTimer::timeout,
                     [this] { this->ReportClosedConnections(); });
    this->closed_check_timer->start(kClosedCheckPeriodMs);
  });
  return outcome;
}

core::Expected<void> EntryProcess::Impl::StartCore() {
  EntryOptions options;
  options.id = this->settings.id;
  options.incarnation = core::Incarnation(RandomNumber());
  const std::string& advertised = this->settings.common.advertised_endpoint;
  options.endpoint = advertised.empty() ? this->settings.common.address + ":" +
                                              std::to_string(this->port)
                                        : advertised;
  options.peers = this->settings.peers;
  options.drain_timeout = this->settings.common.drain_timeout;
  options.seed = RandomNumber();
  core::Expected<void> outcome;
  this->core_thread.RunAndWait([this, &options, &outcome] {
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

void EntryProcess::Impl::Shutdown() {
  // Network objects and timers are destroyed on their own threads. The inboxes
  // stay until all threads have ended, since another thread may still push.
  this->http_thread.RunAndWait([this] {
    this->closed_check_timer.reset();
    this->responders.clear();
    this->server.reset();
  });
  this->core_thread.RunAndWait([this] {
    this->tick_timer.reset();
    this->core.reset();
  });
  this->calls_thread.RunAndWait([this] { this->peer_caller.reset(); });
  this->bulk_thread.RunAndWait([this] { this->bulk_caller.reset(); });
  this->store_thread.RunAndWait([this] {
    this->memory_store.reset();
    this->etcd_store.reset();
  });
  this->http_thread.Stop();
  this->core_thread.Stop();
  this->calls_thread.Stop();
  this->bulk_thread.Stop();
  this->store_thread.Stop();
}

void EntryProcess::Impl::BeginDrain() {
  if (this->drain_begun.exchange(true)) {
    return;
  }
  this->UpdateRouting([](RoutingState& state) { state.draining = true; });
  const core::Duration notice = std::min(
      kDrainNotice, this->settings.common.drain_timeout / kDrainNoticeDivisor);
  wire::RunLater(&this->drain_context, notice, [this] {
    this->PostEvent(std::make_shared<Event>(DrainRequested{}));
  });
}

std::shared_ptr<const RoutingState> EntryProcess::Impl::Routing() const {
  const std::lock_guard<std::mutex> lock(this->routing_mutex);
  return this->routing;
}

void EntryProcess::Impl::UpdateRouting(
    const std::function<void(RoutingState&)>& change) {
  const std::lock_guard<std::mutex> lock(this->routing_mutex);
  auto changed = std::make_shared<RoutingState>(*this->routing);
  change(*changed);
  this->routing = std::move(changed);
}

void EntryProcess::Impl::OnRequest(wire::HttpRequest request,
                                   const wire::HttpResponder& responder) {
  if (request.path == "/metrics" && request.method == wire::HttpMethod::kGet) {
    responder.Respond(observe::ProcessMetrics().ToResponse());
    return;
  }
  const RequestId id(++this->last_request);
  this->responders.emplace(id, responder);
  if (request.body.size() < kMinBulkBytes) {
    this->Deliver(id, RouteRequest(std::move(request), id, *this->Routing()));
    return;
  }
  // A submission that exceeds the remaining byte budget is refused before it is
  // parsed, since parsing needs several times its size.
  const bool is_submission = request.path == "/v1/jobs";
  const bool fits =
      this->needed_bytes + request.body.size() <= JobTableLimits().max_bytes;
  if ((is_submission && !fits) ||
      !this->large_requests->TryPush(
          {id, std::move(request), core::Clock::Now()})) {
    this->OnAnswer({id, LargeRequestRefusal()});
  }
}

void EntryProcess::Impl::ParseLarge(
    const std::shared_ptr<LargeRequest>& large) {
  wire::ByteShare share = large->request.body_share;
  {
    const wire::ByteShare parsing =
        this->in_flight->TryAcquire(kParseFactor * large->request.body.size());
    if (parsing) {
      Routed routed =
          RouteRequest(std::move(large->request), large->id, *this->Routing());
      this->Deliver(large->id, std::move(routed), std::move(share));
      return;
    }
  }
  if (core::Clock::Now() - large->received_at >= kMaxParseWait) {
    this->PostAnswer({large->id, LargeRequestRefusal()});
    return;
  }
  wire::RunLater(QAbstractEventDispatcher::instance(), kParseRetryDelay,
                 [this, large] { this->ParseLarge(large); });
}

void EntryProcess::Impl::Deliver(RequestId id,
                                 Routed routed,
                                 wire::ByteShare share) {
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
  auto held = std::make_shared<std::pair<Event, wire::ByteShare>>(
      std::get<Event>(std::move(routed)), std::move(share));
  SharedEvent event(held, &held->first);
  held.reset();
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

void EntryProcess::Impl::PostAnswer(Answer answer) {
  const std::size_t bytes = answer.response.body.size();
  if (bytes >= kMinLargeBytes && !answer.response.body_share) {
    answer.response.body_share = this->in_flight->Charge(bytes);
  }
  if (!this->answers->TryPush(std::move(answer))) {
    observe::Log(observe::LogLevel::kError,
                 "lost an answer: the inbox of the HTTP thread is full");
  }
}

void EntryProcess::Impl::PostEvent(const SharedEvent& event) {
  if (this->events->TryPush(event)) {
    return;
  }
  // The outcome of a call must not be lost, and the thread must not block while
  // the inbox is full.
  wire::RunLater(QAbstractEventDispatcher::instance(), kPostRetryDelay,
                 [this, event] { this->PostEvent(event); });
}

void EntryProcess::Impl::OnAnswer(Answer answer) {
  const auto place = this->responders.find(answer.request);
  if (place == this->responders.end()) {
    return;
  }
  place->second.Respond(std::move(answer.response));
  this->responders.erase(place);
}

void EntryProcess::Impl::ReportClosedConnections() {
  std::erase_if(this->responders, [this](const auto& each) {
    if (each.second.IsOpen()) {
      return false;
    }
    static_cast<void>(this->events->TryPush(
        std::make_shared<Event>(ClientDisconnected{each.first})));
    return true;
  });
}

void EntryProcess::Impl::HandleEvent(const Event& event) {
  if (!this->core) {
    return;
  }
  Commands commands = this->core->Handle(event, core::Clock::Now());
  this->needed_bytes = this->core->UnevictableBytes();
  for (Command& command : commands) {
    this->RunCommand(std::move(command));
  }
  if (this->handling_failed_calls) {
    return;
  }
  this->handling_failed_calls = true;
  while (!this->failed_calls.empty()) {
    const Event failed = std::move(this->failed_calls.front());
    this->failed_calls.pop_front();
    this->HandleEvent(failed);
  }
  this->handling_failed_calls = false;
}

void EntryProcess::Impl::FailCall(CallId call) {
  this->failed_calls.emplace_back(CallEnded{
      call, core::MakeError(core::ErrorCode::kResourceExhausted,
                            "the call was not sent: too many are queued")});
}

void EntryProcess::Impl::RunCommand(Command command) {
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
    // Dropped when the inbox is full: a later announcement repeats it.
    static_cast<void>(this->store_calls->TryPush(*seen));
  } else if (auto* log = std::get_if<WriteLog>(&command)) {
    observe::Log(log->level, log->message, log->context);
  } else if (std::holds_alternative<Stop>(command)) {
    this->on_stopped();
  }
}

void EntryProcess::Impl::SendWorkToPeer(SendWork work) {
  const CallId id = work.call;
  const bool large = work.payload && work.payload->size() >= kMinBulkBytes;
  wire::Inbox<PeerCaller::Message>& ring =
      large ? *this->bulk_calls : *this->calls;
  if (!ring.TryPush(std::move(work))) {
    this->FailCall(id);
  }
}

void EntryProcess::Impl::WriteEdit(WriteCatalogueEdit edit) {
  const RequestId request = edit.edit.request;
  if (!this->store_calls->TryPush(std::move(edit))) {
    this->PostAnswer({request, MakeEditResponse(core::MakeError(
                                   core::ErrorCode::kResourceExhausted,
                                   "too many store calls are queued"))});
  }
}

void EntryProcess::Impl::CallStore(StoreCall call) {
  const StoreCall copy = call;
  if (!this->store_calls->TryPush(std::move(call))) {
    this->failed_calls.push_back(FailStoreCall(copy));
  }
}

namespace {

/// Makes the allocator return freed payloads to the kernel. By default it
/// raises its thresholds after the first large free and keeps a heap for each
/// thread, so that an entry would keep its peak memory for good.
void LimitRetainedMemory() {
  constexpr int kMapThresholdBytes = 128 * 1024;
  constexpr int kTrimThresholdBytes = 256 * 1024;
  constexpr int kMaxArenas = 2;
  mallopt(M_MMAP_THRESHOLD, kMapThresholdBytes);
  mallopt(M_TRIM_THRESHOLD, kTrimThresholdBytes);
  mallopt(M_ARENA_MAX, kMaxArenas);
}

}  // namespace

core::Expected<std::unique_ptr<EntryProcess>> EntryProcess::Create(
    settings::EntrySettings settings,
    std::function<void()> on_stopped) {
  LimitRetainedMemory();
  auto impl =
      std::make_unique<Impl>(std::move(settings), std::move(on_stopped));
  if (core::Expected<void> started = impl->Start(); !started) {
    return tl::unexpected<core::Error>(started.error());
  }
  return std::unique_ptr<EntryProcess>(new EntryProcess(std::move(impl)));
}

EntryProcess::EntryProcess(std::unique_ptr<Impl> initial_impl)
    : impl(std::move(initial_impl)) {}

EntryProcess::~EntryProcess() = default;

std::uint16_t EntryProcess::Port() const {
  return this->impl->Port();
}

void EntryProcess::BeginDrain() {
  this->impl->BeginDrain();
}

}  // namespace hemlockdoor::entry
