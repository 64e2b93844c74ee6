#include "modules/cli/program/program.h"

#include <unistd.h>

#include <QCoreApplication>
#include <iostream>
#include <string>
#include <variant>
#include <vector>

#include "modules/cli/commands/catalogue_commands.h"
#include "modules/cli/commands/explain_command.h"
#include "modules/cli/commands/job_commands.h"
#include "modules/cli/commands/offline_commands.h"
#include "modules/cli/output/console.h"
#include "modules/cli/program/command_line.h"
#include "modules/cli/roles/roles.h"

namespace hemlockdoor::cli {

namespace {

/// Invalid settings are wrong usage; what fails later is not.
ExitCode RunHosted(Console& console,
                   const HostedRoles::Role& role,
                   const std::string& settings_file) {
  if (!role) {
    return ReportError(console,
                       {core::ErrorCode::kInvalidArgument,
                        "this build has no hosting platform",
                        {}},
                       ExitCode::kUsage);
  }
  const core::Expected<void> end = role(settings_file);
  if (end) {
    return ExitCode::kDone;
  }
  const bool usage = end.error().code == core::ErrorCode::kInvalidArgument;
  return ReportError(console, end.error(),
                     usage ? ExitCode::kUsage : ExitCode::kFailed);
}

/// Runs one command; each overload is one kind.
struct CommandRunner {
  Console& console;
  const HostedRoles& hosted;

  ExitCode operator()(const HostedEntryCommand& command) const {
    return RunHosted(this->console, this->hosted.entry, command.settings_file);
  }
  ExitCode operator()(const HostedAgentCommand& command) const {
    return RunHosted(this->console, this->hosted.agent, command.settings_file);
  }
  ExitCode operator()(const EntryCommand& command) const {
    return RunEntry(this->console, command.settings_file);
  }
  ExitCode operator()(const AgentCommand& command) const {
    return RunAgent(this->console, command.settings_file);
  }
  ExitCode operator()(const StandaloneCommand& command) const {
    return RunStandalone(this->console, command);
  }
  ExitCode operator()(const CheckCommand& command) const {
    return RunCheck(this->console, command);
  }
  ExitCode operator()(const PlanCommand& command) const {
    return RunPlan(this->console, command);
  }
  ExitCode operator()(const SubmitCommand& command) const {
    return RunSubmit(this->console, command);
  }
  ExitCode operator()(const StatusCommand& command) const {
    return RunStatus(this->console, command);
  }
  ExitCode operator()(const CancelCommand& command) const {
    return RunCancel(this->console, command);
  }
  ExitCode operator()(const CatalogueCommand& command) const {
    return RunCatalogue(this->console, command);
  }
  ExitCode operator()(const DrainCommand& command) const {
    return RunDrain(this->console, command);
  }
  ExitCode operator()(const ExplainCommand& command) const {
    return RunExplain(this->console, command);
  }
  ExitCode operator()(const ShowTextCommand& command) const {
    this->console.out << command.text << std::flush;
    return ExitCode::kDone;
  }
};

}  // namespace

int Run(int argument_count, char** arguments, const HostedRoles& hosted) {
  QCoreApplication application(argument_count, arguments);
  Console console{std::cout, std::cerr, isatty(STDERR_FILENO) == 1};
  std::vector<std::string> words(arguments + 1, arguments + argument_count);
  const core::Expected<Command> command = ParseCommandLine(std::move(words));
  const ExitCode code =
      command ? std::visit(CommandRunner{console, hosted}, *command)
              : ReportError(console, command.error(), ExitCode::kUsage);
  return static_cast<int>(code);
}

}  // namespace hemlockdoor::cli
