#include "modules/cli/program/command_line.h"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <memory>
#include <utility>

namespace hemlockdoor::cli {

namespace {

constexpr std::int64_t kMaxWaitSeconds = 24LL * 60 * 60;
constexpr std::int64_t kMaxTimeoutSeconds = 600;

/// Values that CLI11 writes before they are turned into a command.
struct Values {
  EntryCommand entry;
  AgentCommand agent;
  HostedEntryCommand hosted_entry;
  HostedAgentCommand hosted_agent;
  StandaloneCommand standalone;
  CheckCommand check;
  PlanCommand plan;
  ClientOptions client;
  std::int64_t timeout_seconds = 10;
  SubmitCommand submit;
  std::string job_class;
  std::string service;
  std::string adjacency = "any";
  std::int64_t deadline_ms = 0;
  std::int64_t declared_run_ms = 0;
  std::int64_t wait_seconds = 0;
  bool not_repeatable = false;
  StatusCommand status;
  CancelCommand cancel;
  CatalogueCommand catalogue;
  std::string worker;
  ExplainCommand explain;
};

void AddSettingsOption(CLI::App& command, std::string& file) {
  command.add_option("--settings", file, "Settings file (JSON with comments)")
      ->required()
      ->type_name("FILE");
}

void AddProcessCommands(CLI::App& app, Values& values) {
  AddSettingsOption(
      *app.add_subcommand("entry", "Run an entry: caller and operator API"),
      values.entry.settings_file);
  AddSettingsOption(
      *app.add_subcommand("agent", "Run an agent beside an upstream"),
      values.agent.settings_file);
  AddSettingsOption(
      *app.add_subcommand("hosted-entry", "Run an entry on a hosting platform"),
      values.hosted_entry.settings_file);
  AddSettingsOption(
      *app.add_subcommand("hosted-agent", "Run an agent on a hosting platform"),
      values.hosted_agent.settings_file);
  CLI::App* standalone = app.add_subcommand(
      "standalone",
      "Run entry, agent and a demo upstream in one process, without a store");
  standalone
      ->add_option("--port", values.standalone.port,
                   "Port of the entry (0: chosen by the kernel)")
      ->type_name("PORT");
  standalone
      ->add_option("--catalogue", values.standalone.catalogue_file,
                   "Catalogue to start with (default: a demo catalogue)")
      ->type_name("FILE");
  standalone
      ->add_option("--port-file", values.standalone.port_file,
                   "File to write the port to")
      ->type_name("FILE");
}

void AddOfflineCommands(CLI::App& app, Values& values) {
  CLI::App* check =
      app.add_subcommand("check", "Check a settings file or a catalogue");
  check->add_option("FILE", values.check.file, "File to check")->required();
  CLI::App* plan = app.add_subcommand(
      "plan", "Show what the scheduler would decide, offline");
  plan->add_option("--workers", values.plan.workers_file, "Workers")
      ->required()
      ->type_name("FILE");
  plan->add_option("--catalogue", values.plan.catalogue_file, "Catalogue")
      ->required()
      ->type_name("FILE");
  plan->add_option("--jobs", values.plan.jobs_file, "Jobs")
      ->required()
      ->type_name("FILE");
  plan->add_flag("--json", values.plan.json, "Print JSON");
}

void AddClientOptions(CLI::App& command, Values& values) {
  command
      .add_option("--entry", values.client.entries,
                  "Entry to call; repeat it to name more, tried in turn")
      ->required()
      ->take_all()
      ->type_name("ADDRESS:PORT");
  command
      .add_option("--token-file", values.client.token_file,
                  "File with the bearer token (default: the environment "
                  "variable HEMLOCKDOOR_TOKEN)")
      ->type_name("FILE");
  command
      .add_option("--timeout", values.timeout_seconds,
                  "Longest time one call may take")
      ->check(CLI::Range(std::int64_t{1}, kMaxTimeoutSeconds))
      ->type_name("SECONDS");
  command.add_flag("--json", values.client.json, "Print the answer as JSON");
}

void AddJobFields(CLI::App& submit, Values& values) {
  model::JobDescription& job = values.submit.description;
  submit.add_option("--class", values.job_class, "Class of work")->required();
  submit.add_option("--service", values.service, "Service that runs it")
      ->required();
  submit
      .add_option("--gang-size", job.shape.gang_size,
                  "Members that start together")
      ->check(CLI::Range(1, model::kMaxGangSize));
  submit
      .add_option("--accelerators-per-member",
                  job.shape.accelerators_per_member,
                  "Accelerators of each member")
      ->check(CLI::Range(0, model::kMaxAcceleratorsPerWorker));
  submit
      .add_option("--adjacency", values.adjacency,
                  "How the accelerators must lie: any, worker, rack or spread")
      ->check(CLI::IsMember({"any", "worker", "rack", "spread"}));
  submit
      .add_option("--deadline-ms", values.deadline_ms,
                  "Time within which the job must end")
      ->check(CLI::PositiveNumber);
  submit.add_option("--declared-size", job.declared_size, "Declared size")
      ->check(CLI::NonNegativeNumber);
  submit
      .add_option("--declared-run-ms", values.declared_run_ms,
                  "Declared run time")
      ->check(CLI::NonNegativeNumber);
  submit.add_flag("--checkpointable", job.checkpointable,
                  "The job can be checkpointed and continued");
  submit.add_flag("--not-repeatable", values.not_repeatable,
                  "The job must not run twice (needs --idempotency-key)");
  submit.add_flag("--urgent", job.urgent, "Start at once within a guarantee");
}

void AddSubmit(CLI::App& app, Values& values) {
  CLI::App* submit = app.add_subcommand("submit", "Submit a job");
  AddClientOptions(*submit, values);
  submit
      ->add_option("PAYLOAD", values.submit.payload_file,
                   "File with the payload, - for standard input")
      ->type_name("FILE");
  AddJobFields(*submit, values);
  submit->add_option("--idempotency-key", values.submit.idempotency_key,
                     "Names this request, so that a retry cannot repeat it");
  submit
      ->add_option("--wait", values.wait_seconds,
                   "Wait so long for the job to end")
      ->check(CLI::Range(std::int64_t{0}, kMaxWaitSeconds))
      ->type_name("SECONDS");
}

void AddStatusAndCancel(CLI::App& app, Values& values) {
  CLI::App* status = app.add_subcommand(
      "status", "Show jobs, or workers with an operator's token");
  AddClientOptions(*status, values);
  status->add_option("JOB", values.status.job, "Show only this job");
  CLI::App* cancel = app.add_subcommand("cancel", "Cancel a job");
  AddClientOptions(*cancel, values);
  cancel->add_option("JOB", values.cancel.job, "The job")->required();
}

CLI::App* AddCatalogueAction(CLI::App& catalogue,
                             Values& values,
                             const std::string& name,
                             const std::string& text,
                             CatalogueAction action) {
  CLI::App* command = catalogue.add_subcommand(name, text);
  AddClientOptions(*command, values);
  command->callback([&values, action] { values.catalogue.action = action; });
  return command;
}

void AddIfMatch(CLI::App& command, Values& values) {
  command
      .add_option("--if-match", values.catalogue.if_match,
                  "Revision the edit is based on (default: the newest one)")
      ->type_name("REVISION");
}

void AddCatalogue(CLI::App& app, Values& values) {
  CLI::App* catalogue =
      app.add_subcommand("catalogue", "Read and edit the catalogue");
  catalogue->require_subcommand(1);
  CLI::App* get = AddCatalogueAction(*catalogue, values, "get",
                                     "Print the catalogue or one entry",
                                     CatalogueAction::kGet);
  get->add_option("NAME", values.catalogue.name, "Entry (default: all)");
  CLI::App* put =
      AddCatalogueAction(*catalogue, values, "put",
                         "Replace the whole catalogue", CatalogueAction::kPut);
  put->add_option("FILE", values.catalogue.file, "Catalogue")->required();
  AddIfMatch(*put, values);
  CLI::App* edit = AddCatalogueAction(
      *catalogue, values, "edit",
      "Check and write one entry, unless it was changed meanwhile",
      CatalogueAction::kEdit);
  edit->add_option("NAME", values.catalogue.name, "Entry")->required();
  edit->add_option("FILE", values.catalogue.file, "The entry's new content")
      ->required();
  AddIfMatch(*edit, values);
  CLI::App* remove =
      AddCatalogueAction(*catalogue, values, "delete", "Delete one entry",
                         CatalogueAction::kDelete);
  remove->add_option("NAME", values.catalogue.name, "Entry")->required();
  AddIfMatch(*remove, values);
  CLI::App* check = AddCatalogueAction(
      *catalogue, values, "check",
      "Check a catalogue against the announced workers, without an edit",
      CatalogueAction::kCheck);
  check->add_option("FILE", values.catalogue.file, "Catalogue")->required();
}

void AddDrain(CLI::App& app, Values& values) {
  CLI::App* drain =
      app.add_subcommand("drain", "Take a worker or an entry out of service");
  drain->require_subcommand(1);
  CLI::App* worker = drain->add_subcommand("worker", "Drain one worker");
  AddClientOptions(*worker, values);
  worker->add_option("ID", values.worker, "The worker's agent id")->required();
  AddClientOptions(*drain->add_subcommand("entry", "Drain the entry called"),
                   values);
}

void AddExplain(CLI::App& app, Values& values) {
  CLI::App* explain = app.add_subcommand(
      "explain",
      "Show where a hosted deployment would place a job now, and why");
  explain
      ->add_option("--entry", values.explain.entry,
                   "Internal endpoint of an entry")
      ->required()
      ->type_name("ADDRESS:PORT");
  CLI::Option_group* subject = explain->add_option_group("Job");
  subject
      ->add_option("--file", values.explain.file,
                   "Job to explain without submitting it (JSON with comments)")
      ->type_name("FILE");
  subject->add_option("--job", values.explain.job, "Accepted job to explain")
      ->type_name("ID");
  subject->require_option(1);
  explain
      ->add_option("--timeout", values.timeout_seconds,
                   "Longest time the call may take")
      ->check(CLI::Range(std::int64_t{1}, kMaxTimeoutSeconds))
      ->type_name("SECONDS");
  explain->add_flag("--json", values.explain.json, "Print the answer as JSON");
}

core::Expected<Command> ToSubmit(Values& values) {
  SubmitCommand& submit = values.submit;
  model::JobDescription& job = submit.description;
  job.job_class = core::JobClass(values.job_class);
  job.service = core::ServiceName(values.service);
  job.shape.adjacency = model::AdjacencyFromName(values.adjacency)
                            .value_or(model::Adjacency::kAny);
  if (values.deadline_ms > 0) {
    job.deadline = core::Duration::Milliseconds(values.deadline_ms);
  }
  job.declared_run = core::Duration::Milliseconds(values.declared_run_ms);
  job.repeatable = !values.not_repeatable;
  submit.wait = core::Duration::Seconds(values.wait_seconds);
  if (values.not_repeatable && submit.idempotency_key.empty()) {
    return core::MakeError(
        core::ErrorCode::kInvalidArgument,
        "--not-repeatable needs --idempotency-key, so that a retry finds the "
        "first request");
  }
  submit.client = values.client;
  return submit;
}

core::Expected<Command> ToCommand(const CLI::App& app, Values& values) {
  values.client.timeout = core::Duration::Seconds(values.timeout_seconds);
  values.status.client = values.client;
  values.cancel.client = values.client;
  values.catalogue.client = values.client;
  if (app.got_subcommand("entry")) {
    return values.entry;
  }
  if (app.got_subcommand("agent")) {
    return values.agent;
  }
  if (app.got_subcommand("hosted-entry")) {
    return values.hosted_entry;
  }
  if (app.got_subcommand("hosted-agent")) {
    return values.hosted_agent;
  }
  if (app.got_subcommand("standalone")) {
    return values.standalone;
  }
  if (app.got_subcommand("check")) {
    return values.check;
  }
  if (app.got_subcommand("plan")) {
    return values.plan;
  }
  if (app.got_subcommand("submit")) {
    return ToSubmit(values);
  }
  if (app.got_subcommand("status")) {
    return values.status;
  }
  if (app.got_subcommand("cancel")) {
    return values.cancel;
  }
  if (app.got_subcommand("catalogue")) {
    return values.catalogue;
  }
  if (app.got_subcommand("explain")) {
    values.explain.timeout = values.client.timeout;
    return values.explain;
  }
  DrainCommand drain;
  drain.client = values.client;
  if (!values.worker.empty()) {
    drain.worker = values.worker;
  }
  return drain;
}

/// A misspelt command is named with the nearest known one; CLI11 itself only
/// reports that a command is missing.
core::Expected<void> CheckCommandName(
    const CLI::App& app,
    const std::vector<std::string>& arguments) {
  std::vector<std::string> known;
  for (const CLI::App* command : app.get_subcommands(nullptr)) {
    known.push_back(command->get_name());
  }
  if (arguments.empty()) {
    return core::MakeError(core::ErrorCode::kInvalidArgument,
                           "a command is required; see hemlockdoor --help");
  }
  const std::string& name = arguments.front();
  if (name.rfind('-', 0) == 0 ||
      std::find(known.begin(), known.end(), name) != known.end()) {
    return {};
  }
  const std::string nearest = model::NearestName(name, known);
  return core::MakeError(
      core::ErrorCode::kInvalidArgument,
      "unknown command \"" + name + "\"" +
          (nearest.empty() ? "; see hemlockdoor --help"
                           : ", did you mean \"" + nearest + "\"?"));
}

std::string OneLine(std::string text) {
  std::replace(text.begin(), text.end(), '\n', ' ');
  return text;
}

}  // namespace

core::Expected<Command> ParseCommandLine(std::vector<std::string> arguments) {
  CLI::App app("hemlockdoor schedules multi-accelerator jobs under guarantees.",
               "hemlockdoor");
  app.set_version_flag("--version", "hemlockdoor " HEMLOCKDOOR_VERSION);
  app.require_subcommand(1);
  Values values;
  AddProcessCommands(app, values);
  AddOfflineCommands(app, values);
  AddSubmit(app, values);
  AddStatusAndCancel(app, values);
  AddCatalogue(app, values);
  AddDrain(app, values);
  AddExplain(app, values);
  if (core::Expected<void> named = CheckCommandName(app, arguments); !named) {
    return tl::unexpected<core::Error>(named.error());
  }
  // CLI11 takes the arguments from the back.
  std::reverse(arguments.begin(), arguments.end());
  try {
    app.parse(std::move(arguments));
  } catch (const CLI::CallForHelp&) {
    return ShowTextCommand{app.help()};
  } catch (const CLI::CallForVersion& version) {
    return ShowTextCommand{std::string(version.what()) + "\n"};
  } catch (const CLI::ParseError& error) {
    return core::MakeError(core::ErrorCode::kInvalidArgument,
                           OneLine(error.what()) + "; see hemlockdoor --help");
  }
  return ToCommand(app, values);
}

}  // namespace hemlockdoor::cli
