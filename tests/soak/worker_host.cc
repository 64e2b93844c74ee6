#include "tests/soak/worker_host.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>

namespace hemlockdoor::soak {

namespace {

using review::Later;
using review::Listener;
using review::NowMs;
using review::Reply;
using review::Request;

/// Above the longest wait of a poll, 2,000 ms.
constexpr int kCallTimeoutMs = 5000;
constexpr int kAnnouncementTimeoutMs = 1000;

}  // namespace

WorkerHost::WorkerHost(review::WorkerOptions agent_side,
                       review::Record& case_record,
                       review::RunHistory& run_history)
    : answer_delay_ms([](const Request&) { return 0; }),
      outer(std::move(agent_side)),
      inner(this->outer),
      record(case_record),
      history(run_history) {
  this->inner.app_port = review::FreePort();
  this->inner.control_port = review::FreePort();
  this->announcements = std::make_unique<Listener>(
      this->outer.address, this->inner.control_port,
      [this](const Request& request, const Reply& reply) {
        this->ForwardAnnouncement(request);
        reply.Send(200, "{}");
      });
}

void WorkerHost::Start(int announcement_delay_ms) {
  this->record.Line("worker " + this->outer.id +
                    " starts again, announced after " +
                    std::to_string(announcement_delay_ms) + " ms; " +
                    std::to_string(this->waiting.size()) + " calls wait");
  this->announced_from_ms = NowMs() + announcement_delay_ms;
  this->worker = std::make_unique<review::Worker>(this->inner, this->record,
                                                  this->history);
  this->prepare(*this->worker);
  if (this->calls == nullptr) {
    this->Listen();
  }
  for (const auto& [request, reply] : std::exchange(this->waiting, {})) {
    this->Forward(request, reply);
  }
}

void WorkerHost::Crash(bool keeps_listening) {
  this->worker->Crash();
  this->worker.reset();
  this->calls.reset();
  if (keeps_listening) {
    this->Listen();
  }
}

void WorkerHost::Listen() {
  this->calls = std::make_unique<Listener>(
      this->outer.address, this->outer.app_port,
      [this](const Request& request, const Reply& reply) {
        if (this->worker == nullptr) {
          this->record.Line("worker " + this->outer.id + " is down, " +
                            request.path + " waits: " + request.body);
          this->waiting.emplace_back(request, reply);
        } else {
          this->Forward(request, reply);
        }
      });
}

void WorkerHost::Forward(const Request& request, const Reply& reply) {
  Request call;
  call.method = request.method;
  call.path = request.path;
  call.body = request.body;
  // SendCall adds these for the connection to the process.
  const std::set<std::string> of_the_connection = {
      "host", "connection", "content-length", "content-type"};
  for (const auto& [name, value] : request.headers) {
    if (!of_the_connection.contains(name)) {
      call.headers[name] = value;
    }
  }
  const int delay_ms = this->answer_delay_ms(request);
  SendCall(this, this->inner.address, this->inner.app_port, call,
           kCallTimeoutMs,
           [this, reply, delay_ms](int status, const std::string& body) {
             if (status == review::kNoAnswer) {
               reply.Reset();
             } else if (delay_ms == 0) {
               reply.Send(status, body);
             } else {
               Later(this, delay_ms,
                     [reply, status, body] { reply.Send(status, body); });
             }
           });
}

void WorkerHost::ForwardAnnouncement(const Request& request) {
  if (this->worker == nullptr) {
    return;
  }
  const std::int64_t wait_ms =
      std::max<std::int64_t>(0, this->announced_from_ms - NowMs());
  Request call;
  call.method = request.method;
  call.path = request.path;
  nlohmann::json body = nlohmann::json::parse(request.body);
  body["address"] =
      this->outer.address + ":" + std::to_string(this->outer.app_port);
  body["clockMs"] = body["clockMs"].get<std::int64_t>() + wait_ms;
  call.body = body.dump();
  // A held announcement is dropped if its process ends first.
  Later(this->worker.get(), static_cast<int>(wait_ms), [this, call] {
    SendCall(this, this->outer.address, this->outer.control_port, call,
             kAnnouncementTimeoutMs, [](int, const std::string&) {});
  });
}

}  // namespace hemlockdoor::soak
