#include "modules/cli/program/program.h"

#include <unistd.h>

#include <QCoreApplication>
#include <iostream>
#include <string>
#include <variant>
#include <vector>

#include "modules/cli/commands/catalogue_commands.h"
#include "modules/cli/commands/job_commands.h"
#include "modules/cli/commands/offline_commands.h"
#include "modules/cli/output/console.h"
#include "modules/cli/program/command_line.h"
#include "modules/cli/roles/roles.h"

namespace hemlockdoor::cli {

namespace {

/// Runs one command; each overload is one kind.
struct CommandRunner {
  Console& console;

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
  ExitCode operator()(const ShowTextCommand& command) const {
    this->console.out << command.text << std::flush;
    return ExitCode::kDone;
  }
};

}  // namespace

int Run(int argument_count, char** arguments) {
  QCoreApplication application(argument_count, arguments);
  Console console{std::cout, std::cerr, isatty(STDERR_FILENO) == 1};
  std::vector<std::string> words(arguments + 1, arguments + argument_count);
  const core::Expected<Command> command = ParseCommandLine(std::move(words));
  const ExitCode code =
      command ? std::visit(CommandRunner{console}, *command)
              : ReportError(console, command.error(), ExitCode::kUsage);
  return static_cast<int>(code);
}

}  // namespace hemlockdoor::cli
