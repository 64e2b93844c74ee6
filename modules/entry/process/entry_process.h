// The entry process: threads, inboxes and sockets around the state machine
// EntryCore.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>

#include "modules/core/core.h"
#include "modules/settings/settings.h"

namespace hemlockdoor::entry {

/// A running entry. It has five threads: HTTP server, state machine, short
/// calls to peers, calls and requests that carry large payloads, and store.
class EntryProcess {
 public:
  /// Listens and starts all threads. `on_stopped` runs on a thread of the entry
  /// when a drain is complete. Fails with kUnavailable when the port is in use,
  /// and with kInvalidArgument for invalid settings.
  static core::Expected<std::unique_ptr<EntryProcess>> Create(
      settings::EntrySettings settings,
      std::function<void()> on_stopped);

  ~EntryProcess();
  EntryProcess(const EntryProcess&) = delete;
  EntryProcess& operator=(const EntryProcess&) = delete;

  /// The port that the HTTP server listens on.
  std::uint16_t Port() const;
  /// Starts to drain the entry and returns at once. Further calls do nothing.
  void BeginDrain();

 private:
  class Impl;
  explicit EntryProcess(std::unique_ptr<Impl> initial_impl);
  std::unique_ptr<Impl> impl;
};

}  // namespace hemlockdoor::entry
