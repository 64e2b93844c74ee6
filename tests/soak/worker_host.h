// A machine on which processes of one worker follow each other under one id.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "review/support/http.h"
#include "review/support/record.h"
#include "review/support/worker_standin.h"

namespace hemlockdoor::soak {

/// Relays calls and announcements between an agent and the present process of
/// its worker. The agent sees only the ports of `agent_side`.
class WorkerHost : public QObject {
 public:
  WorkerHost(review::WorkerOptions agent_side,
             review::Record& case_record,
             review::RunHistory& run_history);

  /// Starts a process. Its first announcement reaches the agent after
  /// `announcement_delay_ms`. It takes the calls that have waited for it.
  void Start(int announcement_delay_ms);
  /// Ends the process and resets its connections. If `keeps_listening`, calls
  /// made from now on wait for the next process, as in a listener's backlog;
  /// else they are refused until then.
  void Crash(bool keeps_listening);
  bool IsUp() const { return this->worker != nullptr; }

  /// Prepares each new process.
  std::function<void(review::Worker&)> prepare;
  /// Delay of the answer to a call.
  std::function<int(const review::Request&)> answer_delay_ms;

 private:
  void Listen();
  void Forward(const review::Request& request, const review::Reply& reply);
  void ForwardAnnouncement(const review::Request& request);

  review::WorkerOptions outer;
  review::WorkerOptions inner;
  review::Record& record;
  review::RunHistory& history;
  std::int64_t announced_from_ms = 0;
  std::vector<std::pair<review::Request, review::Reply>> waiting;
  std::unique_ptr<review::Listener> calls;
  std::unique_ptr<review::Listener> announcements;
  std::unique_ptr<review::Worker> worker;
};

}  // namespace hemlockdoor::soak
