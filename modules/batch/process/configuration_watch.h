// Keeps the operators' configuration and evacuations up to date from the store.
#pragma once

#include <QTimer>
#include <algorithm>
#include <cstdint>
#include <functional>
#include <iterator>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "modules/batch/model/configuration.h"
#include "modules/batch/model/operator_snapshot.h"
#include "modules/batch/process/configuration_status.h"
#include "modules/batch/process/evacuation_watch.h"
#include "modules/core/core.h"
#include "modules/observe/observe.h"
#include "modules/store/store.h"
#include "modules/wire/wire.h"

namespace hemlockdoor::batch {

/// Store keys of the operators.
struct OperatorKeys {
  /// Key of the configuration.
  std::string configuration;
  /// Where evacuations are supported: a prefix of all keys of the operators,
  /// which is read and watched instead of the key of the configuration, so that
  /// the number of store calls is the same.
  std::string all;
  /// Where evacuations are supported: prefix of the keys that name evacuated
  /// data centres.
  std::string evacuations;
};

/// Watches the store key that holds the operators' configuration. A higher
/// version replaces the active configuration; lower or equal versions and
/// configurations that cannot be decoded are ignored. After an error the key is
/// read and watched again until the store answers. Where evacuations are
/// supported, one watch covers them too. Entries that know more contribute
/// through `OnPeerAnswer`.
template <store::KeyValueStore Store>
class ConfigurationWatch {
 public:
  using Decode =
      std::function<core::Expected<Configuration>(const std::string&)>;
  using OnChange = std::function<void(std::shared_ptr<const Configuration>)>;
  using OnEvacuations = std::function<void(const EvacuationState&)>;

  /// `evacuations_handler` is called with each evacuation state that was read,
  /// changed or not, and only if `operator_keys` has a prefix for them.
  ConfigurationWatch(Store& store_adapter,
                     const OperatorKeys& operator_keys,
                     Decode decoder,
                     OnChange change_handler,
                     OnEvacuations evacuations_handler)
      : adapter(store_adapter),
        key(operator_keys.configuration),
        watched_prefix(operator_keys.evacuations.empty()
                           ? operator_keys.configuration
                           : operator_keys.all),
        evacuation_prefix(operator_keys.evacuations),
        decode(std::move(decoder)),
        on_change(std::move(change_handler)),
        on_evacuations(std::move(evacuations_handler)),
        started_at(core::Clock::Now()) {
    if (!operator_keys.evacuations.empty()) {
      this->evacuations.emplace(operator_keys.evacuations);
    }
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
    const ConfigurationStatus status = this->Status(now);
    observe::ProcessMetrics().SetConfiguration(status.version, status.age);
    const bool was_paused =
        this->last_tick && now >= *this->last_tick + kPauseThreshold;
    this->last_tick = now;
    if (was_paused && this->evacuations) {
      this->RequireEvacuations();
    }
    if (!was_paused || this->unconfirmed || !this->current) {
      return;
    }
    observe::Log(observe::LogLevel::kWarn,
                 "process was paused; reading the configuration again", {},
                 {{"event", "configuration_unconfirmed"},
                  {"version", std::to_string(this->current->version)}});
    this->unconfirmed = true;
    this->resumed_at = now;
    if (!this->evacuations) {
      this->Read();
    }
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

  /// Reads the evacuations again; until the store has answered they are not
  /// confirmed. A newly elected planner calls this, because its watch may not
  /// have delivered yet what its predecessor has acted upon.
  void RequireEvacuations() {
    this->required_read = this->last_read + 1;
    this->Read();
  }

  /// Returns whether the evacuations have been read since the latest pause of
  /// this process and the latest call of `RequireEvacuations`. There is no
  /// limit to the time without confirmation: without the store, no entry plans.
  bool AreEvacuationsConfirmed(core::TimePoint now) {
    this->OnTick(now);
    return this->confirmed_read >= this->required_read;
  }

  /// Returns the active configuration, or nullptr before the first one is read.
  std::shared_ptr<const Configuration> Current() const { return this->current; }

  /// Returns how recent the active configuration is. Before the first answer of
  /// the store, the age is the time since construction.
  ConfigurationStatus Status(core::TimePoint now) const {
    const core::TimePoint known_until = this->KnownUntil(now);
    return {this->current ? this->current->version : 0,
            now - (known_until == kNever ? this->started_at : known_until),
            this->source};
  }
  /// Returns the upper bound on the time since all changes were known from the
  /// store itself.
  core::Duration AgeAtStore(core::TimePoint now) const {
    return now - this->KnownFromStoreUntil(now);
  }

  /// Returns what is known of the operators' keys.
  const OperatorSnapshot& Snapshot() const { return this->snapshot; }

  /// Takes the answer of another entry to a call that was sent at `sent_at`.
  void OnPeerAnswer(const SnapshotAnswer& answer, core::TimePoint sent_at) {
    if (answer.summary.revision == store::ModRevision()) {
      return;
    }
    if (answer.content && this->snapshot.OnSnapshot(*answer.content)) {
      this->ApplyListing(answer.content->ToListing(),
                         "peer " + answer.summary.endpoint);
    }
    this->confirmed_by_peer_until =
        std::max(this->confirmed_by_peer_until, sent_at - answer.summary.age);
    if (this->unconfirmed &&
        this->confirmed_by_peer_until >= this->resumed_at) {
      this->Confirm();
    }
  }

 private:
  static constexpr core::Duration kRetryDelay =
      core::Duration::Milliseconds(250);
  static constexpr int kTickMs = 200;
  /// A process without an event for this long was paused. Longer than a slow
  /// machine needs for the work between two ticks.
  static constexpr core::Duration kPauseThreshold =
      core::Duration::Milliseconds(1500);
  /// Failures for the same reason are logged once in this time.
  static constexpr core::Duration kFailureLogPeriod =
      core::Duration::Milliseconds(2000);
  /// Before any time of the clock.
  static constexpr core::TimePoint kNever =
      core::TimePoint::FromMilliseconds(std::int64_t{-1} << 60);
  static constexpr core::Duration kMaxUnconfirmed =
      core::Duration::Milliseconds(1000);

  /// Returns the time up to which all changes are known, or kNever before the
  /// first answer of the store or a peer.
  core::TimePoint KnownUntil(core::TimePoint now) const {
    return std::max(this->KnownFromStoreUntil(now),
                    this->confirmed_by_peer_until);
  }
  core::TimePoint KnownFromStoreUntil(core::TimePoint now) const {
    if (!this->watch) {
      return this->read_until;
    }
    if constexpr (requires { this->adapter.WatchedUntil(*this->watch); }) {
      return std::max(
          this->read_until,
          this->adapter.WatchedUntil(*this->watch).value_or(kNever));
    }
    return now;
  }

  void Confirm() {
    this->unconfirmed = false;
    for (const std::function<void()>& use : std::exchange(this->waiting, {})) {
      use();
    }
  }

  void Read() {
    const std::uint64_t number = ++this->last_read;
    const core::TimePoint sent_at = core::Clock::Now();
    this->adapter.List(
        this->watched_prefix,
        [this, number, sent_at](const core::Expected<store::Listing>& listing) {
          if (!listing) {
            this->HandleFailure("read", listing.error());
            return;
          }
          this->LogRegained();
          this->OnRead(*listing, number);
          this->read_until = std::max(this->read_until, sent_at);
        });
  }

  void OnRead(const store::Listing& listing, std::uint64_t number) {
    store::Listing relevant;
    relevant.revision = listing.revision;
    std::copy_if(listing.items.begin(), listing.items.end(),
                 std::back_inserter(relevant.items),
                 [this](const store::KeyValue& item) {
                   return this->IsRelevant(item.key);
                 });
    this->snapshot.OnSnapshot(OperatorSnapshot(relevant));
    this->confirmed_read = std::max(this->confirmed_read, number);
    this->ApplyListing(relevant, "store read");
    this->Confirm();
    this->Watch(listing.revision);
  }

  /// Returns whether the key holds the configuration or an evacuation.
  bool IsRelevant(const std::string& item_key) const {
    return item_key == this->key ||
           (this->evacuations && item_key.starts_with(this->evacuation_prefix));
  }

  /// `listing_source` is where the listing came from, for logs.
  void ApplyListing(const store::Listing& listing,
                    const std::string& listing_source) {
    for (const store::KeyValue& item : listing.items) {
      if (item.key == this->key) {
        this->Apply(item.value, listing_source);
      }
    }
    if (this->evacuations && this->evacuations->OnListing(listing)) {
      this->on_evacuations(this->evacuations->State());
    }
  }

  void Watch(store::ModRevision revision) {
    if (this->watch) {
      this->adapter.CancelWatch(*this->watch);
    }
    this->watch = this->adapter.Watch(
        this->watched_prefix, revision.Next(),
        [this](const core::Expected<std::vector<store::WatchEvent>>& events) {
          if (!events) {
            this->read_until = this->KnownFromStoreUntil(core::Clock::Now());
            this->watch.reset();
            this->HandleFailure("watch", events.error());
            return;
          }
          for (const store::WatchEvent& event : *events) {
            if (this->IsRelevant(event.key)) {
              this->snapshot.OnEvent(event);
            }
            if (event.value && event.key == this->key) {
              this->Apply(*event.value, "store watch");
            }
          }
          this->ApplyEvacuationEvents(*events);
        });
  }

  void ApplyEvacuationEvents(const std::vector<store::WatchEvent>& events) {
    if (!this->evacuations) {
      return;
    }
    switch (this->evacuations->OnEvents(events)) {
      case EventsOutcome::kUnchanged:
        break;
      case EventsOutcome::kChanged:
        this->on_evacuations(this->evacuations->State());
        break;
      case EventsOutcome::kOutdated:
        this->Read();
        break;
    }
  }

  void LogRegained() {
    if (this->failures == 0) {
      return;
    }
    const core::Duration age = this->Status(core::Clock::Now()).age;
    observe::Log(observe::LogLevel::kInfo, "the store answers again", {},
                 {{"event", "configuration_regained"},
                  {"failures", std::to_string(this->failures)},
                  {"age_ms", std::to_string(age.InMilliseconds())}});
    this->failures = 0;
  }

  /// `operation` is what failed: "read" or "watch".
  void HandleFailure(const char* operation, const core::Error& error) {
    observe::ProcessMetrics().CountConfigurationReadFailure(operation);
    this->failures += 1;
    const core::TimePoint now = core::Clock::Now();
    if (error.message != this->logged_failure ||
        now >= this->failure_logged_at + kFailureLogPeriod) {
      this->logged_failure = error.message;
      this->failure_logged_at = now;
      std::vector<observe::LogField> fields = LogFieldsOf(this->Status(now));
      fields.push_back({"event", "configuration_read_failed"});
      fields.push_back({"operation", operation});
      fields.push_back({"failures", std::to_string(this->failures)});
      observe::Log(observe::LogLevel::kWarn, error.message, {}, fields);
    }
    wire::RunLater(&this->context, kRetryDelay, [this] { this->Read(); });
  }

  void Apply(const std::string& text, const std::string& text_source) {
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
    const core::Duration age = this->Status(core::Clock::Now()).age;
    observe::Log(observe::LogLevel::kInfo, "configuration applied", {},
                 {{"event", "configuration_applied"},
                  {"version", std::to_string(decoded->version)},
                  {"source", text_source},
                  {"previous_age_ms", std::to_string(age.InMilliseconds())}});
    this->source = text_source;
    this->current = std::make_shared<const Configuration>(std::move(*decoded));
    this->on_change(this->current);
  }

  Store& adapter;
  std::string key;
  /// The key of the configuration, or a prefix of it.
  std::string watched_prefix;
  std::string evacuation_prefix;
  Decode decode;
  OnChange on_change;
  OnEvacuations on_evacuations;
  /// Empty where evacuations are not supported.
  std::optional<EvacuationWatch> evacuations;
  /// Numbers of the latest read, of the latest one that was answered, and of
  /// the first one whose answer confirms the evacuations. A read that began
  /// before a pause may have been answered before it.
  std::uint64_t last_read = 0;
  std::uint64_t confirmed_read = 0;
  std::uint64_t required_read = 1;
  OperatorSnapshot snapshot;
  std::shared_ptr<const Configuration> current;
  std::string source = "none";
  /// Failed reads and watches since the latest successful read.
  int failures = 0;
  /// Message of the failure that was logged last, and when.
  std::string logged_failure;
  core::TimePoint failure_logged_at;
  std::optional<store::WatchId> watch;
  /// All changes up to this time are known from reads and from watches that
  /// have ended.
  core::TimePoint read_until = kNever;
  /// All changes up to this time are known from other entries.
  core::TimePoint confirmed_by_peer_until = kNever;
  core::TimePoint started_at;
  std::optional<core::TimePoint> last_tick;
  /// The configuration has not been read since a pause of this process.
  bool unconfirmed = false;
  /// End of the latest pause.
  core::TimePoint resumed_at;
  /// Requests that wait for `Confirm`.
  std::vector<std::function<void()>> waiting;
  QTimer timer;
  QObject context;
};

}  // namespace hemlockdoor::batch
