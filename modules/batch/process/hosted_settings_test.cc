#include "modules/batch/process/hosted_settings.h"

#include <QTemporaryFile>
#include <boost/test/unit_test.hpp>
#include <string>

namespace hemlockdoor::batch {

namespace {

core::Expected<HostedEntrySettings> Load(const std::string& text) {
  QTemporaryFile file;
  BOOST_REQUIRE(file.open());
  file.write(text.data(), static_cast<qint64>(text.size()));
  file.flush();
  return LoadHostedEntrySettings(file.fileName().toStdString());
}

std::string EntrySettings(const std::string& stop_grace_s,
                          const std::string& max_worker_lease_ms) {
  return R"({"node": "n", "data_centre": "d", "address": "127.0.0.1",
    "caller_endpoint": "127.0.0.1:1", "readiness_endpoint": "127.0.0.1:2",
    "internal_endpoint": "127.0.0.1:3", "entries": [],
    "store_endpoint": "127.0.0.1:4", "min_store_lease_ms": 1000,
    "max_worker_lease_ms": )" +
         max_worker_lease_ms + R"(, "stop_grace_s": )" + stop_grace_s + "}";
}

}  // namespace

BOOST_AUTO_TEST_SUITE(HostedSettingsTest)

// The platform may state its limits as fractions.
BOOST_AUTO_TEST_CASE(LengthsOfTimeMayBeFractions) {
  const auto settings = Load(EntrySettings("2.5", "6000.5"));
  BOOST_REQUIRE(settings.has_value());
  BOOST_TEST(settings->common.stop_grace.InMilliseconds() == 2500);
  BOOST_TEST(settings->max_worker_lease.InMilliseconds() == 6000);
}

BOOST_AUTO_TEST_CASE(InvalidLengthsOfTimeAreRefused) {
  for (const char* length : {"0", "-1", "1e300", "\"6\"", "null", "[6]"}) {
    BOOST_TEST_CONTEXT(length) {
      BOOST_TEST(!Load(EntrySettings(length, "6000")).has_value());
    }
  }
}

// Deployments without the setting read no evacuations.
BOOST_AUTO_TEST_CASE(TheEvacuationBoundIsOptional) {
  const auto without = Load(EntrySettings("2", "6000"));
  BOOST_REQUIRE(without.has_value());
  BOOST_TEST(!without->evacuation_bound.has_value());
  const auto with =
      Load(EntrySettings("2, \"evacuation_bound_ms\": 5000", "6000"));
  BOOST_REQUIRE(with.has_value());
  BOOST_REQUIRE(with->evacuation_bound.has_value());
  BOOST_TEST(with->evacuation_bound->InMilliseconds() == 5000);
}

// Deployments without the setting keep their decisions under overload.
BOOST_AUTO_TEST_CASE(TheOverloadPolicyIsByPriorityUnlessSet) {
  const auto without = Load(EntrySettings("2", "6000"));
  BOOST_REQUIRE(without.has_value());
  BOOST_TEST((without->overload_policy == OverloadPolicy::kPriority));
  BOOST_TEST(!without->restore_time.has_value());
  BOOST_TEST(!without->stop_time.has_value());
  const auto with = Load(EntrySettings(
      "2, \"overload_policy\": \"caller_cost\", \"restore_ms\": 600, "
      "\"stop_ms\": 900",
      "6000"));
  BOOST_REQUIRE(with.has_value());
  BOOST_TEST((with->overload_policy == OverloadPolicy::kCallerCost));
  BOOST_TEST(with->restore_time.value().InMilliseconds() == 600);
  BOOST_TEST(with->stop_time.value().InMilliseconds() == 900);
}

BOOST_AUTO_TEST_CASE(TheAgeOfTheConfigurationIsLimited) {
  const auto without = Load(EntrySettings("2", "6000"));
  BOOST_REQUIRE(without.has_value());
  BOOST_TEST(without->configuration_limits.refusal.InMilliseconds() == 2000);
  BOOST_TEST(without->configuration_limits.acceptance.InMilliseconds() == 7000);
  const auto with = Load(EntrySettings(
      "2, \"configuration_bound_ms\": 3000, \"configuration_grace_ms\": 6000",
      "6000"));
  BOOST_REQUIRE(with.has_value());
  BOOST_TEST(with->configuration_limits.refusal.InMilliseconds() == 3000);
  BOOST_TEST(with->configuration_limits.acceptance.InMilliseconds() == 9000);
}

BOOST_AUTO_TEST_CASE(TheTimeThatGangsWaitIsOptional) {
  const auto without = Load(EntrySettings("2", "6000"));
  BOOST_REQUIRE(without.has_value());
  BOOST_TEST(!without->gang_wait.has_value());
  const auto with = Load(EntrySettings("2, \"gang_wait_ms\": 5000", "6000"));
  BOOST_REQUIRE(with.has_value());
  BOOST_TEST(with->gang_wait.value().InMilliseconds() == 5000);
}

// A misspelt policy must not fall back to the default unnoticed.
BOOST_AUTO_TEST_CASE(AnUnknownOverloadPolicyIsRefused) {
  BOOST_TEST(!Load(EntrySettings("2, \"overload_policy\": \"cost\"", "6000"))
                  .has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hemlockdoor::batch
