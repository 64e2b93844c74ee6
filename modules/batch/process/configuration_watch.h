// Keeps the operators' configuration up to date from the store.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "modules/batch/model/configuration.h"
#include "modules/core/core.h"
#include "modules/observe/observe.h"
#include "modules/store/store.h"
#include "modules/wire/wire.h"

namespace hemlockdoor::batch {

/// Watches the store key that holds the operators' configuration. A higher
/// version replaces the active configuration; lower or equal versions and
/// configurations that cannot be decoded are ignored. After an error the key is
/// read and watched again until the store answers.
template <store::KeyValueStore Store>
class ConfigurationWatch {
 public:
  using Decode =
      std::function<core::Expected<Configuration>(const std::string&)>;
  using OnChange = std::function<void(std::shared_ptr<const Configuration>)>;

  ConfigurationWatch(Store& store_adapter,
                     std::string config_key,
                     Decode decoder,
                     OnChange change_handler)
      : adapter(store_adapter),
        key(std::move(config_key)),
        decode(std::move(decoder)),
        on_change(std::move(change_handler)) {
    this->Read();
  }

  /// Returns the active configuration, or nullptr before the first one is read.
  std::shared_ptr<const Configuration> Current() const { return this->current; }

 private:
  static constexpr core::Duration kRetryDelay =
      core::Duration::Milliseconds(250);

  void Read() {
    this->adapter.List(this->key,
                       [this](const core::Expected<store::Listing>& listing) {
                         if (!listing) {
                           this->HandleFailure(listing.error());
                           return;
                         }
                         for (const store::KeyValue& item : listing->items) {
                           if (item.key == this->key) {
                             this->Apply(item.value);
                           }
                         }
                         this->Watch(listing->revision);
                       });
  }

  void Watch(store::ModRevision revision) {
    if (this->watch) {
      this->adapter.CancelWatch(*this->watch);
    }
    this->watch = this->adapter.Watch(
        this->key, revision.Next(),
        [this](const core::Expected<std::vector<store::WatchEvent>>& events) {
          if (!events) {
            this->watch.reset();
            this->HandleFailure(events.error());
            return;
          }
          this->failing = false;
          for (const store::WatchEvent& event : *events) {
            if (event.value && event.key == this->key) {
              this->Apply(*event.value);
            }
          }
        });
  }

  void HandleFailure(const core::Error& error) {
    if (!this->failing) {
      observe::Log(observe::LogLevel::kWarn,
                   "configuration not read or watch lost, trying again: " +
                       error.message,
                   {}, {{"event", "configuration_lost"}});
    }
    this->failing = true;
    wire::RunLater(&this->context, kRetryDelay, [this] { this->Read(); });
  }

  void Apply(const std::string& text) {
    this->failing = false;
    core::Expected<Configuration> decoded = this->decode(text);
    if (!decoded) {
      observe::Log(
          observe::LogLevel::kError,
          "configuration not decoded, ignored: " + decoded.error().message, {},
          {{"event", "configuration_invalid"}});
      return;
    }
    if (this->current && decoded->version <= this->current->version) {
      return;
    }
    observe::Log(observe::LogLevel::kInfo, "configuration applied", {},
                 {{"event", "configuration_applied"},
                  {"version", std::to_string(decoded->version)}});
    this->current = std::make_shared<const Configuration>(std::move(*decoded));
    this->on_change(this->current);
  }

  Store& adapter;
  std::string key;
  Decode decode;
  OnChange on_change;
  std::shared_ptr<const Configuration> current;
  std::optional<store::WatchId> watch;
  bool failing = false;
  QObject context;
};

}  // namespace hemlockdoor::batch
