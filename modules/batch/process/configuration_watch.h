// Keeps the newest configuration.
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

/// Follows the key that holds the operators' configuration. Only a higher
/// version replaces the one in force; text that cannot be read changes nothing.
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

  /// The configuration in force; nullptr before the first.
  std::shared_ptr<const Configuration> Current() const { return this->current; }

 private:
  static constexpr core::Duration kRetryPause =
      core::Duration::Milliseconds(250);

  void Read() {
    this->adapter.List(this->key,
                       [this](const core::Expected<store::Listing>& listing) {
                         if (!listing) {
                           this->Fail(listing.error());
                           return;
                         }
                         for (const store::KeyValue& item : listing->items) {
                           if (item.key == this->key) {
                             this->Take(item.value);
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
            this->Fail(events.error());
            return;
          }
          this->failing = false;
          for (const store::WatchEvent& event : *events) {
            if (event.value && event.key == this->key) {
              this->Take(*event.value);
            }
          }
        });
  }

  void Fail(const core::Error& error) {
    if (!this->failing) {
      observe::Log(observe::LogLevel::kWarn,
                   "configuration not followed: " + error.message, {},
                   {{"event", "configuration_lost"}});
    }
    this->failing = true;
    wire::RunLater(&this->context, kRetryPause, [this] { this->Read(); });
  }

  void Take(const std::string& text) {
    this->failing = false;
    core::Expected<Configuration> decoded = this->decode(text);
    if (!decoded) {
      observe::Log(observe::LogLevel::kError,
                   "configuration not readable: " + decoded.error().message, {},
                   {{"event", "configuration_invalid"}});
      return;
    }
    if (this->current && decoded->version <= this->current->version) {
      return;
    }
    observe::Log(observe::LogLevel::kInfo, "configuration in force", {},
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
