#include "modules/settings/load/settings_loader.h"

#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <fstream>
#include <string>
#include <vector>

namespace hemlockdoor::settings {

namespace {

constexpr const char* kKey = "0123456789abcdef0123";

SettingsSource TestSource() {
  SettingsSource source;
  source.file = "test.jsonc";
  source.folder = "/etc/hemlockdoor";
  source.environment =
      [](const std::string& name) -> std::optional<std::string> {
    if (name == "HD_KEY") {
      return kKey;
    }
    if (name == "HD_SHORT") {
      return "short-secret";
    }
    return std::nullopt;
  };
  return source;
}

/// An agent's settings, with `extra` fields after the required ones.
core::Expected<AgentSettings> ReadAgentWith(const std::string& extra) {
  return AgentSettingsFromText(
      R"({"id":"a1","data_centre":"dc1","entries":["127.0.0.1:7000"],
          "upstream":"127.0.0.1:9000",)" +
          extra + "}",
      TestSource());
}

struct BadField {
  std::string extra;
  std::string path;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(SettingsLoaderTest)

// Guards against a field that is dropped or read into the wrong place.
BOOST_AUTO_TEST_CASE(ReadsEveryFieldOfAnEntry) {
  const auto settings = EntrySettingsFromText(
      R"({ // comments are allowed
          "role": "entry", "id": "e1", "data_centre": "dc2",
          "address": "0.0.0.0", "port": 7000,
          "advertised_endpoint": "127.0.0.2:7001", "port_file": "run/port",
          "internal_key_env": "HD_KEY", "drain_timeout_ms": 1500,
          "logs": {"level": "debug", "format": "json"},
          "traces": {"collector": "127.0.0.1:4318"},
          "store": "127.0.0.1:2379", "peers": ["127.0.0.3:7000"],
          "initial_catalogue": "/srv/catalogue.jsonc" })",
      TestSource());
  BOOST_REQUIRE_MESSAGE(settings.has_value(), settings.error().message);
  BOOST_TEST(settings->id.Text() == "e1");
  BOOST_TEST(settings->common.data_centre.Text() == "dc2");
  BOOST_TEST(settings->common.address == "0.0.0.0");
  BOOST_TEST(settings->common.advertised_endpoint == "127.0.0.2:7001");
  BOOST_TEST(settings->common.port == 7000);
  BOOST_TEST(settings->common.port_file == "/etc/hemlockdoor/run/port");
  BOOST_TEST(settings->common.internal_key.Reveal() == kKey);
  BOOST_TEST(settings->common.drain_timeout.InMilliseconds() == 1500);
  BOOST_TEST(settings->common.logs.level == "debug");
  BOOST_TEST(settings->common.logs.json);
  BOOST_TEST(*settings->common.traces.collector == "127.0.0.1:4318");
  BOOST_TEST(settings->store == "127.0.0.1:2379");
  BOOST_TEST(settings->peers.size() == 1U);
  BOOST_TEST(settings->initial_catalogue == "/srv/catalogue.jsonc");
}

// Guards against a wrong value that starts a process, and against an error
// that does not say where the value is.
BOOST_AUTO_TEST_CASE(RefusesBadFieldsWithFileAndPath) {
  const std::vector<BadField> cases = {
      {R"("internal_key_env":"HD_KEY","port":70000)", "$.port"},
      {R"("internal_key_env":"HD_KEY","port":"7000")", "$.port"},
      {R"("internal_key_env":"HD_KEY","address":"0.0.0.0")", "$.address"},
      {R"("internal_key_env":"HD_KEY","address":"localhost")", "$.address"},
      {R"("internal_key_env":"HD_KEY","drain_timeout_ms":-1)",
       "$.drain_timeout_ms"},
      {R"("internal_key_env":"HD_KEY","logs":{"level":"loud"})",
       "$.logs.level"},
      {R"("internal_key_env":"HD_KEY","logs":{"levle":"info"})",
       "$.logs.levle"},
      {R"("internal_key_env":"HD_KEY","traces":{"collector":"host:1"})",
       "$.traces.collector"},
      {R"("internal_key_env":"HD_KEY","role":"entry")", "$.role"},
      {R"("internal_key_env":"HD_KEY","max_held_result_bytes":1)",
       "$.max_held_result_bytes"},
      {R"("internal_key_env":"HD_KEY","store":"127.0.0.1:1")", "$.store"},
      {R"("internal_key_env":"HD_NONE")", "$.internal_key_env"},
      {R"("internal_key_file":"/nonexistent/key")", "$.internal_key_file"},
      {R"("internal_key_env":"HD_KEY","internal_key_file":"/k")",
       "$.internal_key_file"},
      {R"("port":1)", "$.internal_key_file"},
  };
  for (const BadField& bad : cases) {
    const auto settings = ReadAgentWith(bad.extra);
    BOOST_REQUIRE_MESSAGE(!settings.has_value(), bad.extra);
    BOOST_TEST(settings.error().path == "test.jsonc: " + bad.path);
  }
}

// Guards against list elements that are accepted unchecked.
BOOST_AUTO_TEST_CASE(RefusesBadEndpointsInLists) {
  const std::vector<std::string> lists = {
      R"([])", R"([1])", R"(["127.0.0.1"])", R"(["127.0.0.1:0"])",
      R"(["127.0.0.1:7000","127.0.0.1:7000"])"};
  for (const std::string& list : lists) {
    const auto settings = AgentSettingsFromText(
        R"({"id":"a","data_centre":"d","upstream":"127.0.0.1:1",
            "internal_key_env":"HD_KEY","entries":)" +
            list + "}",
        TestSource());
    BOOST_REQUIRE_MESSAGE(!settings.has_value(), list);
    BOOST_TEST(settings.error().path.find("$.entries") != std::string::npos);
  }
}

// Guards against a typing error that is silently ignored.
BOOST_AUTO_TEST_CASE(UnknownFieldNamesTheNearestKnownOne) {
  const auto settings =
      ReadAgentWith(R"("internal_key_env":"HD_KEY","prot_file":"p")");
  BOOST_REQUIRE(!settings.has_value());
  BOOST_TEST(settings.error().message.find("\"port_file\"") !=
             std::string::npos);
}

// Guards against secrets in settings files, error messages and printed
// settings.
BOOST_AUTO_TEST_CASE(SecretsStayHidden) {
  const auto inline_key =
      ReadAgentWith(R"("internal_key":"open-secret-0123456789")");
  BOOST_REQUIRE(!inline_key.has_value());
  BOOST_TEST(inline_key.error().path == "test.jsonc: $.internal_key");
  BOOST_TEST(inline_key.error().message.find("open-secret") ==
             std::string::npos);
  const auto short_key = ReadAgentWith(R"("internal_key_env":"HD_SHORT")");
  BOOST_REQUIRE(!short_key.has_value());
  BOOST_TEST(short_key.error().message.find("short-secret") ==
             std::string::npos);
  const auto settings = ReadAgentWith(R"("internal_key_env":"HD_KEY")");
  BOOST_REQUIRE(settings.has_value());
  const std::string printed = EffectiveSettings(*settings).dump();
  BOOST_TEST(printed.find(kKey) == std::string::npos);
  BOOST_TEST(printed.find("(hidden)") != std::string::npos);
}

// Guards against a key that differs between processes by a line end, and
// against paths that depend on the working directory.
BOOST_AUTO_TEST_CASE(KeyFileIsRelativeToTheSettingsAndLosesItsLineEnd) {
  const std::filesystem::path folder =
      std::filesystem::temp_directory_path() /
      ("hemlockdoor_settings_" + std::to_string(getpid()));
  std::filesystem::create_directories(folder);
  std::ofstream(folder / "key") << kKey << "\n";
  std::ofstream(folder / "agent.jsonc")
      << R"({"id":"a1","data_centre":"dc1","entries":["127.0.0.1:7000"],
             "upstream":"127.0.0.1:9000","internal_key_file":"key"})";
  const auto settings = LoadAgentSettings((folder / "agent.jsonc").string());
  std::filesystem::remove_all(folder);
  BOOST_REQUIRE_MESSAGE(settings.has_value(), settings.error().message);
  BOOST_TEST(settings->common.internal_key.Reveal() == kKey);
}

// Guards against a syntax error that has to be searched for by hand.
BOOST_AUTO_TEST_CASE(SyntaxErrorNamesLineAndColumn) {
  const auto settings =
      EntrySettingsFromText("{\n  \"id\": \"e\",\n  port: 1\n}", TestSource());
  BOOST_REQUIRE(!settings.has_value());
  BOOST_TEST(settings.error().path == "test.jsonc: line 3, column 3");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hemlockdoor::settings
