#include "modules/wire/server/http_server.h"

#include <unistd.h>

#include <QHostAddress>
#include <QTcpServer>
#include <QTimer>
#include <algorithm>
#include <deque>
#include <map>
#include <set>
#include <utility>

#include "modules/wire/loop/run_later.h"
#include "modules/wire/server/http_connection.h"

namespace hemlockdoor::wire {

namespace {

using detail::HttpConnection;
using detail::ServerContext;
using ConnectionPointer = std::shared_ptr<HttpConnection>;

constexpr int kListenBacklog = 512;
/// Connections above the limits that may receive their 503 at the same time.
/// Further connections are closed without a response.
constexpr std::size_t kMaxRefusedConnections = 64;
constexpr int kAdmitPeriodMilliseconds = 5;
constexpr std::int64_t kMinSweepMilliseconds = 10;
constexpr std::int64_t kMaxSweepMilliseconds = 500;
constexpr std::int64_t kSweepsPerTimeout = 10;
/// Delay before accepting again after an accept error, such as when the process
/// has run out of file descriptors.
constexpr core::Duration kAcceptRetry = core::Duration::Milliseconds(100);

std::shared_ptr<ServerContext> MakeContext(const HttpServerLimits& limits) {
  return std::make_shared<ServerContext>(ServerContext{
      limits, ByteBudget(limits.max_small_bytes),
      ByteBudget(std::max(limits.max_request_bytes, limits.max_body_bytes)),
      ByteBudget(std::max(limits.max_response_bytes, limits.max_body_bytes))});
}

}  // namespace

struct HttpResponder::State {
  std::weak_ptr<HttpConnection> connection;
  std::uint64_t request_number = 0;
};

HttpResponder::HttpResponder(std::shared_ptr<State> shared_state)
    : state(std::move(shared_state)) {}

bool HttpResponder::IsOpen() const {
  const ConnectionPointer connection = this->state->connection.lock();
  return connection && connection->Awaits(this->state->request_number);
}

bool HttpResponder::TryRespond(HttpResponse& response) const {
  const ConnectionPointer connection = this->state->connection.lock();
  if (!connection || !connection->Awaits(this->state->request_number)) {
    return true;
  }
  return connection->TryAnswer(response);
}

void HttpResponder::Respond(HttpResponse response) const {
  if (this->TryRespond(response)) {
    return;
  }
  if (const ConnectionPointer connection = this->state->connection.lock()) {
    connection->Refuse({http_status::kUnavailable, "busy",
                        "the response does not fit into the buffer space for "
                        "responses that are being sent; try again later"});
  }
}

void HttpResponder::RespondWithStatus(HttpResponse response) const {
  if (!this->TryRespond(response)) {
    response.body.clear();
    this->Respond(std::move(response));
  }
}

class HttpServer::Backend : public QTcpServer {
 public:
  Backend(const HttpServerLimits& limits, Handler request_handler)
      : context(MakeContext(limits)), handler(std::move(request_handler)) {
    this->context->on_request = [this](HttpRequest request,
                                       const ConnectionPointer& connection) {
      this->OnRequest(std::move(request), connection);
    };
    this->context->on_wait = [this](const ConnectionPointer& connection) {
      this->waiting.push_back(connection);
      if (!this->admit_timer.isActive()) {
        this->admit_timer.start(kAdmitPeriodMilliseconds);
      }
    };
    this->context->on_bytes_freed = [this] { this->AdmitWaiting(); };
    this->context->on_closed = [this](const ConnectionPointer& connection) {
      this->OnClosed(connection);
    };
    QObject::connect(&this->admit_timer, &QTimer::timeout, this,
                     [this] { this->AdmitWaiting(); });
    QObject::connect(&this->sweep_timer, &QTimer::timeout, this,
                     [this] { this->Sweep(); });
    QObject::connect(this, &QTcpServer::acceptError, this, [this] {
      RunLater(this, kAcceptRetry, [this] { this->resumeAccepting(); });
    });
    const core::Duration shortest =
        std::min(limits.idle_timeout, limits.body_wait_timeout);
    this->sweep_timer.start(static_cast<int>(
        std::clamp(shortest.InMilliseconds() / kSweepsPerTimeout,
                   kMinSweepMilliseconds, kMaxSweepMilliseconds)));
  }

  ~Backend() override {
    this->close();
    for (const ConnectionPointer& connection : this->connections) {
      connection->Abort();
    }
    for (const ConnectionPointer& connection : this->refusing) {
      connection->Abort();
    }
  }

  Backend(const Backend&) = delete;
  Backend& operator=(const Backend&) = delete;

  void Drain(std::function<void()> done) {
    this->close();
    this->context->draining = true;
    this->on_drained = std::move(done);
    const std::vector<ConnectionPointer> open(this->connections.begin(),
                                              this->connections.end());
    for (const ConnectionPointer& connection : open) {
      connection->CloseIfIdle();
    }
    this->EndDrainIfEmpty();
  }

  std::size_t ConnectionCount() const { return this->connections.size(); }

 protected:
  void incomingConnection(qintptr descriptor) override {
    const bool over_total =
        this->connections.size() >= this->context->limits.max_connections;
    if (over_total && this->refusing.size() >= kMaxRefusedConnections) {
      ::close(static_cast<int>(descriptor));
      return;
    }
    const auto connection = std::make_shared<HttpConnection>(
        this->context, static_cast<int>(descriptor));
    const std::size_t connections_of_client =
        this->connections_by_address[connection->PeerAddress()];
    if (over_total || connections_of_client >=
                          this->context->limits.max_connections_per_client) {
      this->RefuseConnection(connection);
      return;
    }
    ++this->connections_by_address[connection->PeerAddress()];
    this->connections.insert(connection);
    connection->Start();
  }

 private:
  void RefuseConnection(const ConnectionPointer& connection) {
    if (this->refusing.size() >= kMaxRefusedConnections) {
      connection->Abort();
      return;
    }
    this->refusing.insert(connection);
    connection->Start();
    connection->Refuse({http_status::kUnavailable, "too-many-connections",
                        "this server has too many connections; try again "
                        "later"});
  }

  void OnRequest(HttpRequest request, const ConnectionPointer& connection) {
    auto state = std::make_shared<HttpResponder::State>(
        HttpResponder::State{connection, connection->RequestNumber()});
    this->handler(std::move(request), HttpResponder(std::move(state)));
  }

  void OnClosed(const ConnectionPointer& connection) {
    if (this->connections.erase(connection) > 0) {
      const auto count =
          this->connections_by_address.find(connection->PeerAddress());
      if (--count->second == 0) {
        this->connections_by_address.erase(count);
      }
    }
    this->refusing.erase(connection);
    this->EndDrainIfEmpty();
  }

  void EndDrainIfEmpty() {
    if (!this->on_drained || !this->connections.empty()) {
      return;
    }
    RunLater(this, core::Duration(),
             [done = std::exchange(this->on_drained, nullptr)] { done(); });
  }

  /// Admits waiting request bodies in order of arrival, as long as the budget
  /// has room for the first one.
  void AdmitWaiting() {
    if (this->admitting) {
      return;
    }
    this->admitting = true;
    while (!this->waiting.empty()) {
      const ConnectionPointer first = this->waiting.front().lock();
      if (first && !first->TryAdmitBody()) {
        break;
      }
      this->waiting.pop_front();
    }
    this->admitting = false;
    if (this->waiting.empty()) {
      this->admit_timer.stop();
    }
  }

  void Sweep() {
    const core::TimePoint now = core::Clock::Now();
    std::vector<ConnectionPointer> all(this->connections.begin(),
                                       this->connections.end());
    all.insert(all.end(), this->refusing.begin(), this->refusing.end());
    for (const ConnectionPointer& connection : all) {
      connection->CheckDeadline(now);
    }
  }

  std::shared_ptr<ServerContext> context;
  Handler handler;
  std::set<ConnectionPointer> connections;
  std::set<ConnectionPointer> refusing;
  std::map<std::string, std::size_t> connections_by_address;
  std::deque<std::weak_ptr<HttpConnection>> waiting;
  bool admitting = false;
  std::function<void()> on_drained;
  QTimer admit_timer;
  QTimer sweep_timer;
};

HttpServer::HttpServer(std::unique_ptr<Backend> server_backend)
    : backend(std::move(server_backend)) {}

HttpServer::~HttpServer() = default;

core::Expected<std::unique_ptr<HttpServer>> HttpServer::Listen(
    const std::string& address,
    std::uint16_t port,
    HttpServerLimits limits,
    Handler handler) {
  auto backend = std::make_unique<Backend>(limits, std::move(handler));
  backend->setListenBacklogSize(kListenBacklog);
  const QHostAddress host(QString::fromStdString(address));
  if (!backend->listen(host, port)) {
    return core::MakeError(core::ErrorCode::kUnavailable,
                           "cannot listen on " + address + ":" +
                               std::to_string(port) + ": " +
                               backend->errorString().toStdString());
  }
  return std::unique_ptr<HttpServer>(new HttpServer(std::move(backend)));
}

std::uint16_t HttpServer::Port() const {
  return this->backend->serverPort();
}

void HttpServer::StopListening() {
  this->backend->close();
}

void HttpServer::Drain(std::function<void()> done) {
  this->backend->Drain(std::move(done));
}

std::size_t HttpServer::ConnectionCount() const {
  return this->backend->ConnectionCount();
}

}  // namespace hemlockdoor::wire
