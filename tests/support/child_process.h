// Child processes of a test, their signals, and waiting on conditions.
#pragma once

#include <QProcess>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "modules/core/core.h"

namespace hemlockdoor::test_support {

/// Runs the event loop of this thread until `condition` holds; false when it
/// does not within `timeout`.
bool WaitUntil(const std::function<bool()>& condition, core::Duration timeout);

/// A program of the build folder, started by a test; killed when destroyed.
class ChildProcess {
 public:
  /// Starts `program` of the build folder; standard error goes to `log_file`.
  ChildProcess(const std::string& program,
               const std::vector<std::string>& arguments,
               const std::string& log_file);
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  /// Sends SIGKILL and waits for the end.
  void Kill();
  /// Sends SIGTERM.
  void Terminate();
  /// Sends SIGSTOP: the process is paused.
  void Pause();
  /// Sends SIGCONT.
  void Resume();
  bool IsRunning() const;
  /// Process id.
  std::int64_t Id() const { return this->process.processId(); }
  /// Exit code, or nothing when it does not end in time or was killed.
  std::optional<int> WaitForExit(core::Duration timeout);

 private:
  void Signal(int number);
  QProcess process;
};

/// Resident memory in bytes and processor time in ms of a process.
struct ProcessUsage {
  std::int64_t resident_bytes = 0;
  std::int64_t cpu_ms = 0;
};

/// Reads the usage of a running process from /proc.
ProcessUsage ReadUsage(std::int64_t process_id);

/// Content of a file, empty when it cannot be read.
std::string ReadFile(const std::string& path);
/// Writes a file; fails the test when that is not possible.
void WriteFile(const std::string& path, const std::string& content);

}  // namespace hemlockdoor::test_support
