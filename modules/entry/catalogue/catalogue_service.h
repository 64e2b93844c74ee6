// Keeps the active catalogue of this process in sync with the store, and edits
// the stored catalogue.
#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "modules/core/core.h"
#include "modules/entry/catalogue/catalogue_layout.h"
#include "modules/model/model.h"
#include "modules/store/port/key_value_store.h"
#include "modules/store/retry/backoff.h"

namespace hemlockdoor::entry {

/// Timeouts, periods and bounds of a catalogue service.
struct CatalogueServiceOptions {
  /// Prefix of the ids of this process's edits; must be unique to one run of
  /// one process.
  std::string edit_id_prefix;
  /// How often the service reads the head besides watching it: a watch whose
  /// connection died silently reports nothing, and every entry must apply an
  /// edit within 10 s.
  core::Duration head_poll_period = core::Duration::Seconds(5);
  /// Initial and maximum delay of the backoff after a failed store call.
  core::Duration first_retry = core::Duration::Milliseconds(100);
  core::Duration longest_retry = core::Duration::Seconds(2);
  /// Time from the call of `Edit` until an undecided edit fails: with kTimeout
  /// if it was sent to the store, otherwise with kUnavailable.
  core::Duration edit_timeout = core::Duration::Seconds(10);
  /// Edits beyond this number are refused with kResourceExhausted.
  std::size_t max_queued_edits = 32;
  /// How long edits are refused after an agent or entry reported a revision
  /// newer than the active one. In this time a process that has the newer
  /// revision can write it back to the store.
  core::Duration write_back_grace = core::Duration::Seconds(30);
  /// Seed of the jitter of the backoff.
  std::uint64_t seed = 1;
};

/// How the stored catalogue relates to the active one, the last catalogue that
/// was passed to `OnChange`.
enum class CatalogueCondition {
  kLoading,      ///< No catalogue has been loaded yet.
  kInSync,       ///< The stored catalogue is the active one.
  kStoreBehind,  ///< The store has an older revision, for example after a
                 ///< restore. The newer catalogue stays active and is written
                 ///< back.
  kDiverged,     ///< The stored head differs from the active one at the same
                 ///< revision.
  kUnreadable,   ///< The stored catalogue is malformed; the last valid one
                 ///< stays active.
};

/// State of a catalogue service, for readiness and metrics.
struct CatalogueStatus {
  CatalogueCondition condition = CatalogueCondition::kLoading;
  /// Whether the last store call succeeded.
  bool store_reachable = false;
  /// Human-readable description of the problem, one line; empty when the
  /// condition is kLoading or kInSync.
  std::string text;
};

/// Adds one entry, or replaces the entry of the same name.
struct PutCatalogueEntry {
  model::CatalogueEntry entry;
};
/// Deletes one entry; kNotFound when the catalogue has no such entry.
struct DeleteCatalogueEntry {
  core::CatalogueEntryName name;
};
/// Replaces all entries and operator tokens; the revision of `catalogue` is
/// ignored.
struct ReplaceCatalogue {
  model::Catalogue catalogue;
};
using CatalogueChange =
    std::variant<PutCatalogueEntry, DeleteCatalogueEntry, ReplaceCatalogue>;

/// Returns `base` with `change` applied. kNotFound when the entry to delete
/// does not exist; the error of `model::CheckCatalogue` when the result is
/// invalid.
core::Expected<model::Catalogue> ChangedCatalogue(
    const model::Catalogue& base,
    const CatalogueChange& change);

/// Loads, watches and edits the stored catalogue. All calls and callbacks run
/// on the thread that owns the store; the clock advances only in `Tick`. The
/// active catalogue is replaced only by one of a higher revision.
template <store::KeyValueStore Store>
class CatalogueService {
 public:
  using OnChange = std::function<void(const model::Catalogue&)>;
  using Check = std::function<core::Expected<void>(const model::Catalogue&)>;
  /// Gets the new revision once the edit is durable. Errors: kConflict (another
  /// edit came first, or `expected` is not the active revision), kUnavailable
  /// (nothing was written), kTimeout (the edit may have taken effect, or may
  /// still do so), kResourceExhausted (too many queued edits), or the error of
  /// a check.
  using EditCallback =
      std::function<void(core::Expected<core::CatalogueRevision>)>;

  /// `change_callback` gets each catalogue that becomes active, including the
  /// first one. `edit_check` gets the edited catalogue before it is written;
  /// its error refuses the edit.
  CatalogueService(Store& catalogue_store,
                   CatalogueServiceOptions service_options,
                   OnChange change_callback,
                   Check edit_check)
      : store(catalogue_store),
        options(std::move(service_options)),
        on_change(std::move(change_callback)),
        check(std::move(edit_check)),
        retry(this->options.first_retry,
              this->options.longest_retry,
              this->options.seed) {}

  ~CatalogueService() { this->StopWatching(); }
  CatalogueService(const CatalogueService&) = delete;
  CatalogueService& operator=(const CatalogueService&) = delete;

  /// Advances the clock; fails overdue edits, and starts the store call that is
  /// due: a load, a poll of the head, or the retry of an edit. Call at least
  /// every 200 ms.
  void Tick(core::TimePoint time_now) {
    this->now = std::max(this->now, time_now);
    this->EndOverdueEdits();
    if (this->call_in_flight) {
      return;
    }
    if (this->edit_in_progress && this->now >= this->edit_due) {
      this->ListForEdit();
    } else if (!this->edit_in_progress && this->now >= this->reload_due) {
      this->Reload();
    } else if (!this->edit_in_progress && this->now >= this->poll_due) {
      this->PollHead();
    }
  }

  /// Queues an edit of the catalogue at revision `expected`. `done` runs once,
  /// possibly before `Edit` returns.
  void Edit(CatalogueChange change,
            core::CatalogueRevision expected,
            EditCallback done) {
    if (this->queued_edits.size() >= this->options.max_queued_edits) {
      done(core::MakeError(core::ErrorCode::kResourceExhausted,
                           "too many catalogue edits are queued (limit " +
                               std::to_string(this->options.max_queued_edits) +
                               "); try again later"));
      return;
    }
    PendingEdit edit;
    edit.id =
        this->options.edit_id_prefix + "-" + std::to_string(++this->last_edit);
    edit.change = std::move(change);
    edit.expected = expected;
    edit.done = std::move(done);
    edit.deadline = this->now + this->options.edit_timeout;
    this->queued_edits.push_back(std::move(edit));
    this->StartNextEdit();
  }

  /// Records a catalogue revision that an agent or another entry reported. A
  /// revision newer than the active one triggers a reload.
  void NoteReportedRevision(core::CatalogueRevision revision) {
    if (revision <= this->highest_reported_revision) {
      return;
    }
    this->highest_reported_revision = revision;
    if (this->IsOlderThanReported()) {
      this->newer_reported_at = this->now;
      this->reload_due = this->now;
    }
  }

  /// Returns the active catalogue, or null before the first load.
  const model::Catalogue* Current() const {
    return this->active_catalogue ? &*this->active_catalogue : nullptr;
  }
  const CatalogueStatus& Status() const { return this->status; }

 private:
  struct PendingEdit {
    std::string id;
    CatalogueChange change;
    core::CatalogueRevision expected;
    EditCallback done;
    core::TimePoint deadline;
    /// The edited catalogue; set together with the fields below just before the
    /// edit is sent to the store.
    std::optional<model::Catalogue> candidate;
    CatalogueHead candidate_head;
    store::Transaction transaction;
    store::ModRevision base_mod_revision;
    core::CatalogueRevision base_revision;
  };

  /// Wraps a callback so that it does not run after the service is destroyed.
  template <typename T>
  store::Callback<T> Guarded(store::Callback<T> callback) {
    return [guard = std::weak_ptr<bool>(this->alive),
            inner = std::move(callback)](core::Expected<T> outcome) {
      if (!guard.expired()) {
        inner(std::move(outcome));
      }
    };
  }

  void List(store::Callback<store::Listing> done) {
    this->call_in_flight = true;
    const std::uint64_t activations_before = this->activation_count;
    this->store.List(
        kCataloguePrefix,
        this->Guarded<store::Listing>(
            [this, activations_before, callback = std::move(done)](
                core::Expected<store::Listing> listing) {
              this->call_in_flight = false;
              this->SetStoreReachable(listing.has_value());
              // A newer catalogue became active while the store
              // was read. Read again, since this listing would
              // look like a store that lost revisions.
              if (listing && activations_before != this->activation_count) {
                this->List(callback);
                return;
              }
              callback(std::move(listing));
            }));
  }

  void Reload() {
    this->List([this](core::Expected<store::Listing> listing) {
      if (!listing) {
        this->reload_due = this->now + this->retry.Next();
        return;
      }
      this->ApplyListing(*listing);
      this->StartNextEdit();
    });
  }

  void ApplyListing(const store::Listing& listing) {
    this->retry.Reset();
    this->reload_due = kNever;
    this->poll_due = this->now + this->options.head_poll_period;
    this->stored = StoredCatalogue::FromListing(listing);
    if (!this->watch) {
      this->StartWatching();
    }
    this->CompareWithStored();
  }

  void PollHead() {
    this->call_in_flight = true;
    this->poll_due = this->now + this->options.head_poll_period;
    this->store.Get(
        kCatalogueHeadKey,
        this->Guarded<std::optional<store::KeyValue>>(
            [this](core::Expected<std::optional<store::KeyValue>> head) {
              this->call_in_flight = false;
              this->SetStoreReachable(head.has_value());
              const store::ModRevision seen =
                  head && *head ? (*head)->mod_revision : store::ModRevision();
              if (head && seen != this->stored.head_mod_revision) {
                this->reload_due = this->now;
              }
              this->StartNextEdit();
            }));
  }

  void StartWatching() {
    this->watch = this->store.Watch(
        kCataloguePrefix, this->stored.store_revision.Next(),
        this->Guarded<std::vector<store::WatchEvent>>(
            [this](core::Expected<std::vector<store::WatchEvent>> events) {
              this->OnEvents(events);
            }));
  }

  void StopWatching() {
    if (this->watch) {
      this->store.CancelWatch(*this->watch);
      this->watch.reset();
    }
  }

  void OnEvents(const core::Expected<std::vector<store::WatchEvent>>& events) {
    if (!events) {
      this->watch.reset();
      this->reload_due = this->now + this->retry.Next();
      return;
    }
    if (this->stored.Apply(*events)) {
      this->CompareWithStored();
    }
  }

  /// Compares the stored catalogue with the active one: activates a newer one,
  /// writes the active one back over an older one, and sets the condition.
  void CompareWithStored() {
    const core::Expected<CatalogueHead> head = DecodeHead(this->stored);
    if (!head) {
      this->SetCondition(CatalogueCondition::kUnreadable,
                         head.error().path + ": " + head.error().message);
      return;
    }
    if (this->active_catalogue &&
        head->revision < this->active_catalogue->revision) {
      this->SetCondition(
          CatalogueCondition::kStoreBehind,
          "store has catalogue revision " +
              std::to_string(head->revision.Number()) +
              ", older than revision " +
              std::to_string(this->active_catalogue->revision.Number()) +
              ", the active one, which is being written back");
      this->WriteBack();
      return;
    }
    if (this->active_catalogue &&
        head->revision == this->active_catalogue->revision) {
      const bool same = *head == this->active_head;
      this->SetCondition(
          same ? CatalogueCondition::kInSync : CatalogueCondition::kDiverged,
          same ? ""
               : "store has a different catalogue at the active revision " +
                     std::to_string(head->revision.Number()));
      return;
    }
    core::Expected<model::Catalogue> catalogue =
        DecodeCatalogue(this->stored, *head);
    if (!catalogue) {
      this->SetCondition(
          CatalogueCondition::kUnreadable,
          catalogue.error().path + ": " + catalogue.error().message);
      return;
    }
    this->Activate(std::move(*catalogue), *head);
  }

  void Activate(model::Catalogue catalogue, const CatalogueHead& head) {
    ++this->activation_count;
    this->active_catalogue = std::move(catalogue);
    this->active_head = head;
    this->SetCondition(CatalogueCondition::kInSync, "");
    this->on_change(*this->active_catalogue);
  }

  void WriteBack() {
    if (this->call_in_flight) {
      this->reload_due = this->now;
      return;
    }
    const core::Expected<store::Transaction> transaction =
        MakeCatalogueTransaction(this->stored, *this->active_catalogue,
                                 this->active_head);
    if (!transaction) {
      this->SetCondition(
          CatalogueCondition::kStoreBehind,
          "cannot write the newer catalogue back: " + transaction.error().path +
              ": " + transaction.error().message);
      return;
    }
    this->call_in_flight = true;
    this->store.Commit(
        *transaction,
        this->Guarded<store::TransactionResult>(
            [this](const core::Expected<store::TransactionResult>&) {
              this->call_in_flight = false;
              // The reload shows whether the write took effect; the answer may
              // have been lost.
              this->reload_due = this->now + this->retry.Next();
            }));
  }

  void StartNextEdit() {
    if (this->call_in_flight || this->edit_in_progress ||
        this->queued_edits.empty()) {
      return;
    }
    this->edit_in_progress = std::move(this->queued_edits.front());
    this->queued_edits.pop_front();
    this->ListForEdit();
  }

  /// Reads the stored catalogue before an edit is sent, and again while the
  /// outcome of a sent edit is unknown.
  void ListForEdit() {
    this->edit_due = kNever;
    this->List([this](core::Expected<store::Listing> listing) {
      if (!listing) {
        this->OnEditReadFailed(listing.error());
        return;
      }
      this->ApplyListing(*listing);
      if (!this->edit_in_progress) {
        this->StartNextEdit();
      } else if (this->edit_in_progress->candidate && this->call_in_flight) {
        // ApplyListing has started a write-back to an older store, which must
        // end first.
        this->edit_due = this->now + this->retry.Next();
      } else if (this->edit_in_progress->candidate) {
        this->ResolveEdit();
      } else {
        this->PrepareEdit();
      }
    });
  }

  void OnEditReadFailed(const core::Error& error) {
    if (!this->edit_in_progress) {
      this->StartNextEdit();
      return;
    }
    if (this->edit_in_progress->candidate) {
      this->edit_due = this->now + this->retry.Next();
      return;
    }
    this->EndEdit(core::MakeError(core::ErrorCode::kUnavailable,
                                  "the store is unavailable and the "
                                  "catalogue is unchanged: " +
                                      error.message));
  }

  void PrepareEdit() {
    PendingEdit& edit = *this->edit_in_progress;
    if (this->status.condition != CatalogueCondition::kInSync) {
      this->EndEdit(core::MakeError(
          core::ErrorCode::kUnavailable,
          "the catalogue cannot be edited now: " + this->status.text));
      return;
    }
    if (this->IsOlderThanReported() &&
        this->now < this->newer_reported_at + this->options.write_back_grace) {
      this->EndEdit(core::MakeError(
          core::ErrorCode::kUnavailable,
          "an agent or entry has catalogue revision " +
              std::to_string(this->highest_reported_revision.Number()) +
              ", newer than revision " +
              std::to_string(this->active_catalogue->revision.Number()) +
              " in the store; try again later"));
      return;
    }
    if (this->active_catalogue->revision != edit.expected) {
      this->EndEdit(core::MakeError(
          core::ErrorCode::kConflict,
          "the catalogue has revision " +
              std::to_string(this->active_catalogue->revision.Number()) +
              ", not " + std::to_string(edit.expected.Number())));
      return;
    }
    core::Expected<model::Catalogue> candidate = this->CheckedCandidate(edit);
    if (!candidate) {
      this->EndEdit(tl::unexpected<core::Error>(candidate.error()));
      return;
    }
    candidate->revision = std::max(this->active_catalogue->revision,
                                   this->highest_reported_revision)
                              .Next();
    edit.candidate_head =
        this->active_head.WithEdit({edit.id, candidate->revision});
    edit.base_mod_revision = this->stored.head_mod_revision;
    edit.base_revision = this->active_catalogue->revision;
    core::Expected<store::Transaction> transaction =
        MakeCatalogueTransaction(this->stored, *candidate, edit.candidate_head);
    if (!transaction) {
      this->EndEdit(tl::unexpected<core::Error>(transaction.error()));
      return;
    }
    edit.transaction = std::move(*transaction);
    edit.candidate = std::move(*candidate);
    this->SendEdit();
  }

  core::Expected<model::Catalogue> CheckedCandidate(const PendingEdit& edit) {
    core::Expected<model::Catalogue> candidate =
        ChangedCatalogue(*this->active_catalogue, edit.change);
    if (!candidate) {
      return candidate;
    }
    if (core::Expected<void> checked = this->check(*candidate); !checked) {
      return tl::unexpected<core::Error>(checked.error());
    }
    return candidate;
  }

  void SendEdit() {
    this->call_in_flight = true;
    this->store.Commit(
        this->edit_in_progress->transaction,
        this->Guarded<store::TransactionResult>(
            [this](core::Expected<store::TransactionResult> result) {
              this->call_in_flight = false;
              this->SetStoreReachable(result.has_value());
              if (this->edit_in_progress) {
                this->OnEditAnswer(result);
              } else {
                this->reload_due = this->now;
              }
            }));
  }

  void OnEditAnswer(const core::Expected<store::TransactionResult>& result) {
    if (!result && result.error().code == core::ErrorCode::kTimeout) {
      this->edit_due = this->now + this->retry.Next();
      return;
    }
    if (!result) {
      this->EndEdit(tl::unexpected<core::Error>(result.error()));
      return;
    }
    if (!result->succeeded) {
      // The head has changed, perhaps by an earlier attempt of this edit whose
      // answer was lost.
      this->edit_due = this->now;
      return;
    }
    PendingEdit& edit = *this->edit_in_progress;
    const core::CatalogueRevision revision = edit.candidate->revision;
    if (revision > this->active_catalogue->revision) {
      this->stored.values = EncodeCatalogue(*edit.candidate);
      this->stored.values[kCatalogueHeadKey] = EncodeHead(edit.candidate_head);
      this->stored.head_mod_revision = result->revision;
      this->stored.store_revision = result->revision;
      this->Activate(std::move(*edit.candidate), edit.candidate_head);
    }
    this->EndEdit(revision);
  }

  /// Determines from the edit ids in the head whether a sent edit took effect.
  /// Sends the edit again if the head is unchanged.
  void ResolveEdit() {
    const PendingEdit& edit = *this->edit_in_progress;
    const core::Expected<CatalogueHead> head = DecodeHead(this->stored);
    if (!head) {
      this->edit_due = this->now + this->retry.Next();
      return;
    }
    if (const CatalogueEdit* made = head->FindEdit(edit.id)) {
      this->EndEdit(made->revision);
    } else if (this->stored.head_mod_revision == edit.base_mod_revision) {
      // Sending again is safe: the transaction compares the head, so it takes
      // effect at most once.
      this->SendEdit();
    } else if (head->ListsAllEditsAfter(edit.base_revision)) {
      this->EndEdit(core::MakeError(core::ErrorCode::kConflict,
                                    "another edit was made first"));
    } else {
      this->EndEdit(core::MakeError(
          core::ErrorCode::kTimeout,
          "the outcome of the edit is unknown, since more than " +
              std::to_string(kMaxRecentEdits) +
              " edits followed; read the catalogue"));
    }
  }

  void EndOverdueEdits() {
    if (this->edit_in_progress &&
        this->now >= this->edit_in_progress->deadline) {
      const bool sent = this->edit_in_progress->candidate.has_value();
      this->EndEdit(
          sent ? core::MakeError(
                     core::ErrorCode::kTimeout,
                     "the store did not answer within " +
                         std::to_string(
                             this->options.edit_timeout.InMilliseconds()) +
                         " ms" +
                         "; the edit may have taken effect; read "
                         "the catalogue")
               : core::MakeError(
                     core::ErrorCode::kUnavailable,
                     "the store did not answer within " +
                         std::to_string(
                             this->options.edit_timeout.InMilliseconds()) +
                         " ms" + "; the catalogue is unchanged"));
    }
    while (!this->queued_edits.empty() &&
           this->now >= this->queued_edits.front().deadline) {
      const EditCallback done = std::move(this->queued_edits.front().done);
      this->queued_edits.pop_front();
      done(core::MakeError(
          core::ErrorCode::kUnavailable,
          "the edit waited " +
              std::to_string(this->options.edit_timeout.InMilliseconds()) +
              " ms" + " behind other edits and was not started"));
    }
  }

  void EndEdit(core::Expected<core::CatalogueRevision> outcome) {
    const EditCallback done = std::move(this->edit_in_progress->done);
    this->edit_in_progress.reset();
    this->edit_due = kNever;
    done(std::move(outcome));
    this->StartNextEdit();
  }

  bool IsOlderThanReported() const {
    return !this->active_catalogue ||
           this->highest_reported_revision > this->active_catalogue->revision;
  }

  void SetStoreReachable(bool reachable) {
    this->status.store_reachable = reachable;
  }

  void SetCondition(CatalogueCondition condition, std::string text) {
    this->status.condition = condition;
    this->status.text = std::move(text);
  }

  static constexpr core::TimePoint kNever =
      core::TimePoint::FromMilliseconds(INT64_MAX);

  Store& store;
  CatalogueServiceOptions options;
  OnChange on_change;
  Check check;
  store::Backoff retry;
  core::TimePoint now;
  core::TimePoint reload_due;
  core::TimePoint poll_due = kNever;
  core::TimePoint edit_due = kNever;
  /// Whether a read or write of the store is in flight. There is at most one at
  /// a time, besides the watch.
  bool call_in_flight = false;
  std::optional<store::WatchId> watch;
  StoredCatalogue stored;
  std::optional<model::Catalogue> active_catalogue;
  CatalogueHead active_head;
  std::uint64_t activation_count = 0;
  /// Highest revision that an agent or entry reported, and when it became newer
  /// than the active one.
  core::CatalogueRevision highest_reported_revision;
  core::TimePoint newer_reported_at;
  std::deque<PendingEdit> queued_edits;
  std::optional<PendingEdit> edit_in_progress;
  std::uint64_t last_edit = 0;
  CatalogueStatus status;
  /// Expires with the service; see `Guarded`.
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace hemlockdoor::entry
