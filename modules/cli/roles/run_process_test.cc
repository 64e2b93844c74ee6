#include "modules/cli/roles/run_process.h"

#include <sys/types.h>
#include <unistd.h>

#include <QTemporaryDir>
#include <QTimer>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <fstream>
#include <string>

#include "modules/cli/testing/scripted_entry.h"

namespace hemlockdoor::cli {

namespace {

constexpr std::uint16_t kPort = 4711;
constexpr int kDrainMs = 100;

/// A process that is sent signals while it runs, and drains for a while.
class SignalledProcess {
 public:
  static core::Expected<std::unique_ptr<SignalledProcess>> Create(
      settings::EntrySettings settings,
      std::function<void()> on_stopped) {
    if (settings.id.Text() == "refused") {
      return core::MakeError(core::ErrorCode::kUnavailable, "port is taken");
    }
    kill(getpid(), SIGTERM);
    auto process = std::make_unique<SignalledProcess>();
    process->stopped = std::move(on_stopped);
    return process;
  }
  std::uint16_t Port() const { return kPort; }
  void BeginDrain() {
    ++drains;
    kill(getpid(), SIGINT);
    this->timer.setSingleShot(true);
    QObject::connect(&this->timer, &QTimer::timeout, this->stopped);
    this->timer.start(kDrainMs);
  }

  static inline int drains = 0;

 private:
  std::function<void()> stopped;
  QTimer timer;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(RunProcessTest)

// Guards against a signal that kills a process with work in progress, against
// a second one that cuts the drain short, and against a port file before the
// process listens.
BOOST_AUTO_TEST_CASE(SignalsDrainOnceAndThenStop) {
  const QTemporaryDir folder;
  settings::EntrySettings settings;
  settings.id = core::EntryId("e1");
  settings.common.port_file = folder.filePath("port").toStdString();
  testing::CapturedConsole captured;
  SignalledProcess::drains = 0;
  const ExitCode code =
      RunProcess<SignalledProcess>(captured.console, settings);
  BOOST_TEST((code == ExitCode::kDone));
  BOOST_TEST(SignalledProcess::drains == 1);
  std::ifstream port_file(settings.common.port_file);
  int port = 0;
  port_file >> port;
  BOOST_TEST(port == kPort);
}

// Guards against a start that fails without a message or exit code.
BOOST_AUTO_TEST_CASE(FailedStartIsReported) {
  settings::EntrySettings settings;
  settings.id = core::EntryId("refused");
  testing::CapturedConsole captured;
  const ExitCode code =
      RunProcess<SignalledProcess>(captured.console, settings);
  BOOST_TEST((code == ExitCode::kFailed));
  BOOST_TEST(captured.err.str() == "hemlockdoor: port is taken\n");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hemlockdoor::cli
