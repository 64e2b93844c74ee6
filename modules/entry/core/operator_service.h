// Requests of operators about the catalogue and the workers.
#pragma once

#include "modules/core/core.h"
#include "modules/entry/core/entry_context.h"

namespace hemlockdoor::entry {

/// Most agents that are told of a new revision at once. With more, the answers
/// to their announcements tell them within 1 s, and an edit costs no burst of
/// calls.
inline constexpr std::size_t kMaxRevisionCalls = 256;

/// Answers the operator API.
class OperatorService {
 public:
  explicit OperatorService(EntryContext& shared) : context(shared) {}

  void OnQuery(const OperatorQuery& event);
  void OnReadCatalogue(const ReadCatalogue& event);
  /// Checks an edit against the catalogue in force and the announced workers,
  /// then has it written.
  void OnEditCatalogue(const EditCatalogue& event);
  void OnDrainWorker(const DrainWorker& event);
  /// Takes a newer catalogue into force here and tells the agents.
  void OnCatalogueChanged(const CatalogueChanged& event);
  /// An agent named a revision; the catalogue is read again when it is newer.
  void OnRevisionSeen(core::CatalogueRevision seen);

 private:
  wire::HttpResponse WorkersDocument() const;
  wire::HttpResponse ReservationsDocument() const;
  wire::HttpResponse QuarantineDocument() const;
  void NotifyAgents();

  EntryContext& context;
};

/// The answer to an edit that ended.
wire::HttpResponse MakeEditResponse(
    const core::Expected<core::CatalogueRevision>& outcome);

}  // namespace hemlockdoor::entry
