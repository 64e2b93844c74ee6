#include "tests/soak/play_folder.h"

#include <QDir>
#include <QFile>
#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <stdexcept>

namespace hemlockdoor::soak {

namespace {

namespace fs = std::filesystem;

/// The folder for temporary files as it was at the start of the test.
const QString& BaseFolder() {
  static const QString base = QDir::tempPath();
  return base;
}

/// Absolute, since the current folder changes.
const QString& BinFolder() {
  static const QString folder = [] {
    const char* value = std::getenv("HEMLOCKDOOR_BIN");
    return QDir(value == nullptr ? "." : value).absolutePath();
  }();
  return folder;
}

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

std::vector<std::string> LinesOf(const fs::path& path) {
  std::vector<std::string> lines;
  std::ifstream file(path);
  for (std::string line; std::getline(file, line);) {
    lines.push_back(line);
  }
  return lines;
}

}  // namespace

PlayFolder::PlayFolder() : folder(BaseFolder() + "/hemlockdoor-soak-XXXXXX") {
  // The deployment makes its folder in the one for temporary files, and starts
  // "target/hemlockdoor".
  QFile::link(BinFolder(), this->folder.filePath("target"));
  qputenv("TMPDIR", this->folder.path().toUtf8());
  QDir::setCurrent(this->folder.path());
}

PlayFolder::~PlayFolder() {
  QDir::setCurrent(BinFolder());
  qputenv("TMPDIR", BaseFolder().toUtf8());
}

std::vector<fs::path> PlayFolder::Logs() const {
  std::vector<fs::path> logs;
  for (const auto& item : fs::recursive_directory_iterator(this->Path())) {
    if (item.path().extension() == ".log") {
      logs.push_back(item.path());
    }
  }
  return logs;
}

fs::path PlayFolder::SettingsFile(const std::string& process) const {
  for (const auto& item : fs::recursive_directory_iterator(this->Path())) {
    if (item.path().filename() == process) {
      return item.path();
    }
  }
  throw std::runtime_error("no settings of " + process);
}

nlohmann::json PlayFolder::Settings(const std::string& process) const {
  std::ifstream file(this->SettingsFile(process));
  return nlohmann::json::parse(file);
}

void PlayFolder::WriteSettings(const std::string& process,
                               const nlohmann::json& settings) const {
  std::ofstream(this->SettingsFile(process)) << settings.dump(1);
}

std::vector<std::string> PlayFolder::RecordLines(
    const std::string& part) const {
  std::vector<std::string> lines =
      LinesOf(fs::path(this->Path()) / "record.txt");
  std::erase_if(lines, [&part](const std::string& line) {
    return !Contains(line, part);
  });
  return lines;
}

std::string PlayFolder::LogLinesAbout(
    const std::set<std::string>& subjects) const {
  std::string text;
  for (const fs::path& log : this->Logs()) {
    for (const std::string& line : LinesOf(log)) {
      const bool is_named = std::any_of(
          subjects.begin(), subjects.end(),
          [&line](const auto& each) { return Contains(line, each); });
      if (is_named &&
          (Contains(line, "run_gone") || Contains(line, "run_removed") ||
           Contains(line, "start_answered"))) {
        text += log.stem().string() + " " + line + "\n";
      }
    }
  }
  return text;
}

void PlayFolder::Keep() {
  this->folder.setAutoRemove(false);
  for (const fs::path& log : this->Logs()) {
    fs::copy_file(log, fs::path(this->Path()) / log.filename());
  }
}

}  // namespace hemlockdoor::soak
