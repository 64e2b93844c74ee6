#include "review/support/worker_standin.h"

#include <QDateTime>
#include <algorithm>
#include <utility>

namespace hemlockdoor::review {

namespace {

constexpr int kTickMs = 10;
constexpr int kHeartbeatMs = 1500;
constexpr int kCallTimeoutMs = 1000;
constexpr std::int64_t kHoldMaxMs = 10000;
constexpr int kStopMs = 100;
constexpr int kWrongInstance = 421;
constexpr int kConflict = 409;
/// Most ends in one listing.
constexpr std::size_t kEndsPerListing = 500;

}  // namespace

Worker::Worker(WorkerOptions worker_options,
               Record& case_record,
               RunHistory& run_history)
    : length([](const std::string&, std::int64_t) { return 2000; }),
      end_of([](const std::string&, std::int64_t) { return "done"; }),
      fate([](const std::string&, std::int64_t) { return StartFate(); }),
      options(std::move(worker_options)),
      record(case_record),
      history(run_history),
      born_at(NowMs()),
      born_wall_ms(QDateTime::currentMSecsSinceEpoch()),
      listener(std::make_unique<Listener>(
          options.address,
          options.app_port,
          [this](const Request& request, const Reply& reply) {
            this->Handle(request, reply);
          })) {
  QObject::connect(&this->tick_timer, &QTimer::timeout, this,
                   [this] { this->Tick(); });
  QObject::connect(&this->announce_timer, &QTimer::timeout, this,
                   [this] { this->Announce(); });
  this->tick_timer.start(kTickMs);
  this->announce_timer.start(kHeartbeatMs);
  this->Announce();
}

void Worker::Crash() {
  this->record.Line("worker " + this->options.id + " crashes for good");
  this->EndAll("crashed");
  this->up = false;
  this->announce_timer.stop();
  this->listener->Close();
}

void Worker::GoDark() {
  this->record.Line("worker " + this->options.id + " is lost for good");
  this->EndAll("crashed");
  this->up = false;
  this->announce_timer.stop();
}

void Worker::Leave() {
  this->record.Line("worker " + this->options.id + " leaves");
  this->EndAll("left");
  this->up = false;
  this->announce_timer.stop();
  this->listener->Close();
  Request call;
  call.method = "DELETE";
  call.path = "/-/instances/" + this->options.id;
  SendCall(this, this->options.address, this->options.control_port, call,
           kCallTimeoutMs, [](int, const std::string&) {});
}

void Worker::Announce() {
  Request call;
  call.method = "PUT";
  call.path = "/-/instances/" + this->options.id;
  call.body =
      nlohmann::json{
          {"service", this->options.service},
          {"address", this->options.address + ":" +
                          std::to_string(this->options.app_port)},
          {"zone", this->options.zone},
          {"version", "v1"},
          {"slots", 8},
          {"state", "ready"},
          {"coldLeftMs", 0},
          {"capacity",
           {{"cpu", this->options.cpu}, {"memMb", 262144}, {"gpu", 8}}},
          {"labels", nlohmann::json::array({"a", this->options.rack})},
          {"clockMs", this->ClockMs()},
          {"born", this->born_wall_ms},
          {"seq", ++this->sequence}}
          .dump();
  SendCall(this, this->options.address, this->options.control_port, call,
           kCallTimeoutMs, [](int, const std::string&) {});
}

void Worker::Handle(const Request& request, const Reply& reply) {
  if (!this->up) {
    return;
  }
  const auto instance = request.headers.find("x-hemlockdoor-expect-instance");
  if (instance != request.headers.end() &&
      instance->second != this->options.id) {
    reply.Send(kWrongInstance, "{}");
    return;
  }
  const nlohmann::json call = nlohmann::json::parse(request.body);
  if (request.path == "/-/hold") {
    this->HoldCall(call, reply);
    return;
  }
  if (request.path == "/-/run-stop") {
    const Answer answer = this->Stop(call);
    reply.Send(answer.status, answer.body.dump());
    return;
  }
  const std::string task = call["task"];
  const std::int64_t run = call["run"];
  const StartFate start_fate = this->fate(task, run);
  if (start_fate.late_ms < 0) {
    const Answer answer = this->Start(call);
    reply.Send(answer.status, answer.body.dump());
    return;
  }
  this->record.Line("worker " + this->options.id + " leaves the start of " +
                    task + " run " + std::to_string(run) +
                    " unanswered, carries it out in " +
                    std::to_string(start_fate.late_ms) + " ms");
  Later(this, start_fate.late_ms, [this, call, task, run] {
    if (this->up) {
      const Answer answer = this->Start(call);
      this->record.Line(
          "worker " + this->options.id + " carries out the late start of " +
          task + " run " + std::to_string(run) + ": " +
          std::to_string(answer.status) + " " + answer.body.dump());
    }
  });
}

Worker::Answer Worker::Refusal(const std::string& reason) const {
  return {kConflict, {{"clockMs", this->ClockMs()}, {"reason", reason}}};
}

bool Worker::AcceptsFence(const nlohmann::json& call) {
  const std::int64_t token = call.value("fencingToken", std::int64_t{0});
  this->fence = std::max(this->fence, token);
  return token >= this->fence;
}

void Worker::Extend(const nlohmann::json& call) {
  if (call.contains("deadlineMs")) {
    const std::int64_t deadline = call["deadlineMs"];
    this->lease_end_ms = std::max(
        this->lease_end_ms, std::min(deadline, this->ClockMs() + kHoldMaxMs));
  }
}

Worker::Answer Worker::Start(const nlohmann::json& call) {
  const std::string task = call["task"];
  const std::int64_t run = call["run"];
  if (!this->AcceptsFence(call)) {
    return this->Refusal("fence");
  }
  if (call["deadlineMs"].get<std::int64_t>() <= this->ClockMs()) {
    return this->Refusal("late");
  }
  this->Extend(call);
  if (this->running.contains({task, run})) {
    return {200, {{"clockMs", this->ClockMs()}}};
  }
  const auto closed = this->closed_runs.find(task);
  if (closed != this->closed_runs.end() && run <= closed->second) {
    return this->Refusal("old");
  }
  auto entry = std::make_shared<TaskRun>();
  entry->worker = this->options.id;
  entry->task = task;
  entry->run = run;
  entry->begun_ms = NowMs();
  this->history.push_back(entry);
  this->running[{task, run}] = entry;
  this->record.Line("worker " + this->options.id + " begins " + task + " run " +
                    std::to_string(run));
  Later(this, this->length(task, run),
        [this, task, run] { this->End(task, run, this->end_of(task, run)); });
  return {200, {{"clockMs", this->ClockMs()}}};
}

Worker::Answer Worker::Stop(const nlohmann::json& call) {
  const std::string task = call["task"];
  const std::int64_t run = call["run"];
  if (!this->AcceptsFence(call)) {
    return this->Refusal("fence");
  }
  std::int64_t& closed = this->closed_runs[task];
  closed = std::max(closed, run);
  if (this->running.contains({task, run})) {
    Later(this, kStopMs,
          [this, task, run] { this->End(task, run, "stopped"); });
  }
  return {200, {{"clockMs", this->ClockMs()}}};
}

nlohmann::json Worker::Listing() const {
  nlohmann::json rows = nlohmann::json::array();
  for (const auto& [key, entry] : this->running) {
    constexpr std::int64_t kAllPercent = 100;
    const std::int64_t percent =
        std::min<std::int64_t>(99, (NowMs() - entry->begun_ms) * kAllPercent /
                                       this->length(entry->task, entry->run));
    rows.push_back({entry->task, entry->run, "", percent});
  }
  nlohmann::json ended = nlohmann::json::array();
  for (const auto& [number, entry] : this->ends) {
    if (ended.size() < kEndsPerListing) {
      ended.push_back({number, entry->task, entry->run, entry->how, ""});
    }
  }
  return {{"clockMs", this->ClockMs()},
          {"born", this->born_wall_ms},
          {"running", rows},
          {"endedRuns", ended}};
}

void Worker::HoldCall(const nlohmann::json& call, const Reply& reply) {
  if (!this->AcceptsFence(call)) {
    const Answer answer = this->Refusal("fence");
    reply.Send(answer.status, answer.body.dump());
    return;
  }
  this->Extend(call);
  const std::int64_t cursor = call.value("ackCursor", std::int64_t{0});
  while (!this->ends.empty() && this->ends.begin()->first <= cursor) {
    TaskRun& entry = *this->ends.begin()->second;
    entry.noted_ms = NowMs();
    this->ends.erase(this->ends.begin());
  }
  const std::int64_t wait = call.value("waitMs", std::int64_t{0});
  if (this->ends.empty() && wait > 0) {
    this->holds.push_back({reply, NowMs() + wait});
  } else {
    reply.Send(200, this->Listing().dump());
  }
}

void Worker::End(const std::string& task,
                 std::int64_t run,
                 const std::string& how) {
  const auto found = this->running.find({task, run});
  if (found == this->running.end()) {
    return;
  }
  const std::shared_ptr<TaskRun> entry = found->second;
  this->running.erase(found);
  entry->ended_ms = NowMs();
  entry->how = how;
  entry->end_number = ++this->last_end;
  this->ends[entry->end_number] = entry;
  this->most_open_ends = std::max(this->most_open_ends, this->ends.size());
  std::int64_t& closed = this->closed_runs[task];
  closed = std::max(closed, run);
  this->record.Line("worker " + this->options.id + " ends " + task + " run " +
                    std::to_string(run) + " " + how);
}

void Worker::EndAll(const std::string& how) {
  for (const auto& [key, entry] : std::exchange(this->running, {})) {
    entry->ended_ms = NowMs();
    entry->how = how;
  }
}

void Worker::Tick() {
  if (!this->up) {
    return;
  }
  if (this->lease_end_ms != 0 && this->ClockMs() > this->lease_end_ms) {
    this->lease_end_ms = 0;
    this->record.Line("worker " + this->options.id + " lease lapses");
    for (const auto& [number, entry] : this->ends) {
      entry->lapsed_before_noted = true;
    }
    while (!this->running.empty()) {
      const auto key = this->running.begin()->first;
      this->End(key.first, key.second, "lapsed");
    }
  }
  const std::int64_t now = NowMs();
  for (const Hold& hold : std::exchange(this->holds, {})) {
    if (this->ends.empty() && now < hold.end_ms) {
      this->holds.push_back(hold);
    } else {
      hold.reply.Send(200, this->Listing().dump());
    }
  }
}

}  // namespace hemlockdoor::review
