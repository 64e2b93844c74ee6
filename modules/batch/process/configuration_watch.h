// Keeps the operators' configuration up to date from the store.
#pragma once

#include <QTimer>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

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
    QObject::connect(&this->timer, &QTimer::timeout,
                     [this] { this->OnTick(core::Clock::Now()); });
    this->timer.start(kTickMs);
    this->Read();
  }

  /// Detects that this process was paused, which a long time since the previous
  /// call shows. The configuration may have changed meanwhile, so it is read
  /// again. The timer calls this; a request that is the first event after a
  /// pause calls it through `WhenConfirmed`.
  void OnTick(core::TimePoint now) {
    const bool was_paused =
        this->last_tick && now >= *this->last_tick + kPauseThreshold;
    this->last_tick = now;
    if (!was_paused || this->unconfirmed || !this->current) {
      return;
    }
    observe::Log(observe::LogLevel::kWarn,
                 "process was paused; reading the configuration again", {},
                 {{"event", "configuration_unconfirmed"},
                  {"version", std::to_string(this->current->version)}});
    this->unconfirmed = true;
    this->Read();
    wire::RunLater(&this->context, kMaxUnconfirmed,
                   [this] { this->Confirm(); });
  }

  /// Calls `use` at once, or after a pause of this process once the
  /// configuration has been read again, so that no key that was withdrawn
  /// meanwhile is accepted. If the store does not answer, the configuration is
  /// used as it is after `kMaxUnconfirmed`.
  void WhenConfirmed(core::TimePoint now, std::function<void()> use) {
    this->OnTick(now);
    if (this->unconfirmed) {
      this->waiting.push_back(std::move(use));
    } else {
      use();
    }
  }

  /// Returns the active configuration, or nullptr before the first one is read.
  std::shared_ptr<const Configuration> Current() const { return this->current; }

 private:
  static constexpr core::Duration kRetryDelay =
      core::Duration::Milliseconds(250);
  static constexpr int kTickMs = 200;
  /// A process without an event for this long was paused. Longer than a slow
  /// machine needs for the work between two ticks.
  static constexpr core::Duration kPauseThreshold =
      core::Duration::Milliseconds(1500);
  static constexpr core::Duration kMaxUnconfirmed =
      core::Duration::Milliseconds(1000);

  void Confirm() {
    this->unconfirmed = false;
    for (const std::function<void()>& use : std::exchange(this->waiting, {})) {
      use();
    }
  }

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
                         this->Confirm();
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
  std::optional<core::TimePoint> last_tick;
  /// The configuration has not been read since a pause of this process.
  bool unconfirmed = false;
  /// Requests that wait for `Confirm`.
  std::vector<std::function<void()>> waiting;
  QTimer timer;
  QObject context;
};

}  // namespace hemlockdoor::batch
