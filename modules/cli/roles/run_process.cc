#include "modules/cli/roles/run_process.h"

#include "modules/wire/wire.h"

namespace hemlockdoor::cli {

core::Expected<std::unique_ptr<Observation>> Observation::Start(
    const settings::CommonSettings& common,
    const std::string& process_id) {
  observe::LogOptions logs;
  logs.level = observe::LogLevelFromName(common.logs.level)
                   .value_or(observe::LogLevel::kInfo);
  logs.json = common.logs.json;
  logs.process = process_id;
  logs.secrets = {common.internal_key.Reveal()};
  observe::ConfigureLogs(logs);
  if (common.traces.collector) {
    const core::Expected<wire::Endpoint> collector =
        wire::Endpoint::Parse(*common.traces.collector);
    if (!collector) {
      return tl::unexpected<core::Error>(collector.error());
    }
    observe::TraceExportOptions traces;
    traces.collector = *collector;
    traces.process = process_id;
    const core::Expected<void> started = observe::StartTraceExport(traces);
    if (!started) {
      return tl::unexpected<core::Error>(started.error());
    }
  }
  return std::unique_ptr<Observation>(new Observation);
}

}  // namespace hemlockdoor::cli
