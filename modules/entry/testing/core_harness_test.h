// Simulated deployment for tests of EntryCore: entries, fake agents, a store
// and a faulty network on a virtual clock.
#pragma once

#include <boost/test/unit_test.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "modules/entry/api/large_text.h"
#include "modules/entry/api/request_router.h"
#include "modules/entry/core/entry_core.h"
#include "modules/entry/process/store_runner.h"

namespace hemlockdoor::entry::testing {

/// State of one attempt of one member on a fake agent.
struct FakeTask {
  model::ReservationRequest request;
  bool started = false;
  bool ended = false;
};

/// An agent that grants every start except those that a test makes it refuse.
struct FakeAgent {
  core::AgentId id;
  core::Incarnation incarnation{1};
  std::string endpoint;
  model::WorkerShape shape;
  /// Sends no announcements and answers no calls.
  bool silent = false;
  bool draining = false;
  core::SchedulingEpoch epoch;
  /// Number of starts still to refuse with `refusal_reason`.
  int refusals = 0;
  model::RefusalReason refusal_reason = model::RefusalReason::kNoCapacity;
  /// Keyed by "JOB/ATTEMPT/MEMBER".
  std::map<std::string, FakeTask> tasks;
  std::vector<model::ResultNotice> held_results;
  /// Cancelled or released attempts, which must not start; "JOB/ATTEMPT".
  std::set<std::string> cancelled_attempts;
  int starts = 0;
  int acks = 0;
  int cancels = 0;
};

/// The simulated deployment of one test. Messages are delivered one at a time,
/// in the order in which they were sent.
class CoreHarness {
 public:
  CoreHarness() { this->AddCatalogue(); }

  std::size_t AddEntry(const std::string& name) {
    Node node;
    node.name = name;
    node.endpoint = name + ":1";
    this->nodes.push_back(std::move(node));
    this->Restart(this->nodes.size() - 1);
    return this->nodes.size() - 1;
  }
  /// Replaces an entry by a new process at the same endpoint, without any
  /// state.
  void Restart(std::size_t index) {
    Node& node = this->nodes.at(index);
    EntryOptions options;
    options.id = core::EntryId(node.name);
    options.incarnation = core::Incarnation(++this->last_incarnation);
    options.endpoint = node.endpoint;
    options.seed = this->last_incarnation;
    for (const char* peer : {"e1:1", "e2:1"}) {
      if (node.endpoint != peer) {
        options.peers.emplace_back(peer);
      }
    }
    auto created = EntryCore::Create(options);
    BOOST_REQUIRE(created.has_value());
    node.core = std::move(*created);
    ++node.generation;
    this->DeliverEvent(index, CatalogueChanged{this->catalogue});
  }
  void Kill(std::size_t index) {
    this->nodes.at(index).core.reset();
    ++this->nodes.at(index).generation;
  }
  void Drain(std::size_t index) {
    this->DeliverEvent(index, DrainRequested{});
    this->RunUntilIdle();
  }
  EntryCore& Core(std::size_t index) { return *this->nodes.at(index).core; }
  /// Pauses or resumes an entry. A paused entry handles no events; all but
  /// ticks are queued for it.
  void Pause(std::size_t index, bool paused) {
    this->nodes.at(index).paused = paused;
  }

  FakeAgent& AddAgent(const std::string& name, int slots, int accelerators) {
    FakeAgent& agent = this->agents[name + ":2"];
    agent.id = core::AgentId(name);
    agent.endpoint = name + ":2";
    agent.shape.rack = core::RackId("rack");
    agent.shape.slots = slots;
    agent.shape.connections = slots;
    agent.shape.accelerators = accelerators;
    agent.shape.services = {core::ServiceName("work")};
    return agent;
  }
  FakeAgent& Agent(const std::string& name) {
    return this->agents.at(name + ":2");
  }

  /// Advances the clock tick by tick; agents announce themselves every second.
  void Advance(std::int64_t milliseconds) {
    const core::TimePoint end =
        this->now + core::Duration::Milliseconds(milliseconds);
    while (this->now < end) {
      this->now = this->now + kTickPeriod;
      if (this->now.InMilliseconds() % 1000 == 0) {
        this->AnnounceAll();
      }
      for (std::size_t i = 0; i < this->nodes.size(); ++i) {
        this->DeliverEvent(i, Tick{});
      }
      this->RunUntilIdle();
    }
  }
  void AnnounceAll() {
    for (auto& [endpoint, agent] : this->agents) {
      for (std::size_t i = 0; i < this->nodes.size() && !agent.silent; ++i) {
        this->SendToNode(
            i, "/internal/v1/announce",
            model::DumpJson(model::ToJson(MakeAnnouncement(agent))), {});
      }
    }
    this->RunUntilIdle();
  }

  /// Sends a caller's request. The returned number identifies its answer.
  std::uint64_t Request(std::size_t index,
                        wire::HttpMethod method,
                        const std::string& path,
                        const std::string& body = {},
                        const std::string& key = {},
                        const std::string& organisation = "north") {
    wire::HttpRequest request;
    request.method = method;
    request.path = path;
    request.body = body;
    request.headers.Add("Authorization", "Bearer " + organisation);
    request.headers.Add("Prefer", this->prefer);
    if (!key.empty()) {
      request.headers.Add("Idempotency-Key", key);
    }
    const std::uint64_t number = ++this->last_answer;
    if (!this->if_match.empty()) {
      request.headers.Add("If-Match", this->if_match);
    }
    this->Post(index, request,
               [this, number](const core::Expected<wire::HttpResponse>& got) {
                 if (got) {
                   BOOST_TEST(!this->answers.contains(number));
                   this->answers[number] = *got;
                 }
               });
    this->RunUntilIdle();
    return number;
  }
  std::uint64_t Submit(std::size_t index,
                       const nlohmann::json& fields,
                       const std::string& key = {}) {
    nlohmann::json body = {{"class", "short"}, {"service", "work"}};
    body.update(fields);
    return this->Request(index, wire::HttpMethod::kPost, "/v1/jobs",
                         model::DumpJson(body), key);
  }
  bool IsAnswered(std::uint64_t number) const {
    return this->answers.contains(number);
  }
  int StatusOf(std::uint64_t number) const {
    return IsAnswered(number) ? this->answers.at(number).status : 0;
  }
  std::string HeaderOf(std::uint64_t number, const std::string& name) const {
    return IsAnswered(number)
               ? this->answers.at(number).headers.Find(name).value_or("")
               : std::string();
  }
  nlohmann::json DocumentOf(std::uint64_t number) const {
    return IsAnswered(number)
               ? nlohmann::json::parse(this->answers.at(number).body)
               : nlohmann::json::object();
  }
  std::string OutcomeOf(std::uint64_t number) const {
    return DocumentOf(number).value("outcome", "");
  }
  std::string ResultOf(std::uint64_t number) const {
    return DocumentOf(number).value("result", "");
  }

  /// Returns the number of tasks that all agents together have started.
  int Starts() const {
    int starts = 0;
    for (const auto& [endpoint, agent] : this->agents) {
      starts += agent.starts;
    }
    return starts;
  }
  /// Ends every running task of an agent and delivers the results to the
  /// entries named by the start requests.
  void FinishAll(const std::string& name,
                 model::JobOutcome outcome = model::JobOutcome::kDone,
                 model::ResultCause cause = model::ResultCause::kTask) {
    FakeAgent& agent = this->Agent(name);
    for (auto& [key, task] : agent.tasks) {
      if (task.started && !task.ended) {
        task.ended = true;
        const model::ResultNotice notice =
            NoticeOf(agent, task.request, outcome, cause);
        agent.held_results.push_back(notice);
        this->Deliver(agent, notice, task.request.reply_to);
      }
    }
    this->RunUntilIdle();
  }
  void Deliver(FakeAgent& agent,
               const model::ResultNotice& notice,
               const std::string& entry) {
    const std::optional<std::size_t> index = this->FindNode(entry);
    if (!index) {
      return;
    }
    this->SendToNode(
        *index, "/internal/v1/result", model::DumpJson(model::ToJson(notice)),
        [&agent, notice](const core::Expected<wire::HttpResponse>& answer) {
          if (answer && answer->status == wire::http_status::kOk) {
            std::erase_if(agent.held_results, [&notice](const auto& each) {
              return each.job == notice.job && each.member == notice.member;
            });
          }
        });
  }
  static model::ResultNotice NoticeOf(
      const FakeAgent& agent,
      const model::ReservationRequest& request,
      model::JobOutcome outcome,
      model::ResultCause cause = model::ResultCause::kTask) {
    model::ResultNotice notice;
    notice.agent = agent.id;
    notice.job = request.job.id;
    notice.attempt = request.attempt;
    notice.member = request.member;
    notice.outcome = outcome;
    notice.cause = cause;
    notice.body = "result of " + request.payload;
    return notice;
  }

  /// Executes the entries' store commands at once; the resulting events are
  /// queued.
  store::MemoryStore store;
  /// Called before each store write; a test may inject faults here.
  std::function<void(const store::Transaction&)> before_write;
  /// What the network does to a call between entries or to an agent: nothing,
  /// or it loses the request or the answer.
  enum class NetworkFault { kNone, kLoseRequest, kLoseAnswer };
  std::function<NetworkFault(const std::string& endpoint,
                             const std::string& target)>
      network = [](const std::string&, const std::string&) {
        return NetworkFault::kNone;
      };
  /// The `Prefer` header of callers' requests.
  std::string prefer = "wait=60";
  /// The `If-Match` header of callers' requests; not sent when empty.
  std::string if_match;
  /// Catalogue edits that entries requested to be written.
  std::vector<WriteCatalogueEdit> edits;
  std::map<std::string, FakeAgent> agents;
  core::TimePoint now = core::TimePoint::FromMilliseconds(1'000'000);

  /// Delivers messages until none is pending.
  void RunUntilIdle() {
    this->store.Advance(this->now);
    while (!this->pending.empty()) {
      const std::function<void()> next = std::move(this->pending.front());
      this->pending.pop_front();
      next();
      this->store.Advance(this->now);
    }
  }

 private:
  using OnAnswer =
      std::function<void(const core::Expected<wire::HttpResponse>&)>;
  struct Node {
    std::string name;
    std::string endpoint;
    std::unique_ptr<EntryCore> core;
    /// Distinguishes successive processes at one endpoint. Events for an
    /// earlier process are dropped.
    int generation = 0;
    bool paused = false;
    std::deque<Event> waiting;
  };

  void AddCatalogue() {
    nlohmann::json doc;
    for (const char* owner : {"north", "south"}) {
      doc["entries"][owner] = {{"owner", owner}, {"class", "short"}};
    }
    auto read = model::CatalogueFromJson(doc);
    BOOST_REQUIRE(read.has_value());
    for (auto& [name, entry] : read->entries) {
      entry.token_sha256 = {HashOf(entry.owner.Text())};
    }
    read->operator_token_sha256 = {HashOf("operator")};
    read->revision = core::CatalogueRevision(3);
    this->routing.tokens = TokenDirectory::FromCatalogue(*read);
    this->routing.internal_key = "key";
    this->routing.has_catalogue = true;
    this->catalogue =
        std::make_shared<const model::Catalogue>(std::move(*read));
  }
  static std::string HashOf(const std::string& token);

  std::optional<std::size_t> FindNode(const std::string& endpoint) const {
    for (std::size_t i = 0; i < this->nodes.size(); ++i) {
      if (this->nodes.at(i).endpoint == endpoint && this->nodes.at(i).core) {
        return i;
      }
    }
    return std::nullopt;
  }
  void DeliverEvent(std::size_t index, Event event) {
    Node& node = this->nodes.at(index);
    if (node.paused) {
      if (!std::holds_alternative<Tick>(event)) {
        node.waiting.push_back(std::move(event));
      }
      return;
    }
    if (!node.core) {
      return;
    }
    while (!node.waiting.empty()) {
      Event first = std::move(node.waiting.front());
      node.waiting.pop_front();
      this->RunCommands(index, node.core->Handle(first, this->now));
    }
    this->RunCommands(index, node.core->Handle(event, this->now));
  }
  void QueueEvent(std::size_t index, int generation, Event event) {
    this->pending.emplace_back(
        [this, index, generation, event = std::move(event)] {
          if (this->nodes.at(index).generation == generation) {
            this->DeliverEvent(index, event);
          }
        });
  }
  void RunCommands(std::size_t index, Commands commands) {
    const int generation = this->nodes.at(index).generation;
    for (Command& command : commands) {
      if (const auto* answer = std::get_if<Answer>(&command)) {
        const auto place = this->requests.find({index, answer->request});
        if (place != this->requests.end()) {
          const OnAnswer done = std::move(place->second);
          this->requests.erase(place);
          done(answer->response);
        }
      } else if (auto* call = std::get_if<CallPeer>(&command)) {
        this->SendCall(index, generation, call->call, call->endpoint,
                       call->method, call->target, call->body);
      } else if (auto* work = std::get_if<SendWork>(&command)) {
        this->SendCall(index, generation, work->call, work->endpoint,
                       wire::HttpMethod::kPost, work->target,
                       DumpWithText(work->document, work->payload_field,
                                    work->payload ? *work->payload : ""));
      } else if (const auto* read = std::get_if<ReadKey>(&command)) {
        this->CallStore(index, generation, *read);
      } else if (const auto* list = std::get_if<ReadPrefix>(&command)) {
        this->CallStore(index, generation, *list);
      } else if (const auto* commit =
                     std::get_if<CommitTransaction>(&command)) {
        if (this->before_write) {
          this->before_write(commit->transaction);
        }
        this->CallStore(index, generation, *commit);
      } else if (const auto* grant = std::get_if<GrantLease>(&command)) {
        this->CallStore(index, generation, *grant);
      } else if (const auto* renewal = std::get_if<RenewLease>(&command)) {
        this->CallStore(index, generation, *renewal);
      } else if (const auto* edit = std::get_if<WriteCatalogueEdit>(&command)) {
        this->edits.push_back(*edit);
      } else if (std::holds_alternative<Stop>(command)) {
        this->stopped.insert(index);
      }
    }
  }
  void CallStore(std::size_t index, int generation, const StoreCall& call) {
    RunStoreCall(this->store, call, [this, index, generation](Event event) {
      this->QueueEvent(index, generation, std::move(event));
    });
  }
  void SendCall(std::size_t index,
                int generation,
                CallId id,
                const std::string& endpoint,
                wire::HttpMethod method,
                const std::string& target,
                const std::string& body) {
    const NetworkFault fault = this->network(endpoint, target);
    const OnAnswer done =
        [this, index, generation, id,
         fault](const core::Expected<wire::HttpResponse>& answer) {
          if (fault == NetworkFault::kNone) {
            this->QueueEvent(index, generation, CallEnded{id, answer});
          }
        };
    if (fault != NetworkFault::kNone) {
      this->QueueEvent(
          index, generation,
          CallEnded{id, core::MakeError(core::ErrorCode::kTimeout, "lost")});
    }
    if (fault == NetworkFault::kLoseRequest) {
      return;
    }
    this->pending.emplace_back([this, endpoint, method, target, body, done] {
      if (this->agents.contains(endpoint)) {
        FakeAgent& agent = this->agents.at(endpoint);
        done(agent.silent ? core::Expected<wire::HttpResponse>(core::MakeError(
                                core::ErrorCode::kTimeout, "no answer"))
                          : this->HandleCall(agent, method, target, body));
        return;
      }
      const std::optional<std::size_t> peer = this->FindNode(endpoint);
      if (!peer) {
        done(core::MakeError(core::ErrorCode::kUnavailable, "refused"));
        return;
      }
      wire::HttpRequest request;
      request.method = method;
      const std::size_t query = std::min(target.find('?'), target.size());
      request.path = target.substr(0, query);
      request.query =
          query < target.size() ? target.substr(query + 1) : std::string();
      request.body = body;
      request.headers.Add("Authorization", "Bearer key");
      this->Post(*peer, request, done);
    });
  }
  void SendToNode(std::size_t index,
                  const std::string& path,
                  const std::string& body,
                  OnAnswer done) {
    wire::HttpRequest request;
    request.method = wire::HttpMethod::kPost;
    request.path = path;
    request.body = body;
    request.headers.Add("Authorization", "Bearer key");
    this->Post(
        index, request, done ? std::move(done) : [](const auto&) {});
  }
  void Post(std::size_t index,
            const wire::HttpRequest& request,
            OnAnswer done) {
    const RequestId id(++this->last_request);
    Routed routed = RouteRequest(wire::HttpRequest(request), id, this->routing);
    if (const auto* response = std::get_if<wire::HttpResponse>(&routed)) {
      done(*response);
      return;
    }
    this->requests[{index, id}] = std::move(done);
    this->DeliverEvent(index, std::get<Event>(std::move(routed)));
  }

  static model::Announcement MakeAnnouncement(const FakeAgent& agent);
  wire::HttpResponse HandleCall(FakeAgent& agent,
                                wire::HttpMethod method,
                                const std::string& target,
                                const std::string& body);
  model::GrantReply GrantStart(FakeAgent& agent,
                               const model::ReservationRequest& request,
                               bool run);
  model::GrantReply ApplyReference(FakeAgent& agent,
                                   const std::string& target,
                                   const model::AttemptReference& reference);

  std::vector<Node> nodes;
  RoutingState routing;
  std::shared_ptr<const model::Catalogue> catalogue;
  std::deque<std::function<void()>> pending;
  std::map<std::pair<std::size_t, RequestId>, OnAnswer> requests;
  std::map<std::uint64_t, wire::HttpResponse> answers;
  std::uint64_t last_incarnation = 0;
  std::uint64_t last_request = 0;
  std::uint64_t last_answer = 0;

 public:
  /// Indexes of the entries whose drain is complete.
  std::set<std::size_t> stopped;
};

}  // namespace hemlockdoor::entry::testing
