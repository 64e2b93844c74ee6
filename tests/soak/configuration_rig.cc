#include "tests/soak/configuration_rig.h"

#include <QString>
#include <algorithm>
#include <random>

#include "platform/testing/operator_configuration.h"

namespace hemlockdoor::soak {

namespace {

using review::NowMs;

constexpr int kAskPeriodMs = 150;
constexpr int kAnswerLimitMs = 3000;
constexpr std::uint64_t kKeptVersions = 4;
constexpr int kUnknownKey = 401;
constexpr int kNotFound = 404;
constexpr const char* kHost = "jobs.example";
/// Key and queue that the deployment itself uses.
constexpr const char* kLastingKey = "key-of-tenant-a";
constexpr const char* kLastingQueue = "queue";

std::string EntryName(int index) {
  return "edge-" + std::to_string(index + 1);
}

std::string QueueOf(std::uint64_t version) {
  return "v" + std::to_string(version);
}

std::string PathOf(std::uint64_t version) {
  return "/" + QueueOf(version) + "/";
}

std::string KeyOf(std::uint64_t version) {
  return "key-" + std::to_string(version);
}

/// Returns a name without a pattern, like those that operators' tools draw.
std::string DrawnName(int number) {
  constexpr int kBase = 36;
  std::mt19937 random(static_cast<std::mt19937::result_type>(number));
  return QString::number(random(), kBase).toStdString();
}

std::pair<std::string, std::uint16_t> SplitEndpoint(const std::string& text) {
  const std::size_t colon = text.find(':');
  return {text.substr(0, colon),
          static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1)))};
}

}  // namespace

ConfigurationRig::ConfigurationRig(int count)
    : entry_count(count), deployment({count, 1}, this->folder.Path()) {
  std::vector<std::pair<std::string, std::uint16_t>> internal;
  for (int i = 0; i < count; ++i) {
    const nlohmann::json settings = this->folder.Settings(EntryName(i));
    internal.push_back(SplitEndpoint(settings["internal_endpoint"]));
    this->callers.push_back(SplitEndpoint(settings["caller_endpoint"]));
    this->lasting_callers[i] = std::make_unique<LastingCaller>(
        this->callers.back().first, this->callers.back().second);
  }
  for (int i = 0; i < count; ++i) {
    nlohmann::json settings = this->folder.Settings(EntryName(i));
    const auto [address, port] = SplitEndpoint(settings["store_endpoint"]);
    this->store_links[i] = std::make_unique<NetworkLink>(address, port);
    settings["store_endpoint"] = this->store_links[i]->Endpoint();
    settings["entries"] = nlohmann::json::array();
    for (int j = 0; j < count; ++j) {
      if (i == j) {
        continue;
      }
      const auto& [peer_address, peer_port] =
          internal.at(static_cast<std::size_t>(j));
      auto& link = this->peer_links[{i, j}];
      link = std::make_unique<NetworkLink>(peer_address, peer_port);
      settings["entries"].push_back(link->Endpoint());
    }
    this->folder.WriteSettings(EntryName(i), settings);
  }
}

void ConfigurationRig::Start() {
  this->deployment.Start();
  this->acknowledged_ms[1] = NowMs();
  QObject::connect(&this->timer, &QTimer::timeout, this,
                   [this] { this->AskAll(); });
  this->timer.start(kAskPeriodMs);
}

void ConfigurationRig::SetAllLinks(int entry, LinkState state) {
  this->StoreLink(entry).SetState(state);
  for (const auto& [ends, link] : this->peer_links) {
    if (ends.first == entry || ends.second == entry) {
      link->SetState(state);
    }
  }
}

void ConfigurationRig::OpenAllLinks() {
  for (int i = 0; i < this->entry_count; ++i) {
    this->SetAllLinks(i, LinkState::kOpen);
  }
}

void ConfigurationRig::LimitBandwidth(int entry,
                                      std::int64_t bytes_per_second) {
  this->bandwidths[entry] = std::make_unique<LinkBandwidth>(bytes_per_second);
  LinkBandwidth& shared = *this->bandwidths[entry];
  this->StoreLink(entry).SetBandwidth(shared);
  for (const auto& [ends, link] : this->peer_links) {
    if (ends.first == entry) {
      link->SetBandwidth(shared);
    }
  }
}

void ConfigurationRig::ChangeConfiguration() {
  ++this->version;
  this->deployment.store->Put(platform::testing::kConfigurationKey,
                              this->Configuration());
  this->acknowledged_ms[this->version] = NowMs();
  this->deployment.record.Line("configuration version " +
                               std::to_string(this->version));
}

std::string ConfigurationRig::Configuration() const {
  platform::testing::OperatorConfiguration configuration;
  configuration.version = this->version;
  configuration.host = kHost;
  configuration.service = "drive";
  configuration.queues = {kLastingQueue};
  configuration.keys = {kLastingKey};
  const std::uint64_t first =
      this->version > kKeptVersions ? this->version - kKeptVersions + 1 : 2;
  for (std::uint64_t each = first; each <= this->version; ++each) {
    configuration.queues.push_back(QueueOf(each));
    configuration.keys.push_back(KeyOf(each));
  }
  for (int number = 0; number < this->further_routes; ++number) {
    configuration.queues.push_back(DrawnName(number));
  }
  return platform::testing::ToText(configuration);
}

std::uint64_t ConfigurationRig::VersionOlderThan(std::int64_t length_ms) const {
  std::uint64_t found = 0;
  for (const auto& [each, time_ms] : this->acknowledged_ms) {
    if (time_ms + length_ms < NowMs()) {
      found = each;
    }
  }
  return found;
}

void ConfigurationRig::AskAll() {
  // A request without a key is refused as unknown only on a route that exists,
  // and one for no job's id as not found only if its key is known. Neither
  // needs the planner.
  for (int entry = 0; entry < this->entry_count; ++entry) {
    if (!this->Entry(entry).IsRunning()) {
      continue;
    }
    this->Ask(entry,
              {"newest route", PathOf(this->version), "", 0, kUnknownKey},
              this->version);
    const std::uint64_t due = this->VersionOlderThan(kBoundMs);
    if (due > 1) {
      this->Ask(entry, {"added route", PathOf(due), "", kNotFound, 0}, due,
                true);
      this->Ask(entry, {"added key", "/queue/x", KeyOf(due), kUnknownKey, 0},
                due);
    }
    if (due > kKeptVersions + 1) {
      this->Ask(
          entry,
          {"dropped route", PathOf(due - kKeptVersions), "", kUnknownKey, 0},
          due);
    }
    const std::uint64_t overdue = this->VersionOlderThan(kBoundMs + kGraceMs);
    if (overdue > kKeptVersions + 1) {
      this->Ask(entry,
                {"withdrawn key", "/queue/x", KeyOf(overdue - kKeptVersions),
                 kNotFound, 0},
                overdue);
    }
  }
}

void ConfigurationRig::Ask(int entry,
                           const Probe& probe,
                           std::uint64_t probed_version,
                           bool on_lasting_connection) {
  review::Request request;
  request.method = "GET";
  request.path = probe.path;
  request.headers["Host"] = kHost;
  request.headers[platform::testing::kCallerKeyHeader] = probe.key;
  const auto done = [this, entry, probe, probed_version, sent_ms = NowMs()](
                        int status, const std::string& body) {
    this->Judge(entry, probe, probed_version, sent_ms,
                std::to_string(status) + " " + body, status);
  };
  if (on_lasting_connection) {
    this->lasting_callers.at(entry)->Send(request, done);
    return;
  }
  const auto& [address, port] =
      this->callers.at(static_cast<std::size_t>(entry));
  review::SendCall(this, address, port, request, kAnswerLimitMs, done);
}

void ConfigurationRig::Judge(int entry,
                             const Probe& probe,
                             std::uint64_t probed_version,
                             std::int64_t sent_ms,
                             const std::string& answer,
                             int status) {
  if (status == review::kNoAnswer) {
    return;
  }
  if (status == probe.newer_status) {
    this->seen_versions[entry] =
        std::max(this->seen_versions[entry], probed_version);
  }
  // Later versions may have dropped what this one added.
  const bool may_be_dropped = probe.name.starts_with("added") &&
                              this->version >= probed_version + kKeptVersions;
  if (status != probe.older_status || may_be_dropped) {
    return;
  }
  const std::int64_t late_ms =
      sent_ms - this->acknowledged_ms.at(probed_version);
  const std::string line = "CONFIG: " + EntryName(entry) + " answers " +
                           answer + " for the " + probe.name + " of version " +
                           std::to_string(probed_version) + ", acknowledged " +
                           std::to_string(late_ms) + " ms before the request";
  this->deployment.record.Line(line);
  this->violations += line + "\n";
}

bool ConfigurationRig::AwaitNewestVersion(std::int64_t limit_ms) {
  return review::RunUntil(
      [this] {
        for (int i = 0; i < this->entry_count; ++i) {
          if (this->seen_versions[i] != this->version) {
            return false;
          }
        }
        return true;
      },
      limit_ms);
}

std::string ConfigurationRig::KeepLogs() {
  this->folder.Keep();
  return this->folder.Path();
}

}  // namespace hemlockdoor::soak
