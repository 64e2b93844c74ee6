// State of an agent's upstream, from its announcements and its answers.
#pragma once

#include <optional>

#include "modules/core/core.h"
#include "modules/model/model.h"

namespace hemlockdoor::agent {

/// Tracks the announcements of the upstream and the outcomes of calls to it.
/// New tasks may start only while the announcement is not older than
/// `kUpstreamLease` and the upstream is reconciled: its last task listing
/// showed no task that the agent must stop as unknown or as a gang task of an
/// earlier agent process, and since then no two calls in a row have failed.
class UpstreamLink {
 public:
  /// Records an announcement: the shape, and the instance id that the upstream
  /// draws at its start.
  void OnAnnounced(const model::WorkerShape& announced,
                   const std::string& announced_instance,
                   core::TimePoint now);
  /// Records that the upstream accepts no more tasks, until it announces again.
  void OnWithdrawn(core::TimePoint now);
  /// Records whether the upstream answered a call. After two failures in a row
  /// the upstream must be reconciled again before new tasks may start.
  void OnCall(bool answered, core::TimePoint now);
  /// Records whether the upstream is reconciled.
  void SetReconciled(bool is_reconciled);

  /// Returns true while the announcement is not withdrawn and not older than
  /// `kUpstreamLease`.
  bool IsAnnounced(core::TimePoint now) const;
  /// Returns true when new tasks may start.
  bool IsReady(core::TimePoint now) const;
  /// Returns true when the upstream has neither announced, withdrawn nor
  /// answered for longer than `kUpstreamLease`.
  bool IsLost(core::TimePoint now) const;
  /// Returns true once the upstream has been reconciled since this process
  /// started.
  bool WasReconciled() const { return this->was_reconciled; }
  bool IsReconciled() const { return this->reconciled; }
  const std::optional<model::WorkerShape>& Shape() const { return this->shape; }
  /// Returns the instance id of the last announcement, which differs after a
  /// restart of the upstream; empty when the upstream announces none.
  const std::string& Instance() const { return this->instance; }

  /// An upstream without contact for longer than this is lost, and its tasks
  /// are ended.
  static constexpr core::Duration kUpstreamLease = core::Duration::Seconds(3);

 private:
  std::optional<model::WorkerShape> shape;
  std::string instance;
  core::TimePoint announced_at;
  core::TimePoint last_contact;
  bool withdrawn = false;
  int failures = 0;
  bool reconciled = false;
  bool was_reconciled = false;
};

}  // namespace hemlockdoor::agent
