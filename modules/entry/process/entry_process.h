// The process impl of an entry: threads, rings and sockets around EntryCore.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>

#include "modules/core/core.h"
#include "modules/settings/settings.h"

namespace hemlockdoor::entry {

/// A running entry. Each duty has its own thread: HTTP server, state machine,
/// short calls to peers, calls that carry payloads, store.
class EntryProcess {
 public:
  /// Listens and starts all threads. `on_stopped` runs once, on a thread of the
  /// entry, when a drain is complete. Fails with kUnavailable when the port is
  /// taken, with kInvalidArgument for settings that cannot be used.
  static core::Expected<std::unique_ptr<EntryProcess>> Create(
      settings::EntrySettings settings,
      std::function<void()> on_stopped);

  ~EntryProcess();
  EntryProcess(const EntryProcess&) = delete;
  EntryProcess& operator=(const EntryProcess&) = delete;

  /// The port it listens on.
  std::uint16_t Port() const;
  /// Starts a graceful stop; returns at once. Further calls do nothing.
  void BeginDrain();

 private:
  class Impl;
  explicit EntryProcess(std::unique_ptr<Impl> initial_impl);
  std::unique_ptr<Impl> impl;
};

}  // namespace hemlockdoor::entry
