#include "tests/support/child_process.h"

#include <signal.h>
#include <unistd.h>

#include <QCoreApplication>
#include <QElapsedTimer>
#include <QEventLoop>
#include <QThread>
#include <boost/test/unit_test.hpp>
#include <fstream>
#include <iterator>
#include <sstream>

namespace hemlockdoor::test_support {

namespace {

constexpr int kMillisecondsPerPoll = 5;
constexpr int kExitWaitMs = 5000;

QString ProgramPath(const std::string& program) {
  const char* folder = std::getenv("HEMLOCKDOOR_BIN");
  const std::string base = folder == nullptr ? "build" : folder;
  return QString::fromStdString(base + "/" + program);
}

}  // namespace

bool WaitUntil(const std::function<bool()>& condition, core::Duration timeout) {
  const core::TimePoint end = core::Clock::Now() + timeout;
  while (!condition()) {
    if (core::Clock::Now() > end) {
      return false;
    }
    QEventLoop loop;
    loop.processEvents(QEventLoop::AllEvents, kMillisecondsPerPoll);
    QThread::msleep(1);
  }
  return true;
}

ChildProcess::ChildProcess(const std::string& program,
                           const std::vector<std::string>& arguments,
                           const std::string& log_file) {
  QStringList list;
  for (const std::string& argument : arguments) {
    list << QString::fromStdString(argument);
  }
  this->process.setStandardOutputFile(QProcess::nullDevice());
  this->process.setStandardErrorFile(QString::fromStdString(log_file),
                                     QIODevice::Append);
  this->process.start(ProgramPath(program), list);
  BOOST_REQUIRE_MESSAGE(this->process.waitForStarted(),
                        "cannot start " + program);
}

ChildProcess::~ChildProcess() {
  this->Kill();
}

void ChildProcess::Signal(int number) {
  const std::int64_t id = this->process.processId();
  if (id > 0) {
    ::kill(static_cast<pid_t>(id), number);
  }
}

void ChildProcess::Kill() {
  this->Signal(SIGKILL);
  this->process.waitForFinished(kExitWaitMs);
}

void ChildProcess::Terminate() {
  this->Signal(SIGTERM);
}

void ChildProcess::Pause() {
  this->Signal(SIGSTOP);
}

void ChildProcess::Resume() {
  this->Signal(SIGCONT);
}

bool ChildProcess::IsRunning() const {
  return this->process.state() == QProcess::Running;
}

std::optional<int> ChildProcess::WaitForExit(core::Duration timeout) {
  const bool ended = WaitUntil([this] { return !this->IsRunning(); }, timeout);
  if (!ended || this->process.exitStatus() != QProcess::NormalExit) {
    return std::nullopt;
  }
  return this->process.exitCode();
}

ProcessUsage ReadUsage(std::int64_t process_id) {
  const std::string folder = "/proc/" + std::to_string(process_id);
  ProcessUsage usage;
  std::istringstream memory(ReadFile(folder + "/statm"));
  std::int64_t total_pages = 0;
  std::int64_t resident_pages = 0;
  memory >> total_pages >> resident_pages;
  usage.resident_bytes = resident_pages * ::sysconf(_SC_PAGESIZE);
  const std::string stat = ReadFile(folder + "/stat");
  const std::size_t name_end = stat.rfind(')');
  if (name_end == std::string::npos) {
    return usage;
  }
  std::istringstream fields(stat.substr(name_end + 2));
  // utime and stime are fields 14 and 15; the state after the name is field 3.
  constexpr int kFieldsBeforeUserTime = 11;
  std::string skipped;
  for (int i = 0; i < kFieldsBeforeUserTime; ++i) {
    fields >> skipped;
  }
  std::int64_t user_ticks = 0;
  std::int64_t system_ticks = 0;
  fields >> user_ticks >> system_ticks;
  constexpr std::int64_t kMillisecondsPerSecond = 1000;
  usage.cpu_ms = (user_ticks + system_ticks) * kMillisecondsPerSecond /
                 ::sysconf(_SC_CLK_TCK);
  return usage;
}

std::string ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(file), {}};
}

void WriteFile(const std::string& path, const std::string& content) {
  std::ofstream file(path, std::ios::binary | std::ios::trunc);
  file << content;
  file.close();
  BOOST_REQUIRE_MESSAGE(file.good(), "cannot write " + path);
}

}  // namespace hemlockdoor::test_support
