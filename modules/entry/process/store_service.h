// Runs the state machine's store calls and the catalogue on the store thread.
#pragma once

#include <QTimer>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>

#include "modules/core/core.h"
#include "modules/entry/catalogue/catalogue_service.h"
#include "modules/entry/core/commands.h"
#include "modules/entry/core/operator_service.h"
#include "modules/entry/process/store_runner.h"
#include "modules/observe/observe.h"

namespace hemlockdoor::entry {

/// A message of the state machine to the store thread.
using StoreMessage = std::variant<StoreCall, WriteCatalogueEdit, NoteRevision>;

/// Receivers of outcomes; called on the store thread.
struct StoreServiceCallbacks {
  std::function<void(Event)> on_event;
  std::function<void(Answer)> on_answer;
  std::function<void(std::shared_ptr<const model::Catalogue>)> on_catalogue;
};

/// Parameters of a store service.
struct StoreServiceOptions {
  std::string edit_id_prefix;
  /// Written when the store has no catalogue yet.
  std::optional<model::Catalogue> initial;
  std::uint64_t seed = 1;
};

/// Owns a store adapter and the catalogue service that uses it. Used only on
/// the store thread.
template <store::KeyValueStore Store>
class StoreService {
 public:
  StoreService(std::unique_ptr<Store> store_adapter,
               StoreServiceOptions store_options,
               StoreServiceCallbacks service_callbacks)
      : adapter(std::move(store_adapter)),
        options(std::move(store_options)),
        callbacks(std::move(service_callbacks)),
        catalogue(
            *this->adapter,
            MakeServiceOptions(this->options),
            [this](const model::Catalogue& changed) {
              this->OnCatalogue(changed);
            },
            [](const model::Catalogue& candidate) {
              return model::CheckCatalogue(candidate);
            }) {
    QObject::connect(&this->timer, &QTimer::timeout, [this] { this->Tick(); });
    this->timer.start(kTickMs);
    this->Tick();
  }

  void Handle(StoreMessage message) {
    if (const auto* call = std::get_if<StoreCall>(&message)) {
      RunStoreCall(*this->adapter, *call, this->callbacks.on_event);
    } else if (auto* edit = std::get_if<WriteCatalogueEdit>(&message)) {
      const RequestId request = edit->edit.request;
      this->catalogue.Edit(
          std::move(edit->edit.change), edit->edit.if_match,
          [this,
           request](const core::Expected<core::CatalogueRevision>& outcome) {
            this->callbacks.on_answer({request, MakeEditResponse(outcome)});
          });
    } else {
      this->catalogue.NoteReportedRevision(
          std::get<NoteRevision>(message).revision);
    }
  }

 private:
  static constexpr int kTickMs = 100;
  static constexpr core::Duration kInitialRetryPeriod =
      core::Duration::Seconds(1);

  static CatalogueServiceOptions MakeServiceOptions(
      const StoreServiceOptions& store_options) {
    CatalogueServiceOptions service_options;
    service_options.edit_id_prefix = store_options.edit_id_prefix;
    service_options.seed = store_options.seed;
    return service_options;
  }

  void OnCatalogue(const model::Catalogue& changed) {
    // Revision 0 means that the store has no catalogue yet; the entry is not
    // ready then.
    if (changed.revision != core::CatalogueRevision()) {
      this->callbacks.on_catalogue(
          std::make_shared<const model::Catalogue>(changed));
    }
  }

  void Tick() {
    const core::TimePoint now = core::Clock::Now();
    this->catalogue.Tick(now);
    this->LogCondition();
    const model::Catalogue* current = this->catalogue.Current();
    const bool empty =
        current != nullptr && current->revision == core::CatalogueRevision();
    if (!empty || !this->options.initial || now < this->initial_retry_due) {
      return;
    }
    // Several entries may try at once; the compare on the head lets only the
    // first succeed.
    this->initial_retry_due = now + kInitialRetryPeriod;
    this->catalogue.Edit(
        ReplaceCatalogue{*this->options.initial}, core::CatalogueRevision(),
        [](const core::Expected<core::CatalogueRevision>& outcome) {
          if (outcome) {
            observe::Log(observe::LogLevel::kInfo,
                         "stored the initial catalogue");
          }
        });
  }

  void LogCondition() {
    const CatalogueStatus& status = this->catalogue.Status();
    if (status.text != this->logged_text) {
      this->logged_text = status.text;
      observe::Log(observe::LogLevel::kWarn,
                   status.text.empty()
                       ? "the catalogue is in sync with the store"
                       : status.text);
    }
  }

  std::unique_ptr<Store> adapter;
  StoreServiceOptions options;
  StoreServiceCallbacks callbacks;
  CatalogueService<Store> catalogue;
  QTimer timer;
  core::TimePoint initial_retry_due;
  std::string logged_text;
};

}  // namespace hemlockdoor::entry
