// The state machine of an entry: events in, commands out.
#pragma once

#include <memory>

#include "modules/core/core.h"
#include "modules/entry/core/commands.h"
#include "modules/entry/core/entry_context.h"
#include "modules/entry/core/events.h"

namespace hemlockdoor::entry {

/// Makes all decisions of one entry. The commands depend only on the events and
/// their times: the class does no I/O, does not use Qt and reads no clock. Not
/// thread-safe.
class EntryCore {
 public:
  /// Creates the state machine. Fails with kInvalidArgument when the scheduler
  /// rejects the options.
  static core::Expected<std::unique_ptr<EntryCore>> Create(
      const EntryOptions& options);

  EntryCore(const EntryCore&) = delete;
  EntryCore& operator=(const EntryCore&) = delete;
  ~EntryCore();

  /// Handles an event that occurred at `now` and returns the commands to run.
  Commands Handle(const Event& event, core::TimePoint now);

  /// Figures for metrics and tests.
  std::size_t OpenJobs() const;
  std::size_t HeldBytes() const;
  /// Bytes of payloads and results that must stay in memory: held bytes without
  /// the results that were delivered already and may be dropped.
  std::size_t UnevictableBytes() const;
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
