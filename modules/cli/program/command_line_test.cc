#include "modules/cli/program/command_line.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

namespace hemlockdoor::cli {

namespace {

using Words = std::vector<std::string>;

struct WrongUsage {
  Words words;
  std::string message_part;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(CommandLineTest)

// Guards against options that are lost on the way to the command.
BOOST_AUTO_TEST_CASE(ReadsEveryOptionOfSubmit) {
  const auto command = ParseCommandLine({"submit",
                                         "--entry",
                                         "127.0.0.1:1",
                                         "--entry",
                                         "127.0.0.1:2",
                                         "--token-file",
                                         "t",
                                         "--timeout",
                                         "3",
                                         "--json",
                                         "--class",
                                         "batch",
                                         "--service",
                                         "index",
                                         "--gang-size",
                                         "4",
                                         "--accelerators-per-member",
                                         "2",
                                         "--adjacency",
                                         "rack",
                                         "--deadline-ms",
                                         "5",
                                         "--declared-size",
                                         "6",
                                         "--declared-run-ms",
                                         "7",
                                         "--checkpointable",
                                         "--not-repeatable",
                                         "--urgent",
                                         "--idempotency-key",
                                         "k",
                                         "--wait",
                                         "8",
                                         "-"});
  BOOST_REQUIRE_MESSAGE(command.has_value(), command.error().message);
  const auto& submit = std::get<SubmitCommand>(*command);
  const model::JobDescription& job = submit.description;
  BOOST_TEST(submit.client.entries.size() == 2U);
  BOOST_TEST(submit.client.entries[1] == "127.0.0.1:2");
  BOOST_TEST(submit.client.token_file == "t");
  BOOST_TEST(submit.client.timeout.InMilliseconds() == 3000);
  BOOST_TEST(submit.client.json);
  BOOST_TEST(job.job_class.Text() == "batch");
  BOOST_TEST(job.service.Text() == "index");
  BOOST_TEST((job.shape == model::GangShape{4, 2, model::Adjacency::kRack}));
  BOOST_TEST(job.deadline->InMilliseconds() == 5);
  BOOST_TEST(job.declared_size == 6);
  BOOST_TEST(job.declared_run.InMilliseconds() == 7);
  BOOST_TEST(job.checkpointable);
  BOOST_TEST(!job.repeatable);
  BOOST_TEST(job.urgent);
  BOOST_TEST(submit.idempotency_key == "k");
  BOOST_TEST(submit.wait.InMilliseconds() == 8000);
  BOOST_TEST(submit.payload_file == "-");
}

// Guards against a subcommand that is taken for another.
BOOST_AUTO_TEST_CASE(ReadsEveryCommand) {
  const Words at = {"--entry", "127.0.0.1:1"};
  const auto parse = [&at](Words words, bool calls_entry) {
    if (calls_entry) {
      words.insert(words.end(), at.begin(), at.end());
    }
    auto command = ParseCommandLine(words);
    BOOST_REQUIRE_MESSAGE(command.has_value(), command.error().message);
    return *command;
  };
  BOOST_TEST(std::get<EntryCommand>(parse({"entry", "--settings", "f"}, false))
                 .settings_file == "f");
  BOOST_TEST(std::get<AgentCommand>(parse({"agent", "--settings", "f"}, false))
                 .settings_file == "f");
  BOOST_TEST(
      std::get<StandaloneCommand>(parse({"standalone", "--port", "7"}, false))
          .port == 7);
  BOOST_TEST(std::get<CheckCommand>(parse({"check", "f"}, false)).file == "f");
  const auto plan = std::get<PlanCommand>(parse(
      {"plan", "--workers", "w", "--catalogue", "c", "--jobs", "j"}, false));
  BOOST_TEST(plan.workers_file + plan.catalogue_file + plan.jobs_file == "wcj");
  BOOST_TEST(std::get<StatusCommand>(parse({"status"}, true)).job.empty());
  BOOST_TEST(std::get<CancelCommand>(parse({"cancel", "j"}, true)).job == "j");
  const auto edit =
      std::get<CatalogueCommand>(parse({"catalogue", "edit", "n", "f"}, true));
  BOOST_TEST((edit.action == CatalogueAction::kEdit));
  BOOST_TEST(edit.name + edit.file == "nf");
  BOOST_TEST(
      (std::get<CatalogueCommand>(parse({"catalogue", "delete", "n"}, true))
           .action == CatalogueAction::kDelete));
  BOOST_TEST(
      *std::get<DrainCommand>(parse({"drain", "worker", "w"}, true)).worker ==
      "w");
  BOOST_TEST(!std::get<DrainCommand>(parse({"drain", "entry"}, true))
                  .worker.has_value());
  const auto explain = std::get<ExplainCommand>(
      parse({"explain", "--file", "f", "--json", "--timeout", "3"}, true));
  BOOST_TEST(explain.entry == "127.0.0.1:1");
  BOOST_TEST(explain.file == "f");
  BOOST_TEST(explain.json);
  BOOST_TEST(explain.timeout.InMilliseconds() == 3000);
  BOOST_TEST(
      std::get<ExplainCommand>(parse({"explain", "--job", "j"}, true)).job ==
      "j");
}

// Guards against wrong usage that is accepted, or told without help.
BOOST_AUTO_TEST_CASE(RefusesWrongUsageInOneLine) {
  const std::vector<WrongUsage> cases = {
      {{}, "a command is required"},
      {{"sumbit"}, "did you mean \"submit\""},
      {{"entry"}, "--settings"},
      {{"entry", "--settings", "f", "extra"}, "extra"},
      {{"submit", "--entry", "a", "--class", "c"}, "--service"},
      {{"submit", "--entry", "a", "--class", "c", "--service", "s",
        "--gang-size", "65"},
       "65"},
      {{"submit", "--entry", "a", "--class", "c", "--service", "s",
        "--adjacency", "near"},
       "near"},
      {{"submit", "--entry", "a", "--class", "c", "--service", "s",
        "--not-repeatable"},
       "--idempotency-key"},
      {{"status"}, "--entry"},
      {{"catalogue"}, "subcommand"},
      {{"plan", "--workers", "w"}, "--catalogue"},
      {{"explain", "--job", "j"}, "--entry"},
      {{"explain", "--entry", "a"}, "Exactly 1 option"},
      {{"explain", "--entry", "a", "--job", "j", "--file", "f"},
       "Exactly 1 option"},
  };
  for (const WrongUsage& wrong : cases) {
    const auto command = ParseCommandLine(wrong.words);
    BOOST_REQUIRE_MESSAGE(!command.has_value(), wrong.message_part);
    const std::string& message = command.error().message;
    BOOST_TEST(message.find(wrong.message_part) != std::string::npos, message);
    BOOST_TEST(message.find('\n') == std::string::npos);
  }
}

// Guards against --help and --version ending as errors.
BOOST_AUTO_TEST_CASE(HelpAndVersionAreText) {
  for (const char* option : {"--help", "--version"}) {
    const auto command = ParseCommandLine({option});
    BOOST_REQUIRE(command.has_value());
    BOOST_TEST(std::get<ShowTextCommand>(*command).text.find("hemlockdoor") !=
               std::string::npos);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hemlockdoor::cli
