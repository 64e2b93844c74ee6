// What the agent knows of the connection to its upstream.
#pragma once

#include <optional>

#include "modules/core/core.h"
#include "modules/model/model.h"

namespace hemlockdoor::agent {

/// Tracks announcements and calls. An upstream takes new work only while its
/// announcement is fresh, its calls succeed, and what runs on it is known.
class UpstreamLink {
 public:
  void OnAnnounced(const model::WorkerShape& announced,
                   const std::string& announced_instance,
                   core::TimePoint now);
  void OnWithdrawn(core::TimePoint now);
  /// Records the outcome of a call to the upstream. After two failures in a
  /// row, what runs there must be listed again before new work.
  void OnCall(bool answered, core::TimePoint now);
  /// Records that what runs there is known, or no longer is.
  void SetReconciled(bool known);

  /// True while the announcement is not withdrawn and not older than
  /// `kUpstreamLease`.
  bool IsAnnounced(core::TimePoint now) const;
  /// True when new work may start.
  bool IsReady(core::TimePoint now) const;
  /// True when nothing was heard, by announcement or answer, for
  /// `kUpstreamLease`.
  bool IsLost(core::TimePoint now) const;
  /// True once a listing has been processed since the process started.
  bool WasReconciled() const { return this->was_reconciled; }
  bool IsReconciled() const { return this->reconciled; }
  const std::optional<model::WorkerShape>& Shape() const { return this->shape; }
  /// The upstream's process as last announced; empty when it names none.
  const std::string& Instance() const { return this->instance; }

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
