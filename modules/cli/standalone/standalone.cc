#include "modules/cli/standalone/standalone.h"

#include <QCryptographicHash>
#include <QMetaObject>
#include <QRandomGenerator>
#include <fstream>
#include <utility>

namespace hemlockdoor::cli {

namespace {

constexpr const char* kAddress = "127.0.0.1";

/// 32 random hexadecimal digits from the system's secure source.
std::string RandomToken() {
  constexpr int kHex = 16;
  constexpr int kDigits = 16;
  QString token;
  for (int i = 0; i < 2; ++i) {
    const quint64 number = QRandomGenerator::system()->generate64();
    token += QString::number(number, kHex).rightJustified(kDigits, '0');
  }
  return token.toStdString();
}

std::string Sha256Hex(const std::string& text) {
  return QCryptographicHash::hash(QByteArray::fromStdString(text),
                                  QCryptographicHash::Sha256)
      .toHex()
      .toStdString();
}

nlohmann::json DemoCatalogue(const std::string& caller_token,
                             const std::string& operator_token) {
  nlohmann::json document;
  for (const char* job_class : {"short", "batch"}) {
    nlohmann::json& entry =
        document["entries"]["demo-" + std::string(job_class)];
    entry["owner"] = "demo";
    entry["class"] = job_class;
    entry["token_sha256"] = {Sha256Hex(caller_token)};
  }
  document["entries"]["demo-batch"]["limits"]["max_accelerators"] = 8;
  document["operators"]["token_sha256"] = {Sha256Hex(operator_token)};
  return document;
}

}  // namespace

Standalone::~Standalone() = default;

core::Expected<std::unique_ptr<Standalone>> Standalone::Create(
    StandaloneSettings settings,
    std::function<void()> on_stopped) {
  std::unique_ptr<Standalone> standalone(new Standalone);
  standalone->stopped = std::move(on_stopped);
  standalone->catalogue_file = settings.catalogue_file;
  standalone->common = settings.common;
  standalone->common.internal_key = settings::Secret(RandomToken());
  if (settings.catalogue_file.empty()) {
    if (auto written = standalone->WriteDemoCatalogue(); !written) {
      return tl::unexpected<core::Error>(written.error());
    }
  }
  if (auto started = standalone->StartEntry(settings); !started) {
    return tl::unexpected<core::Error>(started.error());
  }
  if (auto started = standalone->StartAgent(); !started) {
    return tl::unexpected<core::Error>(started.error());
  }
  return standalone;
}

core::Expected<void> Standalone::WriteDemoCatalogue() {
  this->caller_token = RandomToken();
  this->operator_token = RandomToken();
  this->catalogue_file = this->folder.filePath("catalogue.json").toStdString();
  std::ofstream stream(this->catalogue_file);
  stream << model::DumpJson(
      DemoCatalogue(this->caller_token, this->operator_token));
  stream.close();
  if (!stream) {
    return core::MakeError(core::ErrorCode::kUnavailable,
                           "cannot write the demo catalogue",
                           this->catalogue_file);
  }
  return {};
}

core::Expected<void> Standalone::StartEntry(
    const StandaloneSettings& settings) {
  this->agent_drain.setSingleShot(true);
  QObject::connect(&this->agent_drain, &QTimer::timeout,
                   [this] { this->agent->BeginDrain(); });
  settings::EntrySettings options;
  options.id = settings.id;
  options.common = this->common;
  options.initial_catalogue = this->catalogue_file;
  // The entry calls back on a thread of its own.
  auto created = entry::EntryProcess::Create(options, [this] {
    QMetaObject::invokeMethod(&this->agent_drain, "start",
                              Qt::QueuedConnection);
  });
  if (!created) {
    return tl::unexpected<core::Error>(created.error());
  }
  this->entry = std::move(*created);
  return {};
}

core::Expected<void> Standalone::StartAgent() {
  auto demo = DemoUpstream::Create();
  if (!demo) {
    return tl::unexpected<core::Error>(demo.error());
  }
  this->upstream = std::move(*demo);
  settings::AgentSettings options;
  options.id = core::AgentId("demo-worker");
  options.common = this->common;
  options.common.port = 0;
  options.entries = {this->EntryEndpoint()};
  options.upstream = wire::Endpoint{kAddress, this->upstream->Port()}.ToText();
  auto created =
      agent::AgentProcess::Create(options, [this] { this->stopped(); });
  if (!created) {
    return tl::unexpected<core::Error>(created.error());
  }
  this->agent = std::move(*created);
  this->upstream->AnnounceTo({kAddress, this->agent->Port()});
  return {};
}

std::string Standalone::EntryEndpoint() const {
  return wire::Endpoint{kAddress, this->entry->Port()}.ToText();
}

std::string StandaloneGreeting(const Standalone& standalone) {
  const std::string endpoint =
      std::string(kAddress) + ":" + std::to_string(standalone.Port());
  std::string text = "entry: http://" + endpoint + "\n";
  if (standalone.CallerToken().empty()) {
    return text;
  }
  text += "caller token: " + standalone.CallerToken() + "\n";
  text += "operator token: " + standalone.OperatorToken() + "\n";
  text += "\nTry:\n  curl -H 'Authorization: Bearer " +
          standalone.CallerToken() +
          "' -H 'Prefer: wait=10' \\\n"
          "    -d '{\"class\":\"short\",\"service\":\"echo\","
          "\"payload\":\"hello\"}' \\\n    http://" +
          endpoint + "/v1/jobs\n";
  return text;
}

}  // namespace hemlockdoor::cli
