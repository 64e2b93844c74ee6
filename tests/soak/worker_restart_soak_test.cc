// Soak of real entries and agents whose workers start again under their old
// ids, among other faults. Guards against two runs of a task at once when a
// call that was meant for a former process of a worker reaches the next one,
// and against jobs that never end after it. Environment:
// HEMLOCKDOOR_BIN: folder of the program.
// HEMLOCKDOOR_SEED: the first seed; HEMLOCKDOOR_SOAK_RUNS: how many seeds are
// played. The faults follow from the seed, their timing against the processes
// does not, so a failing seed may pass when it is played again.
#include <signal.h>

#include <array>
#include <boost/test/unit_test.hpp>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <memory>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

#include "review/support/checks.h"
#include "review/support/deployment.h"
#include "tests/soak/dice.h"
#include "tests/soak/fault_log.h"
#include "tests/soak/play_folder.h"
#include "tests/soak/seeded_plays.h"
#include "tests/soak/worker_host.h"

namespace hemlockdoor::soak {

namespace {

using review::Later;
using review::NowMs;

/// Seeds 101 and 102 failed when the programs took the worker that answers for
/// the one that was called.
constexpr std::uint64_t kDefaultSeed = 101;
/// A seed takes 30 to 45 s, and CI gives this test 90 s.
constexpr std::uint64_t kDefaultRuns = 2;
constexpr int kFaultPhaseMs = 14000;
/// An accepted job ends within this time after the last fault.
constexpr std::int64_t kEndLimitMs = 40000;
/// Above the faults of a phase, so that seeds share none.
constexpr std::uint64_t kMostFaults = 1000;
constexpr int kJobCpu = 4000;

constexpr Range kAgents{3, 6};
constexpr Range kTasks{1, 3};
constexpr Range kRunMs{1000, 6000};
constexpr Range kJobPauseMs{50, 250};
constexpr Range kFaultPauseMs{150, 550};
constexpr Range kWorkerDownMs{100, 1500};
constexpr Range kAnnouncementDelayMs{0, 800};
constexpr Range kAgentPausedMs{300, 6000};
constexpr Range kProcessDownMs{100, 1500};
/// Beyond the time for which an agent waits for the answer to a start.
constexpr Range kLateAnswerMs{100, 2000};
constexpr Range kLateStartMs{0, 2000};
constexpr int kLateAnswerPercent = 10;
constexpr int kNoAnswerPercent = 6;

/// One seed, from the start of the processes to the checks.
class Play {
 public:
  explicit Play(std::uint64_t first_seed)
      : seed(first_seed),
        job_dice(first_seed),
        call_dice(first_seed),
        agents(this->job_dice.Draw(kAgents)),
        deployment({2, this->agents}, this->folder.Path()) {}

  /// Returns what is wrong, or nothing.
  std::string Run() {
    this->deployment.Start();
    this->TakeOverWorkers();
    this->Disturb();
    this->AwaitJobs();
    const int twice = review::CountTwice(this->deployment);
    if (twice == 0 && this->open_jobs.empty()) {
      return "";
    }
    const std::string report = this->Report(twice);
    this->folder.Keep();
    return report;
  }
  std::string Summary() const {
    return std::to_string(this->jobs.size()) + " jobs;" + this->faults.ToText();
  }

 private:
  /// Puts hosts in place of the deployment's own workers, under their ids.
  void TakeOverWorkers() {
    for (int i = 0; i < this->agents; ++i) {
      const auto index = static_cast<std::size_t>(i);
      this->hosts.push_back(std::make_unique<WorkerHost>(
          this->OptionsOf(index), this->deployment.record,
          this->deployment.history));
      WorkerHost& host = *this->hosts.back();
      host.prepare = [this](review::Worker& worker) { this->Prepare(worker); };
      host.answer_delay_ms = [this](const review::Request& request) {
        const bool is_start =
            request.body.find("\"spec\"") != std::string::npos;
        return is_start && this->HasTrouble(kLateAnswerPercent)
                   ? this->call_dice.Draw(kLateAnswerMs)
                   : 0;
      };
      this->deployment.WorkerAt(index).Crash();
      host.Start(0);
    }
    constexpr int kSettleMs = 2500;
    review::Run(kSettleMs);
  }

  review::WorkerOptions OptionsOf(std::size_t index) const {
    const std::string number = std::to_string(index + 1);
    const nlohmann::json settings = this->folder.Settings("side-" + number);
    review::WorkerOptions options;
    options.id = "i-" + number + "-a";
    options.address = settings["address"];
    options.app_port = PortOf(settings["worker_endpoint"]);
    options.control_port = PortOf(settings["announcement_endpoint"]);
    options.service = settings["service"];
    options.zone = settings["data_centre"];
    options.rack = "r1-1";
    return options;
  }
  static std::uint16_t PortOf(const std::string& endpoint) {
    return static_cast<std::uint16_t>(
        std::stoi(endpoint.substr(endpoint.find(':') + 1)));
  }

  bool HasTrouble(int percent) {
    return this->faults_on && this->call_dice.Chance(percent);
  }

  void Prepare(review::Worker& worker) {
    worker.length = [this](const std::string& task, std::int64_t run) {
      return Dice(this->seed + std::hash<std::string>()(task) +
                  static_cast<std::uint64_t>(run))
          .Draw(kRunMs);
    };
    worker.fate = [this](const std::string&, std::int64_t) {
      return this->HasTrouble(kNoAnswerPercent)
                 ? review::StartFate{this->call_dice.Draw(kLateStartMs)}
                 : review::StartFate();
    };
  }

  void Disturb() {
    this->faults_on = true;
    const std::int64_t end = NowMs() + kFaultPhaseMs;
    this->SubmitUntil(end);
    for (std::uint64_t number = 0; NowMs() < end; ++number) {
      // Dice of its own, so that a fault does not depend on those before it.
      Dice dice(this->seed * kMostFaults + number);
      review::Run(dice.Draw(kFaultPauseMs));
      this->InjectFault(dice);
    }
    this->faults_on = false;
    this->faults.AwaitEnd();
  }

  void SubmitUntil(std::int64_t end) {
    if (NowMs() >= end) {
      return;
    }
    std::array<char, 17> id{};
    std::snprintf(id.data(), id.size(), "%016zx", 0xd000 + this->jobs.size());
    this->jobs.push_back(this->deployment.Submit(
        id.data(),
        review::JobOf("work", {{"count", this->job_dice.Draw(kTasks)},
                               {"cpu", kJobCpu},
                               {"memMb", 1000},
                               {"estimateMs", 3500}})));
    Later(&this->deployment, this->job_dice.Draw(kJobPauseMs),
          [this, end] { this->SubmitUntil(end); });
  }

  void InjectFault(Dice& dice) {
    const int kind = dice.Draw({1, 100});
    const auto index =
        static_cast<std::size_t>(dice.Draw({0, this->agents - 1}));
    if (kind <= 72) {
      this->CrashWorker(*this->hosts[index], dice);
    } else if (kind <= 85) {
      this->PauseAgent(this->deployment.Agent(index), dice);
    } else if (kind <= 95) {
      this->KillProcess(this->deployment.Agent(index), dice, "agent_killed");
    } else if (this->deployment.store->Find("owner") != nullptr) {
      this->KillProcess(this->deployment.Entry(this->deployment.Planner()),
                        dice, "planner_killed");
    }
  }

  void CrashWorker(WorkerHost& host, Dice& dice) {
    if (!host.IsUp()) {
      return;
    }
    const bool keeps_listening = dice.Chance(50);
    const int down_ms = dice.Draw(kWorkerDownMs);
    const int delay_ms = dice.Draw(kAnnouncementDelayMs);
    this->faults.Add(keeps_listening ? "worker_crash_backlog" : "worker_crash",
                     down_ms + delay_ms);
    host.Crash(keeps_listening);
    Later(&this->deployment, down_ms,
          [&host, delay_ms] { host.Start(delay_ms); });
  }

  void PauseAgent(review::Process& agent, Dice& dice) {
    const int paused_ms = dice.Draw(kAgentPausedMs);
    this->faults.Add("agent_paused", paused_ms);
    agent.Signal(SIGSTOP);
    Later(&this->deployment, paused_ms, [&agent] { agent.Signal(SIGCONT); });
  }

  void KillProcess(review::Process& process,
                   Dice& dice,
                   const std::string& name) {
    if (!process.IsRunning()) {
      return;
    }
    const int down_ms = dice.Draw(kProcessDownMs);
    this->faults.Add(name, down_ms);
    process.Restart(&this->deployment, SIGKILL, down_ms);
  }

  /// Leaves in `open_jobs` the accepted jobs that have not ended in time.
  void AwaitJobs() {
    for (const auto& job : this->jobs) {
      review::RunUntil([&job] { return job->finished; }, kEndLimitMs);
      if (job->WasAccepted()) {
        this->open_jobs.insert(job->id);
      }
    }
    const std::int64_t end = NowMs() + kEndLimitMs;
    while (!this->open_jobs.empty() && NowMs() < end) {
      std::erase_if(this->open_jobs, [this](const std::string& id) {
        return this->deployment.StateOf(id) == "completed";
      });
      constexpr int kAskAgainMs = 1000;
      review::Run(this->open_jobs.empty() ? 0 : kAskAgainMs);
    }
  }

  std::string Report(int twice) const {
    std::string text = "seed " + std::to_string(this->seed) + ": TWICE " +
                       std::to_string(twice) + ", LOST " +
                       std::to_string(this->open_jobs.size()) + ", kept in " +
                       this->folder.Path() + "\n";
    std::set<std::string> subjects = this->open_jobs;
    for (const std::string& line : this->folder.RecordLines("check: TWICE")) {
      text += line + "\n";
      // "... TWICE, at the same time: TASK run ..."
      const std::size_t begin = line.find(": ", line.find("TWICE")) + 2;
      subjects.insert(line.substr(begin, line.find(" run ") - begin));
    }
    for (const std::string& job : this->open_jobs) {
      text += "not completed: " + job + "\n";
    }
    return text + this->folder.LogLinesAbout(subjects);
  }

  std::uint64_t seed;
  /// Draws jobs and their times.
  Dice job_dice;
  /// Draws the trouble of single calls.
  Dice call_dice;
  int agents;
  PlayFolder folder;
  review::Deployment deployment;
  std::vector<std::unique_ptr<WorkerHost>> hosts;
  std::vector<std::shared_ptr<review::Submission>> jobs;
  std::set<std::string> open_jobs;
  FaultLog faults;
  bool faults_on = false;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(WorkerRestartSoakTest)

BOOST_AUTO_TEST_CASE(RestartedWorkersRunNoTaskTwice) {
  PlaySeeds<Play>(kDefaultSeed, kDefaultRuns);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hemlockdoor::soak
