// Runs the store stand-in as a process of its own, for tests.
#pragma once

#include <QProcess>
#include <QTemporaryDir>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

#include "modules/wire/wire.h"

namespace hemlockdoor::testing {

/// Starts `store_standin` from the folder named by HEMLOCKDOOR_BIN, and ends
/// it on destruction. Throws std::runtime_error when it does not start.
class StoreStandinProcess {
 public:
  /// Port 0: the kernel chooses.
  explicit StoreStandinProcess(std::uint16_t fixed_port = 0);
  ~StoreStandinProcess();
  StoreStandinProcess(const StoreStandinProcess&) = delete;
  StoreStandinProcess& operator=(const StoreStandinProcess&) = delete;

  wire::Endpoint Endpoint() const { return {"127.0.0.1", this->port}; }
  /// Sets faults (`POST /control`); waits for the answer.
  void Control(const nlohmann::json& order);
  /// Calls so far by kind (`GET /control/counts`).
  nlohmann::json Counts();

 private:
  std::string Exchange(const wire::HttpCall& call);

  QTemporaryDir folder;
  QProcess process;
  std::uint16_t port = 0;
  wire::HttpClient client;
};

}  // namespace hemlockdoor::testing
