// Operator requests about the catalogue and the workers.
#pragma once

#include "modules/core/core.h"
#include "modules/entry/core/entry_context.h"

namespace hemlockdoor::entry {

/// Largest number of agents that are notified of a new revision by separate
/// calls. Above it, the answers to the announcements carry the revision to the
/// agents within 1 s, and an edit causes no burst of calls.
inline constexpr std::size_t kMaxRevisionNotifications = 256;

/// Answers the operator API.
class OperatorService {
 public:
  explicit OperatorService(EntryContext& shared) : context(shared) {}

  void OnQuery(const OperatorQuery& event);
  void OnReadCatalogue(const ReadCatalogue& event);
  /// Checks an edit against the current catalogue and the announced workers,
  /// and requests its write when it is valid. An edit with `check_only` is only
  /// checked.
  void OnEditCatalogue(const EditCatalogue& event);
  void OnDrainWorker(const DrainWorker& event);
  /// Applies a catalogue that is newer than the current one and notifies the
  /// agents.
  void OnCatalogueChanged(const CatalogueChanged& event);
  /// Handles a catalogue revision that an agent announced. When it is newer
  /// than the current catalogue, the catalogue is read again.
  void OnRevisionSeen(core::CatalogueRevision seen);

 private:
  wire::HttpResponse WorkersDocument() const;
  wire::HttpResponse ReservationsDocument() const;
  wire::HttpResponse QuarantineDocument() const;
  void NotifyAgents();

  EntryContext& context;
};

/// Returns the response to a finished edit.
wire::HttpResponse MakeEditResponse(
    const core::Expected<core::CatalogueRevision>& outcome);

}  // namespace hemlockdoor::entry
