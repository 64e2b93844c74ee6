// A small deployment: the project's processes with stand-ins of the platform.
#pragma once

#include <QProcess>
#include <QTemporaryDir>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "review/support/http.h"
#include "review/support/record.h"
#include "review/support/store.h"
#include "review/support/worker_standin.h"

namespace hemlockdoor::review {

/// A process of the project, started by the command of the deploy file. Killed
/// at the end of the case.
class Process {
 public:
  Process(std::string process_name,
          std::string role_name,
          std::string settings_file,
          std::string log_file,
          Record& case_record);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  void Start();
  void Signal(int number);
  bool IsRunning() const;
  const std::string& Name() const { return this->name; }
  /// Signals the process, and starts it again some time after its end, as the
  /// platform does.
  void Restart(QObject* context, int signal, int pause_ms);

 private:
  std::string name;
  std::string role;
  std::string settings;
  std::string log;
  Record& record;
  QProcess process;
};

/// The answers to one submission.
struct Submission {
  std::string id;
  std::vector<int> statuses;
  bool finished = false;
  bool WasAccepted() const;
  /// All attempts were rejected, so that the job may never run.
  bool WasRejected() const;
};

/// Shape of a deployment.
struct Shape {
  int entries = 3;
  int workers = 3;
};

class Deployment : public QObject {
 public:
  Deployment(Shape shape, const std::string& case_folder);

  /// Starts all processes and workers and waits until the deployment serves.
  /// Throws if it does not.
  void Start();
  Process& Entry(std::size_t index) { return *this->entries.at(index); }
  Process& Agent(std::size_t index) { return *this->agents.at(index); }
  Worker& WorkerAt(std::size_t index) { return *this->workers.at(index); }
  std::size_t WorkerCount() const { return this->workers.size(); }
  /// Starts a worker on the machine of agent `index`, in place of the one that
  /// was there.
  Worker& StartWorker(std::size_t index, const std::string& id);
  /// Index of the entry that plans; throws if there is none.
  std::size_t Planner() const;

  /// Hands a job in as a sound client does: at another entry after each
  /// refusal, four times at most, within 3 s.
  std::shared_ptr<Submission> Submit(const std::string& id,
                                     const nlohmann::json& body);
  /// Asks for the state of a job: the text of `state`, or the status.
  std::string StateOf(const std::string& id, std::size_t entry = 0);
  int Cancel(const std::string& id, std::size_t entry = 0);

  Record record;
  RunHistory history;
  std::unique_ptr<Store> store;

 private:
  std::string EntryAddress(std::size_t index) const;
  std::string AgentAddress(std::size_t index) const;
  std::string LogFile(const std::string& name) const;
  std::string WriteSettings(const std::string& name,
                            const nlohmann::json& settings) const;
  void Attempt(const std::shared_ptr<Submission>& submission,
               const std::string& body,
               std::int64_t deadline_ms,
               std::size_t entry);
  Request CallOn(const std::string& method, const std::string& id) const;

  Shape shape;
  QTemporaryDir folder;
  std::uint16_t front_port;
  std::uint16_t ready_port;
  std::uint16_t control_port;
  std::uint16_t orders_port;
  std::uint16_t app_port;
  std::uint16_t entry_metrics_port;
  std::uint16_t agent_metrics_port;
  std::uint16_t store_port;
  std::size_t next_entry = 0;
  std::vector<std::unique_ptr<Process>> entries;
  std::vector<std::unique_ptr<Process>> agents;
  std::vector<std::unique_ptr<Worker>> workers;
};

/// Returns whether the case runs with its disruption.
bool WithTrouble();

/// Runs the body of a case and returns its exit code: `body` returns whether
/// the rule held. An exception means that the case could not run.
int RunCase(int argc,
            char** argv,
            const std::function<bool(const std::string& folder)>& body);

/// Returns the job of one step with these fields.
nlohmann::json JobOf(const std::string& spec, nlohmann::json step);

}  // namespace hemlockdoor::review
