// Files of one play of a soak.
#pragma once

#include <QTemporaryDir>
#include <filesystem>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

namespace hemlockdoor::soak {

/// Holds the record of a play, and the folder that its deployment makes for
/// settings and logs. While it exists it is the current folder, and programs
/// are started from HEMLOCKDOOR_BIN.
class PlayFolder {
 public:
  PlayFolder();
  ~PlayFolder();
  PlayFolder(const PlayFolder&) = delete;
  PlayFolder& operator=(const PlayFolder&) = delete;

  std::string Path() const { return this->folder.path().toStdString(); }
  /// Returns the settings of a process.
  nlohmann::json Settings(const std::string& process) const;
  /// Replaces the settings of a process, which reads them when it starts.
  void WriteSettings(const std::string& process,
                     const nlohmann::json& settings) const;
  /// Returns the lines of the record that contain `part`.
  std::vector<std::string> RecordLines(const std::string& part) const;
  /// Returns what the logs say of the runs of the named tasks and jobs: their
  /// starts, and why they were given up.
  std::string LogLinesAbout(const std::set<std::string>& subjects) const;
  /// Lets the folder stay, with the logs in it. To be called while the
  /// deployment exists, which removes its own folder.
  void Keep();

 private:
  std::vector<std::filesystem::path> Logs() const;
  std::filesystem::path SettingsFile(const std::string& process) const;
  QTemporaryDir folder;
};

}  // namespace hemlockdoor::soak
