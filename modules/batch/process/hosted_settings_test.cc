#include "modules/batch/process/hosted_settings.h"

#include <boost/test/unit_test.hpp>
#include <cstdio>
#include <fstream>
#include <string>

namespace hemlockdoor::batch {

namespace {

/// A settings file that is removed with the object.
class SettingsFile {
 public:
  explicit SettingsFile(const std::string& text)
      : path(std::string(std::tmpnam(nullptr)) + ".jsonc") {
    std::ofstream(this->path) << text;
  }
  ~SettingsFile() { std::remove(this->path.c_str()); }
  const std::string& Path() const { return this->path; }

 private:
  std::string path;
};

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
  const SettingsFile file(EntrySettings("2.5", "6000.5"));
  const auto settings = LoadHostedEntrySettings(file.Path());
  BOOST_REQUIRE(settings.has_value());
  BOOST_TEST(settings->common.stop_grace.InMilliseconds() == 2500);
  BOOST_TEST(settings->max_worker_lease.InMilliseconds() == 6000);
}

BOOST_AUTO_TEST_CASE(InvalidLengthsOfTimeAreRefused) {
  for (const char* length : {"0", "-1", "1e300", "\"6\"", "null", "[6]"}) {
    const SettingsFile file(EntrySettings(length, "6000"));
    BOOST_TEST_CONTEXT(length) {
      BOOST_TEST(!LoadHostedEntrySettings(file.Path()).has_value());
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hemlockdoor::batch
