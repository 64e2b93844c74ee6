// Runs a long-lived process on the main event loop until it has drained.
#pragma once

#include <QCoreApplication>
#include <QMetaObject>
#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "modules/cli/output/console.h"
#include "modules/cli/process/port_file.h"
#include "modules/cli/process/shutdown_signals.h"
#include "modules/core/core.h"
#include "modules/observe/observe.h"
#include "modules/settings/settings.h"

namespace hemlockdoor::cli {

/// What `agent::AgentProcess` and `entry::EntryProcess` offer: `Create` starts
/// listening, `on_stopped` runs once after `BeginDrain` when the last work has
/// ended or `drain_timeout` has passed.
template <typename Process, typename Settings>
concept DrainableProcess = requires(Process& process,
                                    Settings settings,
                                    std::function<void()> on_stopped) {
  {
    Process::Create(std::move(settings), std::move(on_stopped))
    } -> std::same_as<core::Expected<std::unique_ptr<Process>>>;
  { process.Port() } -> std::convertible_to<std::uint16_t>;
  process.BeginDrain();
};

namespace detail {

/// Stops the event loop; safe from any thread.
inline void QuitEventLoop() {
  QMetaObject::invokeMethod(QCoreApplication::instance(), "quit",
                            Qt::QueuedConnection);
}

inline void LogSignal(int count) {
  observe::Log(observe::LogLevel::kInfo,
               count == 1
                   ? "shutdown requested by signal; draining"
                   : "another shutdown signal; the drain already goes on");
}

}  // namespace detail

/// Sets logs and traces of a process up as its settings say; its destruction
/// sends the spans that wait.
class Observation {
 public:
  static core::Expected<std::unique_ptr<Observation>> Start(
      const settings::CommonSettings& common,
      const std::string& process_id);
  ~Observation() { observe::StopTraceExport(); }
  Observation(const Observation&) = delete;
  Observation& operator=(const Observation&) = delete;

 private:
  Observation() = default;
};

/// Runs until a signal has led to a complete drain. Needs a QCoreApplication.
/// `on_listening` runs once the process listens.
template <typename Process, typename Settings>
requires DrainableProcess<Process, Settings> ExitCode
RunProcess(Console& console,
           const Settings& settings,
           const std::function<void(const Process&)>& on_listening = {}) {
  std::unique_ptr<Process> process;
  core::Expected<std::unique_ptr<ShutdownSignals>> signals =
      ShutdownSignals::Create([&process](int count) {
        detail::LogSignal(count);
        // A signal during start stays pending until the event loop runs, and
        // by then the process exists.
        if (count == 1) {
          process->BeginDrain();
        }
      });
  if (!signals) {
    return ReportError(console, signals.error(), ExitCode::kFailed);
  }
  const core::Expected<std::unique_ptr<Observation>> observation =
      Observation::Start(settings.common, settings.id.Text());
  if (!observation) {
    return ReportError(console, observation.error(), ExitCode::kFailed);
  }
  core::Expected<std::unique_ptr<Process>> created =
      Process::Create(settings, [] { detail::QuitEventLoop(); });
  if (!created) {
    return ReportError(console, created.error(), ExitCode::kFailed);
  }
  process = std::move(*created);
  const settings::CommonSettings& common = settings.common;
  observe::Log(
      observe::LogLevel::kInfo,
      "listening on " + common.address + ":" + std::to_string(process->Port()));
  if (!common.port_file.empty()) {
    const core::Expected<void> written =
        WritePortFile(common.port_file, process->Port());
    if (!written) {
      return ReportError(console, written.error(), ExitCode::kFailed);
    }
  }
  if (on_listening) {
    on_listening(*process);
  }
  QCoreApplication::exec();
  observe::Log(observe::LogLevel::kInfo, "drained; stopped");
  return ExitCode::kDone;
}

}  // namespace hemlockdoor::cli
