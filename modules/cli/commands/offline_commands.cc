#include "modules/cli/commands/offline_commands.h"

#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "modules/cli/commands/reports.h"
#include "modules/decide/plan/plan.h"
#include "modules/model/model.h"
#include "modules/settings/settings.h"

namespace hemlockdoor::cli {

namespace {

constexpr std::size_t kMaxFileBytes = std::size_t{8} * 1024 * 1024;

/// A catalogue has an object `entries` or `operators`; an agent's settings have
/// an array `entries`.
bool IsCatalogue(const nlohmann::json& document) {
  if (!document.is_object()) {
    return false;
  }
  const auto entries = document.find("entries");
  return document.contains("operators") ||
         (entries != document.end() && entries->is_object());
}

ExitCode CheckCatalogueFile(Console& console,
                            const nlohmann::json& document,
                            const std::string& file) {
  const core::Expected<model::Catalogue> catalogue =
      model::CatalogueFromJson(document);
  if (!catalogue) {
    core::Error error = catalogue.error();
    error.path = file + ": " + error.path;
    return ReportError(console, error, ExitCode::kUsage);
  }
  int gangs = 0;
  int accelerators = 0;
  for (const auto& [name, entry] : catalogue->entries) {
    for (const model::Guarantee& guarantee : entry.guarantees) {
      gangs += guarantee.count;
      accelerators += guarantee.count * guarantee.shape.TotalAccelerators();
    }
  }
  console.out << "valid catalogue: " << catalogue->entries.size()
              << " entries, " << gangs << " guaranteed gangs, " << accelerators
              << " guaranteed accelerators" << std::endl;
  return ExitCode::kDone;
}

template <typename Settings>
ExitCode PrintSettings(Console& console,
                       const core::Expected<Settings>& settings) {
  if (!settings) {
    return ReportError(console, settings.error(), ExitCode::kUsage);
  }
  PrintJson(console, settings::EffectiveSettings(*settings));
  return ExitCode::kDone;
}

}  // namespace

ExitCode RunCheck(Console& console, const CheckCommand& command) {
  const core::Expected<std::string> text =
      settings::ReadTextFile(command.file, kMaxFileBytes);
  if (!text) {
    return ReportError(console, text.error(), ExitCode::kUsage);
  }
  const core::Expected<nlohmann::json> document =
      settings::ParseDocument(*text, command.file);
  if (!document) {
    return ReportError(console, document.error(), ExitCode::kUsage);
  }
  if (IsCatalogue(*document)) {
    return CheckCatalogueFile(console, *document, command.file);
  }
  return settings::RoleOfSettings(*document) == settings::ProcessRole::kAgent
             ? PrintSettings(console, settings::LoadAgentSettings(command.file))
             : PrintSettings(console,
                             settings::LoadEntrySettings(command.file));
}

ExitCode RunPlan(Console& console, const PlanCommand& command) {
  constexpr std::size_t kMaxPlanFileBytes = std::size_t{64} * 1024 * 1024;
  const auto read = [](const std::string& file) {
    return settings::ReadTextFile(file, kMaxPlanFileBytes)
        .map([&file](std::string text) {
          return decide::PlanFile{file, std::move(text)};
        });
  };
  core::Expected<decide::PlanFile> workers = read(command.workers_file);
  core::Expected<decide::PlanFile> catalogue = read(command.catalogue_file);
  core::Expected<decide::PlanFile> jobs = read(command.jobs_file);
  for (const auto* file : {&workers, &catalogue, &jobs}) {
    if (!*file) {
      return ReportError(console, file->error(), ExitCode::kUsage);
    }
  }
  decide::PlanInputs inputs;
  inputs.workers = std::move(*workers);
  inputs.catalogue = std::move(*catalogue);
  inputs.jobs = std::move(*jobs);
  const core::Expected<decide::PlanReport> report = decide::RunPlan(inputs);
  if (!report) {
    return ReportError(console, report.error(), ExitCode::kUsage);
  }
  console.out << (command.json ? report->ToJson() : report->ToText())
              << std::flush;
  return ExitCode::kDone;
}

}  // namespace hemlockdoor::cli
