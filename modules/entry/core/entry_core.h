// The state machine of an entry: events in, commands out.
#pragma once

#include <memory>

#include "modules/core/core.h"
#include "modules/entry/core/commands.h"
#include "modules/entry/core/entry_context.h"
#include "modules/entry/core/events.h"

namespace hemlockdoor::entry {

/// All decisions of one entry. Deterministic for its events; no I/O, no Qt, no
/// clock of its own.
class EntryCore {
 public:
  /// Fails with kInvalidArgument for options that the scheduler refuses.
  static core::Expected<std::unique_ptr<EntryCore>> Create(
      const EntryOptions& options);

  EntryCore(const EntryCore&) = delete;
  EntryCore& operator=(const EntryCore&) = delete;
  ~EntryCore();

  /// Takes an event and tells what is to be done.
  Commands Handle(const Event& event, core::TimePoint now);

  /// Numbers for metrics and tests.
  std::size_t OpenJobs() const;
  std::size_t HeldBytes() const;
  /// Held bytes that cannot be dropped for room.
  std::size_t NeededBytes() const;
  std::uint64_t RecordWrites() const;
  std::uint64_t RecordReads() const;
  bool IsPlanningOwner() const;

 private:
  struct Parts;
  explicit EntryCore(std::unique_ptr<Parts> initial_parts);

  void Dispatch(const Event& event);
  void OnAnnounced(const AgentAnnounced& event);
  void OnTick();
  void OnDrain(const DrainRequested& event);
  void DrainJobs();
  void CheckDrained();

  std::unique_ptr<Parts> parts;
};

}  // namespace hemlockdoor::entry
